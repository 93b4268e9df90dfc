/**
 * Downloads of 300,000 bytes, then uploads on the same service, then one SIGTERM of the machine. Checks LOST: no request
 * that a worker ran and answered may lose its answer because its machine is stopped as planned.
 */
import { Client, createConfiguration, createId, Entry, formatRequest, runCase, sleep, Store, succeed, waitFor, Worker } from '../lib-3/platform.mjs'

const DOWNLOAD_BYTES = 300_000
const WORK_MS = 100
const DEADLINE_MS = 8_000
const GRACE_MS = 6_000
const ROUNDS = 20
const UPLOADS_PER_ROUND = 2
const ROUND_MS = 90

await runCase(new URL('record.txt', import.meta.url), async (record, keep, isTroubled) => {
  const store = keep(new Store())
  await store.listen()
  const file = Buffer.alloc(DOWNLOAD_BYTES, 'd')
  const answeredAt = new Map()
  for (const [id, zone] of [['i-1', 'klang-a'], ['i-2', 'klang-b']]) {
    const worker = keep(new Worker(id, 'docs-svc', zone, record, (request, body, response, run) => {
      setTimeout(() => {
        answeredAt.set(run.id, record.now())
        record.add(`worker ${id} answers ${run.id} in full`)
        succeed(response, run.id, request.method === 'GET' ? file : Buffer.from('stored'))
      }, request.method === 'GET' ? 20 : WORK_MS)
    }))
    await worker.listen()
    worker.register(store)
  }
  store.put('op/config', createConfiguration(7, [
    { Name: 'scan-download', Prefix: '/scans/', Kind: 'download', Service: 'docs-svc', Timeout: '4000ms' },
    { Name: 'consent-upload', Prefix: '/consent/', Kind: 'upload', Service: 'docs-svc', Timeout: '10s', Attempts: 1 }
  ], ['docs-svc']))
  const entry = keep(new Entry({ name: 'front-klang-a-1', zone: 'klang-a', zones: { 'klang-a': 'klang', 'klang-b': 'klang' }, store: store.address }))
  await entry.prepare()
  await entry.start()
  if (!await waitFor(() => entry.isReady(), 20_000)) throw new Error(`the entry process is not ready: ${entry.lines.join('')}`)
  await sleep(2_000)

  const download = async () => {
    const client = keep(new Client(entry.front))
    const id = createId()
    record.add(`client sends ${id} GET`)
    client.write(formatRequest({ id, path: '/scans/1', deadlineMs: 4_000 }))
    const result = await client.read(5_000)
    record.add(`client gets ${result?.status} of ${result?.body.length} bytes for ${id}`)
    client.close()
  }
  const upload = async () => {
    const client = keep(new Client(entry.front))
    const id = createId()
    const sentAt = record.now()
    record.add(`client sends ${id} POST`)
    client.write(formatRequest({ id, method: 'POST', path: '/consent/1', body: 'x'.repeat(2_000), deadlineMs: DEADLINE_MS }))
    const result = await client.read(DEADLINE_MS + 1_000)
    record.add(`client gets ${result?.status ?? (client.isClosed ? 'a closed connection without an answer' : 'nothing')} for ${id}`)
    return { id, status: result?.status, sentAt, endedAt: record.now() }
  }

  // A scan is read, then letters are stored, in turn, as the mixed traffic of the service does.
  const uploads = []
  const downloads = []
  for (let round = 0; round < ROUNDS; round++) {
    downloads.push(download())
    await sleep(ROUND_MS / 2)
    for (let number = 0; number < UPLOADS_PER_ROUND; number++) uploads.push(upload())
    await sleep(ROUND_MS / 2)
  }
  if (isTroubled) {
    record.add('SIGTERM')
    entry.signal('SIGTERM')
  }
  const ends = await Promise.all(uploads)
  await Promise.all(downloads)
  await waitFor(() => !entry.isRunning, isTroubled ? 3_000 : 0)
  if (!entry.isRunning) record.add(`the entry process has ended: ${JSON.stringify(entry.exit)}`)
  const lost = ends.filter(({ id, status, sentAt, endedAt }) => status === undefined && answeredAt.has(id) && endedAt < sentAt + DEADLINE_MS)
  for (const { id, sentAt, endedAt } of lost) record.add(`LOST: ${id} was answered by its worker at ${Math.round(answeredAt.get(id))} ms, its connection ended without an answer at ${Math.round(endedAt)} ms, its deadline was ${Math.round(sentAt + DEADLINE_MS)} ms`)
  record.add(`${lost.length} of ${uploads.length} uploads that ran were lost within the ${GRACE_MS} ms of Grace`)
  return lost.length > 0 ? 1 : 0
})
