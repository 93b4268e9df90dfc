/** Looks at places and members again and again, so that a failure is seen also where nothing else happens. */
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline } from '@umberspar/base/common/deadline'
import type { PlanKeeper } from '../places/planKeeper.js'
import type { MeasurementBoard } from './measurementBoard.js'

const LOOK_SPAN_MS = 500

/** Brings the board up to date and lets the node step away from what failed. */
export class PlanTimer implements IClosable {
  private timer: ITimer | undefined

  constructor (
    private readonly board: MeasurementBoard,
    private readonly plans: PlanKeeper,
    private readonly clock: IClock
  ) {
    this.scheduleLook()
  }

  close (): void {
    this.timer?.close()
  }

  private scheduleLook (): void {
    this.timer = this.clock.schedule(createDeadline(this.clock.now(), LOOK_SPAN_MS), () => {
      this.board.update()
      if (this.board.failedUntil.size > 0 || !this.plans.isSettled) this.plans.step()
      this.scheduleLook()
    })
  }
}
