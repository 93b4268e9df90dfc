/**
 * Workers fall silent while they send long answers. At the timeout of the route, each of their requests must get a
 * final answer, or the end of its connection, also if part of its answer was already passed on.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { createId, sendRequest } from '../lib-2/client.mjs'
import { HAS_TROUBLE, runCase } from '../lib-2/case.mjs'
import { LIMITS, sleep } from '../lib-2/deployment.mjs'
import { Worker } from '../lib-2/worker.mjs'

const HOST = 'exports.example'
const WORKERS = 40
/** A share of 0.15 of the workers, as the pages set it for `srv_crash`. */
const SILENT_WORKERS = 6
const WORK_MS = 50
/** An answer has 330 kB, which is within what the pages name. Most of it is sent at once, the rest as it is made. */
const PIECES = [270_000, ...Array.from({ length: 6 }, () => 10_000)]
const PIECE_GAP_MS = 200
const TIMEOUT_MS = 2_500
const DEADLINE_MS = 6_000
const GAP_MS = 12
const STEADY_MS = 4_000
const AFTER_MS = 1_500
/** What the rule allows after the timeout, and how many requests it takes. */
const SLACK_MS = 500
const MIN_LATE = 8
const MIN_LATE_PART = 0.25

const PATHS = [{ Name: 'r-export', Prefix: '/export/', Kind: 'download', Timeout: `${TIMEOUT_MS}ms`, Goal: '500ms', Priority: 2, Service: 'exports', Attempts: 2, Sticky: false, HomeRegions: [] }]

function createWorker (run, index) {
  const worker = new Worker(run.store, { id: `i-export${index}`, service: 'exports', zone: index % 2 === 0 ? 'klang-a' : 'klang-b', slots: 6, workMs: WORK_MS })
  worker.answer = async (request, response, fields) => {
    response.writeHead(200, { ...fields, 'Content-Length': PIECES.reduce((sum, bytes) => sum + bytes, 0) })
    for (const bytes of PIECES) {
      if (worker.isDark || response.destroyed) return
      response.write(Buffer.alloc(bytes, 'x'))
      await sleep(PIECE_GAP_MS)
    }
    if (!worker.isDark) response.end()
  }
  return worker
}

async function play (run) {
  const { deployment, store } = run
  const workers = Array.from({ length: WORKERS }, (_, index) => createWorker(run, index))
  await run.startWorkers(workers)
  store.put('op/config', { Version: 'r5', Services: [{ Name: 'exports', HealthPath: '/healthz', MaxConns: 1590, Cold: '3s', ColdPerS: 7 }], Limits: LIMITS, Hosts: [{ Host: HOST, Paths: PATHS }] })
  await deployment.start(['klang-a', 'penang-a', 'kuching-a'])
  await deployment.waitUntilReady()
  await sleep(4_000)
  const [machine] = deployment.machines
  const results = []
  run.log(`downloads begin: all clients are in ${machine.zone}`)
  const send = async (durationMs) => {
    for (const until = run.now() + durationMs; run.now() < until; await sleep(GAP_MS)) {
      const sentAt = run.now()
      results.push(sendRequest(machine.front, { host: HOST, path: '/export/1', id: createId(), deadlineMs: DEADLINE_MS }).then((result) => ({ ...result, sentAt })))
    }
  }
  await send(STEADY_MS)
  if (HAS_TROUBLE) {
    for (const worker of workers.slice(0, SILENT_WORKERS)) worker.fallSilent()
    run.log(`${SILENT_WORKERS} of ${WORKERS} workers fall silent`)
  } else run.log('no worker falls silent in this run')
  await send(AFTER_MS)
  return judge(await Promise.all(results), run)
}

/** CONFIG: of the requests that last longer than their timeout, eight or more, and over a quarter, have no final answer 0.5 s after it. */
function judge (results, run) {
  const counts = {}
  let longCount = 0
  let late = 0
  for (const { id, sentAt, tookMs, status, end, isPartial } of results) {
    const text = `${status ?? end}${isPartial ? ', part of an answer had arrived' : ''}`
    run.lines.push(`download ${id}: sent ${sentAt}, took ${tookMs} ms: ${text}`)
    counts[text] = (counts[text] ?? 0) + 1
    if (tookMs > TIMEOUT_MS) longCount++
    if (tookMs > TIMEOUT_MS + SLACK_MS) late++
  }
  const isBroken = late >= MIN_LATE && late > longCount * MIN_LATE_PART
  const summary = [...Object.entries(counts).map(([key, count]) => `${count} x ${key}`), `${longCount} lasted longer than the timeout; ${late} of these had no final answer ${SLACK_MS} ms after it`]
  return { summary, breaks: isBroken ? [`${late} of ${longCount} requests had no final answer ${SLACK_MS} ms after their timeout`] : [] }
}

await runCase(dirname(fileURLToPath(import.meta.url)), play)
