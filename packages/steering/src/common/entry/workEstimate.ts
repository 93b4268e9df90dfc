/**
 * How long a route's requests keep a worker busy, learned from answers: apart for
 * objects that the worker handled lately and for others, since the former take a
 * third of the time or less where workers keep objects in memory.
 */
import type { RoutePolicy } from './steeringDocument.js'

/** How much the newest answer counts. */
const GAIN = 0.05
/** Before any answer, work on a new object is taken to last this part of the route's goal. */
const FIRST_COLD_PART = 1.2
/** The same for an object that the worker handled lately. */
const FIRST_WARM_PART = 0.45
/** So many answers make an estimate. */
const LEARNED_ANSWERS = 10
/** A single answer moves the estimate by no more than this factor; one frozen worker must not spoil it. */
const MOST_FACTOR = 3

/** The estimate of one route. */
export class WorkEstimate {
  private coldMs: number
  private warmMs: number
  private bytes = 0
  private answers = 0

  /** @param route the route whose goal gives the first estimate */
  constructor (route: RoutePolicy) {
    this.coldMs = route.goalMs * FIRST_COLD_PART
    this.warmMs = route.goalMs * FIRST_WARM_PART
  }

  /**
   * @param isWarm whether the worker handled the object lately
   * @returns milliseconds of work
   */
  getWork (isWarm: boolean): number {
    return isWarm ? this.warmMs : this.coldMs
  }

  /**
   * Work on an object that is at hand takes a third of the time or less, so that an
   * answer's time tells which it was, with the middle in proportion as the border.
   * @param workMs of one answer, in milliseconds, the wait left out
   * @returns whether the object was at hand
   */
  isWarmWork (workMs: number): boolean {
    return workMs < Math.sqrt(this.warmMs * this.coldMs)
  }

  /**
   * Before, a request must not be refused for how long its work might take: it
   * would never be learned that it takes less.
   * @returns whether enough answers came to rely on
   */
  get isLearned (): boolean {
    return this.answers >= LEARNED_ANSWERS
  }

  /** @returns the bytes of an answer, on average */
  getBytes (): number {
    return this.bytes
  }

  /**
   * @param isWarm whether the worker handled the object lately
   * @param workMs from sending to the answer, less the way and the wait
   * @param bytes the answer's length
   */
  observe (isWarm: boolean, workMs: number, bytes: number): void {
    this.answers++
    this.bytes += GAIN * (bytes - this.bytes)
    const known = this.getWork(isWarm)
    const bounded = Math.min(known * MOST_FACTOR, Math.max(1, workMs))
    const updated = known + GAIN * (bounded - known)
    if (isWarm) this.warmMs = updated
    else this.coldMs = updated
  }
}
