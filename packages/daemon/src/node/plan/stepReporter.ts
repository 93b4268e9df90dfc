/**
 * Tells the plan's holder what this node measured after a step, directly and
 * without being asked: through neighbours the report would take two rounds of
 * heartbeats or more, and the next step would wait for it.
 */
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import { runDetached } from '@umberspar/base/common/detached'
import type { ILogger } from '@umberspar/base/common/logger'
import { computeReportAt } from '@umberspar/steering/common/plan/stepTiming'
import type { PlanKeeper } from '../places/planKeeper.js'

/** Steps of several services come a moment after each other; one report tells of all. */
const GATHER_SPAN_MS = 20

/** What the reporter works with. */
export interface StepReporterParts {
  readonly plans: PlanKeeper
  readonly clock: IClock
  readonly logger: ILogger
  /** The operators' settle time in milliseconds; undefined before the first configuration. */
  readonly getSettleSpan: () => number | undefined
  /** To whom reports go; undefined if the holder is not known, is this node, or has too many nodes to hear from. */
  readonly findHolder: () => string | undefined
  readonly report: (nodeId: string) => Promise<boolean>
}

/** Reports each step once. */
export class StepReporter implements IClosable {
  private readonly subscription: IClosable
  private readonly dues = new Map<string, Deadline>()
  private timer: ITimer | undefined

  constructor (private readonly parts: StepReporterParts) {
    this.subscription = parts.plans.onDidReach(({ service }) => this.plan(service))
  }

  close (): void {
    this.subscription.close()
    this.timer?.close()
  }

  private plan (service: string): void {
    const settleMs = this.parts.getSettleSpan()
    if (settleMs === undefined) return
    this.dues.set(service, computeReportAt(this.parts.clock.now(), settleMs))
    this.scheduleReport()
  }

  private scheduleReport (): void {
    this.timer?.close()
    if (this.dues.size === 0) return
    this.timer = this.parts.clock.schedule(createDeadline(Math.min(...this.dues.values()), GATHER_SPAN_MS), () => this.report())
  }

  private report (): void {
    const now = this.parts.clock.now()
    for (const [service, due] of this.dues) {
      if (hasPassed(due, now)) this.dues.delete(service)
    }
    this.scheduleReport()
    const holderId = this.parts.findHolder()
    if (holderId !== undefined) runDetached(() => this.parts.report(holderId), this.parts.logger, 'report-step')
  }
}
