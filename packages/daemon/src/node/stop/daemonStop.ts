/**
 * Graceful shutdown of a daemon: it is removed from look-ups first, then serves until
 * the last cached look-up has expired and the last open request has ended.
 */
import type { IClock, Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline } from '@umberspar/base/common/deadline'
import { type ILogger, LogLevel } from '@umberspar/base/common/logger'
import type { LookupLifetime } from './lookupLifetime.js'
import { StopSequence, type StopStep, StopStepEnd, waitUntilDone } from './stopSequence.js'

/** Names of the steps, as they are logged. */
export enum StopStepName {
  /** Tells peers that this node is leaving, so that they exclude it from look-ups. */
  Announce = 'announce-leaving',
  /** Keeps serving until cached look-ups that name this node have expired. */
  ServeCachedLookups = 'serve-cached-look-ups',
  StopListening = 'stop-listening',
  FinishOpenRequests = 'finish-open-requests',
  CloseConnections = 'close-connections'
}

/**
 * Peers exclude a node from look-ups after this long without a heartbeat, so an
 * unreachable peer needn't be waited for any longer.
 */
const ANNOUNCE_TIMEOUT_MS = 5_000
const ANNOUNCE_POLL_INTERVAL_MS = 200
/**
 * Covers requests sent just before the caller's look-up expired, and heartbeats that
 * cross the announcement: a response sent before the announcement and read after it
 * makes the peer name this node again until its next heartbeat, 0.6 s later.
 */
const LOOKUP_GRACE_MS = 1_000
const FINISH_TIMEOUT_MS = 600_000
const POLL_INTERVAL_MS = 20
/** Completely written responses must still be flushed from the socket. */
const CLOSE_TIMEOUT_MS = 2_000

/** The daemon's operations that a shutdown uses. */
export interface StopTarget {
  /** Sets this node's state to `Leaving`, which excludes it from look-ups answered here. */
  startLeaving(): void
  /** Sends this node's state to all peers. @returns whether all live peers have received it */
  publishState(): Promise<boolean>
  /** @returns how long a state takes to propagate to all nodes of a large fleet, in milliseconds */
  getPropagationTimeMs(): number
  /** Stops accepting connections and closes idle ones. */
  stopListening(): void
  /** @returns the number of callers' open requests */
  countOpenRequests(): number
  /** @returns the number of callers' open connections */
  countConnections(): Promise<number>
}

/** The result of a shutdown. */
export interface StopReport {
  /** Number of requests that were open when the daemon closed: 0 unless the shutdown was forced or timed out. */
  readonly cutRequests: number
}

/** Shuts the daemon down step by step. */
export class DaemonStop {
  private readonly sequence: StopSequence
  /** Steps that hand over what this node holds. They run after peers were told, before waiting. */
  private readonly handOverSteps: StopStep[] = []
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
   * Adds a step that hands over what this node holds (its shares of limits). It runs
   * after peers were told that this node is leaving, before the wait for cached look-ups.
   * @param step the step; it may run more than once
   */
  addHandOver (step: StopStep): void {
    this.handOverSteps.push(step)
  }

  /** Leaves look-ups and hands over, but keeps serving, because the platform announced that this VM will be removed. */
  async leave (): Promise<void> {
    await new StopSequence(this.clock, this.logger).run(this.listLeaveSteps())
  }

  /** @returns the result, once nothing is open any more, the time limit has passed or the shutdown was forced */
  async run (): Promise<StopReport> {
    this.logger.log(LogLevel.Info, { step: 'stop', inFlight: this.target.countOpenRequests() }, 'leaving')
    const results = await this.sequence.run([...this.listLeaveSteps(), ...this.listStopSteps()])
    const cutRequests = this.target.countOpenRequests()
    const isOrderly = results.every(({ end }) => end === StopStepEnd.Done)
    this.logger.log(isOrderly ? LogLevel.Info : LogLevel.Warn, { step: 'stop', cutRequests }, 'closing')
    return { cutRequests }
  }

  /** Forces the shutdown: requests that are still open will be aborted. */
  stopWaiting (): void {
    this.logger.log(LogLevel.Warn, { step: 'stop', inFlight: this.target.countOpenRequests() }, 'shutdown forced')
    this.sequence.stopWaiting()
  }

  private listLeaveSteps (): StopStep[] {
    const announce = this.createStep(StopStepName.Announce, () => this.createDeadline(Math.max(ANNOUNCE_TIMEOUT_MS, this.target.getPropagationTimeMs())), async (context) => {
      this.target.startLeaving()
      await waitUntilDone(this.clock, context, ANNOUNCE_POLL_INTERVAL_MS, () => this.target.publishState())
    })
    return [announce, ...this.handOverSteps]
  }

  private listStopSteps (): StopStep[] {
    const { target, clock } = this
    return [
      this.createStep(StopStepName.ServeCachedLookups, () => createDeadline(this.getLookupExpiry(), LOOKUP_GRACE_MS + CLOSE_TIMEOUT_MS), async (context) => {
        const end = createDeadline(this.getLookupExpiry(), LOOKUP_GRACE_MS)
        await waitUntilDone(clock, context, POLL_INTERVAL_MS, () => clock.now() >= end)
      }),
      this.createStep(StopStepName.StopListening, () => this.createDeadline(CLOSE_TIMEOUT_MS), async () => target.stopListening()),
      this.createStep(StopStepName.FinishOpenRequests, () => this.createDeadline(FINISH_TIMEOUT_MS), (context) =>
        waitUntilDone(clock, context, POLL_INTERVAL_MS, () => target.countOpenRequests() === 0)),
      this.createStep(StopStepName.CloseConnections, () => this.createDeadline(CLOSE_TIMEOUT_MS), (context) =>
        waitUntilDone(clock, context, POLL_INTERVAL_MS, async () => {
          target.stopListening()
          return await target.countConnections() === 0
        }))
    ]
  }

  private getLookupExpiry (): Deadline {
    // Set at the first call only, otherwise every call would postpone the expiry.
    this.announcedAt ??= this.clock.now()
    return this.lifetime.getExpiry(this.announcedAt)
  }

  private createStep (name: StopStepName, getDeadline: () => Deadline, run: StopStep['run']): StopStep {
    return { name, getDeadline, run }
  }

  private createDeadline (timeoutMs: number): Deadline {
    return createDeadline(this.clock.now(), timeoutMs)
  }
}
