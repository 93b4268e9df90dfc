/**
 * How long a route's requests keep a worker busy, learned from answers: apart for
 * objects that the worker handled lately and for others, since the former take a
 * third of the time or less where workers keep objects in memory.
 */
import type { RoutePolicy } from './steeringDocument.js'

/** How much the newest answer counts. */
const SMOOTHING_FACTOR = 0.05
/** Before any answer, work on a new object is taken to last this part of the route's goal. */
const INITIAL_MISS_RATIO = 1.2
/** The same for an object that the worker handled lately. */
const INITIAL_HIT_RATIO = 0.45
/** So many answers make an estimate. */
const MIN_SAMPLES = 10
/** A single answer moves the estimate by no more than this factor; one frozen worker must not spoil it. */
const MAX_SAMPLE_RATIO = 3

/** The estimate of one route. */
export class ServiceTimeEstimate {
  private missMs: number
  private hitMs: number
  private meanAnswerBytes = 0
  private sampleCount = 0

  /** @param route the route whose goal gives the first estimate */
  constructor (route: RoutePolicy) {
    this.missMs = route.goalMs * INITIAL_MISS_RATIO
    this.hitMs = route.goalMs * INITIAL_HIT_RATIO
  }

  /**
   * @param isCacheHit whether the worker handled the object lately
   * @returns milliseconds of work
   */
  getServiceTimeMs (isCacheHit: boolean): number {
    return isCacheHit ? this.hitMs : this.missMs
  }

  /**
   * Work on an object that is at hand takes a third of the time or less, so that an
   * answer's time tells which it was, with the middle in proportion as the border.
   * @param serviceTimeMs of one answer, in milliseconds, the wait left out
   * @returns whether the object was at hand
   */
  isCacheHit (serviceTimeMs: number): boolean {
    return serviceTimeMs < Math.sqrt(this.hitMs * this.missMs)
  }

  /**
   * Before, a request must not be refused for how long its work might take: it
   * would never be learned that it takes less.
   * @returns whether enough answers came to rely on
   */
  get isLearned (): boolean {
    return this.sampleCount >= MIN_SAMPLES
  }

  /** @returns the bytes of an answer, on average */
  getBytes (): number {
    return this.meanAnswerBytes
  }

  /**
   * @param isCacheHit whether the worker handled the object lately
   * @param serviceTimeMs from sending to the answer, less the way and the wait
   * @param answerBytes the answer's length
   */
  observe (isCacheHit: boolean, serviceTimeMs: number, answerBytes: number): void {
    this.sampleCount++
    this.meanAnswerBytes += SMOOTHING_FACTOR * (answerBytes - this.meanAnswerBytes)
    const previousMs = this.getServiceTimeMs(isCacheHit)
    const clampedMs = Math.min(previousMs * MAX_SAMPLE_RATIO, Math.max(1, serviceTimeMs))
    const updatedMs = previousMs + SMOOTHING_FACTOR * (clampedMs - previousMs)
    if (isCacheHit) this.hitMs = updatedMs
    else this.missMs = updatedMs
  }
}
