/**
 * The graceful shutdown of an entry process: new callers are directed to other VMs first, requests
 * in flight are finished, new ones are accepted as long as they can be finished, and the process
 * exits before the platform would kill it.
 */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import { RESPONSE_SLACK_MS } from '../front/requestDeadline.js'

/** The actions of a shutdown. */
export interface ShutdownSteps {
  /** Removes this VM from look-ups and reports it as not ready. */
  startDraining(): void
  /** Closes callers' connections on which no request awaits a response. */
  closeIdle(): void
  /** Stops accepting connections once those that wait are accepted. @param onClosed called when that is done */
  closeListener(onClosed: () => void): void
  /** @returns whether requests may have arrived that are not read yet */
  isLate(): boolean
  /** @returns the number of requests whose response isn't complete yet */
  countInFlight(): number
  /** Ends the process. @param cutRequests requests in flight that are cut off */
  end(cutRequests: number): void
}

/**
 * The share of the grace period in which connections are still accepted, as callers cache look-ups
 * that name this VM for about a third of that period.
 */
const ACCEPT_GRACE_RATIO = 0.55
/** How long before the end of the grace period the process ends, even with requests in flight. */
const EXIT_MARGIN_MS = 200
/** From the end of a request until its response is sent. */
const SEND_MARGIN_MS = 50
/** How often the state of the shutdown is checked. */
const CHECK_INTERVAL_MS = 50
/** After the listener is closed and no request has been in flight for this long, none is expected any more. */
const QUIET_PERIOD_MS = 150

/** The listener for callers' connections. */
enum ListenerState {
  Open = 'open',
  /** Connections that wait are still accepted. */
  Closing = 'closing',
  Closed = 'closed'
}

/** One shutdown. */
export class GracefulShutdown {
  private readonly acceptDeadline: Deadline
  private readonly exitDeadline: Deadline
  private quietSince: Instant | undefined
  private listener = ListenerState.Open
  private timer: ITimer | undefined

  /**
   * @param clock schedules the steps
   * @param graceMs grace period from now until the process would be killed, in milliseconds
   * @param steps the actions
   */
  constructor (private readonly clock: IClock, graceMs: number, private readonly steps: ShutdownSteps) {
    const now = clock.now()
    this.acceptDeadline = now + graceMs * ACCEPT_GRACE_RATIO
    this.exitDeadline = now + graceMs - EXIT_MARGIN_MS
  }

  /**
   * @param deadline when a request is answered at the latest
   * @returns whether that is before the process ends
   */
  canAnswer (deadline: Deadline): boolean {
    return deadline + RESPONSE_SLACK_MS + SEND_MARGIN_MS <= this.exitDeadline
  }

  /** Starts the shutdown, which ends the process. */
  start (): void {
    this.steps.startDraining()
    this.check()
  }

  private check (): void {
    const now = this.clock.now()
    if (now >= this.acceptDeadline && this.listener === ListenerState.Open) {
      this.listener = ListenerState.Closing
      this.steps.closeListener(() => { this.listener = ListenerState.Closed })
    }
    if (this.listener === ListenerState.Closed) this.steps.closeIdle()
    if (this.isQuiet(now) || now >= this.exitDeadline) {
      this.steps.end(this.steps.countInFlight())
      return
    }
    this.timer = this.clock.schedule(now + CHECK_INTERVAL_MS, () => { this.check() })
  }

  private isQuiet (now: Instant): boolean {
    if (this.listener !== ListenerState.Closed || this.steps.isLate() || this.steps.countInFlight() > 0) {
      this.quietSince = undefined
      return false
    }
    this.quietSince ??= now
    return now - this.quietSince >= QUIET_PERIOD_MS
  }

  /** Cancels the shutdown. */
  close (): void {
    this.timer?.close()
  }
}
