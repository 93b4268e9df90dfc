/**
 * What a node knows of the others from reports: when each was last heard of, who
 * is suspected, and which reports to relay. Pure: the present is passed in.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import { NodeState } from '../state/nodeState.js'
import { computeRoundSpan, SMALL_FLEET } from '../spread/neighbours.js'
import { compareReports, type MemberReport, mergeReports } from './memberReport.js'

/** Without a newer beat for so long a node of a small fleet is suspected. */
const SILENCE_SPAN_MS = 4000
/** In a larger fleet a ring neighbour may miss so many rounds. */
const SILENT_ROUNDS = 4
/** Reports relayed in one digest: all of a small fleet, and a part of a larger one. */
export const RELAY_LIMIT = SMALL_FLEET
/** A change is relayed in every digest for so long. */
const NEWS_SPAN_MS = 3000
/** The part of the unchanged reports in one digest; a digest comes many times within the silent span. */
const TURN_PART = 1 / 3
/** After so many silent spans a suspected node that is not listed either is forgotten. */
const FORGET_SPANS = 10

/** One node as reports show it. */
export interface MemberRecord {
  readonly report: MemberReport
  /** Its silence makes it suspected from here on. */
  readonly suspectAt: Deadline
  /** When its state, suspicion, start or documents last changed here; the newest changes are relayed first. */
  readonly changedAt: Instant
}

/** Reports of all nodes known. */
export class MemberTable {
  private readonly records = new Map<string, MemberRecord>()
  private relayStart = 0
  private relayedSpanMs = SILENCE_SPAN_MS
  private ringSpanMs = SILENCE_SPAN_MS
  private ring: ReadonlySet<string> = new Set()

  /** @param selfId the node whose table it is; reports of itself are not taken in */
  constructor (private readonly selfId: string) {}

  /**
   * A larger fleet relays a part of its reports in each digest, so word of a node
   * takes longer; ring neighbours, who speak to each other in every round, find
   * its silence first and relay the suspicion.
   * @param nodeCount how many entry VMs there are
   * @param ring the nodes that this one speaks to in every round
   */
  updateSize (nodeCount: number, ring: readonly string[]): void {
    this.ring = new Set(ring)
    this.ringSpanMs = Math.max(SILENCE_SPAN_MS, SILENT_ROUNDS * computeRoundSpan(nodeCount))
    this.relayedSpanMs = this.ringSpanMs * Math.max(1, Math.ceil(nodeCount / RELAY_LIMIT))
  }

  /**
   * @param nodeId a node
   * @returns what reports show of it
   */
  get (nodeId: string): MemberRecord | undefined {
    return this.records.get(nodeId)
  }

  /**
   * Takes in a report, first-hand or relayed. A duplicate or an older one, and one
   * that was long under way, changes nothing: only a newer beat counts as a sign of life.
   * @param offered the report
   * @param now the present
   * @returns whether the node's state, suspicion or incarnation changed
   */
  observe (offered: MemberReport, now: Instant): boolean {
    if (offered.nodeId === this.selfId) return false
    const known = this.records.get(offered.nodeId)
    const merged = mergeReports(known?.report, offered)
    if (known !== undefined && merged === known.report) return false
    const isNewer = known === undefined || compareReports(merged, known.report) > 0
    const wasSuspected = known !== undefined && this.isSuspected(offered.nodeId, now)
    const isChanged = known === undefined || known.report.state !== merged.state ||
      known.report.incarnation !== merged.incarnation || wasSuspected !== merged.isSuspected
    this.records.set(offered.nodeId, {
      report: merged,
      suspectAt: isNewer ? createDeadline(now, this.ring.has(offered.nodeId) ? this.ringSpanMs : this.relayedSpanMs) : known.suspectAt,
      changedAt: isChanged || hasOtherDocuments(known.report, merged) ? now : known.changedAt
    })
    return isChanged
  }

  /**
   * @param nodeId a node
   * @param now the present
   * @returns whether it was heard of once and is silent now, or others say so of its newest beat
   */
  isSuspected (nodeId: string, now: Instant): boolean {
    const record = this.records.get(nodeId)
    return record !== undefined && (record.report.isSuspected || hasPassed(record.suspectAt, now))
  }

  /**
   * @param nodeId a node
   * @param now the present
   * @returns its announced state, `suspected`, or undefined if it was never heard of
   */
  getState (nodeId: string, now: Instant): NodeState | undefined {
    const record = this.records.get(nodeId)
    if (record === undefined) return undefined
    return this.isSuspected(nodeId, now) ? NodeState.Suspected : record.report.state
  }

  /**
   * Marks nodes whose deadline has passed, so that the mark is relayed.
   * @param now the present
   * @returns the ids of those newly marked
   */
  markSilent (now: Instant): string[] {
    const marked: string[] = []
    for (const [nodeId, record] of this.records) {
      if (record.report.isSuspected || !hasPassed(record.suspectAt, now)) continue
      this.records.set(nodeId, { ...record, report: { ...record.report, isSuspected: true }, changedAt: now })
      marked.push(nodeId)
    }
    return marked
  }

  /**
   * Forgets nodes that are neither listed nor heard of any more.
   * @param isListed whether the believed VM list has a node
   * @param now the present
   */
  removeGone (isListed: (nodeId: string) => boolean, now: Instant): void {
    for (const [nodeId, record] of this.records) {
      const isOver = hasPassed(createDeadline(record.suspectAt, FORGET_SPANS * this.relayedSpanMs), now)
      if (isOver && !isListed(nodeId)) this.records.delete(nodeId)
    }
  }

  /**
   * Chooses the reports for a digest: all that changed lately, up to half of the
   * room, and some of the others in turn, as signs of life.
   * @param now the present
   * @returns at most RELAY_LIMIT reports
   */
  listRelayed (now: Instant): MemberReport[] {
    const byChange = [...this.records.values()].sort((left, right) => right.changedAt - left.changedAt)
    const latest = byChange.slice(0, RELAY_LIMIT / 2).filter((record) => now - record.changedAt < NEWS_SPAN_MS)
    const rest = byChange.slice(latest.length).sort((left, right) => left.report.nodeId < right.report.nodeId ? -1 : 1)
    const size = Math.min(RELAY_LIMIT / 2, Math.ceil(rest.length * TURN_PART))
    const turn = Array.from({ length: size }, (_, index) => rest[(this.relayStart + index) % rest.length])
    this.relayStart = (this.relayStart + size) % Math.max(1, rest.length)
    return [...latest, ...turn].flatMap((record) => record?.report ?? [])
  }
}

function hasOtherDocuments (left: MemberReport, right: MemberReport): boolean {
  if (left.documents.length !== right.documents.length) return true
  return left.documents.some((document, index) => document.name !== right.documents[index]?.name || document.version !== right.documents[index]?.version)
}
