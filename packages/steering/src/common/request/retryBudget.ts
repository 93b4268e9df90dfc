/**
 * Limits the retries and hedges of a service. Each first attempt adds a fraction of
 * a token, each retry or hedge consumes a whole one. In an outage, where every
 * attempt fails, the upstreams therefore receive at most (1 + fraction) times the
 * load of first attempts, plus the tokens held at the start.
 */

/** Initial and maximum number of tokens; enough for a service with little traffic to retry immediately when a worker fails. */
export const MAX_RETRY_TOKENS = 10
const TOKENS_PER_RETRY = 1
/** Due to rounding, sums of fractions such as 0.1 may be slightly less than a whole token. */
const ROUNDING_TOLERANCE = 1e-9

/** The retry budget of one service at one entry VM. */
export class RetryBudget {
  private tokens: number

  /**
   * @param tokensPerRequest tokens added by each first attempt, from 0 to 1
   * @param maxTokens initial and maximum number of tokens
   */
  constructor (private tokensPerRequest: number, private readonly maxTokens = MAX_RETRY_TOKENS) {
    this.tokens = tokensPerRequest === 0 ? 0 : maxTokens
  }

  /** @returns whether a retry or hedge may be made now */
  get hasToken (): boolean {
    return this.tokens >= TOKENS_PER_RETRY - ROUNDING_TOLERANCE
  }

  /** @param tokensPerRequest the fraction in a new configuration; the available tokens are kept unless it is 0 */
  setTokensPerRequest (tokensPerRequest: number): void {
    this.tokensPerRequest = tokensPerRequest
    if (tokensPerRequest === 0) this.tokens = 0
  }

  /** Adds the tokens earned by one first attempt. */
  recordFirstAttempt (): void {
    this.tokens = Math.min(this.maxTokens, this.tokens + this.tokensPerRequest)
  }

  /** Consumes a token; the caller must have checked {@link RetryBudget.hasToken} in the same turn of the event loop. */
  consumeToken (): void {
    this.tokens = Math.max(0, this.tokens - TOKENS_PER_RETRY)
  }
}
