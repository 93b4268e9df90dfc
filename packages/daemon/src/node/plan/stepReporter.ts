/**
 * Sends this node's measurements after a step directly to the plan's holder,
 * without waiting to be asked. Relayed by neighbours, they would take two or more
 * rounds of heartbeats, and the next step would be delayed until they arrive.
 */
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import { runDetached } from '@umberspar/base/common/detached'
import type { ILogger } from '@umberspar/base/common/logger'
import { computeMeasurementReportTime } from '@umberspar/steering/common/plan/stepTiming'
import type { PlanFollower } from '../places/planFollower.js'

/** Steps of several services follow shortly after one another; a short delay lets one report cover them all. */
const BATCH_DELAY_MS = 20

/** Dependencies of the reporter. */
export interface StepReporterDependencies {
  readonly plans: PlanFollower
  readonly clock: IClock
  readonly logger: ILogger
  /** The configured settle time in milliseconds; undefined before the first configuration. */
  readonly getSettleMs: () => number | undefined
  /** The node that receives reports; undefined if the holder is unknown or is this node, or if the fleet is too large for direct reports. */
  readonly findHolderId: () => string | undefined
  readonly report: (nodeId: string) => Promise<boolean>
}

/** Reports this node's measurements once after each step. */
export class StepReporter implements IClosable {
  private readonly subscription: IClosable
  private readonly reportTimes = new Map<string, Deadline>()
  private timer: ITimer | undefined

  constructor (private readonly dependencies: StepReporterDependencies) {
    this.subscription = dependencies.plans.onDidReach(({ service }) => this.planReport(service))
  }

  close (): void {
    this.subscription.close()
    this.timer?.close()
  }

  private planReport (service: string): void {
    const settleMs = this.dependencies.getSettleMs()
    if (settleMs === undefined) return
    this.reportTimes.set(service, computeMeasurementReportTime(this.dependencies.clock.now(), settleMs))
    this.scheduleReport()
  }

  private scheduleReport (): void {
    this.timer?.close()
    if (this.reportTimes.size === 0) return
    this.timer = this.dependencies.clock.schedule(createDeadline(Math.min(...this.reportTimes.values()), BATCH_DELAY_MS), () => this.report())
  }

  private report (): void {
    const now = this.dependencies.clock.now()
    for (const [service, reportAt] of this.reportTimes) {
      if (hasPassed(reportAt, now)) this.reportTimes.delete(service)
    }
    this.scheduleReport()
    const holderId = this.dependencies.findHolderId()
    if (holderId !== undefined) runDetached(() => this.dependencies.report(holderId), this.dependencies.logger, 'report-step')
  }
}
