/**
 * What entry VMs publish about services whose workers they can't reach, so that requests are
 * relayed to VMs that reach them. It only orders the VMs: one that is said to have lost a service is
 * asked if all others are said to have lost it too, or can't take the request.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { countBytes, MAX_CONTENT_BYTES } from '../exchange/contentSize.js'
import type { ExchangeContent, ExchangeRow } from '../exchange/exchangeRow.js'

/** How often a VM repeats its row while it has lost services. */
export const LOST_SERVICES_RENEWAL_MS = 1_000
/** Older rows don't count. */
const LOST_SERVICES_LIFETIME_MS = 3_000

/**
 * @param rows the newest row of each VM
 * @param service a service
 * @param now the current time
 * @returns the names of the VMs that are said not to reach the service's workers
 */
export function listVmsWithout (rows: Iterable<ExchangeRow>, service: string, now: Instant): Set<string> {
  const names = new Set<string>()
  for (const { key, content, at } of rows) {
    // The time of another VM's row is an estimate, which may be ahead of this VM's clock.
    if (Math.abs(now - at) <= LOST_SERVICES_LIFETIME_MS && hasService(content, service)) names.add(key)
  }
  return names
}

/**
 * @param services the services whose workers this VM can't reach
 * @returns the content of its row: as many of them as fit
 */
export function encodeLostServices (services: readonly string[]): ExchangeContent {
  const content: string[] = []
  let bytes = 0
  for (const service of services) {
    bytes += countBytes(service) + 1
    if (bytes >= MAX_CONTENT_BYTES) break
    content.push(service)
  }
  return content
}

function hasService (content: ExchangeContent, service: string): boolean {
  return Array.isArray(content) && content.includes(service)
}
