/**
 * A clock that includes the time for which the machine was suspended.
 *
 * The monotonic clock stops during a suspension, so information from before a suspension would
 * look fresh afterwards. The wall clock includes the suspension, but it can also be set. This
 * clock therefore adds each forward jump of the wall clock relative to the monotonic clock. After
 * a suspension it is accurate, after the wall clock was set forward it is ahead. Durations
 * measured by it are never too short by more than {@link MIN_JUMP_MS}.
 */
import type { IClock, Instant } from './clock.js'

/** Smaller jumps are added once they accumulate to this much. */
const MIN_JUMP_MS = 100

/** A monotonic clock that includes suspensions; its instants can't be compared with those of other clocks. */
export class ElapsedClock {
  private wallOffsetMs: number
  private suspendedMs = 0

  /** @param clock the machine's monotonic and wall clock */
  constructor (private readonly clock: IClock) {
    this.wallOffsetMs = clock.getWallTime() - clock.now()
  }

  /** @returns monotonic time in milliseconds, suspensions included */
  now (): Instant {
    const monotonicNow = this.clock.now()
    const wallOffsetMs = this.clock.getWallTime() - monotonicNow
    const jumpMs = wallOffsetMs - this.wallOffsetMs
    if (Math.abs(jumpMs) >= MIN_JUMP_MS) {
      this.wallOffsetMs = wallOffsetMs
      this.suspendedMs += Math.max(0, jumpMs)
    }
    return monotonicNow + this.suspendedMs
  }
}
