/**
 * Defines the shares that quotas are divided into, and which VMs may claim them. All VMs
 * compute the same result from the failure domains and the list of VMs. That a share has
 * at most one owner is enforced by the store.
 */
import { rankByRendezvous } from '../lookup/rendezvous.js'
import { computeHash32 } from '../hash/xxHash.js'
import type { EntryNode } from '../entry/records.js'

/** Each share of a failure domain serves a part of the accounts to all VMs of the domain. */
const SHARES_PER_DOMAIN = 2
/** With more domains, a small account would get less than one request per second in each of them. */
const MAX_DOMAINS_PER_ACCOUNT = 8
/** Further VMs may claim a share in case the first is down or partitioned. */
const MAX_CLAIMANTS_PER_SHARE = 3
/** How long a VM waits for each claimant that ranks higher before it claims a free share. */
const CLAIM_DELAY_PER_RANK_MS = 1_000
/** How long a free share is left to VMs of its domain, and as long again to VMs of its region, as these may still be starting. */
const CLAIM_DELAY_PER_DISTANCE_MS = 3_000

/** The region of each failure domain. */
export type RegionByDomain = ReadonlyMap<string, string>

/** A share of the quotas of many accounts, owned by at most one VM at a time. */
export interface QuotaShare {
  /** Unique in the deployment. */
  readonly name: string
  readonly domain: string
}

function createShare (domain: string, index: number): QuotaShare {
  return { name: `${domain}-${index}`, domain }
}

/**
 * @param regionByDomain the regions of all failure domains
 * @returns all shares of the deployment
 */
export function listShares (regionByDomain: RegionByDomain): QuotaShare[] {
  return [...regionByDomain.keys()].flatMap((domain) => Array.from({ length: SHARES_PER_DOMAIN }, (_, index) => createShare(domain, index)))
}

/**
 * @param account an account's name
 * @param regionByDomain the regions of all failure domains
 * @returns the shares that its quota is divided among
 */
export function listAccountShares (account: string, regionByDomain: RegionByDomain): QuotaShare[] {
  const domains = [...regionByDomain.keys()]
  const chosen = domains.length <= MAX_DOMAINS_PER_ACCOUNT ? domains : rankByRendezvous(`quota/${account}`, domains).slice(0, MAX_DOMAINS_PER_ACCOUNT)
  const index = computeHash32(account) % SHARES_PER_DOMAIN
  return chosen.map((domain) => createShare(domain, index))
}

/**
 * Groups shares by their distance from a VM: in its failure domain, in its region, elsewhere.
 * @param shares the shares to group
 * @param domain the VM's failure domain
 * @param regionByDomain the regions of all failure domains
 * @returns the groups that aren't empty, the nearest first
 */
export function splitByDistance (shares: readonly QuotaShare[], domain: string, regionByDomain: RegionByDomain): QuotaShare[][] {
  const isInDomain = (share: QuotaShare): boolean => share.domain === domain
  const isInRegion = (share: QuotaShare): boolean => regionByDomain.get(share.domain) === regionByDomain.get(domain)
  const groups = [
    shares.filter(isInDomain),
    shares.filter((share) => !isInDomain(share) && isInRegion(share)),
    shares.filter((share) => !isInRegion(share))
  ]
  return groups.filter((group) => group.length > 0)
}

/**
 * Determines which VMs may claim a share and when: VMs of its failure domain, or of its region
 * if the domain has none, or else any. The first VM of its domain claims it immediately, the
 * others after a delay, as VMs that start at the same time know few of each other at first.
 * @param share the share to claim
 * @param nodes all registered entry VMs
 * @param regionByDomain the regions of all failure domains
 * @returns how long each claimant waits before it claims the free share, in milliseconds, by VM name
 */
export function planClaims (share: QuotaShare, nodes: readonly EntryNode[], regionByDomain: RegionByDomain): Map<string, number> {
  const inDomain = nodes.filter(({ domain }) => domain === share.domain)
  const inRegion = nodes.filter(({ domain }) => regionByDomain.get(domain) === regionByDomain.get(share.domain))
  const groups = [inDomain, inRegion, nodes]
  const distance = groups.findIndex((group) => group.length > 0)
  const ranked = rankByRendezvous(`share/${share.name}`, (groups[distance] ?? []).map(({ name }) => name))
  return new Map(ranked.slice(0, MAX_CLAIMANTS_PER_SHARE).map((name, rank) => [name, distance * CLAIM_DELAY_PER_DISTANCE_MS + rank * CLAIM_DELAY_PER_RANK_MS]))
}
