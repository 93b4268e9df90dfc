/** The log fields that describe the worker chosen for a request. */
import type { Instant } from '@umberspar/base/common/clock'
import type { Choice } from '@umberspar/steering/common/entry/chooseUpstream'
import type { AttemptLogFields } from '../telemetry/entryTelemetry.js'

type ChoiceLogFields = Pick<AttemptLogFields, 'worker' | 'domain' | 'rank' | 'hand' | 'handChance' | 'expectedMs' | 'waitMs' | 'value' | 'held' | 'failure' | 'slowness' | 'isCold'>

/**
 * @param choice the chosen worker with its estimates
 * @param now the current time
 * @returns the log fields
 */
export function describeChoice ({ candidate, expectedMs, waitMs, value }: Choice, now: Instant): ChoiceLogFields {
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
