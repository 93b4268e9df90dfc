/** The log fields that describe the worker chosen for a request. */
import type { Instant } from '@umberspar/base/common/clock'
import type { UpstreamChoice } from '@umberspar/steering/common/entry/workers/chooseUpstream'
import type { AttemptLogFields } from '../telemetry/attemptLogFields.js'

type ChoiceLogFields = Pick<AttemptLogFields, 'worker' | 'domain' | 'rank' | 'hand' | 'handChance' | 'expectedMs' | 'waitMs' | 'value' | 'held' | 'failure' | 'slowness' | 'isCold' | 'reportAgeMs' | 'pace'>

/**
 * @param choice the chosen worker with its estimates
 * @param now the current time
 * @returns the log fields
 */
export function describeChoice ({ candidate, expectedMs, waitMs, score: value }: UpstreamChoice, now: Instant): ChoiceLogFields {
  const { tracker, rank, cacheState: hand, cacheHitProbability: handChance } = candidate
  return {
    worker: tracker.registration.id,
    domain: tracker.registration.domain,
    rank,
    hand,
    handChance,
    expectedMs,
    waitMs,
    value,
    held: tracker.countInFlight(now),
    failure: tracker.getFailureRate(now),
    slowness: tracker.getSlowdown(now),
    isCold: tracker.isCold(now),
    reportAgeMs: tracker.load.getReportAgeMs(now),
    pace: tracker.load.getPace(now)
  }
}
