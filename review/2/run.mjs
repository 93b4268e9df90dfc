/**
 * Some workers spoil a few of their answers: one byte in the value of a header field is a control character, so that
 * the bytes are no response in the protocol. The requests have run. Each must get a final answer soon after its
 * route's `Timeout` at the latest.
 */
import { Client, createRandom, isTroubled, now, Platform, sendRequest, sleep } from '../lib/harness.mjs'

const FOLDER = new URL('.', import.meta.url).pathname
const ZONES = { 'kigali-a': 'kigali', 'musanze-a': 'musanze', 'huye-a': 'huye' }
const HOST = 'hulo84.example'
/** From the site file: two kinds of request, how long their clients wait and how long the operator wants them kept waiting. */
const LOOKUP = { path: '/leny950/', method: 'GET', kind: 'idempotent', service: 'status-api', deadlineMs: 2_500, timeoutMs: 800, goal: '300ms' }
const PAYMENT = { path: '/puka111/', method: 'POST', kind: 'non_idempotent', service: 'payments-api', deadlineMs: 3_000, timeoutMs: 1_000, goal: '400ms' }
const KINDS = [LOOKUP, PAYMENT]
const WORKERS_OF_EACH = 12
const REQUESTS_PER_S = 150
/** The doses of the site file: the share of the workers, the part of their answers, and for how long. */
const SHARE = 0.6
const ONE_IN = Math.ceil(1 / 0.03)
const SPOIL_MS = 5_500
/** The bounds of the rule. */
const SLACK_MS = 500
const MOST_UNANSWERED = 7
const MOST_SHARE = 0.25

const random = createRandom(67)
const platform = new Platform(FOLDER, ZONES)
const { record } = platform
let isSpoiling = false
let answers = 0

/** @returns the bytes of the answer, one of them in the value of a header field turned bad */
function spoil (worker, id) {
  if (!isSpoiling || ++answers % ONE_IN !== 0) return undefined
  record.write('spoilt', { id, worker: worker.id })
  const bytes = worker.formatAnswer(id)
  bytes[bytes.indexOf('X-Umberspar-Instance-Id: ') + 'X-Umberspar-Instance-Id: '.length + 3] = 0x01
  return { bytes }
}

async function main () {
  await platform.start()
  const zones = Object.keys(ZONES)
  for (const { service } of KINDS) {
    for (let index = 0; index < WORKERS_OF_EACH; index++) {
      await platform.addWorker({ service, zone: zones[index % zones.length], slots: 3, getWorkMs: () => 120 + 80 * random(), spoil: index < WORKERS_OF_EACH * SHARE ? spoil : undefined })
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
  const sends = []
  const startedAt = now()
  const spoilFrom = startedAt + 6_000
  const endAt = spoilFrom + SPOIL_MS + 2_000
  for (let count = 0; now() < endAt; count++) {
    isSpoiling = isTroubled && now() >= spoilFrom && now() < spoilFrom + SPOIL_MS
    const client = clients[count % clients.length]
    await client.resolve()
    const kind = KINDS[count % 3 === 0 ? 1 : 0]
    const key = Math.floor(random() * 24)
    sends.push(sendRequest(record, { address: client.pick(), host: HOST, path: `${kind.path}${key}`, method: kind.method, deadlineMs: kind.deadlineMs, body: kind === PAYMENT ? 'fee=1200' : '', key }).then((seen) => ({ ...seen, kind })))
    await sleep(Math.max(0, startedAt + (count + 1) * 1_000 / REQUESTS_PER_S - now()))
  }
  return judge(await Promise.all(sends))
}

function judge (requests) {
  const sent = requests.filter(({ sentAt }) => sentAt !== undefined)
  const late = sent.filter(({ sentAt, endedAt, isComplete, kind }) => !isComplete || endedAt - sentAt > kind.timeoutMs)
  const unanswered = late.filter(({ sentAt, endedAt, isComplete, end, kind }) => (isComplete ? endedAt - sentAt > kind.timeoutMs + SLACK_MS : end === 'deadline passed'))
  for (const { id, method, kind, end } of unanswered) record.write('judged', { id, method, service: kind.service, end, ran: runs.has(id), workerAnswered: runs.get(id) })
  const served = sent.filter(({ status, isComplete }) => isComplete && status === 200).length
  record.write('result', { sent: sent.length, served, lastedLongerThanTimeout: late.length, unansweredHalfASecondLater: unanswered.length })
  if (served < sent.length / 2) return 2
  return unanswered.length > MOST_UNANSWERED && unanswered.length > late.length * MOST_SHARE ? 1 : 0
}

/** How the run of each request ended at its worker. */
const runs = new Map()
const write = record.write.bind(record)
record.write = (what, details = {}) => {
  if (what === 'run-end') runs.set(details.id, details.how)
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
