/**
 * Uploads and downloads go to one service. A machine gets SIGTERM, as in a rolling restart. Uploads that it had
 * passed on before, and that their workers answered in full, must still be answered.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { createId, sendRequest } from '../lib-2/client.mjs'
import { HAS_TROUBLE, runCase } from '../lib-2/case.mjs'
import { LIMITS, sleep } from '../lib-2/deployment.mjs'
import { Worker } from '../lib-2/worker.mjs'

const HOST = 'sheets.example'
const WORKERS = 12
const WORK_MS = 150
/** Answers of downloads: up to 540 kB, the largest that the pages name. */
const MIN_ANSWER_BYTES = 300_000
const MAX_ANSWER_BYTES = Number(process.env.MAX_ANSWER_BYTES ?? 540_000)
const UPLOAD_BYTES = 60_000
/** As for `panel-photos` of the site jobsheet-lb-grown. */
const UPLOAD_DEADLINE_MS = 6_617
const DOWNLOAD_DEADLINE_MS = 4_000
const GRACE_MS = 6_000
const STEADY_MS = 5_000
const GAP_MS = 3

const PATHS = [
  { Name: 'r-photos', Prefix: '/photos/', Kind: 'upload', Timeout: '7000ms', Goal: '1000ms', Priority: 1, Service: 'photo-intake', Attempts: 2, Sticky: false, HomeRegions: [] },
  { Name: 'r-album', Prefix: '/album/', Kind: 'download', Timeout: '2000ms', Goal: '500ms', Priority: 2, Service: 'photo-intake', Attempts: 2, Sticky: false, HomeRegions: [] }
]

function createWorker (run, index, history) {
  const worker = new Worker(run.store, { id: `i-photo${index}`, service: 'photo-intake', zone: index % 2 === 0 ? 'klang-a' : 'klang-b', slots: 6, workMs: WORK_MS })
  worker.onRun = ({ headers }) => { history.get(headers['x-umberspar-request-id']).ranAt = run.now() }
  worker.answer = (request, response, fields) => {
    const isDownload = request.url.startsWith('/album/')
    const length = isDownload ? Math.round(Math.min(MIN_ANSWER_BYTES, MAX_ANSWER_BYTES) + Math.random() * Math.max(0, MAX_ANSWER_BYTES - MIN_ANSWER_BYTES)) : 400
    response.writeHead(200, { ...fields, 'Content-Length': length })
    response.end(Buffer.alloc(length, 'x'))
    const entry = history.get(request.headers['x-umberspar-request-id'])
    response.once('finish', () => { entry.answeredAt = run.now() })
  }
  return worker
}

async function play (run) {
  const { deployment, store } = run
  const history = new Map()
  await run.startWorkers(Array.from({ length: WORKERS }, (_, index) => createWorker(run, index, history)))
  store.put('op/config', { Version: 'r5', Services: [{ Name: 'photo-intake', HealthPath: '/healthz', MaxConns: 390, Cold: '3s', ColdPerS: 7 }], Limits: LIMITS, Hosts: [{ Host: HOST, Paths: PATHS }] })
  await deployment.start(['klang-a', 'klang-b', 'penang-a'])
  await deployment.waitUntilReady()
  await sleep(4_000)
  const requests = []
  const send = (machine, isUpload) => {
    const id = createId()
    const entry = { id, machine: machine.name, kind: isUpload ? 'upload' : 'download', sentAt: run.now() }
    history.set(id, entry)
    const request = isUpload
      ? { method: 'POST', host: HOST, path: '/photos/1', id, deadlineMs: UPLOAD_DEADLINE_MS, body: Buffer.alloc(UPLOAD_BYTES, 'u') }
      : { host: HOST, path: '/album/1', id, deadlineMs: DOWNLOAD_DEADLINE_MS }
    requests.push(sendRequest(machine.front, request).then((result) => { Object.assign(entry, { result: String(result.status ?? result.end), endedAt: run.now() }) }))
  }
  run.log('traffic begins: downloads and uploads in turn, to three machines')
  const [leaving] = deployment.machines
  let termAt
  for (let count = 0; count * GAP_MS < STEADY_MS; count++) {
    send(deployment.machines[Math.floor(count / 2) % 3], count % 2 === 1)
    await sleep(GAP_MS)
  }
  if (HAS_TROUBLE) {
    termAt = run.now()
    run.log(`SIGTERM to ${leaving.name}`)
    leaving.child.kill('SIGTERM')
    const { code, signal } = await leaving.ended
    run.log(`${leaving.name} ended by itself: code ${code}, signal ${signal}`)
  } else run.log('no SIGTERM in this run')
  await Promise.all(requests)
  return judge([...history.values()], leaving.name, termAt, run)
}

/**
 * LOST: the machine that got SIGTERM had read a whole request and passed it on, and the connection ends without a
 * complete answer. Not counted: the worker broke off, or was still at work in the last sixth of Grace; the deadline
 * or the timeout of the route was reached.
 */
function judge (entries, name, termAt, run) {
  const breaks = []
  const counts = {}
  for (const { id, kind, machine, sentAt, ranAt, answeredAt, result, endedAt } of entries) {
    run.lines.push(`${kind} ${id} to ${machine}: sent ${sentAt}, ran ${ranAt ?? '-'}, its worker had answered ${answeredAt ?? '-'}, ended ${endedAt}: ${result}`)
    const place = termAt === undefined || machine !== name ? 'other machines' : 'the machine that got SIGTERM'
    const key = `${place}, ${kind}: ${result}`
    counts[key] = (counts[key] ?? 0) + 1
    const isCut = result.startsWith('connection') && endedAt - sentAt < UPLOAD_DEADLINE_MS
    const isPlanned = termAt !== undefined && machine === name && endedAt >= termAt
    const hasWorkerDone = answeredAt !== undefined && answeredAt < termAt + GRACE_MS * 5 / 6
    if (kind === 'upload' && isCut && isPlanned && hasWorkerDone) breaks.push(`upload ${id}: answered by its worker at ${answeredAt}, and its connection ended without an answer at ${endedAt}, ${endedAt - termAt} ms after SIGTERM`)
  }
  return { summary: Object.entries(counts).sort().map(([key, count]) => `${count} x ${key}`), breaks }
}

await runCase(dirname(fileURLToPath(import.meta.url)), play)
