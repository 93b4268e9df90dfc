/**
 * Moves a node from one division view to the next without exceeding any limit.
 *
 * Every view since the last one that all members acknowledged is active: the
 * node's share is the smallest of its shares under all active views. A node
 * acknowledges a view once its usage fits into it, and drops older views once
 * every member of them has acknowledged the newer one. So at any time there is
 * one view that is active at all nodes, and the shares under one view never add
 * up to more than the limit. Views are ordered (by configuration version, list
 * version and grace periods that have passed) and no node returns to an older
 * one, so two nodes can't each drop a view that the other still relies on.
 */
import type { SlotShare } from './divideSlots.js'
import type { DivisionView } from './divisionView.js'

/** Several are kept, as a peer may be a few views ahead of this node. */
const MAX_FINGERPRINTS_PER_PEER = 8
const EMPTY_SHARE: SlotShare = { slots: 0, connections: 0 }

/** The first active view of a node: it has no share until all other members have acknowledged a view that contains it. */
const EMPTY_VIEW: DivisionView = { fingerprint: '', listVersion: -1, members: [], shares: new Map(), placeShares: new Map() }

/** How much of its limits a node uses. */
export interface LimitUsage {
  /** Slots in use or lent, by slot key. */
  readonly slots: ReadonlyMap<string, number>
  /** The same by place key, for all workers of the place together. */
  readonly places: ReadonlyMap<string, number>
}

/** A process of a peer. */
export interface PeerProcess {
  readonly nodeId: string
  /** Increases with every start of the node. */
  readonly incarnation: number
}

interface Acknowledgements {
  readonly incarnation: number
  /** Fingerprints of acknowledged views, the latest last. */
  fingerprints: readonly string[]
}

/** Tracks the active division views of this node and the acknowledgements of its peers. */
export class DivisionTracker {
  /** The active views, the oldest first. */
  private views: DivisionView[] = [EMPTY_VIEW]
  private readonly acknowledgementsByPeer = new Map<string, Acknowledgements>()

  /** @param selfId id of this node */
  constructor (private readonly selfId: string) {}

  /** @returns the newest view; undefined before the first */
  get newest (): DivisionView | undefined {
    const view = this.views.at(-1)
    return view === EMPTY_VIEW ? undefined : view
  }

  /** @returns whether exactly one view is active */
  get isSettled (): boolean {
    return this.views.length === 1 && this.views[0] !== EMPTY_VIEW
  }

  /** @returns the fingerprints of the active views, the oldest first; an empty string stands for the initial view without shares */
  get activeFingerprints (): string[] {
    return this.views.map((view) => view.fingerprint)
  }

  /**
   * Adds the view of the current configuration and roster.
   * @param view the view
   * @returns whether it differs from the newest one
   */
  applyView (view: DivisionView): boolean {
    if (view.fingerprint === this.newest?.fingerprint) return false
    this.views.push(view)
    this.removeSupersededViews()
    return true
  }

  /**
   * Records that a peer acknowledged a view. Only an answer to a message of this
   * process counts: its sender knows this process, has discarded what the
   * previous process of this node acknowledged, and therefore can't drop a view
   * that is still active here.
   * @param peer the peer
   * @param fingerprint fingerprint of the view
   * @returns whether older views were dropped, so that shares may have grown
   */
  recordAcknowledgement (peer: PeerProcess, fingerprint: string): boolean {
    this.recordProcess(peer)
    const acknowledgements = this.acknowledgementsByPeer.get(peer.nodeId)
    if (acknowledgements === undefined || acknowledgements.incarnation !== peer.incarnation || acknowledgements.fingerprints.at(-1) === fingerprint) return false
    acknowledgements.fingerprints = [...acknowledgements.fingerprints.filter((other) => other !== fingerprint), fingerprint].slice(-MAX_FINGERPRINTS_PER_PEER)
    return this.removeSupersededViews()
  }

  /**
   * Records a peer's process, from any message of it. Acknowledgements of an
   * earlier process are discarded: a new process starts without views and may
   * act on an older VM list than the previous one.
   * @param peer the peer
   */
  recordProcess (peer: PeerProcess): void {
    const acknowledgements = this.acknowledgementsByPeer.get(peer.nodeId)
    if (acknowledgements !== undefined && acknowledgements.incarnation >= peer.incarnation) return
    this.acknowledgementsByPeer.set(peer.nodeId, { incarnation: peer.incarnation, fingerprints: [] })
  }

  /** @returns members that have not acknowledged the newest view; empty if it is the only active one */
  listPendingMembers (): string[] {
    const newest = this.newest
    if (newest === undefined || this.isSettled) return []
    return this.listOtherMembers(this.views).filter((nodeId) => !this.hasAcknowledged(nodeId, newest.fingerprint))
  }

  /**
   * @param slotKey key of a worker's limits
   * @returns this node's share of them
   */
  getShare (slotKey: string): SlotShare {
    return this.views.reduce((smallest: SlotShare, view) => {
      const share = view.shares.get(slotKey) ?? EMPTY_SHARE
      return { slots: Math.min(smallest.slots, share.slots), connections: Math.min(smallest.connections, share.connections) }
    }, { slots: Infinity, connections: Infinity })
  }

  /**
   * @param placeKey key of a place
   * @returns this node's share of the place's concurrency limit
   */
  getPlaceShare (placeKey: string): number {
    return this.views.reduce((smallest, view) => Math.min(smallest, view.placeShares.get(placeKey) ?? 0), Infinity)
  }

  /**
   * Finds the view that this node acknowledges to its peers.
   * @param use the current usage
   * @returns the newest active view that the usage fits into; undefined if there is none
   */
  findAcknowledgedView (use: LimitUsage): DivisionView | undefined {
    return this.views.findLast((view) => view !== EMPTY_VIEW && isWithinShares(view, use))
  }

  private removeSupersededViews (): boolean {
    for (let index = this.views.length - 1; index > 0; index--) {
      const fingerprint = this.views[index]!.fingerprint
      const others = this.listOtherMembers(this.views.slice(0, index + 1))
      if (!others.every((nodeId) => this.hasAcknowledged(nodeId, fingerprint))) continue
      this.views = this.views.slice(index)
      return true
    }
    return false
  }

  private listOtherMembers (views: readonly DivisionView[]): string[] {
    const members = new Set(views.flatMap((view) => view.members))
    members.delete(this.selfId)
    return [...members]
  }

  private hasAcknowledged (nodeId: string, fingerprint: string): boolean {
    return this.acknowledgementsByPeer.get(nodeId)?.fingerprints.includes(fingerprint) ?? false
  }
}

function isWithinShares (view: DivisionView, use: LimitUsage): boolean {
  for (const [slotKey, count] of use.slots) {
    if (count > (view.shares.get(slotKey)?.slots ?? 0)) return false
  }
  for (const [placeKey, count] of use.places) {
    if (count > (view.placeShares.get(placeKey) ?? 0)) return false
  }
  return true
}
