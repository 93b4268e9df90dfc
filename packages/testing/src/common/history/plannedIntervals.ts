/** The time intervals in which planned changes affect workers and entry VMs. */
import type { Instant } from '@umberspar/base/common/clock'

/** A time interval in which a planned change affects a target. */
export interface PlannedInterval {
  readonly from: Instant
  /** Infinity while the change is still in effect. */
  until: Instant
}

/** The intervals of one kind of planned change, by target. */
export class PlannedIntervals {
  private readonly intervalsByTarget = new Map<string, PlannedInterval[]>()

  /**
   * @param targets the workers or entry VMs that the change affects from now on
   * @param at the current time
   */
  open (targets: readonly string[], at: Instant): void {
    for (const target of targets) {
      const intervals = this.intervalsByTarget.get(target) ?? []
      intervals.push({ from: at, until: Infinity })
      this.intervalsByTarget.set(target, intervals)
    }
  }

  /**
   * @param targets the workers or entry VMs that the change no longer affects
   * @param at the current time
   */
  close (targets: readonly string[], at: Instant): void {
    for (const span of targets.flatMap((target) => this.intervalsByTarget.get(target) ?? [])) {
      if (span.until === Infinity) span.until = at
    }
  }

  /**
   * @param target the worker or entry VM
   * @param at an instant
   * @param graceMs time from the start of an interval that is not counted
   * @returns the interval that contains the instant; undefined if there is none
   */
  find (target: string, at: Instant, graceMs: number): PlannedInterval | undefined {
    return this.intervalsByTarget.get(target)?.find((span) => at > span.from + graceMs && at <= span.until)
  }

  /**
   * @param target the worker or entry VM
   * @param from the start of a period
   * @param until its end
   * @returns whether an interval overlaps the period
   */
  hasOverlap (target: string, from: Instant, until: Instant): boolean {
    return this.intervalsByTarget.get(target)?.some((span) => from <= span.until && until >= span.from) ?? false
  }
}
