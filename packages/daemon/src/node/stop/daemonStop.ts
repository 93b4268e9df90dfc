/**
 * The graceful stop of a daemon: out of look-ups first, then it serves until the
 * last cached look-up has run out and the last open request has ended.
 */
import type { IClock, Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline } from '@umberspar/base/common/deadline'
import { type ILogger, LogLevel } from '@umberspar/base/common/logger'
import type { LookupLifetime } from './lookupLifetime.js'
import { StopSequence, type StopStep, StopStepEnd, waitUntilDone } from './stopSequence.js'

/** The names of the steps, as logged. */
export enum StopStepName {
  /** Peers learn that this node leaves and name it in no look-up from then on. */
  Announce = 'announce-leaving',
  /** Cached look-ups still name this node; it serves until they have run out. */
  ServeCachedLookups = 'serve-cached-look-ups',
  StopListening = 'stop-listening',
  FinishOpenRequests = 'finish-open-requests',
  CloseConnections = 'close-connections'
}

/**
 * After this silence peers leave a node out of look-ups unasked, so that one out
 * of reach need not be waited for longer.
 */
const ANNOUNCE_SPAN_MS = 5_000
const ANNOUNCE_POLL_SPAN_MS = 200
/**
 * For requests that left a caller just before its look-up ran out, and for a
 * peer's heartbeat that crossed the announcement: answered before it and read after
 * it, it makes that peer name this node again until its next heartbeat, 0.6 s later.
 */
const LOOKUP_GRACE_SPAN_MS = 1_000
const FINISH_SPAN_MS = 600_000
const FINISH_POLL_SPAN_MS = 20
/** Answers that have been written whole still have to leave the socket. */
const CLOSE_SPAN_MS = 2_000

/** What the stop does to the daemon. */
export interface StopTarget {
  /** Makes `Leaving` the own state; look-ups answered here follow at once. */
  startLeaving(): void
  /** Speaks to all peers. @returns whether all that live have heard */
  publishState(): Promise<boolean>
  /** @returns how long word of a state takes to reach all nodes of a large fleet, in milliseconds */
  getSpreadSpanMs(): number
  /** Takes no new connections and closes idle ones. */
  stopListening(): void
  /** @returns open requests of callers */
  countOpenRequests(): number
  /** @returns callers' connections that are open */
  countConnections(): Promise<number>
}

/** How a stop ended. */
export interface StopReport {
  /** Requests that were open when the daemon closed: 0 unless forced. */
  readonly cutRequests: number
}

/** Leaves, and stops, in order. */
export class DaemonStop {
  private readonly sequence: StopSequence
  /** Run once peers know, before waiting: what this node holds is handed on here. */
  private readonly handOver: StopStep[] = []
  private announcedAt: Instant | undefined

  constructor (
    private readonly target: StopTarget,
    private readonly lifetime: LookupLifetime,
    private readonly clock: IClock,
    private readonly logger: ILogger
  ) {
    this.sequence = new StopSequence(clock, logger)
  }

  /**
   * Adds a step that hands on what this node holds (its parts of limits). It runs
   * after peers know that this node leaves, before the wait for cached look-ups.
   * @param step what to do; it may run again
   */
  addHandOver (step: StopStep): void {
    this.handOver.push(step)
  }

  /** Leaves look-ups and hands over, and goes on serving: the platform says that this VM will go. */
  async leave (): Promise<void> {
    await new StopSequence(this.clock, this.logger).run(this.listLeaveSteps())
  }

  /** @returns settled when nothing is open any more, or when forced */
  async run (): Promise<StopReport> {
    this.logger.log(LogLevel.Info, { step: 'stop', inFlight: this.target.countOpenRequests() }, 'leaving')
    const results = await this.sequence.run([...this.listLeaveSteps(), ...this.listStopSteps()])
    const cutRequests = this.target.countOpenRequests()
    const isOrderly = results.every(({ end }) => end === StopStepEnd.Done)
    this.logger.log(isOrderly ? LogLevel.Info : LogLevel.Warn, { step: 'stop', cutRequests }, 'closing')
    return { cutRequests }
  }

  /** Ends the waiting: what is still open will be cut. */
  stopWaiting (): void {
    this.logger.log(LogLevel.Warn, { step: 'stop', inFlight: this.target.countOpenRequests() }, 'told to stop at once')
    this.sequence.stopWaiting()
  }

  private listLeaveSteps (): StopStep[] {
    const announce = this.createStep(StopStepName.Announce, () => this.createDeadline(Math.max(ANNOUNCE_SPAN_MS, this.target.getSpreadSpanMs())), async (context) => {
      this.target.startLeaving()
      await waitUntilDone(this.clock, context, ANNOUNCE_POLL_SPAN_MS, () => this.target.publishState())
    })
    return [announce, ...this.handOver]
  }

  private listStopSteps (): StopStep[] {
    const { target, clock } = this
    return [
      this.createStep(StopStepName.ServeCachedLookups, () => createDeadline(this.getLookupsEnd(), LOOKUP_GRACE_SPAN_MS + CLOSE_SPAN_MS), async (context) => {
        const end = createDeadline(this.getLookupsEnd(), LOOKUP_GRACE_SPAN_MS)
        await waitUntilDone(clock, context, FINISH_POLL_SPAN_MS, () => clock.now() >= end)
      }),
      this.createStep(StopStepName.StopListening, () => this.createDeadline(CLOSE_SPAN_MS), async () => target.stopListening()),
      this.createStep(StopStepName.FinishOpenRequests, () => this.createDeadline(FINISH_SPAN_MS), (context) =>
        waitUntilDone(clock, context, FINISH_POLL_SPAN_MS, () => target.countOpenRequests() === 0)),
      this.createStep(StopStepName.CloseConnections, () => this.createDeadline(CLOSE_SPAN_MS), (context) =>
        waitUntilDone(clock, context, FINISH_POLL_SPAN_MS, async () => {
          target.stopListening()
          return await target.countConnections() === 0
        }))
    ]
  }

  private getLookupsEnd (): Deadline {
    // Fixed when first asked, else every question would move the end away.
    this.announcedAt ??= this.clock.now()
    return this.lifetime.getEnd(this.announcedAt)
  }

  private createStep (name: StopStepName, getDeadline: () => Deadline, run: StopStep['run']): StopStep {
    return { name, getDeadline, run }
  }

  private createDeadline (spanMs: number): Deadline {
    return createDeadline(this.clock.now(), spanMs)
  }
}
