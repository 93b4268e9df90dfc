/**
 * Decides whether this VM may spend its parts of divided limits, and which VMs are members of the fleet, among which
 * limits are divided.
 *
 * Registrations expire within seconds and come back, at VMs that go on serving callers. If limits were divided
 * among the registered VMs, the parts of all VMs that send would add up to more than the whole. Therefore a VM
 * becomes a member with a record without a lease, and stays one until it certainly sends nothing any more:
 * - A VM whose registration has not been confirmed for {@link SPENDING_LEASE_MS} stops spending; it is removed from the
 *   members only after {@link ABSENCE_MS} without a registration.
 * - A VM that joins spends nothing until all others count it, or have stopped spending because their records are old.
 * - A process that starts spends nothing for the length of the window in which a limit is counted, as its predecessor may
 *   have spent all of this VM's parts.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { rankByRendezvous } from '../../lookup/rendezvous.js'
import type { EntryNode, FleetMember } from '../records.js'
import type { StoredRecord } from '../storedRecord.js'

/** How long a VM spends its parts without a confirmation that it is registered. */
export const SPENDING_LEASE_MS = 45_000
/** After this time without a registration a VM is no member any more. Exceeds the lease by the time for changes to reach all VMs, and by a window. */
const ABSENCE_MS = 60_000
/** A registered VM learns of changes within this time, also by way of other sources after the first have failed. */
const PROPAGATION_MS = 8_000
/** The longest window of the limits that operators check. */
const LONGEST_WINDOW_MS = 4_000
/** For a VM that joins, or returns after its lease has ended, while all members are registered. */
const JOIN_WAIT_MS = PROPAGATION_MS + LONGEST_WINDOW_MS
/** The same while some members may not learn of it, until these have stopped spending. */
const UNKNOWN_JOIN_WAIT_MS = SPENDING_LEASE_MS + LONGEST_WINDOW_MS
/** Between a VM's entry among the members and its first use of a part: others may remove its registration before they know of the entry. */
const ENTRY_WAIT_MS = 2_000

/** The records that the decisions are based on. */
export interface MembershipView {
  readonly nodes: ReadonlyMap<string, EntryNode>
  /** The members by name. */
  readonly members: ReadonlyMap<string, StoredRecord<FleetMember>>
}

/** What is to be written to the store. */
export interface MembershipStep {
  /** Whether this VM becomes a member now. */
  readonly mustJoin: boolean
  /** The records of VMs that are no members any more. */
  readonly absent: ReadonlyArray<StoredRecord<FleetMember>>
}

/** The membership of one process's VM. */
export class Membership {
  private registeredSince: Instant | undefined
  private confirmedAt: Instant = Number.NEGATIVE_INFINITY
  private spendsFrom: Instant = Number.NEGATIVE_INFINITY
  private wasMember: boolean | undefined
  private readonly absentSince = new Map<string, Instant>()

  /**
   * @param self this VM's name
   * @param view the records
   * @param startedAt when this process started
   * @param now the current time, by a clock that counts suspensions of the machine
   */
  constructor (private readonly self: string, private readonly view: MembershipView, private readonly startedAt: Instant, private readonly now: () => Instant) {}

  /** @returns whether the store holds this VM's entry, as far as is known */
  get isMember (): boolean {
    return this.view.members.has(this.self)
  }

  /**
   * @param windowMs length of the window in which the limit is counted, in milliseconds
   * @returns whether this VM may spend its part of a limit now
   */
  mayShare (windowMs: number): boolean {
    const now = this.now()
    return this.isMember && now >= this.startedAt + windowMs && now >= this.spendsFrom && now < this.confirmedAt + SPENDING_LEASE_MS
  }

  /**
   * Updates the decisions; called about once a second.
   * @param recordsAgeMs time since the records were last known to be current, in milliseconds; Infinity if they never were
   * @returns what is to be written to the store
   */
  update (recordsAgeMs: number): MembershipStep {
    const now = this.now()
    this.updateConfirmation(now, recordsAgeMs)
    this.updateEntry(now)
    const isCurrent = recordsAgeMs === 0
    return { mustJoin: isCurrent && !this.isMember && this.hasWaited(now), absent: this.listAbsent(now, isCurrent) }
  }

  private updateConfirmation (now: Instant, recordsAgeMs: number): void {
    const isRegistered = this.view.nodes.has(this.self)
    this.registeredSince = isRegistered ? this.registeredSince ?? now : undefined
    const confirmedAt = isRegistered ? now - recordsAgeMs : Number.NEGATIVE_INFINITY
    if (confirmedAt <= this.confirmedAt) return
    const hasLapsed = Number.isFinite(this.confirmedAt) && now >= this.confirmedAt + SPENDING_LEASE_MS
    if (hasLapsed) this.spendsFrom = now + JOIN_WAIT_MS
    this.confirmedAt = confirmedAt
  }

  /** Handles that this VM has become a member; one that a process finds as a member when it starts has been counted all the time. */
  private updateEntry (now: Instant): void {
    const { isMember, wasMember } = this
    if (this.registeredSince === undefined && wasMember === undefined) return
    this.wasMember = isMember
    if (wasMember === false && isMember) this.spendsFrom = Math.max(this.spendsFrom, now + ENTRY_WAIT_MS)
  }

  private hasWaited (now: Instant): boolean {
    if (this.registeredSince === undefined) return false
    const areAllRegistered = [...this.view.members.keys()].every((name) => this.view.nodes.has(name))
    return now >= this.registeredSince + (areAllRegistered ? JOIN_WAIT_MS : UNKNOWN_JOIN_WAIT_MS)
  }

  /** The VM that ranks first removes the entries of those that are absent. */
  private listAbsent (now: Instant, isCurrent: boolean): Array<StoredRecord<FleetMember>> {
    const { nodes, members } = this.view
    // While changes may be missing, a VM may have been registered in the meantime.
    if (!isCurrent) this.absentSince.clear()
    for (const name of [...this.absentSince.keys()]) if (nodes.has(name) || !members.has(name)) this.absentSince.delete(name)
    if (!isCurrent) return []
    for (const name of members.keys()) if (!nodes.has(name) && !this.absentSince.has(name)) this.absentSince.set(name, now)
    const due = [...this.absentSince].filter(([, since]) => now >= since + ABSENCE_MS).map(([name]) => members.get(name)!)
    return due.length > 0 && rankByRendezvous('members', [...nodes.keys()])[0] === this.self ? due : []
  }
}
