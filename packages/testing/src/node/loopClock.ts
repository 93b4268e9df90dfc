/** Time for a whole deployment on one thread, which stands still while the thread gets no processor. */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { SystemClock } from '@umberspar/base/node/systemClock'

/**
 * By how much a turn of the loop may move time on, in milliseconds. A request
 * crosses the loop about ten times, so that its caller's shortest time limit
 * (2 s) holds hundreds of turns, however seldom the thread is scheduled.
 */
const MAX_STEP_MS = 10

/** Between two turns of the clock, in milliseconds; its timers fire up to this late. */
const TURN_MS = 2

interface DueCall {
  readonly at: Instant
  readonly callback: () => void
}

/**
 * A clock of an event loop: it runs with the machine's while the loop turns, and
 * each turn adds at most MAX_STEP_MS. Daemons, stand-ins and callers of one
 * process that share it lose the same time when the machine is busy, so no
 * caller's limit passes while the daemon that serves it could not run.
 */
export class LoopClock implements IClock, IClosable {
  private readonly calls = new Set<DueCall>()
  private readonly system = new SystemClock()
  private loopMs = 0
  private turnedAt = this.system.now()
  private readonly turns = setInterval(() => { this.step() }, TURN_MS)

  constructor () {
    this.turns.unref()
  }

  now (): Instant {
    return this.loopMs + Math.min(MAX_STEP_MS, this.system.now() - this.turnedAt)
  }

  getWallTime (): number {
    return this.system.getWallTime()
  }

  schedule (at: Instant, callback: () => void): ITimer {
    const call = { at, callback }
    this.calls.add(call)
    this.turns.ref()
    return { close: () => { this.remove(call) } }
  }

  /** Stops the time: timers that are still open never fire. */
  close (): void {
    clearInterval(this.turns)
    this.calls.clear()
  }

  private step (): void {
    this.loopMs = this.now()
    this.turnedAt = this.system.now()
    const due = [...this.calls].filter(({ at }) => at <= this.loopMs).sort((left, right) => left.at - right.at)
    for (const call of due) {
      // A call of this turn may have closed a later one's timer.
      if (!this.calls.has(call)) continue
      this.remove(call)
      call.callback()
    }
  }

  private remove (call: DueCall): void {
    this.calls.delete(call)
    // Without timers the process may end.
    if (this.calls.size === 0) this.turns.unref()
  }
}
