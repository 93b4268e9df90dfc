/**
 * Tells callers that were refused before and have come back from callers that come for the first
 * time. Nothing in a request says so; but a returned caller has less time left than callers of its
 * route have at first.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import { MIN_RETRY_DELAY_MS } from '../retry/retryDelay.js'

/** Whether a caller comes for the first time. */
export enum CallerVisit {
  First = 'first',
  Returned = 'returned'
}

/** Number of requests whose times are kept. */
const MAX_SAMPLES = 128
/** Below this number of samples, the times of first arrivals count as unknown. */
const MIN_SAMPLES = 32
/** The threshold is recomputed after this many new samples. */
const SAMPLES_PER_UPDATE = 16
/**
 * A returned caller has less time than all but this fraction of first arrivals. Where callers
 * choose different deadlines, this bounds how many first arrivals are taken for returned ones.
 */
const LOW_QUANTILE = 0.05
/** Weight of one request in the ratios. */
const SMOOTHING_FACTOR = 1 / 64
/** While more requests than this are refused, returned callers would distort the samples. */
const MAX_SAMPLED_REFUSAL_RATIO = 0.02
/** Refused callers return within their deadlines, a few seconds. */
const RETURN_PERIOD_MS = 5_000
/** More returned callers than this are implausible: callers have changed their deadlines. */
const MAX_RETURNED_RATIO = 0.75

/** How much time callers of one route have left when they come for the first time. */
export class CallerTimes {
  /** A ring buffer of times left, in milliseconds. */
  private samples: number[] = []
  private nextSample = 0
  private samplesUntilUpdate = MIN_SAMPLES
  /** Callers with less time left have returned; undefined while it isn't known. */
  private thresholdMs: number | undefined
  private refusalRatio = 0
  private returnedRatio = 0
  private sampledFrom: Deadline = Number.NEGATIVE_INFINITY

  /**
   * Classifies the caller of a request, and learns from it unless returned callers are about.
   * @param timeLeftMs how long the caller waits from now on, in milliseconds; undefined if it doesn't state it
   * @param now the current time
   * @returns whether the caller has returned; undefined if that can't be told
   */
  observe (timeLeftMs: number | undefined, now: Instant): CallerVisit | undefined {
    this.refusalRatio -= SMOOTHING_FACTOR * this.refusalRatio
    if (timeLeftMs === undefined) return undefined
    const visit = this.classify(timeLeftMs)
    this.updateReturnedRatio(visit)
    if (this.refusalRatio < MAX_SAMPLED_REFUSAL_RATIO && hasPassed(this.sampledFrom, now)) this.addSample(timeLeftMs)
    return visit
  }

  /** @param now when a caller of the route was refused, and may come back */
  recordRefusal (now: Instant): void {
    this.refusalRatio += SMOOTHING_FACTOR
    if (this.refusalRatio >= MAX_SAMPLED_REFUSAL_RATIO) this.sampledFrom = createDeadline(now, RETURN_PERIOD_MS)
  }

  private classify (timeLeftMs: number): CallerVisit | undefined {
    if (this.thresholdMs === undefined) return undefined
    return timeLeftMs < this.thresholdMs ? CallerVisit.Returned : CallerVisit.First
  }

  private updateReturnedRatio (visit: CallerVisit | undefined): void {
    this.returnedRatio += SMOOTHING_FACTOR * (Number(visit === CallerVisit.Returned) - this.returnedRatio)
    if (this.returnedRatio <= MAX_RETURNED_RATIO) return
    this.samples = []
    this.nextSample = 0
    this.samplesUntilUpdate = MIN_SAMPLES
    this.thresholdMs = undefined
    this.returnedRatio = 0
  }

  private addSample (timeLeftMs: number): void {
    this.samples[this.nextSample] = timeLeftMs
    this.nextSample = (this.nextSample + 1) % MAX_SAMPLES
    this.samplesUntilUpdate--
    if (this.samplesUntilUpdate > 0) return
    this.samplesUntilUpdate = SAMPLES_PER_UPDATE
    const sorted = [...this.samples].sort((left, right) => left - right)
    this.thresholdMs = sorted[Math.floor(sorted.length * LOW_QUANTILE)]! - MIN_RETRY_DELAY_MS
  }
}
