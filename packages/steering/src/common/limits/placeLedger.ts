/**
 * Accounts for the slots of one place at one entry VM: the node's own shares, the
 * slots it lent and borrowed, and those in use. It reads no clock, so the daemon,
 * property tests and benchmarks can drive it with the same calls.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import type { LoanAnswer, LoanRequest, LoanReturn } from '../ports/peers.js'
import type { SlotShare } from './divideSlots.js'
import { type BorrowedLoan, MAX_LOAN_MS, type LentLoan, type AcquiredSlot } from './loans.js'

const EMPTY_SHARE: SlotShare = { slots: 0, connections: 0 }
/**
 * Fraction of the node's own connections that may be lent. The node never uses
 * them itself, since idle connections can't be closed at once when a peer asks
 * for a loan.
 */
const LENDABLE_CONNECTION_RATIO = 0.5

/** The slot accounts of one place. */
export class PlaceLedger {
  private ownShares: ReadonlyMap<string, SlotShare> = new Map()
  private placeShare = 0
  private readonly ownInUse = new Map<string, number>()
  private readonly lent = new Map<string, LentLoan>()
  private readonly borrowed = new Map<string, BorrowedLoan>()

  /**
   * Sets this node's shares. Requests that exceed a reduced share run to their end.
   * @param shares shares by slot key
   * @param placeShare this node's share of the place's concurrency limit
   */
  setShares (shares: ReadonlyMap<string, SlotShare>, placeShare: number): void {
    this.ownShares = shares
    this.placeShare = placeShare
  }

  /**
   * @param slotKey key of a worker's limits
   * @param until only loans that last until then are counted
   * @returns the number of usable slots, including those in use
   */
  countSlots (slotKey: string, until: Deadline): number {
    return Math.max(0, this.getShare(slotKey).slots - this.countLent(slotKey)) + this.countBorrowed(slotKey, until, countLoanSlots)
  }

  /**
   * @param slotKey key of a worker's limits
   * @param until when a request that starts now must have ended
   * @returns the number of free slots for such a request
   */
  countFree (slotKey: string, until: Deadline): number {
    return this.countOwnFree(slotKey) + this.countBorrowed(slotKey, until, (loan) => countLoanSlots(loan) - loan.inUse)
  }

  /**
   * @param until when a request that starts now must have ended
   * @returns how many requests this node may run at a time under the place's concurrency limit: its share without lent slots, and borrowed slots
   */
  countPlaceSlots (until: Deadline): number {
    let borrowed = 0
    for (const loan of this.borrowed.values()) {
      if (loan.deadline >= until) borrowed += countLoanSlots(loan)
    }
    return Math.max(0, this.placeShare - this.countAllLent()) + borrowed
  }

  /**
   * @param slotKey key of a worker's limits
   * @returns how many connections this node may hold open to the worker
   */
  countConnections (slotKey: string): number {
    const own = this.getShare(slotKey).connections
    let borrowed = 0
    for (const loan of this.borrowed.values()) {
      if (loan.slotKey === slotKey) borrowed += loan.connections
    }
    return own - Math.floor(own * LENDABLE_CONNECTION_RATIO) + borrowed
  }

  /**
   * Acquires a slot. The node's own slots are used first, so that loans become
   * idle and can be returned.
   * @param slotKey key of a worker's limits
   * @param until when the request must have ended
   * @returns the slot, to be passed to {@link PlaceLedger.release}; undefined if none is free until then
   */
  acquire (slotKey: string, until: Deadline): AcquiredSlot | undefined {
    if (this.countOwnFree(slotKey) > 0) {
      this.ownInUse.set(slotKey, this.getOwnInUse(slotKey) + 1)
      return { slotKey, loan: undefined }
    }
    let best: BorrowedLoan | undefined
    for (const loan of this.borrowed.values()) {
      if (loan.slotKey !== slotKey || loan.inUse >= countLoanSlots(loan) || loan.deadline < until) continue
      if (best === undefined || loan.deadline < best.deadline) best = loan
    }
    if (best === undefined) return undefined
    best.inUse++
    return { slotKey, loan: best }
  }

  /** @param slot a slot from {@link PlaceLedger.acquire}; must be released exactly once */
  release (slot: AcquiredSlot): void {
    if (slot.loan !== undefined) {
      slot.loan.inUse--
      return
    }
    const left = this.getOwnInUse(slot.slotKey) - 1
    if (left > 0) this.ownInUse.set(slot.slotKey, left)
    else this.ownInUse.delete(slot.slotKey)
  }

  /** @returns the node's own slots in use or lent, by slot key; borrowed slots count at their lender */
  listUsage (): Map<string, number> {
    const use = new Map(this.ownInUse)
    for (const loan of this.lent.values()) {
      if (!loan.isReturned) use.set(loan.slotKey, (use.get(loan.slotKey) ?? 0) + loan.slots)
    }
    return use
  }

  /**
   * Lends idle slots. This node stops using them before the answer is sent; a
   * repeated request gets the same answer.
   * @param request a peer's request for a loan
   * @param now the current time
   * @param reservedSlots number of idle slots to keep for this node's own requests
   * @returns the loan; zero slots if none can be lent
   */
  lend (request: LoanRequest, now: Instant, reservedSlots: number): LoanAnswer {
    this.removeExpired(now)
    const id = buildLoanId(request)
    const existing = this.lent.get(id)
    if (existing !== undefined) return buildAnswer(request.loanId, existing)
    const deadline = Math.min(request.deadline, createDeadline(now, MAX_LOAN_MS))
    const idle = Math.min(this.countOwnFree(request.workerId), Math.max(0, this.countAllOwnFree() - reservedSlots))
    const connections = Math.min(request.connections, this.countLendableConnections(request.workerId))
    const slots = Math.min(request.slots, idle, connections)
    if (slots <= 0 || hasPassed(deadline, now)) return { loanId: request.loanId, ...EMPTY_SHARE, deadline: now }
    const loan: LentLoan = { borrowerId: request.borrowerId, slotKey: request.workerId, slots, connections, deadline, isReturned: false }
    this.lent.set(id, loan)
    return buildAnswer(request.loanId, loan)
  }

  /**
   * Ends a loan before its deadline. A return can arrive before the request for
   * the loan only if the borrower abandoned that request; when the request
   * arrives later, it is refused.
   * @param loan the returned loan
   * @param now the current time
   */
  settleReturn (loan: LoanReturn, now: Instant): void {
    const id = buildLoanId(loan)
    const existing = this.lent.get(id)
    if (existing !== undefined) {
      existing.isReturned = true
      return
    }
    const deadline = createDeadline(now, MAX_LOAN_MS)
    this.lent.set(id, { borrowerId: loan.borrowerId, slotKey: '', ...EMPTY_SHARE, deadline, isReturned: true })
  }

  /** @param loan a loan granted by a peer */
  addLoan (loan: BorrowedLoan): void {
    this.borrowed.set(loan.loanId, loan)
  }

  /** @param loanId id of a borrowed loan without slots in use */
  removeLoan (loanId: string): void {
    this.borrowed.delete(loanId)
  }

  /** @returns the loans that this node has borrowed */
  listBorrowed (): readonly BorrowedLoan[] {
    return [...this.borrowed.values()]
  }

  /**
   * Removes loans whose deadline has passed.
   * @param now the current time
   * @returns whether any was removed
   */
  removeExpired (now: Instant): boolean {
    const before = this.lent.size + this.borrowed.size
    for (const [id, loan] of this.lent) {
      if (hasPassed(loan.deadline, now)) this.lent.delete(id)
    }
    for (const [loanId, loan] of this.borrowed) {
      if (hasPassed(loan.deadline, now)) this.borrowed.delete(loanId)
    }
    return this.lent.size + this.borrowed.size < before
  }

  /** @returns the number of the node's own slots that are neither in use nor lent, over all workers */
  countAllOwnFree (): number {
    let sum = 0
    for (const slotKey of this.ownShares.keys()) sum += this.countWorkerFree(slotKey)
    return Math.min(sum, this.countPlaceFree())
  }

  /**
   * @param slotKey key of a worker's limits
   * @param now the current time
   * @returns ids of the nodes that currently borrow slots of the worker
   */
  listBorrowers (slotKey: string, now: Instant): string[] {
    const loans = [...this.lent.values()].filter((loan) => loan.slotKey === slotKey && !loan.isReturned && !hasPassed(loan.deadline, now))
    return [...new Set(loans.map((loan) => loan.borrowerId))]
  }

  /** @returns the number of slots lent to peers, over all workers */
  countAllLent (): number {
    let sum = 0
    for (const loan of this.lent.values()) sum += loan.isReturned ? 0 : loan.slots
    return sum
  }

  private countOwnFree (slotKey: string): number {
    return Math.min(this.countWorkerFree(slotKey), this.countPlaceFree())
  }

  private countWorkerFree (slotKey: string): number {
    return Math.max(0, this.getShare(slotKey).slots - this.countLent(slotKey) - this.getOwnInUse(slotKey))
  }

  private countPlaceFree (): number {
    let inUse = 0
    for (const count of this.ownInUse.values()) inUse += count
    return Math.max(0, this.placeShare - this.countAllLent() - inUse)
  }

  private countBorrowed (slotKey: string, until: Deadline, count: (loan: BorrowedLoan) => number): number {
    let sum = 0
    for (const loan of this.borrowed.values()) {
      if (loan.slotKey === slotKey && loan.deadline >= until) sum += count(loan)
    }
    return sum
  }

  private countLent (slotKey: string): number {
    let sum = 0
    for (const loan of this.lent.values()) {
      if (loan.slotKey === slotKey && !loan.isReturned) sum += loan.slots
    }
    return sum
  }

  private countLendableConnections (slotKey: string): number {
    let left = Math.floor(this.getShare(slotKey).connections * LENDABLE_CONNECTION_RATIO)
    for (const loan of this.lent.values()) {
      if (loan.slotKey === slotKey && !loan.isReturned) left -= loan.connections
    }
    return Math.max(0, left)
  }

  private getShare (slotKey: string): SlotShare {
    return this.ownShares.get(slotKey) ?? EMPTY_SHARE
  }

  private getOwnInUse (slotKey: string): number {
    return this.ownInUse.get(slotKey) ?? 0
  }
}

function countLoanSlots (loan: BorrowedLoan): number {
  return loan.isClosing ? loan.inUse : loan.slots
}

function buildLoanId (loan: { readonly borrowerId: string, readonly loanId: string }): string {
  return `${loan.borrowerId}/${loan.loanId}`
}

function buildAnswer (loanId: string, loan: LentLoan): LoanAnswer {
  const { slots, connections } = loan.isReturned ? EMPTY_SHARE : loan
  return { loanId, slots, connections, deadline: loan.deadline }
}
