/** The usage of services at all entry VMs, as one VM knows it from the exchange. */
import type { Instant } from '@umberspar/base/common/clock'
import { ExchangeTopic, type IFleetExchange } from '../exchange/exchangeRow.js'
import type { ServiceUsage, Usage } from './serviceUsage.js'
import { mergeUsageRows, USAGE_VALIDITY_MS } from './usageContent.js'

/** The usage of one service at the VMs that tell. */
export interface KnownUsage {
  readonly usage: ServiceUsage
  /** Whether the sum of this VM's own failure domain is among them. */
  readonly includesThisVm: boolean
  /** Age of the oldest sum that counts, in milliseconds. */
  readonly ageMs: number
}

/** The rows are summed up again after this time. */
const REFRESH_MS = 500

/** The usage of all services. */
export class FleetUsage {
  private usage: Usage = new Map()
  private includesThisVm = false
  private oldestAt: Instant = 0
  private validUntil: Instant = Number.NEGATIVE_INFINITY

  /**
   * @param exchange the exchange between VMs; undefined if there is none
   * @param domain this VM's failure domain
   */
  constructor (private readonly exchange: Pick<IFleetExchange, 'listRows'> | undefined, private readonly domain: string) {}

  /**
   * @param service a service
   * @param now the current time
   * @returns what is known; undefined if nothing recent is
   */
  get (service: string, now: Instant): KnownUsage | undefined {
    if (now >= this.validUntil) this.update(now)
    const usage = this.usage.get(service)
    return usage === undefined ? undefined : { usage, includesThisVm: this.includesThisVm, ageMs: Math.max(0, now - this.oldestAt) }
  }

  private update (now: Instant): void {
    this.validUntil = now + REFRESH_MS
    if (this.exchange === undefined) return
    const rows = [...this.exchange.listRows(ExchangeTopic.DomainUsage)].filter(({ at }) => Math.abs(now - at) <= USAGE_VALIDITY_MS)
    this.usage = mergeUsageRows(rows, now)
    this.includesThisVm = rows.some(({ key }) => key === this.domain)
    this.oldestAt = Math.min(now, ...rows.map(({ at }) => at))
  }
}
