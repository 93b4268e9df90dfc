/** What an entry VM learns from a worker's answer: how long work takes, how fast the worker is, what it has at hand. */
import type { Instant } from '@umberspar/base/common/clock'
import type { Choice } from './chooseUpstream.js'
import type { ServiceRoster } from './serviceRoster.js'
import type { WorkEstimate } from './workEstimate.js'

/** One answer. */
export interface OfferLesson {
  readonly choice: Choice
  /** The request's object; undefined if workers handle all alike. */
  readonly key: string | undefined
  /** From sending to the whole answer, in milliseconds; time that a caller's request waited behind others is no part of it. */
  readonly tookMs: number
  /** The answer's length. */
  readonly bytes: number
  /** When the answer was whole. */
  readonly now: Instant
}

/**
 * Takes over what an answer shows.
 * @param lesson the answer
 * @param roster of the worker's service
 * @param work of the request's route at that service
 */
export function observeAnswer ({ choice, key, tookMs, bytes, now }: OfferLesson, roster: ServiceRoster, work: WorkEstimate): void {
  const { tracker, hand, roundTripMs } = choice.candidate
  const beforeMs = choice.waitMs + roundTripMs
  const wasAtHand = key !== undefined && work.isWarmWork(tookMs - beforeMs)
  // Against what this kind of work takes: a worker is not slow for having worked on an object anew.
  tracker.recordSpeed(tookMs / Math.max(1, beforeMs + work.getWork(wasAtHand)), now)
  work.observe(wasAtHand, tookMs - beforeMs, bytes)
  if (key === undefined) return
  roster.hands.observe(hand, wasAtHand)
  roster.warmth.record(key, tracker.entry.id, now)
}
