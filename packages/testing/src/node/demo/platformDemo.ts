/**
 * `npm run demo -- --platform`: entry processes over stand-ins of the users'
 * platform. Requests of two kinds arrive everywhere while the configuration
 * changes, a worker leaves, workers fail, a failure domain is evacuated, the store
 * refuses one VM and another VM stops; then every answer is checked.
 */
import { build } from 'hdr-histogram-js'
import type { CloseStack } from '@umberspar/base/common/closing'
import { SeededRandom } from '@umberspar/base/common/random'
import { type Column, formatTable } from '../load/table.js'
import { type ClientAnswer, type LocalEntry, LocalPlatform } from '../standIns/usersPlatform/localPlatform.js'
import { isPromisedNotRun } from '../standIns/usersPlatform/platformClient.js'
import { WorkerFault } from '../standIns/usersPlatform/platformWorkerStandIn.js'
import { StoreFault } from '../standIns/usersPlatform/recordStoreStandIn.js'
import { writeLine } from '../terminal.js'
import type { DemoOptions } from './demoOptions.js'

const DOMAINS = { 'klang-a': 'klang', 'klang-b': 'klang', 'penang-a': 'penang' }
const SERVICES = ['archive', 'desk']
const WORKERS_PER_PLACE = 2
const WORK_MS = 20
const OBJECTS = 40
const MS_PER_SECOND = 1_000
const FIRST_FAILED_STATUS = 500
const SUCCESS = 200

const PATHS = [
  { Name: 'lookups', Prefix: '/lookups/', Service: 'archive' },
  { Name: 'closeouts', Prefix: '/closeouts/', Service: 'desk', Kind: 'non_idempotent' }
]

/** A request that was answered. */
interface Answered {
  readonly id: string
  readonly kind: string
  readonly answer: ClientAnswer
  readonly spanMs: number
}

/** What happens meanwhile, each with the part of the requests after which it does. */
interface Happening {
  readonly after: number
  readonly text: string
  readonly run: (platform: LocalPlatform, entries: readonly LocalEntry[]) => void
}

const HAPPENINGS: readonly Happening[] = [
  { after: 0.1, text: 'the configuration changes', run: (platform) => { platform.putConfiguration([...PATHS, { Name: 'added', Prefix: '/added/', Service: 'archive' }]) } },
  { after: 0.2, text: 'a worker fails what it runs, another sends second answers', run: (platform) => { setFaults(platform, [WorkerFault.Fail, WorkerFault.Extra]) } },
  { after: 0.4, text: 'the store refuses one entry VM', run: (_platform, entries) => { entries[0]!.store.setFault(StoreFault.Busy) } },
  { after: 0.5, text: 'klang-b is evacuated', run: (platform) => { platform.putEvacuation('klang-b') } },
  { after: 0.6, text: 'the store answers again, the workers are well', run: (platform, entries) => { resetFaults(platform, entries) } },
  { after: 0.7, text: 'klang-b is taken back', run: (platform) => { platform.removeEvacuation('klang-b') } },
  { after: 0.8, text: 'one entry VM stops as planned', run: (_platform, entries) => { entries[2]!.entry.stop(() => {}) } }
]

function setFaults (platform: LocalPlatform, faults: readonly WorkerFault[]): void {
  for (const [index, worker] of [...platform.workers.values()].entries()) worker.fault = faults[index] ?? WorkerFault.None
}

function resetFaults (platform: LocalPlatform, entries: readonly LocalEntry[]): void {
  entries[0]!.store.setFault(StoreFault.None)
  setFaults(platform, [])
}

async function startPlatform (closing: CloseStack): Promise<{ platform: LocalPlatform, entries: LocalEntry[] }> {
  const platform = closing.add(new LocalPlatform(DOMAINS))
  for (const domain of Object.keys(DOMAINS)) {
    for (const service of SERVICES) {
      for (let index = 0; index < WORKERS_PER_PLACE; index++) {
        const worker = await platform.addWorker(`${service}-${domain}-${index}`, service, domain)
        worker.workMs = WORK_MS
      }
    }
  }
  platform.putConfiguration(PATHS)
  const entries: LocalEntry[] = []
  for (const domain of Object.keys(DOMAINS)) entries.push(await platform.startEntry(`entry-${domain}`, domain, entries.map(({ settings }) => settings.listen.peers)))
  for (const entry of entries) await platform.waitUntilReady(entry)
  return { platform, entries }
}

/** Asks for the entry VMs of a failure domain, as a client does, and sends to the first. */
async function sendRequest (platform: LocalPlatform, entries: readonly LocalEntry[], domain: string, index: number, random: SeededRandom): Promise<Answered> {
  const [address] = await platform.lookUp(entries[0]!, domain)
  const entry = entries.find(({ settings }) => settings.listen.callers === address)!
  const isCloseout = random.next() < 0.3
  const id = `request-${index}`
  const startedAt = platform.clock.now()
  const answer = await platform.call(entry, {
    id,
    path: isCloseout ? '/closeouts/1' : '/lookups/1',
    method: isCloseout ? 'POST' : 'GET',
    key: String(Math.floor(random.next() * OBJECTS)),
    body: isCloseout ? 'signed off' : undefined
  })
  return { id, kind: isCloseout ? 'closeouts' : 'lookups', answer, spanMs: platform.clock.now() - startedAt }
}

async function sendAll (options: DemoOptions, platform: LocalPlatform, entries: readonly LocalEntry[]): Promise<Answered[]> {
  const random = new SeededRandom(options.seed)
  const count = options.requests * Object.keys(DOMAINS).length * SERVICES.length
  const waiting: Array<Promise<Answered>> = []
  const due = [...HAPPENINGS]
  for (let index = 0; index < count; index++) {
    while (due.length > 0 && index >= due[0]!.after * count) {
      const happening = due.shift()!
      writeLine(`after ${index} requests: ${happening.text}`)
      happening.run(platform, entries)
    }
    const domain = Object.keys(DOMAINS)[index % Object.keys(DOMAINS).length]!
    waiting.push(sendRequest(platform, entries, domain, index, random))
    const next = platform.clock.now() + MS_PER_SECOND / options.rate
    await platform.waitUntil(() => platform.clock.now() >= next)
  }
  return await Promise.all(waiting)
}

/** What the promises forbid, as told by callers and workers. */
function listBroken (platform: LocalPlatform, answered: readonly Answered[]): string[] {
  const runsById = new Map<string, number>()
  for (const { runs } of platform.workers.values()) {
    for (const { requestId } of runs) runsById.set(requestId, (runsById.get(requestId) ?? 0) + 1)
  }
  const broken: string[] = []
  for (const { id, kind, answer } of answered) {
    const runs = runsById.get(id) ?? 0
    if (answer.status === SUCCESS && platform.getRequestId(answer) !== id) broken.push(`${id} got the answer to ${platform.getRequestId(answer)}`)
    if (answer.status === SUCCESS && answer.body !== 'the whole answer') broken.push(`${id} got a part of its answer`)
    if (kind === 'closeouts' && runs > 1) broken.push(`${id} ran ${runs} times`)
    if (isPromisedNotRun(answer.status) && runs > 0) broken.push(`${id} was told not to have run, and ran`)
    if (answer.status === 404) broken.push(`${id} found no route`)
  }
  return broken
}

interface KindRow {
  readonly kind: string
  readonly count: number
  readonly p50: number
  readonly p99: number
  readonly refused: number
  readonly failed: number
}

const COLUMNS: ReadonlyArray<Column<KindRow>> = [
  { title: 'requests', format: ({ kind }) => kind },
  { title: 'sent', format: ({ count }) => String(count) },
  { title: 'p50 ms', format: ({ p50 }) => p50.toFixed(0) },
  { title: 'p99 ms', format: ({ p99 }) => p99.toFixed(0) },
  { title: 'refused', format: ({ refused }) => String(refused) },
  { title: 'failed', format: ({ failed }) => String(failed) }
]

function buildRow (kind: string, answered: readonly Answered[]): KindRow {
  const histogram = build()
  const own = answered.filter((one) => one.kind === kind)
  for (const { spanMs } of own) histogram.recordValue(Math.max(1, Math.round(spanMs)))
  return {
    kind,
    count: own.length,
    p50: histogram.getValueAtPercentile(50),
    p99: histogram.getValueAtPercentile(99),
    refused: own.filter(({ answer }) => isPromisedNotRun(answer.status)).length,
    failed: own.filter(({ answer }) => answer.status >= FIRST_FAILED_STATUS && !isPromisedNotRun(answer.status)).length
  }
}

/**
 * @param options the demo's options; requests count for each service and failure domain
 * @param closing owns what is started
 * @returns the promises that broke
 */
export async function runPlatformDemo (options: DemoOptions, closing: CloseStack): Promise<string[]> {
  const { platform, entries } = await startPlatform(closing)
  writeLine(`${entries.length} entry processes, ${platform.workers.size} workers and the store on loopback`)
  const answered = await sendAll(options, platform, entries)
  for (const line of formatTable(COLUMNS, ['lookups', 'closeouts'].map((kind) => buildRow(kind, answered)))) writeLine(line)
  return listBroken(platform, answered)
}
