/**
 * The open connections from the machines to the workers fall silent; new ones work. More than `Stability` later,
 * uploads come, and a machine gets SIGTERM. Uploads that it had read before must still be answered.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { createId, sendRequest } from '../lib-2/client.mjs'
import { HAS_TROUBLE, runCase } from '../lib-2/case.mjs'
import { LIMITS, sleep } from '../lib-2/deployment.mjs'
import { Link } from '../lib-2/link.mjs'
import { Worker } from '../lib-2/worker.mjs'

const HOST = 'sheets.example'
const WORKERS = 12
const WORK_MS = 400
/** As the site has: a worker closes connections that were idle for 10 s, and says so. */
const IDLE_MS = 10_000
const STABILITY_MS = 4_000
const QUIET_MS = 5_000
const GRACE_MS = 6_000
const UPLOAD_BYTES = 60_000
/** As for `panel-photos` of the site jobsheet-lb-grown. */
const DEADLINE_MS = 6_617
const WARM_UPLOADS = 36
const UPLOADS = 24
const TERM_AFTER_MS = 300
/** With the SIGTERM, but without silent connections, to compare. */
const HAS_SILENCE = process.env.SILENCE !== '0'

const PATHS = [{ Name: 'r-photos', Prefix: '/photos/', Kind: 'upload', Timeout: '7000ms', Goal: '1000ms', Priority: 1, Service: 'photo-intake', Attempts: 2, Sticky: false, HomeRegions: [] }]

/** Starts the workers, each at the address of its link. */
async function startWorkers (run) {
  const workers = Array.from({ length: WORKERS }, (_, index) => new Worker(run.store, { id: `i-photo${index}`, service: 'photo-intake', zone: index % 2 === 0 ? 'klang-a' : 'klang-b', slots: 6, workMs: WORK_MS, idleMs: IDLE_MS }))
  await run.startWorkers(workers)
  return await Promise.all(workers.map(async (worker) => {
    const link = new Link(worker.address)
    run.closables.push(link)
    worker.address = await link.listen(run.deployment.createHost())
    worker.register()
    return link
  }))
}

async function play (run) {
  const { deployment, store } = run
  const links = await startWorkers(run)
  store.put('op/config', { Version: 'r5', Services: [{ Name: 'photo-intake', HealthPath: '/healthz', MaxConns: 390, Cold: '3s', ColdPerS: 7 }], Limits: LIMITS, Hosts: [{ Host: HOST, Paths: PATHS }] })
  await deployment.start(['klang-a', 'klang-b', 'penang-a'])
  await deployment.waitUntilReady()
  await sleep(4_000)
  const [machine] = deployment.machines
  const upload = async () => {
    const sentAt = run.now()
    const result = await sendRequest(machine.front, { method: 'POST', host: HOST, path: '/photos/1', id: createId(), deadlineMs: DEADLINE_MS, body: Buffer.alloc(UPLOAD_BYTES, 'u') })
    return { ...result, sentAt, text: String(result.status ?? result.end) }
  }
  const warm = await Promise.all(Array.from({ length: WARM_UPLOADS }, upload))
  run.log(`${warm.filter(({ text }) => text === '200').length} of ${WARM_UPLOADS} uploads answered with 200`)
  const silencedAt = run.now()
  if (HAS_TROUBLE && HAS_SILENCE) run.log(`${links.reduce((sum, link) => sum + link.silenceOpen(), 0)} open connections to workers fall silent; new ones work`)
  await sleep(QUIET_MS)
  run.log(`${UPLOADS} uploads to ${machine.name}`)
  const uploads = Promise.all(Array.from({ length: UPLOADS }, upload))
  await sleep(TERM_AFTER_MS)
  const termAt = run.now()
  if (HAS_TROUBLE) {
    run.log(`SIGTERM to ${machine.name}`)
    machine.child.kill('SIGTERM')
  }
  return judge(await uploads, silencedAt, termAt, run)
}

/**
 * LOST: around a SIGTERM, with no unplanned disruption from `Stability` before the request, the machine had read a
 * whole request, and the connection ends without an answer, before the deadline and the timeout of the route.
 */
function judge (results, silencedAt, termAt, run) {
  const counts = {}
  const breaks = []
  for (const { id, sentAt, tookMs, text } of results) {
    run.lines.push(`upload ${id}: sent ${sentAt}, took ${tookMs} ms: ${text}`)
    counts[text] = (counts[text] ?? 0) + 1
    const isCut = text.startsWith('connection closed') && tookMs < DEADLINE_MS
    const isCounted = HAS_TROUBLE && sentAt > silencedAt + STABILITY_MS && sentAt + tookMs < termAt + GRACE_MS + 1_000
    if (isCut && isCounted) breaks.push(`upload ${id}: sent ${sentAt - silencedAt} ms after the connections had fallen silent, and its connection ended without an answer ${sentAt + tookMs - termAt} ms after SIGTERM`)
  }
  return { summary: Object.entries(counts).map(([key, count]) => `${count} x ${key}`), breaks }
}

await runCase(dirname(fileURLToPath(import.meta.url)), play)
