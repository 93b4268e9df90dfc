/** The clock of the machine: monotonic time for deadlines, wall time for display. */
import type { IClock, Instant, ITimer } from '../common/clock.js'
import { MAX_TIMER_MS } from '../common/deadline.js'

/** An {@link IClock} that uses `performance.now` and `setTimeout`. */
export class SystemClock implements IClock {
  now (): Instant {
    return performance.now()
  }

  getWallTime (): number {
    return Date.now()
  }

  schedule (at: Instant, callback: () => void): ITimer {
    const delayMs = Math.min(MAX_TIMER_MS, Math.max(0, at - performance.now()))
    const timer = setTimeout(callback, delayMs)
    return { close: () => clearTimeout(timer) }
  }
}
