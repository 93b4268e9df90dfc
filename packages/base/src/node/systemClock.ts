/** The machine's clock: monotonic for deadlines, wall time only for people. */
import type { IClock, Instant, ITimer } from '../common/clock.js'
import { MAX_TIMER_MS } from '../common/deadline.js'

/** An IClock over `performance.now` and `setTimeout`. */
export class SystemClock implements IClock {
  now (): Instant {
    return performance.now()
  }

  getWallTime (): number {
    return Date.now()
  }

  schedule (at: Instant, callback: () => void): ITimer {
    const waitMs = Math.min(MAX_TIMER_MS, Math.max(0, at - performance.now()))
    const timer = setTimeout(callback, waitMs)
    return { close: () => clearTimeout(timer) }
  }
}
