/**
 * The entry VMs among which limits are divided: all that may send requests. These are the members of the fleet,
 * registered or not, as callers reach a VM also while its registration has expired, and VMs that are registered but
 * not members yet.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { RecentMaximum } from '../recentMaximum.js'
import type { EntryNode, FleetMember } from '../records.js'
import type { StoredRecord } from '../storedRecord.js'
import { findRank } from './dealRequests.js'

/** Limits the ranks that are remembered. */
const MAX_CACHED_RANKS = 4_096

/** A list of VMs, with this VM's ranks in it. */
export class SharerList {
  private readonly ranks = new Map<string, number>()

  /**
   * @param names the names of the VMs, this one included
   * @param self this VM's name
   */
  constructor (readonly names: readonly string[], private readonly self: string) {}

  get count (): number {
    return this.names.length
  }

  /**
   * @param key the key to rank the VMs for, such as a worker's id
   * @returns this VM's rank, from 0
   */
  getRank (key: string): number {
    let rank = this.ranks.get(key)
    if (rank === undefined) {
      if (this.ranks.size >= MAX_CACHED_RANKS) this.ranks.clear()
      rank = findRank(key, this.names, this.self)
      this.ranks.set(key, rank)
    }
    return rank
  }
}

/** The sharers that one VM knows. */
export class Sharers {
  /** The members of the fleet, by name. */
  readonly members = new Map<string, StoredRecord<FleetMember>>()
  private readonly recentCount: RecentMaximum
  private cachedFleet: SharerList | undefined
  private cachedDomain: SharerList | undefined

  /**
   * @param self this VM
   * @param nodes the registered VMs; see {@link Sharers.handleNodesChanged}
   * @param recentMs for how long VMs are counted as recent, in milliseconds
   */
  constructor (private readonly self: FleetMember, private readonly nodes: ReadonlyMap<string, EntryNode>, recentMs = 0) {
    this.recentCount = new RecentMaximum(recentMs, this.fleet.count)
  }

  /** @returns the sharers of all failure domains; a new list after each change */
  get fleet (): SharerList {
    this.cachedFleet ??= this.buildList(() => true)
    return this.cachedFleet
  }

  /** @returns the sharers of this VM's failure domain; a new list after each change */
  get ownDomain (): SharerList {
    this.cachedDomain ??= this.buildList((domain) => domain === this.self.domain)
    return this.cachedDomain
  }

  /**
   * @param now the current time
   * @returns the most sharers of late
   */
  getRecentCount (now: Instant): number {
    return this.recentCount.get(now)
  }

  /**
   * @param member a VM among which limits are divided from now on
   * @param now the current time
   */
  putMember (member: StoredRecord<FleetMember>, now: Instant): void {
    this.members.set(member.value.name, member)
    this.handleNodesChanged(now)
  }

  /**
   * @param name a VM that spends nothing any more
   * @param now the current time
   */
  removeMember (name: string, now: Instant): void {
    this.members.delete(name)
    this.handleNodesChanged(now)
  }

  /** Builds the lists again when they are needed, after a change of the registered VMs. */
  handleNodesChanged (now: Instant): void {
    this.cachedFleet = undefined
    this.cachedDomain = undefined
    this.recentCount.update(this.fleet.count, now)
  }

  private buildList (isIncluded: (domain: string) => boolean): SharerList {
    const names = new Set([this.self.name])
    for (const { name, domain } of this.nodes.values()) if (isIncluded(domain)) names.add(name)
    for (const { value: { name, domain } } of this.members.values()) if (isIncluded(domain)) names.add(name)
    return new SharerList([...names], this.self.name)
  }
}
