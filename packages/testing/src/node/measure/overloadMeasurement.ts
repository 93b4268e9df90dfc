/** Goodput and refusals under 0.5 to 3 times the capacity, with admission and with unbounded waiting. */
import { Agent } from 'undici'
import { CloseStack } from '@umberspar/base/common/closing'
import type { IClosable } from '@umberspar/base/common/closing'
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline } from '@umberspar/base/common/deadline'
import { SeededRandom } from '@umberspar/base/common/random'
import { SystemClock } from '@umberspar/base/node/systemClock'
import type { AdmissionPolicy } from '@umberspar/daemon/node/places/admissionQueue'
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import { computePlaceCapacity } from '@umberspar/steering/common/plan/placeCapacity'
import { AnswerKind } from '../../common/history/historyEvent.js'
import { classifyFailure, readAnswer, REQUEST_ID_HEADER } from '../load/answerReader.js'
import type { AttemptResult } from '../load/answerReader.js'
import { listClientAddresses } from '../load/clientAddresses.js'
import { LatencyRecorder } from '../load/latencyRecorder.js'
import { ArrivalPacing, runOpenLoop } from '../load/loadRunner.js'
import { printLine } from '../terminal.js'
import { AdmissionDaemon } from './admissionDaemon.js'
import { ChildPlatform } from './childPlatform.js'
import type { FigureRow, Measurement, MeasureOptions } from './measurement.js'
import { printFigures } from './measurement.js'

const NAME = 'overload'
const LOADS = [0.5, 1, 1.5, 2, 3]
const ENTRIES = 2
/** Long enough that three times the capacity is no burden for the processors. */
const MEAN_SPAN_MS = 80
const ANSWER_WITHIN_MS = 1000
const WARM_UP_SECONDS = 2
const MAX_OPEN = 5000
const MS_PER_SECOND = 1000
const OK_STATUS = 200
const PAUSE_MS = 1500
/** Travels as JSON, which has no infinity. */
const UNBOUNDED = 1_000_000_000
/** Goodput is counted from here to the end of the arrivals, when the queues are as full as they get. */
const SETTLE_SECONDS = 1

/** Whether requests that can't start in time are refused on arrival. */
enum Admission {
  Bounded = 'admission',
  Unbounded = 'unbounded waiting'
}

const POLICY_BY_ADMISSION: Readonly<Record<Admission, AdmissionPolicy | undefined>> = {
  [Admission.Bounded]: undefined,
  [Admission.Unbounded]: { maxWaitMs: UNBOUNDED, maxEstimateRatio: UNBOUNDED, maxQueue: UNBOUNDED }
}

/** What one load gave. */
interface LoadOutcome {
  readonly good: number
  /** Good ones that ended while the load was steady. */
  readonly counted: number
  readonly refused: number
  readonly late: number
  readonly served: LatencyRecorder
  readonly refusals: LatencyRecorder
}

/** Sends to the daemons in turn. */
class OverloadBench implements IClosable {
  private readonly clock = new SystemClock()
  private readonly random: SeededRandom
  private readonly agent: Agent
  private sent = 0

  constructor (
    private readonly entries: readonly string[],
    private readonly service: string,
    localAddress: string | undefined,
    private readonly seed: number
  ) {
    this.random = new SeededRandom(seed)
    this.agent = new Agent({ connections: MAX_OPEN, pipelining: 1, ...(localAddress === undefined ? {} : { localAddress }) })
  }

  async run (ratePerSecond: number, spanSeconds: number): Promise<LoadOutcome> {
    const outcome = { good: 0, counted: 0, refused: 0, late: 0, served: new LatencyRecorder(), refusals: new LatencyRecorder() }
    const startUntil = createDeadline(this.clock.now(), spanSeconds * MS_PER_SECOND)
    const countFrom = createDeadline(this.clock.now(), SETTLE_SECONDS * MS_PER_SECOND)
    const bounds = { ratePerSecond, maxOperations: Infinity, startUntil, maxOpen: MAX_OPEN, pacing: ArrivalPacing.Timer }
    await runOpenLoop({ clock: this.clock, random: this.random, ...bounds }, async (intendedStart) => {
      const isGood = await this.sendOne(intendedStart, outcome)
      const now = this.clock.now()
      if (isGood && now >= countFrom && now < startUntil) outcome.counted++
    })
    return outcome
  }

  close (): Promise<void> {
    return this.agent.close()
  }

  private async sendOne (intendedStart: Instant, outcome: { -readonly [Field in keyof LoadOutcome]: LoadOutcome[Field] }): Promise<boolean> {
    this.sent += 1
    const startedAt = this.clock.now()
    const result = await this.call(`overload-${this.seed}-${this.sent}`)
    const now = this.clock.now()
    if (result.answer === AnswerKind.NotRun) {
      outcome.refused++
      outcome.refusals.record(now - startedAt)
    } else if (result.answer === AnswerKind.Complete && result.status === OK_STATUS && now - intendedStart <= ANSWER_WITHIN_MS) {
      outcome.good++
      outcome.served.record(now - intendedStart)
      return true
    } else outcome.late++
    return false
  }

  private async call (requestId: string): Promise<AttemptResult> {
    const path = `/items/${this.sent}?size=512`
    const entry = this.entries[this.sent % this.entries.length] ?? ''
    try {
      const headers = { [REQUEST_ID_HEADER]: requestId, 'umberspar-timeout-ms': String(ANSWER_WITHIN_MS) }
      const response = await this.agent.request({ origin: `http://${entry}`, path: `/v1/services/${this.service}${path}`, method: 'GET', headers })
      return await readAnswer(response, { requestId, method: 'GET', path, body: new Uint8Array() })
    } catch (thrown) {
      return classifyFailure(thrown)
    }
  }
}

/** Requests a second that the region's workers can do. */
function computeCapacity (configuration: SteeringConfiguration, service: string, region: string): number {
  const domains = configuration.regions[region]?.failureDomains ?? []
  const places = configuration.services[service]?.places ?? {}
  const slots = domains.reduce((sum, domain) => sum + (places[domain] === undefined ? 0 : computePlaceCapacity(places[domain])), 0)
  return slots / MEAN_SPAN_MS * MS_PER_SECOND
}

function buildRow (admission: Admission, load: number, seconds: number, outcome: LoadOutcome): FigureRow {
  const { good, refused, late } = outcome
  const total = good + refused + late
  return {
    admission,
    load,
    'goodput/s': outcome.counted / (seconds - SETTLE_SECONDS),
    'refused %': 100 * refused / total,
    'late or failed %': 100 * late / total,
    'served p50Ms': outcome.served.getPercentileMs(50),
    'served p99Ms': outcome.served.getPercentileMs(99),
    'refused p50Ms': outcome.refusals.getPercentileMs(50),
    'refused p99Ms': outcome.refusals.getPercentileMs(99)
  }
}

async function runAdmission (admission: Admission, platform: ChildPlatform, options: MeasureOptions): Promise<FigureRow[]> {
  const closing = new CloseStack()
  const clock = new SystemClock()
  const policy = POLICY_BY_ADMISSION[admission]
  const daemons = platform.settings.map((settings) => closing.add(AdmissionDaemon.spawn({ settings, ...(policy === undefined ? {} : { admission: policy }) })))
  try {
    const isReady = await Promise.all(daemons.map((daemon) => daemon.waitUntilReady(clock)))
    if (isReady.includes(false)) throw new Error('a daemon is not ready')
    const service = Object.keys(platform.configuration.services).at(-1) ?? ''
    const region = platform.settings[0]?.region ?? ''
    const block = platform.configuration.regions[region]?.clientBlocks[0] ?? ''
    const entries = daemons.map((daemon) => daemon.settings.callers.address)
    const bench = closing.add(new OverloadBench(entries, service, listClientAddresses(block, 1)[0], options.seed))
    const capacity = computeCapacity(platform.configuration, service, region)
    await bench.run(capacity / 2, WARM_UP_SECONDS)
    const rows: FigureRow[] = []
    for (const load of LOADS) {
      rows.push(buildRow(admission, load, options.seconds, await bench.run(load * capacity, options.seconds)))
      await new Promise<void>((resolve) => { clock.schedule(clock.now() + PAUSE_MS, resolve) })
    }
    printLine(`${admission}: ${service} in ${region}, capacity ${capacity.toFixed(0)} requests a second, ${ENTRIES} daemons`)
    return rows
  } finally {
    await closing.close()
  }
}

/** The claims that the figures must bear out. */
function findBrokenClaim (rows: readonly FigureRow[]): string | undefined {
  const bounded = rows.filter((row) => row.admission === Admission.Bounded)
  const peak = Math.max(...bounded.map((row) => Number(row['goodput/s'])))
  const last = bounded.at(-1)
  const kept = Number(last?.['goodput/s']) / peak
  printLine(`goodput at 3 times the capacity is ${(100 * kept).toFixed(1)} % of its peak`)
  // Written so that a part that was not measured (NaN, too few seconds) fails too.
  if (!(kept >= 0.9)) return 'goodput fell below 90 % of its peak, or was not measured'
  return Number(last?.['refused p99Ms']) > 50 ? 'refusals took more than 50 ms at p99' : undefined
}

async function runOverload (options: MeasureOptions): Promise<string | undefined> {
  const closing = new CloseStack()
  try {
    const platform = closing.add(await ChildPlatform.spawn({ deployment: options.deployment, entries: ENTRIES, seed: options.seed, meanSpanMs: MEAN_SPAN_MS }))
    const rows: FigureRow[] = []
    for (const admission of Object.values(Admission)) rows.push(...await runAdmission(admission, platform, options))
    printFigures(NAME, rows)
    return findBrokenClaim(rows)
  } finally {
    await closing.close()
  }
}

/** `npm run measure -- overload` */
export const OVERLOAD_MEASUREMENT: Measurement = {
  summary: 'goodput and refusals at 0.5 to 3 times the capacity, with admission and without',
  run: runOverload
}
