/** Checks places and members periodically, so that failures are also detected without requests or messages. */
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline } from '@umberspar/base/common/deadline'
import type { PlanFollower } from '../places/planFollower.js'
import type { MeasurementCollector } from './measurementCollector.js'

const CHECK_INTERVAL_MS = 500

/** Updates the measurements and lets this node move its traffic away from failed places. */
export class PlanTimer implements IClosable {
  private timer: ITimer | undefined

  constructor (
    private readonly collector: MeasurementCollector,
    private readonly plans: PlanFollower,
    private readonly clock: IClock
  ) {
    this.scheduleCheck()
  }

  close (): void {
    this.timer?.close()
  }

  private scheduleCheck (): void {
    this.timer = this.clock.schedule(createDeadline(this.clock.now(), CHECK_INTERVAL_MS), () => {
      this.collector.update()
      if (this.collector.failedUntil.size > 0 || !this.plans.isSettled) this.plans.step()
      this.scheduleCheck()
    })
  }
}
