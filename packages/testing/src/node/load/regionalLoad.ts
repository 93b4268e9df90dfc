/** The load of a whole deployment: one stream of arrivals and one set of callers for each region. */
import type { IClosable } from '@umberspar/base/common/closing'
import type { IClock, Instant } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import { SeededRandom } from '@umberspar/base/common/random'
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import type { IHistorySink } from '../../common/history/historyEvent.js'
import type { ServiceMix } from '../../common/load/mixes.js'
import { OperationSource } from '../../common/load/operation.js'
import { Caller } from './caller.js'
import type { OperationResult } from './caller.js'
import { CallerAddressing } from './clientAddresses.js'
import { LoadReport } from './loadReport.js'
import { ArrivalPacing, runOpenLoop } from './loadRunner.js'
import type { LoadTotals } from './loadRunner.js'

/** What is sent, and how fast. */
export interface RegionalLoadOptions {
  readonly clock: IClock
  readonly seed: number
  readonly configuration: SteeringConfiguration
  readonly mixes: readonly ServiceMix[]
  /** `host:port` of callers' listeners that callers know beforehand. */
  readonly bootstrapAddresses: readonly string[]
  /** Of all regions together. */
  readonly ratePerSecond: number
  /** Operations of each service from each region; without it services come by weight until `startUntil`. */
  readonly quota?: number
  readonly startUntil: Deadline
  readonly history?: IHistorySink
  /** The time a caller gives an operation, in milliseconds; 10 s if left out. */
  readonly answerWithinMs?: number
  readonly addressing?: CallerAddressing
  /** Ends the load before `startUntil` once it says so. */
  readonly isStopped?: () => boolean
  /** Called when an operation has ended, beside the report. */
  readonly onDidEnd?: (service: string, result: OperationResult, intendedStart: Instant) => void
}

const CLIENTS_PER_REGION = 4
const MAX_CONNECTIONS = 64
const MAX_OPEN_PER_REGION = 2000
const ANSWER_WITHIN_MS = 10_000
const MAX_ATTEMPTS = 4
/** Apart from each other, so that regions do not repeat one stream of numbers. */
const REGION_SEED_STEP = 7919

/** One region's callers with what they send. */
interface RegionStream {
  readonly caller: Caller
  readonly operations: OperationSource
  readonly random: SeededRandom
}

/** Runs the callers of all regions at the same time. */
export class RegionalLoad implements IClosable {
  /** What has come of the operations so far. */
  readonly report = new LoadReport()
  private readonly streams: readonly RegionStream[]
  private ended = 0

  constructor (private readonly options: RegionalLoadOptions) {
    this.streams = Object.keys(options.configuration.regions).map((region, index) => this.createStream(region, index))
  }

  /** @returns operations that have ended */
  countEnded (): number {
    return this.ended
  }

  /** @returns operations that this load will start, if it has a quota */
  countPlanned (): number {
    return this.streams.length * this.countPlannedPerRegion()
  }

  /**
   * Sends everything.
   * @returns when the last operation has ended, the sum of all streams
   */
  async run (): Promise<LoadTotals> {
    const totals = await Promise.all(this.streams.map((stream) => this.runStream(stream)))
    return {
      started: totals.reduce((sum, { started }) => sum + started, 0),
      skipped: totals.reduce((sum, { skipped }) => sum + skipped, 0)
    }
  }

  async close (): Promise<void> {
    await Promise.all(this.streams.map(({ caller }) => caller.close()))
  }

  private countPlannedPerRegion (): number {
    return (this.options.quota ?? Infinity) * this.options.mixes.length
  }

  private createStream (region: string, index: number): RegionStream {
    const { clock, configuration, mixes, bootstrapAddresses, history, quota, addressing, answerWithinMs } = this.options
    const seed = this.options.seed + (index + 1) * REGION_SEED_STEP
    const settings = configuration.regions[region]
    const maxBodyBytes = Math.max(0, ...mixes.flatMap(({ templates }) => templates.map((template) => template.maxBodyBytes)))
    const caller = new Caller({
      clock,
      random: new SeededRandom(seed),
      clientBlock: settings?.clientBlocks[0] ?? '127.0.0.0/8',
      addressing: addressing ?? CallerAddressing.SourceAddress,
      clients: CLIENTS_PER_REGION,
      maxConnections: MAX_CONNECTIONS,
      oneWayMs: settings?.clientDelayMs ?? 0,
      bootstrapAddresses,
      maxBodyBytes,
      answerWithinMs: answerWithinMs ?? ANSWER_WITHIN_MS,
      maxAttempts: MAX_ATTEMPTS,
      history
    })
    const operations = new OperationSource(new SeededRandom(seed + 1), mixes, `${region}-${this.options.seed}`, quota)
    return { caller, operations, random: new SeededRandom(seed + 2) }
  }

  private runStream ({ caller, operations, random }: RegionStream): Promise<LoadTotals> {
    const { clock, ratePerSecond, startUntil } = this.options
    const options = {
      clock,
      random,
      ratePerSecond: ratePerSecond / this.streams.length,
      maxOperations: this.countPlannedPerRegion(),
      startUntil,
      maxOpen: MAX_OPEN_PER_REGION,
      pacing: ArrivalPacing.Timer,
      isStopped: this.options.isStopped
    }
    return runOpenLoop(options, async (intendedStart) => {
      const operation = operations.takeNext()
      const result = await caller.run(operation, intendedStart)
      this.options.onDidEnd?.(operation.service, result, intendedStart)
      this.report.record(operation.service, result, result.endedAt - intendedStart)
      this.ended += 1
    })
  }
}
