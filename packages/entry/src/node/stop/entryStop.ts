/**
 * The planned stop: callers are led elsewhere first, open requests end whole, and
 * the process ends before it would be killed.
 */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'

/** What a stop drives. */
export interface StopParts {
  /** Withdraws this VM from look-ups and readiness. */
  startLeaving(): void
  /** Ends callers' connections on which nothing waits. */
  closeIdle(): void
  /** Takes no more connections. */
  closeListener(): void
  /** @returns requests without a whole answer */
  countOpen(): number
  /** Ends the process. */
  end(cutRequests: number): void
}

/**
 * Callers keep look-ups for a while after this VM is named in none; until then it
 * takes their new connections. A part of the grace, since look-ups are kept for
 * about a third of it.
 */
const ACCEPT_PART = 0.55
/** The part of the grace after which the process ends, whatever is open. */
const END_PART = 0.95
/** How often the end is looked for, in milliseconds. */
const CHECK_MS = 50
/** Without a request for this long after the listener closed, nobody is on the way any more, in milliseconds. */
const QUIET_MS = 150

/** One stop. */
export class EntryStop {
  private readonly acceptUntil: Deadline
  private readonly endAt: Deadline
  private quietSince: Instant | undefined
  private isListening = true
  private timer: ITimer | undefined

  /**
   * @param clock for the steps
   * @param graceMs from now until the process would be killed, in milliseconds
   * @param parts what is stopped
   */
  constructor (private readonly clock: IClock, graceMs: number, private readonly parts: StopParts) {
    const now = clock.now()
    this.acceptUntil = now + graceMs * ACCEPT_PART
    this.endAt = now + graceMs * END_PART
  }

  /** Begins; it ends the process. */
  start (): void {
    this.parts.startLeaving()
    this.check()
  }

  private check (): void {
    const now = this.clock.now()
    if (now >= this.acceptUntil && this.isListening) {
      this.isListening = false
      this.parts.closeListener()
    }
    if (!this.isListening) this.parts.closeIdle()
    if (this.isQuiet(now) || now >= this.endAt) {
      this.parts.end(this.parts.countOpen())
      return
    }
    this.timer = this.clock.schedule(now + CHECK_MS, () => { this.check() })
  }

  private isQuiet (now: Instant): boolean {
    if (this.isListening || this.parts.countOpen() > 0) {
      this.quietSince = undefined
      return false
    }
    this.quietSince ??= now
    return now - this.quietSince >= QUIET_MS
  }

  /** Gives the stop up. */
  close (): void {
    this.timer?.close()
  }
}
