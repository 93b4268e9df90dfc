/** A clock that advances only when a test tells it to, which makes tests that depend on time deterministic. */
import type { IClock, Instant, ITimer } from './clock.js'

interface PendingTimer {
  readonly at: Instant
  readonly sequence: number
  readonly callback: () => void
}

/** Turns of the microtask queue between two timers, so that code that awaits a promise continues before the next timer fires. */
const MICROTASK_TURNS = 16

/** An {@link IClock} that is advanced manually; timers fire in the order of their instants, timers of the same instant in the order of scheduling. */
export class ManualClock implements IClock {
  private readonly pending = new Set<PendingTimer>()
  private nextSequence = 0

  /**
   * @param current the instant at which the clock starts
   * @param wallOffsetMs the wall time minus `now`, in milliseconds
   */
  constructor (private current: Instant = 0, private wallOffsetMs = 0) {}

  /** @returns the instant to which the clock was last advanced */
  now (): Instant {
    return this.current
  }

  /** @returns the wall time at `now` */
  getWallTime (): number {
    return this.current + this.wallOffsetMs
  }

  /**
   * Makes the wall time jump without changing `now`.
   * @param wallOffsetMs the wall time minus `now` from now on, in milliseconds
   */
  setWallOffset (wallOffsetMs: number): void {
    this.wallOffsetMs = wallOffsetMs
  }

  /**
   * @param at when to call the function; an instant in the past is due when the clock is next advanced, also by 0
   * @param callback the function to call
   * @returns the timer; closing it cancels the call
   */
  schedule (at: Instant, callback: () => void): ITimer {
    const timer: PendingTimer = { at, sequence: this.nextSequence++, callback }
    this.pending.add(timer)
    return { close: () => { this.pending.delete(timer) } }
  }

  /** @returns the number of timers that have neither fired nor been closed */
  countPendingTimers (): number {
    return this.pending.size
  }

  /** @returns when the next timer is due; undefined if there is none */
  getNextDueTime (): Instant | undefined {
    if (this.pending.size === 0) return undefined
    return Math.min(...[...this.pending].map(({ at }) => at))
  }

  /**
   * Advances the clock by a duration and fires the timers that become due, including timers that these schedule.
   * @param durationMs how far to advance, in milliseconds, at least 0
   */
  stepBy (durationMs: number): void {
    this.stepTo(this.current + durationMs)
  }

  /**
   * Advances the clock to an instant and fires the timers that become due, including timers that these schedule.
   * @param target the instant to advance to; an instant in the past does not move the clock back
   */
  stepTo (target: Instant): void {
    let timer = this.takeNextDue(target)
    while (timer !== undefined) {
      timer.callback()
      timer = this.takeNextDue(target)
    }
    this.current = Math.max(this.current, target)
  }

  /**
   * Like {@link stepBy}, but lets promises settle before and after each timer.
   * @param durationMs how far to advance, in milliseconds, at least 0
   * @returns resolves when the clock has been advanced
   */
  async runFor (durationMs: number): Promise<void> {
    const target = this.current + durationMs
    await this.settlePromises()
    let timer = this.takeNextDue(target)
    while (timer !== undefined) {
      timer.callback()
      await this.settlePromises()
      timer = this.takeNextDue(target)
    }
    this.current = Math.max(this.current, target)
  }

  private takeNextDue (target: Instant): PendingTimer | undefined {
    let first: PendingTimer | undefined
    for (const timer of this.pending) {
      if (timer.at > target) continue
      if (first === undefined || timer.at < first.at) first = timer
    }
    if (first === undefined) return undefined
    this.pending.delete(first)
    this.current = Math.max(this.current, first.at)
    return first
  }

  private async settlePromises (): Promise<void> {
    for (let turn = 0; turn < MICROTASK_TURNS; turn++) await Promise.resolve()
  }
}
