/** Loans of slots and connections between entry VMs, as lender and borrower record them. */
import type { Deadline } from '@umberspar/base/common/deadline'
import type { SlotShare } from './divideSlots.js'

/** Maximum duration of a loan; a starting node waits this long for loans that its previous process granted. */
export const MAX_LOAN_MS = 60_000
/**
 * Fraction by which a borrower shortens a loan, so that it ends there before it
 * ends on the lender's clock even if that clock runs faster. Real clock rates
 * differ by far less.
 */
export const CLOCK_DRIFT_MARGIN_RATIO = 0.001

/** A loan as recorded by the lender. */
export interface LentLoan extends SlotShare {
  readonly borrowerId: string
  readonly slotKey: string
  /** On the lender's clock; from then on the lender may use the slots itself. */
  readonly deadline: Deadline
  /** A returned loan is kept until its deadline, so that a delayed duplicate of its request is not granted again. */
  isReturned: boolean
}

/** A loan as recorded by the borrower. */
export interface BorrowedLoan extends SlotShare {
  readonly loanId: string
  /** `host:port` at which the lender listens for peers. */
  readonly lenderAddress: string
  readonly lenderId: string
  readonly slotKey: string
  /** On the borrower's clock; requests that use the loan must have ended by then. */
  readonly deadline: Deadline
  /** Number of slots in use. */
  inUse: number
  /** No new request may use the loan; it is returned when its last request has ended. */
  isClosing: boolean
}

/** The slot that a request uses: one of the node's own share or a borrowed one. */
export interface AcquiredSlot {
  readonly slotKey: string
  /** Undefined for a slot of the node's own share. */
  readonly loan: BorrowedLoan | undefined
}
