/** A clock for tests that goes on only when a test moves it. */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'

interface Timer {
  readonly at: Instant
  readonly callback: () => void
}

/** Holds the present and the timers; how it is moved is each test's own matter. */
export class HandClock implements IClock {
  protected current: Instant = 0
  protected readonly timers = new Set<Timer>()

  now (): Instant {
    return this.current
  }

  getWallTime (): number {
    return this.current
  }

  schedule (at: Instant, callback: () => void): ITimer {
    const timer = { at, callback }
    this.timers.add(timer)
    return { close: () => { this.timers.delete(timer) } }
  }

  /** Calls every timer whose instant has come, in the order of their making. */
  protected runDue (): void {
    const due = [...this.timers].filter(({ at }) => at <= this.current)
    for (const timer of due) this.timers.delete(timer)
    for (const { callback } of due) callback()
  }
}
