/**
 * A node's knowledge of other nodes from reports: when each becomes suspected, which
 * are suspected, and which reports to relay. It reads no clock; the current time is
 * passed in.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import { NodeState } from '../state/nodeState.js'
import { computeRoundIntervalMs, MAX_SMALL_FLEET_VMS } from '../gossip/neighbours.js'
import { compareReports, type MemberReport, mergeReports } from './memberReport.js'

/** A node of a small fleet is suspected if no newer heartbeat arrives for this long. */
const SUSPECT_TIMEOUT_MS = 4000
/** In a larger fleet a ring neighbour is suspected after missing this many heartbeat rounds. */
const MAX_MISSED_ROUNDS = 4
/** Maximum number of reports relayed in one digest: those of all nodes in a small fleet, of some in a larger one. */
export const MAX_RELAYED_REPORTS = MAX_SMALL_FLEET_VMS
/** How long a change is relayed in every digest. */
const CHANGE_RELAY_MS = 3000
/** The fraction of the other reports in one digest; several digests are sent within the suspect timeout, so that each report is relayed in time. */
const ROTATION_RATIO = 1 / 3
/** A node that is not on the VM list is removed this many suspect timeouts after it became suspected. */
const TIMEOUTS_UNTIL_EXPIRY = 10

/** One node's merged report and what follows from it. */
export interface MemberRecord {
  readonly report: MemberReport
  /** When the node becomes suspected unless a newer heartbeat arrives. */
  readonly suspectAt: Deadline
  /** When this node last learned of a change of state, suspicion, incarnation or documents; the latest changes are relayed first. */
  readonly changedAt: Instant
}

/** The reports of all known nodes. */
export class MemberTable {
  private readonly records = new Map<string, MemberRecord>()
  private nextRelayIndex = 0
  private relayedTimeoutMs = SUSPECT_TIMEOUT_MS
  private ringTimeoutMs = SUSPECT_TIMEOUT_MS
  private ringNeighbours: ReadonlySet<string> = new Set()

  /** @param selfId the node that owns the table; reports about it are ignored */
  constructor (private readonly selfId: string) {}

  /**
   * Adapts the suspect timeouts to the size of the fleet. In a larger fleet each digest
   * relays only some of the reports, so that a heartbeat takes longer to arrive. Ring
   * neighbours, which exchange digests in every round, detect a missing heartbeat first
   * and relay the suspicion.
   * @param nodeCount the number of entry VMs
   * @param ringNeighbours the nodes that this node exchanges digests with in every round
   */
  updateFleetSize (nodeCount: number, ringNeighbours: readonly string[]): void {
    this.ringNeighbours = new Set(ringNeighbours)
    this.ringTimeoutMs = Math.max(SUSPECT_TIMEOUT_MS, MAX_MISSED_ROUNDS * computeRoundIntervalMs(nodeCount))
    this.relayedTimeoutMs = this.ringTimeoutMs * Math.max(1, Math.ceil(nodeCount / MAX_RELAYED_REPORTS))
  }

  /**
   * @param nodeId a node
   * @returns its record, or undefined if no report of it has arrived
   */
  get (nodeId: string): MemberRecord | undefined {
    return this.records.get(nodeId)
  }

  /**
   * Merges a report, received from the node itself or relayed. A duplicate or older
   * report, however late it arrives, changes nothing: only a newer heartbeat postpones
   * the suspicion.
   * @param received the report
   * @param now the current time
   * @returns whether the node's state, suspicion or incarnation changed
   */
  observe (received: MemberReport, now: Instant): boolean {
    if (received.nodeId === this.selfId) return false
    const known = this.records.get(received.nodeId)
    const merged = mergeReports(known?.report, received)
    if (known !== undefined && merged === known.report) return false
    const isNewer = known === undefined || compareReports(merged, known.report) > 0
    const wasSuspected = known !== undefined && this.isSuspected(received.nodeId, now)
    const isChanged = known === undefined || known.report.state !== merged.state ||
      known.report.incarnation !== merged.incarnation || wasSuspected !== merged.isSuspected
    this.records.set(received.nodeId, {
      report: merged,
      suspectAt: isNewer ? createDeadline(now, this.ringNeighbours.has(received.nodeId) ? this.ringTimeoutMs : this.relayedTimeoutMs) : known.suspectAt,
      changedAt: isChanged || hasOtherDocuments(known.report, merged) ? now : known.changedAt
    })
    return isChanged
  }

  /**
   * @param nodeId a node
   * @param now the current time
   * @returns whether its suspect timeout has passed, or other nodes suspect it as of its latest heartbeat; false for an unknown node
   */
  isSuspected (nodeId: string, now: Instant): boolean {
    const record = this.records.get(nodeId)
    return record !== undefined && (record.report.isSuspected || hasPassed(record.suspectAt, now))
  }

  /**
   * @param nodeId a node
   * @param now the current time
   * @returns its announced state, or `suspected`, or undefined if no report of it has arrived
   */
  getState (nodeId: string, now: Instant): NodeState | undefined {
    const record = this.records.get(nodeId)
    if (record === undefined) return undefined
    return this.isSuspected(nodeId, now) ? NodeState.Suspected : record.report.state
  }

  /**
   * Marks nodes as suspected if their suspect timeout has passed, so that the suspicion is relayed.
   * @param now the current time
   * @returns the ids of the newly suspected nodes
   */
  markSuspected (now: Instant): string[] {
    const marked: string[] = []
    for (const [nodeId, record] of this.records) {
      if (record.report.isSuspected || !hasPassed(record.suspectAt, now)) continue
      this.records.set(nodeId, { ...record, report: { ...record.report, isSuspected: true }, changedAt: now })
      marked.push(nodeId)
    }
    return marked
  }

  /**
   * Removes nodes that are not on the VM list and have not sent a heartbeat for a long time.
   * @param isListed whether a node is on the effective VM list
   * @param now the current time
   */
  removeExpired (isListed: (nodeId: string) => boolean, now: Instant): void {
    for (const [nodeId, record] of this.records) {
      const isExpired = hasPassed(createDeadline(record.suspectAt, TIMEOUTS_UNTIL_EXPIRY * this.relayedTimeoutMs), now)
      if (isExpired && !isListed(nodeId)) this.records.delete(nodeId)
    }
  }

  /**
   * Selects the reports for a digest: those with recent changes, up to half of the limit,
   * and some of the others in rotation, to relay their heartbeats.
   * @param now the current time
   * @returns at most {@link MAX_RELAYED_REPORTS} reports
   */
  listReportsToRelay (now: Instant): MemberReport[] {
    const byChange = [...this.records.values()].sort((left, right) => right.changedAt - left.changedAt)
    const recentChanges = byChange.slice(0, MAX_RELAYED_REPORTS / 2).filter((record) => now - record.changedAt < CHANGE_RELAY_MS)
    const others = byChange.slice(recentChanges.length).sort((left, right) => left.report.nodeId < right.report.nodeId ? -1 : 1)
    const rotationSize = Math.min(MAX_RELAYED_REPORTS / 2, Math.ceil(others.length * ROTATION_RATIO))
    const rotation = Array.from({ length: rotationSize }, (_, index) => others[(this.nextRelayIndex + index) % others.length])
    this.nextRelayIndex = (this.nextRelayIndex + rotationSize) % Math.max(1, others.length)
    return [...recentChanges, ...rotation].flatMap((record) => record?.report ?? [])
  }
}

function hasOtherDocuments (left: MemberReport, right: MemberReport): boolean {
  if (left.documents.length !== right.documents.length) return true
  return left.documents.some((document, index) => document.name !== right.documents[index]?.name || document.version !== right.documents[index]?.version)
}
