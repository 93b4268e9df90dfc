/**
 * The slots of one place at one entry VM: its own parts, what it lent, what it
 * borrowed, and what is in use. Nothing here reads a clock; the same calls drive
 * it in the daemon, in property tests and in the measurement.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import type { LoanAnswer, LoanRequest, LoanReturn } from '../ports/peers.js'
import type { SlotShare } from './divideSlots.js'
import { type BorrowedLoan, LONGEST_LOAN_SPAN_MS, type LentLoan, type TakenSlot } from './loans.js'

const NOTHING: SlotShare = { slots: 0, connections: 0 }
/**
 * The part of the own connections that may be lent. It is kept out of the own
 * use at all times: an idle connection can't be called back in an instant.
 */
const LENDABLE_CONNECTIONS = 0.5

/** The slots of one place. */
export class PlaceLedger {
  private own: ReadonlyMap<string, SlotShare> = new Map()
  private placePart = 0
  private readonly ownInUse = new Map<string, number>()
  private readonly lent = new Map<string, LentLoan>()
  private readonly borrowed = new Map<string, BorrowedLoan>()

  /**
   * Takes over this node's parts. What is used beyond a smaller part runs out.
   * @param parts by slot key
   * @param placePart this node's part of the place's own limit
   */
  setParts (parts: ReadonlyMap<string, SlotShare>, placePart: number): void {
    this.own = parts
    this.placePart = placePart
  }

  /**
   * @param slotKey a worker's slots
   * @param until a loan must last so long to count
   * @returns slots that may be used now, taken ones included
   */
  countSlots (slotKey: string, until: Deadline): number {
    return Math.max(0, this.getPart(slotKey).slots - this.countLent(slotKey)) + this.countBorrowed(slotKey, until, countLoanSlots)
  }

  /**
   * @param slotKey a worker's slots
   * @param until when a request that starts now must have ended
   * @returns slots on which it can start
   */
  countFree (slotKey: string, until: Deadline): number {
    return this.countOwnFree(slotKey) + this.countBorrowed(slotKey, until, (loan) => countLoanSlots(loan) - loan.inUse)
  }

  /**
   * @param until when a request that starts now must have ended
   * @returns requests that the place's own limit lets run here at a time, lent and borrowed included
   */
  countPlaceSlots (until: Deadline): number {
    let borrowed = 0
    for (const loan of this.borrowed.values()) {
      if (loan.deadline >= until) borrowed += countLoanSlots(loan)
    }
    return Math.max(0, this.placePart - this.countAllLent()) + borrowed
  }

  /**
   * @param slotKey a worker's slots
   * @returns connections that this node may hold open to the worker
   */
  countConnections (slotKey: string): number {
    const own = this.getPart(slotKey).connections
    let borrowed = 0
    for (const loan of this.borrowed.values()) {
      if (loan.slotKey === slotKey) borrowed += loan.connections
    }
    return own - Math.floor(own * LENDABLE_CONNECTIONS) + borrowed
  }

  /**
   * Takes a slot; the own ones first, so that loans fall idle and can go back.
   * @param slotKey a worker's slots
   * @param until when the request must have ended
   * @returns the slot, to be given to `release`; undefined if none fits
   */
  take (slotKey: string, until: Deadline): TakenSlot | undefined {
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

  /** @param slot one from `take`, once */
  release (slot: TakenSlot): void {
    if (slot.loan !== undefined) {
      slot.loan.inUse--
      return
    }
    const left = this.getOwnInUse(slot.slotKey) - 1
    if (left > 0) this.ownInUse.set(slot.slotKey, left)
    else this.ownInUse.delete(slot.slotKey)
  }

  /** @returns own slots in use or lent, by slot key; what is borrowed counts at its lender */
  listUse (): Map<string, number> {
    const use = new Map(this.ownInUse)
    for (const loan of this.lent.values()) {
      if (!loan.isReturned) use.set(loan.slotKey, (use.get(loan.slotKey) ?? 0) + loan.slots)
    }
    return use
  }

  /**
   * Lends what is idle. The slots are out of the own use before the answer
   * leaves; a repeated request gets the same answer.
   * @param request what a peer asks for
   * @param now the present
   * @param keep idle slots to keep for own requests
   * @returns what was lent; zero slots if nothing is idle
   */
  lend (request: LoanRequest, now: Instant, keep: number): LoanAnswer {
    this.removeEnded(now)
    const id = buildLoanId(request)
    const known = this.lent.get(id)
    if (known !== undefined) return buildAnswer(request.loanId, known)
    const deadline = Math.min(request.deadline, createDeadline(now, LONGEST_LOAN_SPAN_MS))
    const idle = Math.min(this.countOwnFree(request.workerId), Math.max(0, this.countAllOwnFree() - keep))
    const connections = Math.min(request.connections, this.countLendableConnections(request.workerId))
    const slots = Math.min(request.slots, idle, connections)
    if (slots <= 0 || hasPassed(deadline, now)) return { loanId: request.loanId, ...NOTHING, deadline: now }
    const loan: LentLoan = { borrowerId: request.borrowerId, slotKey: request.workerId, slots, connections, deadline, isReturned: false }
    this.lent.set(id, loan)
    return buildAnswer(request.loanId, loan)
  }

  /**
   * Takes a loan back early. A return can overtake its request only if the
   * request was given up; the request is then refused.
   * @param loan what the borrower returns
   * @param now the present
   */
  settleReturn (loan: LoanReturn, now: Instant): void {
    const id = buildLoanId(loan)
    const known = this.lent.get(id)
    if (known !== undefined) {
      known.isReturned = true
      return
    }
    const deadline = createDeadline(now, LONGEST_LOAN_SPAN_MS)
    this.lent.set(id, { borrowerId: loan.borrowerId, slotKey: '', ...NOTHING, deadline, isReturned: true })
  }

  /** @param loan a loan that a peer granted */
  addLoan (loan: BorrowedLoan): void {
    this.borrowed.set(loan.loanId, loan)
  }

  /**
   * @param loanId a loan of which nothing is in use
   */
  removeLoan (loanId: string): void {
    this.borrowed.delete(loanId)
  }

  /** @returns loans that this node holds */
  listBorrowed (): readonly BorrowedLoan[] {
    return [...this.borrowed.values()]
  }

  /**
   * Lets go of loans that have ended.
   * @param now the present
   * @returns whether there was one
   */
  removeEnded (now: Instant): boolean {
    const before = this.lent.size + this.borrowed.size
    for (const [id, loan] of this.lent) {
      if (hasPassed(loan.deadline, now)) this.lent.delete(id)
    }
    for (const [loanId, loan] of this.borrowed) {
      if (hasPassed(loan.deadline, now)) this.borrowed.delete(loanId)
    }
    return this.lent.size + this.borrowed.size < before
  }

  /** @returns own slots that are neither in use nor lent, all workers together */
  countAllOwnFree (): number {
    let sum = 0
    for (const slotKey of this.own.keys()) sum += this.countWorkerFree(slotKey)
    return Math.min(sum, this.countPlaceFree())
  }

  /**
   * @param slotKey a worker's slots
   * @param now the present
   * @returns the nodes that borrow some of them
   */
  listBorrowers (slotKey: string, now: Instant): string[] {
    const loans = [...this.lent.values()].filter((loan) => loan.slotKey === slotKey && !loan.isReturned && !hasPassed(loan.deadline, now))
    return [...new Set(loans.map((loan) => loan.borrowerId))]
  }

  /** @returns slots lent to peers */
  countAllLent (): number {
    let sum = 0
    for (const loan of this.lent.values()) sum += loan.isReturned ? 0 : loan.slots
    return sum
  }

  private countOwnFree (slotKey: string): number {
    return Math.min(this.countWorkerFree(slotKey), this.countPlaceFree())
  }

  private countWorkerFree (slotKey: string): number {
    return Math.max(0, this.getPart(slotKey).slots - this.countLent(slotKey) - this.getOwnInUse(slotKey))
  }

  private countPlaceFree (): number {
    let inUse = 0
    for (const count of this.ownInUse.values()) inUse += count
    return Math.max(0, this.placePart - this.countAllLent() - inUse)
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
    let left = Math.floor(this.getPart(slotKey).connections * LENDABLE_CONNECTIONS)
    for (const loan of this.lent.values()) {
      if (loan.slotKey === slotKey && !loan.isReturned) left -= loan.connections
    }
    return Math.max(0, left)
  }

  private getPart (slotKey: string): SlotShare {
    return this.own.get(slotKey) ?? NOTHING
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
  const { slots, connections } = loan.isReturned ? NOTHING : loan
  return { loanId, slots, connections, deadline: loan.deadline }
}
