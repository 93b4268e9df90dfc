/** One time line for several processes of a machine. */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import { SystemClock } from '@umberspar/base/node/systemClock'

const NANOSECONDS_PER_MS = 1_000_000n

/**
 * A clock whose instants are comparable between processes. `performance.now`
 * counts from the start of its process; `hrtime` counts from the machine's
 * start by the same hardware clock, so the distance of the two is constant.
 */
export class MachineClock implements IClock {
  private readonly system = new SystemClock()
  private readonly offsetMs: number

  constructor () {
    const machineMs = Number(process.hrtime.bigint() * 1000n / NANOSECONDS_PER_MS) / 1000
    this.offsetMs = machineMs - this.system.now()
  }

  now (): Instant {
    return this.system.now() + this.offsetMs
  }

  getWallTime (): number {
    return this.system.getWallTime()
  }

  schedule (at: Instant, callback: () => void): ITimer {
    return this.system.schedule(at - this.offsetMs, callback)
  }
}
