/** What a daemon adds to a request's latency, against direct calls to the same workers in the same run. */
import { Agent } from 'undici'
import { CloseStack } from '@umberspar/base/common/closing'
import type { IClosable } from '@umberspar/base/common/closing'
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline } from '@umberspar/base/common/deadline'
import { SeededRandom } from '@umberspar/base/common/random'
import { SystemClock } from '@umberspar/base/node/systemClock'
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import { AnswerKind } from '../../common/history/historyEvent.js'
import { chooseWeighted } from '../../common/load/arrivals.js'
import { classifyFailure, readAnswer, REQUEST_ID_HEADER } from '../load/answerReader.js'
import type { AttemptResult } from '../load/answerReader.js'
import { listClientAddresses } from '../load/clientAddresses.js'
import { LatencyRecorder } from '../load/latencyRecorder.js'
import { ArrivalPacing, runOpenLoop } from '../load/loadRunner.js'
import { printLine } from '../terminal.js'
import { ChildDaemon } from './childDaemon.js'
import { ChildPlatform } from './childPlatform.js'
import type { FigureRow, Measurement, MeasureOptions } from './measurement.js'
import { printFigures } from './measurement.js'

const NAME = 'request'
const ITEM_BYTES = 4096
const WARM_UP_SECONDS = 2
const MAX_OPEN = 1000
const MAX_CONNECTIONS = 64
const ANSWER_WITHIN_MS = 10_000
const MS_PER_SECOND = 1000

/** The two ways from the caller to a worker. */
enum Path {
  Direct = 'direct',
  Daemon = 'through the daemon'
}

const PATHS = Object.values(Path)

/** Sends each request by a path drawn at random, so that both see the same workers at the same moments. */
class RequestBench implements IClosable {
  private readonly clock = new SystemClock()
  private readonly random: SeededRandom
  private readonly agent: Agent
  private readonly workers: readonly string[]
  private readonly entry: string
  private sent = 0
  latencies = createLatencies()
  /** Requests that did not end whole, by what was said of them. */
  readonly failures = new Map<string, number>()

  constructor (
    configuration: SteeringConfiguration,
    private readonly daemon: ChildDaemon,
    private readonly service: string,
    private readonly options: MeasureOptions
  ) {
    const { region, callers } = daemon.settings
    const block = configuration.regions[region]?.clientBlocks[0] ?? '127.10.0.0/16'
    this.agent = new Agent({ connections: MAX_CONNECTIONS, pipelining: 1, localAddress: listClientAddresses(block, 1)[0] })
    this.random = new SeededRandom(options.seed)
    this.entry = callers.address
    this.workers = listWorkersOfRegion(configuration, service, region)
  }

  async run (spanSeconds: number): Promise<number> {
    this.latencies = createLatencies()
    const { clock, random } = this
    const startUntil = createDeadline(clock.now(), spanSeconds * MS_PER_SECOND)
    const bounds = { ratePerSecond: this.options.rate, maxOperations: Infinity, startUntil, maxOpen: MAX_OPEN }
    const { skipped } = await runOpenLoop({ clock, random, ...bounds, pacing: ArrivalPacing.Spin }, (intendedStart) => this.sendOne(intendedStart))
    return skipped
  }

  close (): Promise<void> {
    return this.agent.close()
  }

  private async sendOne (intendedStart: Instant): Promise<void> {
    const path = chooseWeighted(this.random, PATHS, () => 1)
    this.sent += 1
    const result = await this.call(path, `measure-${this.options.seed}-${this.sent}`)
    this.latencies[path].record(this.clock.now() - intendedStart)
    if (result.answer === AnswerKind.Complete && result.status === 200) return
    const detail = `${path}: ${result.answer} ${result.detail}`
    this.failures.set(detail, (this.failures.get(detail) ?? 0) + 1)
  }

  private async call (way: Path, requestId: string): Promise<AttemptResult> {
    const path = `/items/${this.sent}?size=${ITEM_BYTES}`
    const target = this.chooseTarget(way)
    try {
      const response = await this.agent.request({
        origin: `http://${target.address}`,
        path: `${target.prefix}${path}`,
        method: 'GET',
        headers: { [REQUEST_ID_HEADER]: requestId, 'umberspar-timeout-ms': String(ANSWER_WITHIN_MS), 'umberspar-entry': this.daemon.settings.nodeId }
      })
      return await readAnswer(response, { requestId, method: 'GET', path, body: new Uint8Array() })
    } catch (thrown) {
      return classifyFailure(thrown)
    }
  }

  private chooseTarget (way: Path): { readonly address: string, readonly prefix: string } {
    if (way === Path.Daemon) return { address: this.entry, prefix: `/v1/services/${this.service}` }
    return { address: chooseWeighted(this.random, this.workers, () => 1), prefix: '' }
  }
}

function createLatencies (): Record<Path, LatencyRecorder> {
  return { [Path.Direct]: new LatencyRecorder(), [Path.Daemon]: new LatencyRecorder() }
}

function listWorkersOfRegion (configuration: SteeringConfiguration, service: string, region: string): string[] {
  const domains = configuration.regions[region]?.failureDomains ?? []
  const places = configuration.services[service]?.places ?? {}
  return domains.flatMap((domain) => Object.values(places[domain]?.workers ?? {}).map(({ address }) => address))
}

function buildRows ({ latencies }: RequestBench): FigureRow[] {
  const direct = latencies[Path.Direct].getSummary()
  const through = latencies[Path.Daemon].getSummary()
  return [
    { path: Path.Direct, count: direct.count, p50Ms: direct.p50Ms, p99Ms: direct.p99Ms },
    { path: Path.Daemon, count: through.count, p50Ms: through.p50Ms, p99Ms: through.p99Ms },
    { path: 'ratio', count: through.count / direct.count, p50Ms: through.p50Ms / direct.p50Ms, p99Ms: through.p99Ms / direct.p99Ms },
    { path: 'added ms', count: '', p50Ms: through.p50Ms - direct.p50Ms, p99Ms: through.p99Ms - direct.p99Ms }
  ]
}

async function runRequest (options: MeasureOptions): Promise<string | undefined> {
  const closing = new CloseStack()
  try {
    const platform = closing.add(await ChildPlatform.spawn({ deployment: options.deployment, entries: 1, seed: options.seed }))
    const [settings] = platform.settings
    const [service] = Object.keys(platform.configuration.services)
    if (settings === undefined || service === undefined) return 'the deployment has no entry VM or no service'
    const daemon = closing.add(await ChildDaemon.spawn(settings))
    await daemon.waitUntilReady(new SystemClock())
    const bench = closing.add(new RequestBench(platform.configuration, daemon, service, options))
    await bench.run(WARM_UP_SECONDS)
    bench.failures.clear()
    const skipped = await bench.run(options.seconds)
    printFigures(NAME, buildRows(bench))
    printLine(`${service}, ${options.rate} requests a second of ${ITEM_BYTES} bytes, each by a path drawn at random, ${options.seconds} s, seed ${options.seed}`)
    if (skipped > 0) return `${skipped} arrivals were skipped`
    const [failure] = bench.failures
    return failure === undefined ? undefined : `${failure[1]} x ${failure[0]}`
  } finally {
    await closing.close()
  }
}

/** `npm run measure -- request` */
export const REQUEST_MEASUREMENT: Measurement = {
  summary: 'latency through a daemon against direct calls to the same workers, interleaved',
  run: runRequest
}
