/**
 * Some workers spoil a few of their answers: these have no length and end with their connection, and one byte in the
 * value of a header field is a control character, so that the bytes are no response in the protocol. A machine that
 * reads one must go on: what is in flight at other, sound workers must be answered.
 */
import { Client, closeKept, createRandom, isTroubled, now, Platform, sendRequest, sleep } from '../lib/harness.mjs'

const FOLDER = new URL('.', import.meta.url).pathname
const ZONES = { 'kigali-a': 'kigali', 'musanze-a': 'musanze', 'huye-a': 'huye' }
const HOST = 'hulo84.example'
/** From the site file: two kinds of request, how long their clients wait and how long the operator wants them kept waiting. */
const LOOKUP = { path: '/leny950/', method: 'GET', kind: 'idempotent', service: 'status-api', deadlineMs: 2_500, timeoutMs: 800, goal: '300ms' }
const PAYMENT = { path: '/puka111/', method: 'POST', kind: 'non_idempotent', service: 'payments-api', deadlineMs: 3_000, timeoutMs: 1_000, goal: '400ms' }
const KINDS = [LOOKUP, PAYMENT]
const WORKERS_OF_EACH = 12
const REQUESTS_PER_S = 100
/** The doses of the site file: the share of the workers, the part of their answers, and for how long. */
const SHARE = 0.5
const ONE_IN = Math.ceil(1 / 0.05)
const SPOIL_MS = 5_000
/** The bound of the rule. */
const MOST_CUT = 3

const random = createRandom(67)
const platform = new Platform(FOLDER, ZONES)
const { record } = platform
const spoilers = new Set()
let isSpoiling = false
let answers = 0

/** @returns an answer without a length, one byte in the value of a header field turned bad */
function spoil (worker, id) {
  if (!isSpoiling || ++answers % ONE_IN !== 0) return undefined
  record.write('spoilt', { id, worker: worker.id })
  const bytes = worker.formatUnframed(id)
  bytes[bytes.indexOf('X-Umberspar-Instance-Id: ') + 'X-Umberspar-Instance-Id: '.length + 3] = 0x01
  return { bytes, endsConnection: true }
}

async function main () {
  await platform.start()
  const zones = Object.keys(ZONES)
  for (const { service } of KINDS) {
    for (let index = 0; index < WORKERS_OF_EACH; index++) {
      const isSpoiler = index < WORKERS_OF_EACH * SHARE
      const worker = await platform.addWorker({ service, zone: zones[index % zones.length], slots: 3, getWorkMs: () => 150 + 150 * random(), spoil: isSpoiler ? spoil : undefined })
      if (isSpoiler) spoilers.add(worker.id)
    }
  }
  platform.putConfiguration([{
    Host: HOST,
    Paths: KINDS.map(({ path, kind, service, timeoutMs, goal }, index) => ({ Name: `r-${index}`, Prefix: path, Kind: kind, Timeout: `${timeoutMs}ms`, Goal: goal, Priority: index, Service: service, Attempts: 2, Sticky: true, HomeRegions: [] }))
  }], KINDS.map(({ service }) => service))
  for (const zone of zones) platform.addMachine(zone)
  for (const machine of platform.machines) machine.start()
  if (!await platform.waitUntilReady()) return 2
  await sleep(1_000)

  const clients = zones.map((zone) => new Client(platform, zone, HOST, random))
  const kept = new Map()
  const sends = []
  const startedAt = now()
  const spoilFrom = startedAt + 6_000
  const endAt = spoilFrom + SPOIL_MS + 3_000
  for (let count = 0; now() < endAt; count++) {
    isSpoiling = isTroubled && now() >= spoilFrom && now() < spoilFrom + SPOIL_MS
    const client = clients[count % clients.length]
    await client.resolve()
    const kind = KINDS[count % 3 === 0 ? 1 : 0]
    const key = Math.floor(random() * 24)
    sends.push(sendRequest(record, { address: client.pick(), host: HOST, path: `${kind.path}${key}`, method: kind.method, deadlineMs: kind.deadlineMs, body: kind === PAYMENT ? 'fee=1200' : '', key, kept }).then((seen) => ({ ...seen, kind })))
    await sleep(Math.max(0, startedAt + (count + 1) * 1_000 / REQUESTS_PER_S - now()))
  }
  const requests = await Promise.all(sends)
  closeKept(kept)
  return judge(requests)
}

function judge (requests) {
  // Passed on from a kept connection to a sound worker, and the connection closed without an answer before the deadline and the timeout.
  const cut = requests.filter(({ id, isKept, isComplete, sentAt, endedAt, end, kind }) => {
    const run = runs.get(id)
    const isSound = run !== undefined && !spoilers.has(run.worker)
    return isKept && !isComplete && end !== 'deadline passed' && endedAt - sentAt < kind.timeoutMs && isSound
  })
  for (const { id, method, kind, address, end } of cut) record.write('judged', { id, method, service: kind.service, machine: address, soundWorker: runs.get(id).worker, end: JSON.stringify(end) })
  const served = requests.filter(({ status, isComplete }) => isComplete && status === 200).length
  record.write('result', { sent: requests.length, served, cutAtSoundWorkers: cut.length, processesThatEndedByThemselves: ends })
  if (served < requests.length / 2) return 2
  return cut.length > MOST_CUT ? 1 : 0
}

/** Where each request ran. */
const runs = new Map()
let ends = 0
const write = record.write.bind(record)
record.write = (what, details = {}) => {
  if (what === 'run') runs.set(details.id, { worker: details.worker })
  if (what === 'process-ends' && details.signal === null) ends++
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
write('exit', { code })
process.exit(code)
