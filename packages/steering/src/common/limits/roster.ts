/**
 * The entry VMs among which limits are divided, by region: those on the VM list,
 * and those that left it less than a hold ago. Who is in reach plays no part, so
 * a partition frees nothing.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import type { EntryCandidate } from '../lookup/decideLookup.js'
import { type VmListSnapshot, VmRole } from '../ports/vmList.js'

/** How long things last, in milliseconds. */
export interface RosterPolicy {
  /**
   * A VM that left the list keeps its part for so long: it may be cut off from
   * the list and still send. Longer than `staleSpanMs`, the list's lag and the
   * longest request together.
   */
  readonly holdSpanMs: number
  /** A node whose list is older than this starts no request on its own part. */
  readonly staleSpanMs: number
}

const SMALL_FLEET = 32
const SHORTEST_STALE_SPAN_MS = 10_000
const LONGEST_STALE_SPAN_MS = 75_000
/** Beyond the stale span: the list's lag and the longest request. */
const HOLD_MARGIN_MS = 50_000
/** A list that shows only older versions for so long has begun to count anew. */
const RESET_SPAN_MS = 60_000

/**
 * A large fleet reads the list less often (from 1 s to 30 s), so it takes longer
 * to find out that a list is too old.
 * @param fleetSize entry VMs on the list
 * @returns the spans to go by
 */
export function computeRosterPolicy (fleetSize: number): RosterPolicy {
  const spread = Math.max(1, fleetSize / SMALL_FLEET)
  const staleSpanMs = Math.min(LONGEST_STALE_SPAN_MS, Math.max(SHORTEST_STALE_SPAN_MS, 2.5 * 1000 * spread))
  return { staleSpanMs, holdSpanMs: staleSpanMs + HOLD_MARGIN_MS }
}

interface HeldMember {
  readonly candidate: EntryCandidate
  /** Undefined while it is on the list. */
  leavesAt: Deadline | undefined
}

/** The roster as one node knows it. */
export class Roster {
  private readonly held = new Map<string, HeldMember>()
  private confirmedUntil: Deadline = -Infinity
  private seenVersion = -1

  private fleetSize = 0
  private olderSince: Instant | undefined

  /** @param computePolicy how long things last in a fleet of a size */
  constructor (private readonly computePolicy: (fleetSize: number) => RosterPolicy = computeRosterPolicy) {}

  /** @returns how long things last */
  get policy (): RosterPolicy {
    return this.computePolicy(this.fleetSize)
  }

  /** @returns the version of the VM list that this roster acts on, -1 before the first */
  get listVersion (): number {
    return this.seenVersion
  }

  /**
   * Takes in the list. A list older than one seen before changes nothing and
   * confirms nothing: it may come from a replica that is cut off.
   * @param snapshot the list
   * @param askedAt when the list was asked for
   * @param now the present
   */
  observeList (snapshot: VmListSnapshot, askedAt: Instant, now: Instant): void {
    if (snapshot.version < this.seenVersion && !this.isReset(now)) return
    this.olderSince = undefined
    this.fleetSize = snapshot.vms.filter((vm) => vm.role === VmRole.Entry).length
    this.confirmedUntil = Math.max(this.confirmedUntil, createDeadline(askedAt, this.policy.staleSpanMs))
    if (snapshot.version === this.seenVersion) return
    this.seenVersion = snapshot.version
    const listed = new Set<string>()
    for (const vm of snapshot.vms) {
      if (vm.role !== VmRole.Entry) continue
      listed.add(vm.vmId)
      const candidate = { nodeId: vm.vmId, region: vm.region, failureDomain: vm.failureDomain }
      this.held.set(vm.vmId, { candidate, leavesAt: undefined })
    }
    for (const [nodeId, member] of this.held) {
      if (!listed.has(nodeId)) member.leavesAt ??= createDeadline(now, this.policy.holdSpanMs)
    }
  }

  /** A list that was set up anew would otherwise be refused for ever, and this node with it. */
  private isReset (now: Instant): boolean {
    this.olderSince ??= now
    return hasPassed(createDeadline(this.olderSince, RESET_SPAN_MS), now)
  }

  /**
   * Takes over what a peer remembers. A process that has just started has not
   * seen who left the list before it, and would divide what they still use.
   * @param gone VMs that a peer holds although the list has lost them
   * @param now the present; the hold begins anew
   */
  holdGone (gone: readonly EntryCandidate[], now: Instant): void {
    for (const candidate of gone) {
      if (this.held.has(candidate.nodeId)) continue
      this.held.set(candidate.nodeId, { candidate, leavesAt: createDeadline(now, this.policy.holdSpanMs) })
    }
  }

  /** @returns VMs of all regions that are held although the list has lost them */
  listGone (): EntryCandidate[] {
    return [...this.held.values()].filter(({ leavesAt }) => leavesAt !== undefined).map((member) => member.candidate)
  }

  /**
   * Lets go of VMs whose hold has passed.
   * @param now the present
   */
  step (now: Instant): void {
    for (const [nodeId, { leavesAt }] of this.held) {
      if (leavesAt !== undefined && hasPassed(leavesAt, now)) this.held.delete(nodeId)
    }
  }

  /**
   * @param region a region
   * @returns its members in the order of their ids
   */
  list (region: string): EntryCandidate[] {
    const members = [...this.held.values()].map((member) => member.candidate).filter((candidate) => candidate.region === region)
    return members.sort((one, other) => one.nodeId < other.nodeId ? -1 : 1)
  }

  /**
   * Others divide a node's part among themselves a hold after they saw that the
   * list has lost it. It must have stopped by then: at once if it sees the same,
   * and soon if it hears nothing of the list and can't know.
   * @param nodeId this node
   * @param now the present
   * @returns whether it may start requests on its own part
   */
  mayUseParts (nodeId: string, now: Instant): boolean {
    const self = this.held.get(nodeId)
    return self !== undefined && self.leavesAt === undefined && !hasPassed(this.confirmedUntil, now)
  }
}
