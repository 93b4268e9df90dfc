/** What a log line tells of the worker chosen for a request. */
import type { Instant } from '@umberspar/base/common/clock'
import type { Choice } from '@umberspar/steering/common/entry/chooseUpstream'
import type { OfferFacts } from '../telemetry/entryTelemetry.js'

type ChoiceFacts = Pick<OfferFacts, 'worker' | 'domain' | 'rank' | 'hand' | 'handChance' | 'expectedMs' | 'waitMs' | 'value' | 'held' | 'failure' | 'slowness' | 'isCold'>

/**
 * @param choice the worker and what spoke for it
 * @param now the present
 * @returns the fields of the line
 */
export function describeChoice ({ candidate, expectedMs, waitMs, value }: Choice, now: Instant): ChoiceFacts {
  const { tracker, rank, hand, handChance } = candidate
  return {
    worker: tracker.entry.id,
    domain: tracker.entry.domain,
    rank,
    hand,
    handChance,
    expectedMs,
    waitMs,
    value,
    held: tracker.countHeld(now),
    failure: tracker.getFailure(now),
    slowness: tracker.getSlowness(now),
    isCold: tracker.isCold(now)
  }
}
