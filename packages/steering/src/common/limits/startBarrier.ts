/**
 * Keeps a node that has just started from using its own parts until it knows
 * what the process before it knew: peers may still use slots that it lent, and
 * VMs that left the list a moment ago may still use theirs. Either part would be
 * used twice. Peers that answer tell both; without them the longest loan and the
 * hold on VMs must pass.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, hasPassed } from '@umberspar/base/common/deadline'
import { LONGEST_LOAN_SPAN_MS } from './loans.js'

/** What a peer's answer said. */
export interface PeerMemory {
  readonly nodeId: string
  /** Whether it holds a loan of this node. */
  readonly holdsLoan: boolean
  /** The VM list that it acts on. */
  readonly listVersion: number
}

/** Opens once nothing of an earlier process can be in use. */
export class StartBarrier {
  private readonly listVersionById = new Map<string, number>()
  private firstListVersion: number | undefined
  private hasOpened = false

  /** @param startedAt when this process started */
  constructor (private readonly startedAt: Instant) {}

  /** @returns whether own parts may be used */
  get isOpen (): boolean {
    return this.hasOpened
  }

  /** @param memory a peer's answer to this process */
  observe (memory: PeerMemory): void {
    if (!memory.holdsLoan) this.listVersionById.set(memory.nodeId, memory.listVersion)
  }

  /**
   * @param nodeId a peer
   * @returns whether its answer is still awaited
   */
  isWaitingFor (nodeId: string): boolean {
    return !this.hasOpened && !this.isAnswered(nodeId)
  }

  /**
   * @param listVersion of the VM list that this node acts on; below 0 before the first
   * @param peers all entry VMs but this one: on the list, or held although the list has lost them, since these may hold loans as well
   * @param now the present
   * @param holdSpanMs how long a VM that left the list is held, in milliseconds
   */
  step (listVersion: number, peers: readonly string[], now: Instant, holdSpanMs: number): void {
    if (listVersion >= 0) this.firstListVersion ??= listVersion
    const isAnswered = this.firstListVersion !== undefined && peers.every((nodeId) => this.isAnswered(nodeId))
    const opensAt = createDeadline(this.startedAt, Math.max(LONGEST_LOAN_SPAN_MS, holdSpanMs))
    if (isAnswered || hasPassed(opensAt, now)) this.hasOpened = true
  }

  /** A peer that acts on an older list than this node's first does not know yet who has left it. */
  private isAnswered (nodeId: string): boolean {
    const theirs = this.listVersionById.get(nodeId)
    return theirs !== undefined && this.firstListVersion !== undefined && theirs >= this.firstListVersion
  }
}
