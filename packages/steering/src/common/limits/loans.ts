/** Loans of slots between entry VMs, on either side. */
import type { Deadline } from '@umberspar/base/common/deadline'
import type { SlotShare } from './divideSlots.js'

/** The longest loan, in milliseconds; a node that starts waits so long for loans of the process before it. */
export const LONGEST_LOAN_SPAN_MS = 60_000
/**
 * Two machines' clocks run at rates that differ by far less. The borrower counts
 * its loan shorter by this part, so that a fast lender does not end it first.
 */
export const CLOCK_RATE_MARGIN = 0.001

/** A loan as the lender keeps it. */
export interface LentLoan extends SlotShare {
  readonly borrowerId: string
  readonly slotKey: string
  /** On the lender's clock; the slots are its own again from here on. */
  readonly deadline: Deadline
  /** A returned loan is remembered until its deadline, so that a late copy of its request is not granted again. */
  isReturned: boolean
}

/** A loan as the borrower keeps it. */
export interface BorrowedLoan extends SlotShare {
  readonly loanId: string
  /** `host:port` of the lender's peers' listener. */
  readonly lender: string
  readonly lenderId: string
  readonly slotKey: string
  /** On the borrower's clock; requests on the loan must have ended by then. */
  readonly deadline: Deadline
  inUse: number
  /** Nothing starts on it any more; it goes back when the last request on it has ended. */
  isClosing: boolean
}

/** Where a request runs: on an own slot or on a loan's. */
export interface TakenSlot {
  readonly slotKey: string
  /** Undefined for an own slot. */
  readonly loan: BorrowedLoan | undefined
}
