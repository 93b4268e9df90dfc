/** The violations that a history can contain. */
import type { Instant } from '@umberspar/base/common/clock'

/** The guarantee that was violated. */
export enum ViolationKind {
  /** A non-idempotent request, or an idempotency key, ran more than once. */
  DuplicateExecution = 'doubled-execution',
  /** A caller was told `not-run` for an attempt that a worker ran. */
  RanDespiteNotRun = 'ran-though-not-run',
  /** An answer ended normally although a part of it was missing. */
  TruncatedAnswer = 'truncated-answer',
  /** A caller got the answer to another request. */
  MismatchedAnswer = 'crossed-answer',
  /** A worker held more concurrent requests than it has slots, or had more connections than its limit. */
  LimitExceeded = 'limit-exceeded',
  /** A worker got new work after its drain was announced, or after it was safe to stop. */
  WorkAfterDrain = 'work-after-drain',
  /** A planned stop interrupted a request in flight. */
  InterruptedByPlannedStop = 'cut-at-planned-stop'
}

/** One violation of a guarantee. */
export interface Violation {
  readonly kind: ViolationKind
  readonly at: Instant
  /** The request, key, worker or entry VM concerned. */
  readonly subject: string
  readonly detail: string
}

/**
 * @param violations the result of a check
 * @returns the number of violations by kind, including kinds without any
 */
export function countViolations (violations: readonly Violation[]): Record<ViolationKind, number> {
  const kinds = Object.values(ViolationKind)
  const counts = Object.fromEntries(kinds.map((kind) => [kind, 0])) as Record<ViolationKind, number>
  for (const violation of violations) counts[violation.kind] += 1
  return counts
}
