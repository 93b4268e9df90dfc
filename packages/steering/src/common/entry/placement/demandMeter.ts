/**
 * Measures the requests that arrive at this entry VM by service, and builds the row that tells them
 * to other VMs.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { AVERAGING_WINDOW_MS, RequestRate } from '../../rateLimits/requestRate.js'

const MS_PER_SECOND = 1_000
/** Until a meter has run this long, its rates are too low. */
const WARM_UP_MS = 3 * AVERAGING_WINDOW_MS
/** Limit on measured services. */
const MAX_SERVICES = 64
/** Limit on the text of a row; a message between VMs holds several rows. */
const MAX_ROW_CHARACTERS = 400
/** Slower rates are not told. */
const MIN_PER_SECOND = 0.05
const SIGNIFICANT_DIGITS = 3

/** Requests per second by service. */
export type ServiceRates = Readonly<Record<string, number>>

/** The rates of one entry VM. */
export class DemandMeter {
  private readonly rates = new Map<string, RequestRate>()

  /** @param startedAt when this VM began to get requests */
  constructor (private readonly startedAt: Instant) {}

  /**
   * @param service the service that a request is for
   * @param now when the request arrived
   */
  record (service: string, now: Instant): void {
    let rate = this.rates.get(service)
    if (rate === undefined) {
      if (this.rates.size >= MAX_SERVICES) this.removeSlowest(now)
      rate = new RequestRate()
      this.rates.set(service, rate)
    }
    rate.record(now)
  }

  /**
   * @param now the current time
   * @returns the rates of the services with the most requests; undefined until they are known
   */
  read (now: Instant): ServiceRates | undefined {
    if (now - this.startedAt < WARM_UP_MS) return undefined
    const content: Record<string, number> = {}
    let characters = 0
    for (const { service, perSecond } of this.listRates(now)) {
      characters += JSON.stringify([service, perSecond]).length
      if (perSecond < MIN_PER_SECOND || characters > MAX_ROW_CHARACTERS) break
      content[service] = perSecond
    }
    return content
  }

  /** Evicts the service with the fewest requests. */
  private removeSlowest (now: Instant): void {
    const slowest = this.listRates(now).at(-1)
    if (slowest !== undefined) this.rates.delete(slowest.service)
  }

  private listRates (now: Instant): Array<{ readonly service: string, readonly perSecond: number }> {
    return [...this.rates]
      .map(([service, rate]) => ({ service, perSecond: Number(rate.estimate(now, MS_PER_SECOND).toPrecision(SIGNIFICANT_DIGITS)) }))
      .sort((left, right) => right.perSecond - left.perSecond)
  }
}
