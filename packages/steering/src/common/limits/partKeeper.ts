/**
 * Moves this node's parts from one division to the next without overcommitment.
 *
 * A node is bound by every view since the last one that all had acknowledged:
 * its part is the least of its parts under all of them. It acknowledges a view
 * once its use fits the view, and lets go of older views once every member of
 * them has acknowledged the newer. So at any instant there is one view by which
 * all nodes are bound, and the sum of parts under one view never exceeds the
 * limit. Views are ordered (configuration version, list version, hold) and no
 * node goes back, so two nodes can't let go of each other's view.
 */
import type { SlotShare } from './divideSlots.js'
import type { DivisionView } from './divisionView.js'

/** How many of a peer's latest stamps are remembered; a peer may be some views ahead. */
const REMEMBERED_STAMPS = 8
const NOTHING: SlotShare = { slots: 0, connections: 0 }

/** A node that just started has no part until all others know of it. */
const EMPTY_VIEW: DivisionView = { stamp: '', listVersion: -1, members: [], parts: new Map(), placeParts: new Map() }

/** What a node uses: slots by slot key (lent ones included) and the use of places by place key. */
export interface LimitUse {
  readonly slots: ReadonlyMap<string, number>
  readonly places: ReadonlyMap<string, number>
}

/** One process of a peer. */
export interface PeerProcess {
  readonly nodeId: string
  /** Grows with every start. */
  readonly incarnation: number
}

interface Acknowledgements {
  readonly incarnation: number
  /** The latest last. */
  stamps: readonly string[]
}

/** The views that bind this node, and what peers have acknowledged. */
export class PartKeeper {
  /** The oldest first. */
  private views: DivisionView[] = [EMPTY_VIEW]
  private readonly acknowledged = new Map<string, Acknowledgements>()

  /** @param selfId this node */
  constructor (private readonly selfId: string) {}

  /** @returns the newest view, undefined before the first */
  get newest (): DivisionView | undefined {
    const view = this.views.at(-1)
    return view === EMPTY_VIEW ? undefined : view
  }

  /** @returns whether one view alone binds this node */
  get isSettled (): boolean {
    return this.views.length === 1 && this.views[0] !== EMPTY_VIEW
  }

  /** @returns the stamps of the views that bind this node, the oldest first; empty for the time before the first */
  get boundStamps (): string[] {
    return this.views.map((view) => view.stamp)
  }

  /**
   * @param view the configuration in force and the roster as they are now
   * @returns whether it differs from the newest
   */
  applyView (view: DivisionView): boolean {
    if (view.stamp === this.newest?.stamp) return false
    this.views.push(view)
    this.release()
    return true
  }

  /**
   * Takes in what a peer acknowledged, in an answer to a message of this node.
   * Only then does the peer know this process: it has forgotten what the process
   * before it acknowledged, and can't let go of a view that binds this one.
   * @param peer the peer
   * @param stamp of a view that the peer is bound by
   * @returns whether a view was let go, so that parts may have grown
   */
  observe (peer: PeerProcess, stamp: string): boolean {
    this.observeProcess(peer)
    const known = this.acknowledged.get(peer.nodeId)
    if (known === undefined || known.incarnation !== peer.incarnation || known.stamps.at(-1) === stamp) return false
    known.stamps = [...known.stamps.filter((other) => other !== stamp), stamp].slice(-REMEMBERED_STAMPS)
    return this.release()
  }

  /**
   * Takes note of a peer's process from any message of it. What an earlier
   * process acknowledged does not bind the one that follows: it starts from
   * nothing, and may act on an older list than the one before it.
   * @param peer the peer
   */
  observeProcess (peer: PeerProcess): void {
    const known = this.acknowledged.get(peer.nodeId)
    if (known !== undefined && known.incarnation >= peer.incarnation) return
    this.acknowledged.set(peer.nodeId, { incarnation: peer.incarnation, stamps: [] })
  }

  /** @returns members that have not acknowledged the newest view, while older ones bind as well */
  listMissing (): string[] {
    const newest = this.newest
    if (newest === undefined || this.isSettled) return []
    return this.listOthers(this.views).filter((nodeId) => !this.hasAcknowledged(nodeId, newest.stamp))
  }

  /**
   * @param slotKey a worker's slots
   * @returns this node's part of them
   */
  getPart (slotKey: string): SlotShare {
    return this.views.reduce((least: SlotShare, view) => {
      const part = view.parts.get(slotKey) ?? NOTHING
      return { slots: Math.min(least.slots, part.slots), connections: Math.min(least.connections, part.connections) }
    }, { slots: Infinity, connections: Infinity })
  }

  /**
   * @param placeKey a place
   * @returns this node's part of the place's own limit
   */
  getPlacePart (placeKey: string): number {
    return this.views.reduce((least, view) => Math.min(least, view.placeParts.get(placeKey) ?? 0), Infinity)
  }

  /**
   * @param use what this node uses now
   * @returns the newest view that the use fits, to be told to peers; undefined if none
   */
  findAcknowledged (use: LimitUse): DivisionView | undefined {
    return this.views.findLast((view) => view !== EMPTY_VIEW && isWithin(view, use))
  }

  private release (): boolean {
    for (let index = this.views.length - 1; index > 0; index--) {
      const stamp = this.views[index]!.stamp
      const others = this.listOthers(this.views.slice(0, index + 1))
      if (!others.every((nodeId) => this.hasAcknowledged(nodeId, stamp))) continue
      this.views = this.views.slice(index)
      return true
    }
    return false
  }

  private listOthers (views: readonly DivisionView[]): string[] {
    const members = new Set(views.flatMap((view) => view.members))
    members.delete(this.selfId)
    return [...members]
  }

  private hasAcknowledged (nodeId: string, stamp: string): boolean {
    return this.acknowledged.get(nodeId)?.stamps.includes(stamp) ?? false
  }
}

function isWithin (view: DivisionView, use: LimitUse): boolean {
  for (const [slotKey, count] of use.slots) {
    if (count > (view.parts.get(slotKey)?.slots ?? 0)) return false
  }
  for (const [placeKey, count] of use.places) {
    if (count > (view.placeParts.get(placeKey) ?? 0)) return false
  }
  return true
}
