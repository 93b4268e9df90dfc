/**
 * Reports that nodes exchange about themselves and about others. Reports of one node
 * are ordered by incarnation and heartbeat number. The newer one replaces the older,
 * in whatever order and however often they arrive, so that relaying needs no
 * acknowledgement.
 */
import type { AnnouncedState, DocumentVersion, DemandReport } from './memberFacts.js'

/** A node's report about itself, which other nodes may have relayed. */
export interface MemberReport {
  readonly nodeId: string
  /** Increases with every start of the node. */
  readonly incarnation: number
  /** The heartbeat number; increases with every heartbeat round of the node. */
  readonly beat: number
  readonly state: AnnouncedState
  readonly documents: readonly DocumentVersion[]
  readonly demand: readonly DemandReport[]
  /** Whether a relaying node has received no newer heartbeat in time. */
  readonly isSuspected: boolean
}

/**
 * @param left a report
 * @param right another report of the same node
 * @returns a positive number if left is newer, zero for the same heartbeat, a negative number if right is newer
 */
export function compareReports (left: MemberReport, right: MemberReport): number {
  if (left.incarnation !== right.incarnation) return left.incarnation - right.incarnation
  return left.beat - right.beat
}

/**
 * Merges two reports of one node: the newer one counts, and a suspicion applies only
 * to the heartbeat that it was reported with.
 * @param known the known report, if any
 * @param received the received report
 * @returns the merged report; `known` itself if nothing changed
 */
export function mergeReports (known: MemberReport | undefined, received: MemberReport): MemberReport {
  if (known === undefined) return received
  const order = compareReports(received, known)
  if (order > 0) return received
  if (order < 0 || !received.isSuspected || known.isSuspected) return known
  return { ...known, isSuspected: true }
}
