/**
 * How many repetitions a service may cost. Each first attempt earns a part of a
 * token, each retry or hedge spends one. In an outage, where every attempt fails,
 * the upstreams therefore get at most (1 + fraction) times the load, plus the burst.
 */

/** Tokens held at the start and at most, so that one failed worker in a quiet service is retried at once. */
export const RETRY_BURST = 10
const TOKEN = 1
/** Sums of fractions such as 0.1 fall short of whole tokens by rounding. */
const ROUNDING = 1e-9

/** The retry budget of one service at one entry VM. */
export class RetryBudget {
  private tokens: number

  /**
   * @param fraction tokens earned by each first attempt, 0 to 1
   * @param burst tokens held at the start and at most
   */
  constructor (private fraction: number, private readonly burst = RETRY_BURST) {
    this.tokens = fraction === 0 ? 0 : burst
  }

  /** @returns whether a repetition may be made now */
  get hasToken (): boolean {
    return this.tokens >= TOKEN - ROUNDING
  }

  /** @param fraction a new configuration's fraction; tokens held stay unless it is 0 */
  setFraction (fraction: number): void {
    this.fraction = fraction
    if (fraction === 0) this.tokens = 0
  }

  /** Notes a first attempt. */
  recordFirst (): void {
    this.tokens = Math.min(this.burst, this.tokens + this.fraction)
  }

  /** Spends a token; the caller has looked at `hasToken` in the same turn of the loop. */
  take (): void {
    this.tokens = Math.max(0, this.tokens - TOKEN)
  }
}
