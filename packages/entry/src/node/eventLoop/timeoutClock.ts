/**
 * A clock for timeouts of peers. While this process can't run, answers wait in its sockets; when it
 * runs again, timers come before the sockets are read. So a timer that is due while the event loop
 * is late runs after the next poll only, unless what is read then closes it.
 */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { EventLoopMonitor } from './eventLoopMonitor.js'

/** The part of the event loop's monitor that a {@link TimeoutClock} uses. */
export type PollSource = Pick<EventLoopMonitor, 'isLate' | 'runAfterPoll'>

/** Schedules timeouts. */
export class TimeoutClock implements IClock {
  /**
   * @param clock schedules the timers
   * @param getEventLoop gets the event loop's monitor, which may be created later than this clock
   */
  constructor (private readonly clock: IClock, private readonly getEventLoop: () => PollSource) {}

  now (): Instant {
    return this.clock.now()
  }

  getWallTime (): number {
    return this.clock.getWallTime()
  }

  schedule (at: Instant, callback: () => void): ITimer {
    let isClosed = false
    const run = (): void => { if (!isClosed) callback() }
    const timer = this.clock.schedule(at, () => {
      const eventLoop = this.getEventLoop()
      if (eventLoop.isLate()) eventLoop.runAfterPoll(run)
      else run()
    })
    return {
      close: () => {
        isClosed = true
        timer.close()
      }
    }
  }
}
