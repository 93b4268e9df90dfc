/**
 * Keeps a starting node from using its own shares until it knows what its
 * previous process knew. Peers may still use slots that the previous process
 * lent, and VMs that were recently removed from the list may still use their
 * shares; such slots would be used twice. Peers report both in their answers. If
 * some don't answer, the barrier opens after the maximum loan duration and the
 * grace period of removed VMs, whichever is longer.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, hasPassed } from '@umberspar/base/common/deadline'
import { MAX_LOAN_MS } from './loans.js'

/** The content of a peer's answer that concerns a starting node. */
export interface PeerReport {
  readonly nodeId: string
  /** Whether the peer holds a loan granted by this node. */
  readonly holdsLoan: boolean
  /** Version of the VM list that the peer uses. */
  readonly listVersion: number
}

/** Opens once no slot of this node's shares can still be in use because of its previous process. */
export class StartBarrier {
  private readonly listVersionById = new Map<string, number>()
  private firstListVersion: number | undefined
  private hasOpened = false

  /** @param startedAt when this process started */
  constructor (private readonly startedAt: Instant) {}

  /** @returns whether the node may use its own shares */
  get isOpen (): boolean {
    return this.hasOpened
  }

  /** @param report a peer's answer to this process */
  observe (report: PeerReport): void {
    if (!report.holdsLoan) this.listVersionById.set(report.nodeId, report.listVersion)
  }

  /**
   * @param nodeId id of a peer
   * @returns whether the barrier still waits for its answer
   */
  isWaitingFor (nodeId: string): boolean {
    return !this.hasOpened && !this.hasAnswered(nodeId)
  }

  /**
   * Opens the barrier if its condition holds.
   * @param listVersion version of the VM list that this node uses; negative before the first
   * @param peers ids of all other entry VMs: those on the list, and removed ones in their grace period, which may hold loans as well
   * @param now the current time
   * @param removalGraceMs how long a VM keeps its share after it was removed from the list
   */
  step (listVersion: number, peers: readonly string[], now: Instant, removalGraceMs: number): void {
    if (listVersion >= 0) this.firstListVersion ??= listVersion
    const hasEveryPeerAnswered = this.firstListVersion !== undefined && peers.every((nodeId) => this.hasAnswered(nodeId))
    const opensAt = createDeadline(this.startedAt, Math.max(MAX_LOAN_MS, removalGraceMs))
    if (hasEveryPeerAnswered || hasPassed(opensAt, now)) this.hasOpened = true
  }

  /** The answer of a peer with an older list than this node's first doesn't count: that peer may not know yet which VMs were removed. */
  private hasAnswered (nodeId: string): boolean {
    const peerVersion = this.listVersionById.get(nodeId)
    return peerVersion !== undefined && this.firstListVersion !== undefined && peerVersion >= this.firstListVersion
  }
}
