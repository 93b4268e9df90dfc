/** A clock that only moves when told to, so that tests of time give the same verdict on every run. */
import type { IClock, Instant, ITimer } from './clock.js'

interface PendingTimer {
  readonly at: Instant
  readonly sequence: number
  readonly callback: () => void
}

/** Turns of the microtask queue between two timers, so that awaiting code goes on before the next one fires. */
const MICROTASK_TURNS = 16

/** An IClock moved by hand; its timers fire in the order of their instants, then of their scheduling. */
export class ManualClock implements IClock {
  private readonly pending = new Set<PendingTimer>()
  private nextSequence = 0

  /**
   * @param current where the clock begins
   * @param wallOffset what is added to `now` to give the wall time
   */
  constructor (private current: Instant = 0, private wallOffset = 0) {}

  /** @returns the instant the clock was last moved to */
  now (): Instant {
    return this.current
  }

  /** @returns the wall time that belongs to `now` */
  getWallTime (): number {
    return this.current + this.wallOffset
  }

  /**
   * Lets the wall time jump without moving `now`.
   * @param wallOffset what is added to `now` from here on
   */
  setWallOffset (wallOffset: number): void {
    this.wallOffset = wallOffset
  }

  /**
   * @param at when to call; an instant in the past is due at the next move, also one by 0
   * @param callback what to call
   * @returns the timer, closed to cancel it
   */
  schedule (at: Instant, callback: () => void): ITimer {
    const timer: PendingTimer = { at, sequence: this.nextSequence++, callback }
    this.pending.add(timer)
    return { close: () => { this.pending.delete(timer) } }
  }

  /** @returns how many timers have neither fired nor been closed */
  countTimers (): number {
    return this.pending.size
  }

  /** @returns when the next timer is due; undefined if there is none */
  getNextTimer (): Instant | undefined {
    if (this.pending.size === 0) return undefined
    return Math.min(...[...this.pending].map(({ at }) => at))
  }

  /**
   * Moves the clock ahead, firing what falls due, including timers set meanwhile.
   * @param spanMs how far, at least 0
   */
  stepBy (spanMs: number): void {
    this.stepTo(this.current + spanMs)
  }

  /**
   * Moves the clock to an instant, firing what falls due on the way.
   * @param target where to stop; an instant in the past moves nothing back
   */
  stepTo (target: Instant): void {
    let timer = this.takeDue(target)
    while (timer !== undefined) {
      timer.callback()
      timer = this.takeDue(target)
    }
    this.current = Math.max(this.current, target)
  }

  /**
   * Like `stepBy`, but lets promises settle before and after each timer.
   * @param spanMs how far, at least 0
   * @returns settled when the clock stands at the target
   */
  async runFor (spanMs: number): Promise<void> {
    const target = this.current + spanMs
    await this.settlePromises()
    let timer = this.takeDue(target)
    while (timer !== undefined) {
      timer.callback()
      await this.settlePromises()
      timer = this.takeDue(target)
    }
    this.current = Math.max(this.current, target)
  }

  private takeDue (target: Instant): PendingTimer | undefined {
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
