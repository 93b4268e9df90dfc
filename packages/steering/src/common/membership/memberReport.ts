/**
 * What nodes tell each other of themselves and of others. Reports of one node are
 * ordered by start and beat; the newer one replaces the older, in whichever order
 * and however often they come, so that relaying needs no acknowledgement.
 */
import type { AnnouncedState, DocumentVersion, DemandReport } from './memberFacts.js'

/** A node's word on itself, possibly relayed by others. */
export interface MemberReport {
  readonly nodeId: string
  /** Grows with every start of the node. */
  readonly incarnation: number
  /** Grows with every round of the node. */
  readonly beat: number
  readonly state: AnnouncedState
  readonly documents: readonly DocumentVersion[]
  readonly demand: readonly DemandReport[]
  /** A relaying node has waited in vain for a newer beat than this one. */
  readonly isSuspected: boolean
}

/**
 * @param left a report
 * @param right another of the same node
 * @returns above zero if left is newer, zero for the same beat
 */
export function compareReports (left: MemberReport, right: MemberReport): number {
  if (left.incarnation !== right.incarnation) return left.incarnation - right.incarnation
  return left.beat - right.beat
}

/**
 * Joins two reports of one node: the newer one counts, and suspicion counts only
 * for the beat that it names.
 * @param known what was known, if anything
 * @param offered what came
 * @returns the joined report; `known` itself if nothing changed
 */
export function mergeReports (known: MemberReport | undefined, offered: MemberReport): MemberReport {
  if (known === undefined) return offered
  const order = compareReports(offered, known)
  if (order > 0) return offered
  if (order < 0 || !offered.isSuspected || known.isSuspected) return known
  return { ...known, isSuspected: true }
}
