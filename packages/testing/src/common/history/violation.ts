/** The promises that a history can break. */
import type { Instant } from '@umberspar/base/common/clock'

/** A promise that a history breaks. */
export enum ViolationKind {
  /** A request that may not be repeated, or an idempotency key, ran more than once. */
  DoubledExecution = 'doubled-execution',
  /** A caller was told `not-run` of an attempt that some worker ran. */
  RanThoughNotRun = 'ran-though-not-run',
  /** An answer ended as if complete although a part was missing. */
  TruncatedAnswer = 'truncated-answer',
  /** A caller got the answer to another request. */
  CrossedAnswer = 'crossed-answer',
  /** A worker was sent more requests at a time than it has slots, or had more connections than it bears. */
  LimitExceeded = 'limit-exceeded',
  /** A worker got new work although it had announced its drain, or after it was safe to stop. */
  WorkAfterDrain = 'work-after-drain',
  /** A planned stop cut off a request in flight. */
  CutAtPlannedStop = 'cut-at-planned-stop'
}

/** One broken promise. */
export interface Violation {
  readonly kind: ViolationKind
  readonly at: Instant
  /** The request, key, worker or entry VM concerned. */
  readonly subject: string
  readonly detail: string
}

/**
 * @param violations what a check found
 * @returns how often each kind was found; every kind is present
 */
export function countViolations (violations: readonly Violation[]): Record<ViolationKind, number> {
  const kinds = Object.values(ViolationKind)
  const counts = Object.fromEntries(kinds.map((kind) => [kind, 0])) as Record<ViolationKind, number>
  for (const violation of violations) counts[violation.kind] += 1
  return counts
}
