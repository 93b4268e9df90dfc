/**
 * The rows about demand that entry VMs exchange: relays add up those of the VMs of a failure domain,
 * and every VM estimates from the sums what arrives in each region.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { countBytes, MAX_CONTENT_BYTES } from '../exchange/contentSize.js'
import { type DomainAggregation, type ExchangeContent, type ExchangeRow, ExchangeTopic } from '../exchange/exchangeRow.js'
import type { ServiceRates } from './demandMeter.js'

/** A VM that is silent or restarts counts with its last rates for this long. */
const VM_ROW_VALIDITY_MS = 15_000
/** A failure domain that isn't heard of counts with its last rates for this long. */
const DOMAIN_ROW_VALIDITY_MS = 15_000
/** Higher rates are errors. */
const MAX_PER_SECOND = 1_000_000
/** Limit on the services of a row. */
const MAX_SERVICES = 64
/** Left for the names and the number of VMs beside the rates of a row. */
const FRAME_BYTES = 50
const SIGNIFICANT_DIGITS = 4
/** With rows of fewer VMs than this, demand is unknown. */
const MIN_KNOWN_VM_RATIO = 0.5

/** What is known of one failure domain. */
export interface DomainDemand {
  /** The VMs that the rates are from. */
  readonly vmCount: number
  readonly rates: ServiceRates
}

/** An entry VM of a failure domain. */
export interface DomainMember {
  readonly domain: string
}

/** Adds up the rates of a failure domain's VMs. */
export const domainDemandAggregation: DomainAggregation = {
  from: ExchangeTopic.VmDemand,
  to: ExchangeTopic.DomainDemand,
  compute (rows: Iterable<ExchangeRow>, now: Instant): ExchangeContent | undefined {
    let vmCount = 0
    const sums = new Map<string, number>()
    for (const { content, at } of rows) {
      const vmRates = now - at > VM_ROW_VALIDITY_MS ? undefined : parseRates(content)
      if (vmRates === undefined) continue
      vmCount++
      for (const [service, perSecond] of Object.entries(vmRates)) sums.set(service, (sums.get(service) ?? 0) + perSecond)
    }
    return vmCount === 0 ? undefined : { vms: vmCount, rates: chooseTopRates(sums) }
  }
}

/**
 * @param rows the rows of all failure domains
 * @param now the current time
 * @returns the valid content of those that still count, by failure domain
 */
export function parseDomainDemand (rows: Iterable<ExchangeRow>, now: Instant): Map<string, DomainDemand> {
  const demandByDomain = new Map<string, DomainDemand>()
  for (const { key, content, at } of rows) {
    if (now - at > DOMAIN_ROW_VALIDITY_MS || !isRecord(content)) continue
    const rates = parseRates(content['rates'])
    const vmCount = content['vms']
    if (rates !== undefined && typeof vmCount === 'number' && Number.isInteger(vmCount) && vmCount > 0) demandByDomain.set(key, { vmCount, rates })
  }
  return demandByDomain
}

/**
 * VMs that tell no rates count as the mean of those of their failure domain that do, or else of
 * those of their region, or else of all.
 * @param service a service
 * @param demandByDomain what is known of the failure domains
 * @param members all registered entry VMs
 * @param regionByDomain all failure domains with their regions
 * @returns requests per second of the service by region; undefined if too little is known
 */
export function estimateRegionDemand (service: string, demandByDomain: ReadonlyMap<string, DomainDemand>, members: Iterable<DomainMember>, regionByDomain: ReadonlyMap<string, string>): Map<string, number> | undefined {
  const vmCountByDomain = countMembers(members, regionByDomain)
  const fleet = new RateSum()
  const sumByRegion = new Map([...regionByDomain.values()].map((region) => [region, new RateSum()]))
  for (const [domain, vmCount] of vmCountByDomain) {
    const known = demandByDomain.get(domain)
    if (known === undefined) continue
    for (const sum of [sumByRegion.get(regionByDomain.get(domain)!)!, fleet]) sum.add(computePerVm(known, service), Math.min(known.vmCount, vmCount))
  }
  const registeredCount = [...vmCountByDomain.values()].reduce((sum, vmCount) => sum + vmCount, 0)
  if (fleet.perSecond === 0 || fleet.vmCount < MIN_KNOWN_VM_RATIO * registeredCount) return undefined
  const demand = new Map([...sumByRegion.keys()].map((region) => [region, 0]))
  for (const [domain, vmCount] of vmCountByDomain) {
    const region = regionByDomain.get(domain)!
    const known = demandByDomain.get(domain)
    const perVm = known === undefined ? sumByRegion.get(region)!.mean ?? fleet.mean ?? 0 : computePerVm(known, service)
    demand.set(region, demand.get(region)! + perVm * vmCount)
  }
  return demand
}

/** Rates of several VMs. */
class RateSum {
  vmCount = 0
  perSecond = 0

  /** The mean of the VMs; undefined without any. */
  get mean (): number | undefined {
    return this.vmCount === 0 ? undefined : this.perSecond / this.vmCount
  }

  add (perVm: number, vmCount: number): void {
    this.vmCount += vmCount
    this.perSecond += perVm * vmCount
  }
}

function computePerVm ({ rates, vmCount }: DomainDemand, service: string): number {
  return Object.hasOwn(rates, service) ? rates[service]! / vmCount : 0
}

/** @returns the rates of the services with the most requests, as many as fit into a row */
function chooseTopRates (sums: ReadonlyMap<string, number>): ServiceRates {
  const entries: Array<[string, number]> = []
  let bytes = 0
  for (const [service, sum] of [...sums].sort(([, left], [, right]) => right - left)) {
    const perSecond = Number(sum.toPrecision(SIGNIFICANT_DIGITS))
    bytes += countBytes([service, perSecond])
    if (bytes > MAX_CONTENT_BYTES - FRAME_BYTES) break
    entries.push([service, perSecond])
  }
  return Object.fromEntries(entries)
}

function countMembers (members: Iterable<DomainMember>, regionByDomain: ReadonlyMap<string, string>): Map<string, number> {
  const counts = new Map<string, number>()
  for (const { domain } of members) {
    if (regionByDomain.has(domain)) counts.set(domain, (counts.get(domain) ?? 0) + 1)
  }
  return counts
}

/** @returns the valid rates of a row; undefined if it holds none at all */
function parseRates (content: ExchangeContent | undefined): ServiceRates | undefined {
  if (!isRecord(content)) return undefined
  const rates = Object.entries(content).slice(0, MAX_SERVICES).filter((entry): entry is [string, number] => {
    const [, perSecond] = entry
    return typeof perSecond === 'number' && perSecond >= 0 && perSecond <= MAX_PER_SECOND
  })
  return Object.fromEntries(rates)
}

function isRecord (content: ExchangeContent | undefined): content is Readonly<Record<string, ExchangeContent>> {
  return typeof content === 'object' && content !== null && !Array.isArray(content)
}
