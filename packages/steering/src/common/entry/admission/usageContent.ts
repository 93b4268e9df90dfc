/**
 * The content of the rows by which VMs exchange the usage of services: `[[service, priority, asked, owed, served, [[account,
 * asked], ...]], ...]`. Its size is bounded whatever the number of accounts; the lightest accounts are left out first.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { countBytes, MAX_CONTENT_BYTES } from '../exchange/contentSize.js'
import { type DomainAggregation, type ExchangeContent, type ExchangeRow, ExchangeTopic } from '../exchange/exchangeRow.js'
import { listHeaviest, MAX_TOLD_ACCOUNTS, mergeUsages, type PriorityUsage, type Usage } from './serviceUsage.js'

/** Limits on what is believed of other VMs. */
const MAX_PARTS = 64
const MAX_ACCOUNTS = 64
const MAX_NAME_LENGTH = 200
const MAX_COUNT = 1_000_000
/** Rows of a VM that are older are left out of its failure domain's sum. */
export const USAGE_VALIDITY_MS = 4_000

interface UsagePart { readonly service: string, readonly priority: number, readonly usage: PriorityUsage }

function formatCount (count: number): number {
  return Math.round(count * 10) / 10
}

function encodePart ({ service, priority, usage }: UsagePart, accounts: ReadonlyArray<readonly [string, number]>): ExchangeContent {
  return [service, priority, formatCount(usage.asked), formatCount(usage.owed), formatCount(usage.served), accounts.map(([name, asked]) => [name, formatCount(asked)])]
}

/**
 * @param usage the usage to tell
 * @returns the content of its row; undefined if there is none
 */
export function encodeUsage (usage: Usage): ExchangeContent | undefined {
  const parts: UsagePart[] = []
  for (const [service, byPriority] of usage) for (const [priority, part] of byPriority) parts.push({ service, priority, usage: part })
  parts.sort((left, right) => right.usage.asked - left.usage.asked)
  const told = listFitting(parts).map((part) => ({ part, accounts: listHeaviest(part.usage.accounts, MAX_TOLD_ACCOUNTS) }))
  if (told.length === 0) return undefined
  for (let limit = MAX_TOLD_ACCOUNTS; limit > 0; limit >>= 1) {
    const content = told.map(({ part, accounts }) => encodePart(part, accounts.slice(0, limit)))
    if (countBytes(content) <= MAX_CONTENT_BYTES) return content
  }
  return told.map(({ part }) => encodePart(part, []))
}

/** @returns the first parts whose content fits into a row without accounts */
function listFitting (parts: readonly UsagePart[]): readonly UsagePart[] {
  // The brackets of the list; each part but the first one follows a comma.
  let bytes = 1
  for (const [index, part] of parts.entries()) {
    bytes += countBytes(encodePart(part, [])) + 1
    if (bytes > MAX_CONTENT_BYTES) return parts.slice(0, index)
  }
  return parts
}

function isCount (value: unknown): value is number {
  return typeof value === 'number' && value >= 0 && value <= MAX_COUNT
}

function isName (value: unknown): value is string {
  return typeof value === 'string' && value.length > 0 && value.length <= MAX_NAME_LENGTH
}

function decodeAccounts (content: unknown, asked: number): Map<string, number> {
  const accounts = new Map<string, number>()
  if (!Array.isArray(content)) return accounts
  for (const entry of content.slice(0, MAX_ACCOUNTS) as unknown[]) {
    // An account can't have asked more than all accounts together.
    if (Array.isArray(entry) && isName(entry[0]) && isCount(entry[1])) accounts.set(entry[0], Math.min(asked, entry[1]))
  }
  return accounts
}

/**
 * @param content the content of a row of another VM; what it should not contain is left out
 * @returns the usage
 */
export function decodeUsage (content: unknown): Usage {
  const usage = new Map<string, Map<number, PriorityUsage>>()
  if (!Array.isArray(content)) return usage
  for (const part of content.slice(0, MAX_PARTS) as unknown[]) {
    if (!Array.isArray(part)) continue
    const [service, priority, asked, owed, served, accounts] = part as unknown[]
    if (!isName(service) || !isCount(priority) || !isCount(asked) || !isCount(owed) || !isCount(served)) continue
    const byPriority = usage.get(service) ?? new Map<number, PriorityUsage>()
    byPriority.set(priority, { asked, owed: Math.min(asked, owed), served: Math.min(asked, owed, served), accounts: decodeAccounts(accounts, asked) })
    usage.set(service, byPriority)
  }
  return usage
}

/**
 * @param rows rows of the usage of different VMs or failure domains
 * @param now the current time
 * @returns the sum of those that are recent
 */
export function mergeUsageRows (rows: Iterable<ExchangeRow>, now: Instant): Usage {
  const usages: Usage[] = []
  for (const { content, at } of rows) if (Math.abs(now - at) <= USAGE_VALIDITY_MS) usages.push(decodeUsage(content))
  return mergeUsages(usages)
}

/** Sums up the usage of a failure domain's VMs. */
export const USAGE_AGGREGATION: DomainAggregation = {
  from: ExchangeTopic.VmUsage,
  to: ExchangeTopic.DomainUsage,
  compute: (rows, now) => encodeUsage(mergeUsageRows(rows, now))
}
