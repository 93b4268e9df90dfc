/** The token bucket of one account in one quota share: limits how many requests the share's owner may grant. */
import type { Instant } from '@umberspar/base/common/clock'
import type { QuotaBucketParameters } from './bucketParameters.js'

export class QuotaBucket {
  private tokens: number

  /**
   * @param parameters rate and size of the bucket
   * @param updatedAt when it begins to fill
   */
  constructor (private parameters: QuotaBucketParameters, private updatedAt: Instant) {
    this.tokens = Math.min(parameters.initialTokens, parameters.capacity)
  }

  /**
   * Replaces the parameters; a smaller capacity takes effect at once.
   * @param newParameters rate and size of the bucket from now on
   * @param now the current time
   */
  setParameters (newParameters: QuotaBucketParameters, now: Instant): void {
    this.updateTokens(now)
    this.parameters = newParameters
    this.tokens = Math.min(this.tokens, newParameters.capacity)
  }

  /**
   * @param wanted how many requests are asked for
   * @param now the current time
   * @returns how many of them are granted, a whole number
   */
  take (wanted: number, now: Instant): number {
    this.updateTokens(now)
    const granted = Math.min(wanted, Math.floor(this.tokens))
    this.tokens -= granted
    return granted
  }

  /**
   * @param count requests that were granted and will definitely not be sent
   * @param now the current time
   */
  return (count: number, now: Instant): void {
    this.updateTokens(now)
    this.tokens = Math.min(this.parameters.capacity, this.tokens + count)
  }

  /**
   * @param now the current time
   * @returns how long until the next request can be granted, in milliseconds
   */
  getWaitMs (now: Instant): number {
    this.updateTokens(now)
    return this.tokens >= 1 ? 0 : (1 - this.tokens) / this.parameters.refillPerMs
  }

  private updateTokens (now: Instant): void {
    const elapsedMs = Math.max(0, now - this.updatedAt)
    this.tokens = Math.min(this.parameters.capacity, this.tokens + elapsedMs * this.parameters.refillPerMs)
    this.updatedAt = now
  }
}
