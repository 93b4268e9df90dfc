/**
 * The entry VMs among which limits are divided, by region: those on the VM list
 * and those that were removed from it less than a grace period ago. Reachability
 * is not considered, so a network partition never frees a share.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import type { EntryCandidate } from '../lookup/decideLookup.js'
import { type VmListSnapshot, VmRole } from '../ports/vmList.js'

/** Durations that decide which entry VMs have a share. */
export interface RosterPolicy {
  /**
   * How long a VM keeps its share after it was removed from the list. It may be
   * unable to read the list and still send requests, so this must exceed
   * {@link RosterPolicy.maxListAgeMs}, the delay of the list and the longest
   * request together.
   */
  readonly removalGraceMs: number
  /** A node that has not confirmed its VM list for this long starts no request on its own share. */
  readonly maxListAgeMs: number
}

/** Up to this size a fleet reads the VM list at the highest rate. */
const MAX_SMALL_FLEET_VMS = 32
/** Limit on the list's age in a small fleet, before the minimum is applied. */
const BASE_LIST_AGE_LIMIT_MS = 2_500
const MIN_LIST_AGE_LIMIT_MS = 10_000
const MAX_LIST_AGE_LIMIT_MS = 75_000
/** Covers the delay of the VM list and the longest request. */
const REMOVAL_GRACE_MARGIN_MS = 50_000
/** If every read for this long returns an older version, the list's version counter has been reset. */
const LIST_RESET_DELAY_MS = 60_000

/**
 * Computes the durations for a fleet size. A larger fleet reads the list less
 * often (every 1 s to 30 s), so it must accept an older list.
 * @param fleetSize number of entry VMs on the list
 * @returns the durations
 */
export function computeRosterPolicy (fleetSize: number): RosterPolicy {
  const scale = Math.max(1, fleetSize / MAX_SMALL_FLEET_VMS)
  const maxListAgeMs = Math.min(MAX_LIST_AGE_LIMIT_MS, Math.max(MIN_LIST_AGE_LIMIT_MS, BASE_LIST_AGE_LIMIT_MS * scale))
  return { maxListAgeMs, removalGraceMs: maxListAgeMs + REMOVAL_GRACE_MARGIN_MS }
}

interface RosterMember {
  readonly candidate: EntryCandidate
  /** When its share ends; undefined while it is on the list. */
  expiresAt: Deadline | undefined
}

/** The roster as known to one node. */
export class Roster {
  private readonly memberById = new Map<string, RosterMember>()
  private confirmedUntil: Deadline = -Infinity
  private latestVersion = -1

  private fleetSize = 0
  private olderListSince: Instant | undefined

  /** @param computePolicy computes the durations from the number of entry VMs on the list */
  constructor (private readonly computePolicy: (fleetSize: number) => RosterPolicy = computeRosterPolicy) {}

  /** @returns the durations for the current fleet size */
  get policy (): RosterPolicy {
    return this.computePolicy(this.fleetSize)
  }

  /** @returns the version of the VM list in use; -1 before the first */
  get listVersion (): number {
    return this.latestVersion
  }

  /**
   * Applies a reading of the VM list. A list older than one seen before is
   * ignored and doesn't confirm the roster: it may come from a replica that is
   * partitioned from the others.
   * @param snapshot the list
   * @param askedAt when the list was requested
   * @param now the current time
   */
  observeList (snapshot: VmListSnapshot, askedAt: Instant, now: Instant): void {
    if (snapshot.version < this.latestVersion && !this.isReset(now)) return
    this.olderListSince = undefined
    this.fleetSize = snapshot.vms.filter((vm) => vm.role === VmRole.Entry).length
    this.confirmedUntil = Math.max(this.confirmedUntil, createDeadline(askedAt, this.policy.maxListAgeMs))
    if (snapshot.version === this.latestVersion) return
    this.latestVersion = snapshot.version
    const listed = new Set<string>()
    for (const vm of snapshot.vms) {
      if (vm.role !== VmRole.Entry) continue
      listed.add(vm.vmId)
      const candidate = { nodeId: vm.vmId, region: vm.region, failureDomain: vm.failureDomain }
      this.memberById.set(vm.vmId, { candidate, expiresAt: undefined })
    }
    for (const [nodeId, member] of this.memberById) {
      if (!listed.has(nodeId)) member.expiresAt ??= createDeadline(now, this.policy.removalGraceMs)
    }
  }

  /** Without this check, a list that was set up again would be ignored forever, and this node would never regain its share. */
  private isReset (now: Instant): boolean {
    this.olderListSince ??= now
    return hasPassed(createDeadline(this.olderListSince, LIST_RESET_DELAY_MS), now)
  }

  /**
   * Adds removed VMs that a peer still counts. A process that has just started
   * doesn't know which VMs were removed before, and would otherwise divide shares
   * that are still in use.
   * @param removed VMs that are no longer on the list but keep their shares at a peer
   * @param now the current time, from which their grace period starts again
   */
  addRemoved (removed: readonly EntryCandidate[], now: Instant): void {
    for (const candidate of removed) {
      if (this.memberById.has(candidate.nodeId)) continue
      this.memberById.set(candidate.nodeId, { candidate, expiresAt: createDeadline(now, this.policy.removalGraceMs) })
    }
  }

  /** @returns VMs of all regions that are no longer on the list but keep their shares */
  listRemoved (): EntryCandidate[] {
    return [...this.memberById.values()].filter(({ expiresAt }) => expiresAt !== undefined).map((member) => member.candidate)
  }

  /**
   * Removes VMs whose grace period has passed.
   * @param now the current time
   */
  step (now: Instant): void {
    for (const [nodeId, { expiresAt }] of this.memberById) {
      if (expiresAt !== undefined && hasPassed(expiresAt, now)) this.memberById.delete(nodeId)
    }
  }

  /**
   * @param region a region
   * @returns its members, sorted by id
   */
  listMembers (region: string): EntryCandidate[] {
    const members = [...this.memberById.values()].map((member) => member.candidate).filter((candidate) => candidate.region === region)
    return members.sort((one, other) => one.nodeId < other.nodeId ? -1 : 1)
  }

  /**
   * Tells whether a node may start requests on its own share. The other nodes
   * divide its share among themselves one grace period after they see that it was
   * removed from the list, so it must have stopped by then: at once if it sees the
   * removal itself, and after a while if it can't read the list.
   * @param nodeId id of this node
   * @param now the current time
   * @returns whether it may
   */
  mayUseShares (nodeId: string, now: Instant): boolean {
    const member = this.memberById.get(nodeId)
    return member !== undefined && member.expiresAt === undefined && !hasPassed(this.confirmedUntil, now)
  }
}
