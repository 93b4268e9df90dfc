/** The spans in which planned changes concern workers and entry VMs. */
import type { Instant } from '@umberspar/base/common/clock'

/** A span in which a planned change concerns a target. */
export interface PlannedSpan {
  readonly from: Instant
  /** Infinity: it lasts. */
  until: Instant
}

/** The spans of one kind of planned change, by target. */
export class PlannedSpans {
  private readonly byTarget = new Map<string, PlannedSpan[]>()

  /**
   * @param targets whom the change concerns from now on
   * @param at now
   */
  open (targets: readonly string[], at: Instant): void {
    for (const target of targets) {
      const known = this.byTarget.get(target) ?? []
      known.push({ from: at, until: Infinity })
      this.byTarget.set(target, known)
    }
  }

  /**
   * @param targets whom the change concerns no longer
   * @param at now
   */
  close (targets: readonly string[], at: Instant): void {
    for (const span of targets.flatMap((target) => this.byTarget.get(target) ?? [])) {
      if (span.until === Infinity) span.until = at
    }
  }

  /**
   * @param target the worker or entry VM
   * @param at an instant
   * @param graceMs how long after its beginning a span does not count yet
   * @returns the span that the instant lies in, undefined if there is none
   */
  find (target: string, at: Instant, graceMs: number): PlannedSpan | undefined {
    return this.byTarget.get(target)?.find((span) => at > span.from + graceMs && at <= span.until)
  }

  /**
   * @param target the worker or entry VM
   * @param from when something began
   * @param until when it ended
   * @returns whether a span overlaps it
   */
  hasOverlap (target: string, from: Instant, until: Instant): boolean {
    return this.byTarget.get(target)?.some((span) => from <= span.until && until >= span.from) ?? false
  }
}
