/** `scale-http`: look-ups over HTTP keep-alive of one daemon, its memory, and a change's cost, against blocks and sites. */
import { randomUUID } from 'node:crypto'
import { readFile } from 'node:fs/promises'
import { CloseStack } from '@umberspar/base/common/closing'
import { LogLevel } from '@umberspar/base/common/logger'
import { SeededRandom } from '@umberspar/base/common/random'
import { SystemClock } from '@umberspar/base/node/systemClock'
import type { DaemonSettings } from '@umberspar/adapters/node/settings/daemonSettings'
import { findFreeAddresses } from '../../deployment/freeAddresses.js'
import { OperatorCalls } from '../../deployment/operatorCalls.js'
import { buildEntryVm } from '../../standIns/entrySettings.js'
import { PlatformStandIns } from '../../standIns/platformStandIns.js'
import { waitUntil } from '../../waiting.js'
import { ChildDaemon } from '../childDaemon.js'
import { ChildProgram } from '../childProgram.js'
import { LookupLoadKind } from '../lookupLoad.js'
import type { LookupLoadOrder, LookupLoadResult } from '../lookupLoad.js'
import type { FigureRow, Measurement, MeasureOptions } from '../measurement.js'
import { printFigures } from '../measurement.js'
import { printLine } from '../../terminal.js'
import { buildScaleConfiguration, formatBlockAddress, formatRegion, TARGET } from './scaleConfiguration.js'
import { ScaleReport } from './scaleReport.js'

const NAME = 'scale-http'
const BLOCKS = [100, 15_000, 75_000, TARGET.clientBlocks]
const LOAD_PROGRAM = new URL('../lookupLoad.js', import.meta.url)
const LOAD_PROCESSES = 2
const CONNECTIONS = 16
const WARM_UP_SECONDS = 2
const CHANGES = 4
const CHANGE_SPAN_SECONDS = 8
const PROBING_RATE = 200
const FORWARDED = 2000
const MS_PER_SECOND = 1000
const KB_PER_MB = 1024
const KEY_PREFIX = '/umberspar/scale/'
const ENTRY_HOST = '127.40.0.1'

const clock = new SystemClock()

async function buildSettings (): Promise<DaemonSettings> {
  const [callers = '', peers = '', operators = ''] = await findFreeAddresses(ENTRY_HOST, 3)
  return {
    nodeId: 'entry-0',
    region: formatRegion(0),
    failureDomain: `${formatRegion(0)}-0`,
    callers: { address: callers },
    peers: { address: peers },
    operators: { address: operators },
    store: { endpoints: [], keyPrefix: KEY_PREFIX },
    vmList: { url: '' },
    trustedForwarders: ['127.0.0.0/8'],
    logLevel: LogLevel.Warn
  }
}

/** Resident memory of a process in MB, from /proc. */
async function readResidentMb (pid: number): Promise<number> {
  const status = await readFile(`/proc/${pid}/status`, 'utf8')
  return Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? NaN) / KB_PER_MB
}

class HttpBench {
  constructor (
    private readonly daemon: ChildDaemon,
    private readonly loads: readonly ChildProgram[],
    private readonly order: Omit<LookupLoadOrder, 'kind' | 'ratePerSecond' | 'spanSeconds' | 'seed'>
  ) {}

  async run (kind: LookupLoadKind, ratePerSecond: number, spanSeconds: number): Promise<{ perSecond: number, perCoreSecond: number, p99Ms: number, maxMs: number, failures: number }> {
    const cpuBefore = await this.daemon.program.readCpuSeconds()
    const results = await Promise.all(this.loads.map((load, seed) => {
      const answer = load.waitForMessage<LookupLoadResult>()
      load.send({ ...this.order, kind, ratePerSecond: ratePerSecond / this.loads.length, spanSeconds, seed })
      return answer
    }))
    const cpuSeconds = await this.daemon.program.readCpuSeconds() - cpuBefore
    const count = results.reduce((sum, result) => sum + result.count, 0)
    return {
      perSecond: results.reduce((sum, result) => sum + result.count / result.elapsedSeconds, 0),
      perCoreSecond: count / cpuSeconds,
      p99Ms: Math.max(...results.map(({ p99Ms }) => p99Ms)),
      maxMs: Math.max(...results.map(({ maxMs }) => maxMs)),
      failures: results.reduce((sum, { failures }) => sum + failures, 0)
    }
  }

  /** Changes a drain and a client block by turns while few look-ups ask; the longest answer bounds the loop's longest stop. */
  async runChanges (address: string): Promise<FigureRow> {
    const operators = new OperatorCalls()
    const idleBefore = await this.daemon.program.readCpuSeconds()
    const idle = await this.run(LookupLoadKind.OpenLoop, PROBING_RATE, CHANGE_SPAN_SECONDS)
    const cpuBefore = await this.daemon.program.readCpuSeconds()
    const asked = this.run(LookupLoadKind.OpenLoop, PROBING_RATE, CHANGE_SPAN_SECONDS)
    for (let number = 0; number < CHANGES; number++) {
      const baseVersion = await operators.readVersion(address)
      const patch = { lookupCacheMs: 2000 + number }
      const answer = await operators.patch(address, { baseVersion, changeId: randomUUID(), patch, note: 'measure' })
      if (answer.version === undefined) throw new Error(`patch refused: ${answer.text}`)
      await waitUntil(clock, clock.now() + MS_PER_SECOND)
    }
    const during = await asked
    const cpuAfter = await this.daemon.program.readCpuSeconds()
    await operators.close()
    const changeSeconds = (cpuAfter - cpuBefore - (cpuBefore - idleBefore)) / CHANGES
    return { changeCpuMs: changeSeconds * MS_PER_SECOND, idleMaxMs: idle.maxMs, changeMaxMs: during.maxMs }
  }
}

async function measureSize (clientBlocks: number, options: MeasureOptions): Promise<FigureRow> {
  const closing = new CloseStack()
  try {
    const sites = Math.max(TARGET.regions, Math.round(clientBlocks * TARGET.sites / TARGET.clientBlocks))
    const configurationInput = buildScaleConfiguration({ clientBlocks, sites, workersPerSite: 0 })
    const plain = await buildSettings()
    const platform = closing.add(await PlatformStandIns.start({ configurationInput, keyPrefix: KEY_PREFIX, entryVms: [buildEntryVm(plain)], seed: options.seed }))
    const settings = { ...plain, store: { endpoints: [platform.addresses.store], keyPrefix: KEY_PREFIX }, vmList: { url: platform.addresses.vmListUrl } }
    const daemon = closing.add(await ChildDaemon.spawn(settings))
    await daemon.waitUntilReady(clock)
    const residentMb = await readResidentMb(daemon.program.pid)
    const loads = Array.from({ length: LOAD_PROCESSES }, () => closing.add(ChildProgram.spawn(LOAD_PROGRAM)))
    const random = new SeededRandom(options.seed)
    const forwardedFor = Array.from({ length: FORWARDED }, () => formatBlockAddress(Math.floor(random.next() * clientBlocks)))
    const order = { entry: settings.callers.address, services: Object.keys(configurationInput.services), clientAddress: '127.0.0.1', forwardedFor, connections: CONNECTIONS }
    const bench = new HttpBench(daemon, loads, order)
    await bench.run(LookupLoadKind.Saturate, 0, WARM_UP_SECONDS)
    const full = await bench.run(LookupLoadKind.Saturate, 0, options.seconds)
    const changes = await bench.runChanges(settings.operators.address)
    const residentAfterMb = await readResidentMb(daemon.program.pid)
    return { blocks: clientBlocks, sites, ...full, residentMb, residentAfterMb, ...changes }
  } finally {
    await closing.close()
  }
}

/** What a Node.js process that does nothing holds. */
async function measureBareProcess (): Promise<FigureRow> {
  const bare = ChildProgram.spawn(new URL('./bareProcess.js', import.meta.url))
  try {
    const figures = await bare.waitForMessage<FigureRow>()
    return { ...figures, residentMb: await readResidentMb(bare.pid) }
  } finally {
    await bare.close()
  }
}

const SERIES: ReadonlyArray<{ readonly field: string, readonly quantity: string }> = [
  { field: 'perCoreSecond', quantity: 'look-ups per second of processor time' },
  { field: 'residentMb', quantity: 'MB resident when ready' },
  { field: 'residentAfterMb', quantity: 'MB resident after load and changes' },
  { field: 'changeCpuMs', quantity: 'ms of processor time a change, at the node that takes it' },
  { field: 'changeMaxMs', quantity: 'ms, longest answer during changes' }
]

async function runHttpScale (options: MeasureOptions): Promise<string | undefined> {
  printFigures(`${NAME} bare process`, [await measureBareProcess()])
  const rows: FigureRow[] = []
  for (const blocks of BLOCKS) {
    printLine(`${blocks} client blocks`)
    rows.push(await measureSize(blocks, options))
  }
  printFigures(`${NAME} sizes`, rows)
  const report = new ScaleReport(NAME)
  for (const { field, quantity } of SERIES) {
    report.add({ name: field, size: 'client blocks (sites in proportion)', quantity, points: rows.map((row) => ({ x: Number(row['blocks']), y: Number(row[field]) })) })
  }
  await report.write()
  const failed = rows.find(({ failures }) => Number(failures) > 0)
  return failed === undefined ? undefined : `${failed['failures']} look-ups failed at ${failed['blocks']} client blocks`
}

/** `npm run measure -- scale-http` */
export const HTTP_SCALE_MEASUREMENT: Measurement = {
  summary: 'look-ups over HTTP of one daemon, its memory and the cost of a change, against client blocks and sites',
  run: runHttpScale
}
