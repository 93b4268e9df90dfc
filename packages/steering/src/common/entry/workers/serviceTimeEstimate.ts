/**
 * Estimates the service times of a route's requests from the answers. Cache hits and misses
 * are estimated separately, since a hit takes a third of the time or less where workers cache
 * objects.
 */
import type { RoutePolicy } from '../steeringDocument.js'

/** Weight of the newest answer. */
const SMOOTHING_FACTOR = 0.05
/** Service time of a cache miss before the first answer, relative to the route's latency goal. */
const INITIAL_MISS_RATIO = 1.2
/** Service time of a cache hit before the first answer, relative to the route's latency goal. */
const INITIAL_HIT_RATIO = 0.45
/** Answers needed before the estimate is relied on. */
const MIN_SAMPLES = 10
/** Limits the effect of one answer, relative to the current estimate, so that one frozen worker doesn't spoil it. */
const MAX_SAMPLE_RATIO = 3

/** The service times of one route at one service. */
export class ServiceTimeEstimate {
  private missMs: number
  private hitMs: number
  private meanAnswerBytes = 0
  private sampleCount = 0

  /** @param route its latency goal gives the initial estimates */
  constructor (route: RoutePolicy) {
    this.missMs = route.goalMs * INITIAL_MISS_RATIO
    this.hitMs = route.goalMs * INITIAL_HIT_RATIO
  }

  /**
   * @param isCacheHit whether the worker has the object cached
   * @returns the mean service time, in milliseconds
   */
  getServiceTimeMs (isCacheHit: boolean): number {
    return isCacheHit ? this.hitMs : this.missMs
  }

  /**
   * Tells a cache hit from a miss by its service time. A hit takes a third of the time or
   * less, so the geometric mean of the two estimates separates them.
   * @param serviceTimeMs service time of one answer, without the wait, in milliseconds
   * @returns whether the object was cached
   */
  isCacheHit (serviceTimeMs: number): boolean {
    return serviceTimeMs < Math.sqrt(this.hitMs * this.missMs)
  }

  /**
   * Until then no request may be rejected for its expected service time. Otherwise an initial
   * estimate that is too high would never be corrected.
   * @returns whether enough answers were observed to rely on the estimate
   */
  get hasEnoughSamples (): boolean {
    return this.sampleCount >= MIN_SAMPLES
  }

  /** @returns the mean length of an answer, in bytes */
  getMeanResponseBytes (): number {
    return this.meanAnswerBytes
  }

  /** @param answerBytes length of an answer, whose service time may be unknown */
  observeLength (answerBytes: number): void {
    this.meanAnswerBytes += SMOOTHING_FACTOR * (answerBytes - this.meanAnswerBytes)
  }

  /**
   * @param isCacheHit whether the worker had the object cached
   * @param serviceTimeMs time from sending to the answer, less the round trip and the wait
   * @param answerBytes length of the answer
   */
  observe (isCacheHit: boolean, serviceTimeMs: number, answerBytes: number): void {
    this.sampleCount++
    this.observeLength(answerBytes)
    const previousMs = this.getServiceTimeMs(isCacheHit)
    const clampedMs = Math.min(previousMs * MAX_SAMPLE_RATIO, Math.max(1, serviceTimeMs))
    const updatedMs = previousMs + SMOOTHING_FACTOR * (clampedMs - previousMs)
    if (isCacheHit) this.hitMs = updatedMs
    else this.missMs = updatedMs
  }
}

/** The estimates of all routes and services. */
export class ServiceTimeTable {
  private readonly estimates = new Map<string, ServiceTimeEstimate>()

  /**
   * @param route a route
   * @param service the service that the request goes to
   * @returns the service times of the route's requests there
   */
  get (route: RoutePolicy, service: string): ServiceTimeEstimate {
    const name = `${route.name} ${service}`
    let estimate = this.estimates.get(name)
    if (estimate === undefined) {
      estimate = new ServiceTimeEstimate(route)
      this.estimates.set(name, estimate)
    }
    return estimate
  }
}
