/** How many look-ups one daemon answers on one core, over HTTP keep-alive, and the decision alone. */
import { CloseStack } from '@umberspar/base/common/closing'
import type { DaemonSettings } from '@umberspar/adapters/node/settings/daemonSettings'
import { SeededRandom } from '@umberspar/base/common/random'
import { SystemClock } from '@umberspar/base/node/systemClock'
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import { ClientBlockTable } from '@umberspar/steering/common/lookup/clientBlocks'
import { LookupIndex, NodeState } from '@umberspar/steering/common/lookup/decideLookup'
import { listClientAddresses } from '../load/clientAddresses.js'
import { printLine } from '../terminal.js'
import { ChildDaemon } from './childDaemon.js'
import { ChildPlatform } from './childPlatform.js'
import { ChildProgram } from './childProgram.js'
import { LookupLoadKind } from './lookupLoad.js'
import type { LookupLoadOrder, LookupLoadResult } from './lookupLoad.js'
import type { FigureRow, Measurement, MeasureOptions } from './measurement.js'
import { printFigures } from './measurement.js'

const NAME = 'lookup'
const LOAD_PROGRAM = new URL('./lookupLoad.js', import.meta.url)
const LOAD_PROCESSES = 6
const CONNECTIONS_PER_PROCESS = 8
const WARM_UP_SECONDS = 2
/** The part of the capacity at which latency is measured. */
const LATENCY_AT = 0.5
const ADDRESSES = 4096
const DECISION_BATCH = 100_000
const MS_PER_SECOND = 1000

/** One round of load by all processes. */
interface RoundResult {
  readonly perSecond: number
  readonly cpuCores: number
  readonly failures: number
  readonly skipped: number
  readonly p50Ms: number
  readonly p99Ms: number
}

class LookupBench {
  constructor (
    private readonly configuration: SteeringConfiguration,
    private readonly daemon: ChildDaemon,
    private readonly loads: readonly ChildProgram[],
    private readonly seed: number
  ) {}

  async runRound (kind: LookupLoadKind, ratePerSecond: number, spanSeconds: number): Promise<RoundResult> {
    const cpuBefore = await this.daemon.program.readCpuSeconds()
    const results = await Promise.all(this.loads.map((load, index) => {
      const answer = load.waitForMessage<LookupLoadResult>()
      load.send(this.buildOrder(kind, ratePerSecond / this.loads.length, spanSeconds, index))
      return answer
    }))
    const cpuSeconds = await this.daemon.program.readCpuSeconds() - cpuBefore
    const elapsedSeconds = Math.max(...results.map((result) => result.elapsedSeconds))
    return {
      perSecond: results.reduce((sum, { count, elapsedSeconds: span }) => sum + count / span, 0),
      cpuCores: cpuSeconds / elapsedSeconds,
      failures: results.reduce((sum, { failures }) => sum + failures, 0),
      skipped: results.reduce((sum, { skipped }) => sum + skipped, 0),
      // Of several processes the worst: percentiles do not add up.
      p50Ms: Math.max(...results.map(({ p50Ms }) => p50Ms)),
      p99Ms: Math.max(...results.map(({ p99Ms }) => p99Ms))
    }
  }

  private buildOrder (kind: LookupLoadKind, ratePerSecond: number, spanSeconds: number, index: number): LookupLoadOrder {
    const regions = Object.values(this.configuration.regions)
    const block = regions[index % regions.length]?.clientBlocks[0] ?? '127.10.0.0/16'
    return {
      kind,
      entry: this.daemon.settings.callers.address,
      services: Object.keys(this.configuration.services),
      clientAddress: listClientAddresses(block, 1)[0] ?? '',
      connections: CONNECTIONS_PER_PROCESS,
      ratePerSecond,
      spanSeconds,
      seed: this.seed + index
    }
  }
}

/** Look-ups of the pure decision in this process: client block to region, region and service to answer. */
function measureDecision (configuration: SteeringConfiguration, settings: readonly DaemonSettings[], options: MeasureOptions): number {
  const regions = Object.entries(configuration.regions)
  const blocks = regions.flatMap(([group, { clientBlocks }]) => clientBlocks.map((prefix) => ({ prefix, group })))
  const table = ClientBlockTable.build(blocks)
  const nodes = settings.map(({ nodeId, region, failureDomain, callers }) =>
    ({ nodeId, region, failureDomain, address: callers.address, state: NodeState.Live }))
  const index = LookupIndex.build(configuration, 1, nodes)
  const services = Object.keys(configuration.services)
  const random = new SeededRandom(options.seed)
  const addresses = Array.from({ length: ADDRESSES }, () => `127.1${Math.floor(random.next() * 3)}.${Math.floor(random.next() * 256)}.${Math.floor(random.next() * 256)}`)
  const clock = new SystemClock()
  const startedAt = clock.now()
  let count = 0
  let found = 0
  while (clock.now() < startedAt + options.seconds * MS_PER_SECOND) {
    for (let step = 0; step < DECISION_BATCH; step += 1) {
      const region = table.find(addresses[step % ADDRESSES] as string) ?? ''
      const answer = index.find(services[step % services.length] as string, region)
      if (answer !== undefined && answer.entries.length > 0) found += 1
    }
    count += DECISION_BATCH
  }
  if (found !== count) throw new Error(`${count - found} of ${count} decisions named no entry`)
  return count / (clock.now() - startedAt) * MS_PER_SECOND
}

function buildRow (part: string, { perSecond, cpuCores, p50Ms, p99Ms }: RoundResult): FigureRow {
  return { part, perSecond: Math.round(perSecond), daemonCores: cpuCores, perCoreSecond: Math.round(perSecond / cpuCores), p50Ms, p99Ms }
}

async function runLookup (options: MeasureOptions): Promise<string | undefined> {
  const closing = new CloseStack()
  try {
    const platform = closing.add(await ChildPlatform.spawn({ deployment: options.deployment, entries: 1, seed: options.seed }))
    const [settings] = platform.settings
    if (settings === undefined) return 'the deployment has no entry VM'
    const daemon = closing.add(await ChildDaemon.spawn(settings))
    await daemon.waitUntilReady(new SystemClock())
    const loads = Array.from({ length: LOAD_PROCESSES }, () => closing.add(ChildProgram.spawn(LOAD_PROGRAM)))
    const bench = new LookupBench(platform.configuration, daemon, loads, options.seed)
    await bench.runRound(LookupLoadKind.Saturate, 0, WARM_UP_SECONDS)
    const full = await bench.runRound(LookupLoadKind.Saturate, 0, options.seconds)
    const half = await bench.runRound(LookupLoadKind.OpenLoop, full.perSecond * LATENCY_AT, options.seconds)
    const decisions = measureDecision(platform.configuration, platform.settings, options)
    printFigures(NAME, [buildRow('HTTP, saturated', full), buildRow('HTTP, open loop at half', half)])
    printFigures(NAME, [{ part: 'decision alone', perSecond: Math.round(decisions) }])
    printLine(`${LOAD_PROCESSES} load processes, ${CONNECTIONS_PER_PROCESS} keep-alive connections each, ${options.seconds} s a part`)
    const failures = full.failures + half.failures
    return failures > 0 ? `${failures} look-ups failed` : undefined
  } finally {
    await closing.close()
  }
}

/** `npm run measure -- lookup` */
export const LOOKUP_MEASUREMENT: Measurement = {
  summary: 'look-ups a second of one daemon on one core, and the decision alone',
  run: runLookup
}
