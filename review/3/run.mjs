/**
 * A machine gets SIGTERM while clients that keep their directory answer for three times its `Ttl` still use it.
 * Requests that are sent to it later than 3 s after the SIGTERM, and are accepted and passed on to a worker, must be
 * answered within `Grace`, 6 s. The sum of all conditions is judged as in the rule LOST.
 */
import { Client, createRandom, isTroubled, now, Platform, sendRequest, sleep } from '../lib/harness.mjs'

const FOLDER = new URL('.', import.meta.url).pathname
const ZONES = { 'kigali-a': 'kigali', 'musanze-a': 'musanze', 'huye-a': 'huye' }
const HOST = 'hulo84.example'
const SERVICE = 'archive-api'
/** From the site file: how long a client waits for an archive read, and how long the operator wants it kept waiting. */
const DEADLINE_MS = 10_000
const TIMEOUT_MS = 3_000
const GRACE_MS = 6_000
/** The excuse holds for requests that were sent no later than this after the SIGTERM. */
const EXCUSED_UNTIL_MS = 3_000
const LAST_SIXTH_MS = GRACE_MS * 5 / 6
/** The site allows reads of up to 5,760 ms. */
const LONG_READ_MS = 2_800
const WORKERS = 12
const STOPS = 2
const PATIENT_CLIENTS = 24

const random = createRandom(67)
const platform = new Platform(FOLDER, ZONES)
const { record, store } = platform

async function main () {
  await platform.start()
  const zones = Object.keys(ZONES)
  for (let index = 0; index < WORKERS; index++) {
    await platform.addWorker({ service: SERVICE, zone: zones[index % zones.length], slots: 3, getWorkMs: (head) => (head.includes('/long') ? LONG_READ_MS : 1_500 + 600 * random()) })
  }
  platform.putConfiguration([{ Host: HOST, Paths: [{ Name: 'archive-read', Prefix: '/leny950/', Kind: 'idempotent', Timeout: `${TIMEOUT_MS}ms`, Goal: '1200ms', Priority: 2, Service: SERVICE, Attempts: 2, Sticky: true, HomeRegions: [] }] }], [SERVICE])
  for (const zone of zones) platform.addMachine(zone)
  for (const machine of platform.machines) machine.start()
  if (!await platform.waitUntilReady()) return 2
  await sleep(1_000)
  // Everyday traffic.
  const traffic = { isOpen: true }
  const background = (async () => {
    const clients = zones.map((zone) => new Client(platform, zone, HOST, random))
    while (traffic.isOpen) {
      const client = clients[Math.floor(random() * clients.length)]
      await client.resolve()
      sendRequest(record, { address: client.pick(), host: HOST, path: `/leny950/${Math.floor(random() * 24)}`, deadlineMs: DEADLINE_MS, key: Math.floor(random() * 24) })
      await sleep(250)
    }
  })()
  await sleep(10_000)

  const judged = []
  for (let stop = 0; stop < STOPS; stop++) {
    const machine = platform.machines[stop]
    const clients = Array.from({ length: PATIENT_CLIENTS }, () => new Client(platform, zones[Math.floor(random() * zones.length)], HOST, random, 3))
    for (const client of clients) await client.resolve()
    const stoppedAt = isTroubled ? machine.stop() : now()
    const sends = clients.map(async (client) => {
      await sleep(stoppedAt + EXCUSED_UNTIL_MS + 20 + 240 * random() - now())
      await client.resolve()
      return await sendRequest(record, { address: client.pick(), host: HOST, path: `/leny950/long${Math.floor(random() * 24)}`, deadlineMs: DEADLINE_MS, key: Math.floor(random() * 24) })
    })
    for (const seen of await Promise.all(sends)) judged.push({ ...seen, stoppedAt, machine })
    await sleep(6_000)
  }
  traffic.isOpen = false
  await background
  return judge(judged)
}

function judge (judged) {
  let lost = 0
  let answered = 0
  for (const { id, address, machine, stoppedAt, sentAt, endedAt, isComplete, status, end } of judged) {
    if (sentAt === undefined || address !== machine.listen.Front) continue
    if (isComplete) {
      if (status === 200) answered++
      continue
    }
    const run = runs.get(id)
    const wasBrokenOffByWorker = run?.how === undefined ? false : !run.how.startsWith('dropped')
    const isExcused = sentAt - stoppedAt <= EXCUSED_UNTIL_MS && endedAt - stoppedAt >= LAST_SIXTH_MS
    const isOverTime = endedAt - sentAt >= TIMEOUT_MS
    const isInPlannedWork = endedAt - stoppedAt <= GRACE_MS + 1_000
    const isLost = run !== undefined && !wasBrokenOffByWorker && !isExcused && !isOverTime && isInPlannedWork
    record.write('judged', { id, machine: machine.name, sentAfterSigtermMs: Math.round(sentAt - stoppedAt), endedAfterSigtermMs: Math.round(endedAt - stoppedAt), ranAt: run?.worker, end, lost: isLost })
    if (isLost) lost++
  }
  record.write('result', { answeredByTheMachine: answered, lost })
  return lost > 0 ? 1 : answered > 0 ? 0 : 2
}

/** What the workers saw, by request. */
const runs = new Map()
const write = record.write.bind(record)
record.write = (what, details = {}) => {
  if (what === 'run') runs.set(details.id, { worker: details.worker })
  if (what === 'run-end') Object.assign(runs.get(details.id), { how: details.how })
  write(what, details)
}

let code = 2
try {
  code = await main()
} catch (error) {
  record.write('error', { text: JSON.stringify(String(error.stack)) })
} finally {
  await platform.close()
}
write('exit', { code, revision: store.revision })
process.exit(code)
