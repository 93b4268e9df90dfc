/** The interfaces between daemons: the calls that a node serves, and the calls that it makes to its peers. */
import type { Instant } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import type { Deadline } from '@umberspar/base/common/deadline'
import type { StepError } from '@umberspar/base/common/errors'
import type { Result } from '@umberspar/base/common/result'
import type { AnnouncedState, DemandReport, DocumentVersion } from '../membership/memberFacts.js'
import type { MemberReport } from '../membership/memberReport.js'
import type { PushRoute } from '../gossip/pushTree.js'

/** A complete document. */
export interface PeerDocument {
  readonly document: DocumentVersion
  readonly body: Uint8Array
  /** How the receiver forwards a pushed document; if absent, the document is not forwarded. */
  readonly route?: PushRoute
}

/** The most recent load of one worker that a node knows. */
export interface WorkerReport {
  readonly workerId: string
  /** 0 means idle, 1 means full; may exceed 1. */
  readonly utilization: number
  readonly inFlight: number
  /** By the local clock; the adapter transmits the age instead. */
  readonly measuredAt: Instant
  readonly isDraining: boolean
  readonly isHealthy: boolean
  /** Whether the worker reports that it is starting and still cold. */
  readonly isStarting: boolean
  /** Whether this comes from a health probe; otherwise the load and the draining state come from a response to a request. */
  readonly isProbed: boolean
  /** Whether `utilization` and `inFlight` are known; a probe may ask only for the health. */
  readonly hasLoad: boolean
}

/** A heartbeat: a node's state, the versions of its documents, and what it knows about workers and other nodes. */
export interface Heartbeat {
  readonly nodeId: string
  readonly state: AnnouncedState
  /** Increases with every start of the node. */
  readonly incarnation: number
  readonly documents: readonly DocumentVersion[]
  readonly workers: readonly WorkerReport[]
  readonly demand: readonly DemandReport[]
  readonly region: string
  readonly failureDomain: string
  /** Increases with every heartbeat round of the node; a heartbeat without a higher number does not show that the node is alive. */
  readonly beat: number
  /** What the node knows about other nodes. */
  readonly members: readonly MemberReport[]
  /** When a node last read the store and confirmed that the sender's configuration is current; undefined if this was not recent. */
  readonly confirmedAt: Instant | undefined
}

/** A request to borrow some of a peer's slots and connections at a worker until a deadline. */
export interface LoanRequest {
  readonly borrowerId: string
  /** Stays the same when the request is retried, so that the loan is not granted twice. */
  readonly loanId: string
  readonly workerId: string
  readonly slots: number
  readonly connections: number
  /** By the local clock of the node that has the request. */
  readonly deadline: Deadline
}

/** A granted loan, or a refusal if both slots and connections are 0. */
export interface LoanAnswer {
  readonly loanId: string
  readonly slots: number
  readonly connections: number
  /**
   * By the local clock. The borrower counts from before it sent the request and the
   * lender from when it received it, so the borrower's deadline is never the later one.
   */
  readonly deadline: Deadline
}

/** Returns a loan before its deadline. */
export interface LoanReturn {
  readonly borrowerId: string
  readonly loanId: string
}

/** The calls that a node serves for its peers. If a method throws a StepError, the caller receives its code. */
export interface IPeerService {
  /** @returns this node's heartbeat */
  exchange(heartbeat: Heartbeat): Heartbeat
  /** @returns the document if this node has a version higher than `aboveVersion`, otherwise undefined */
  fetch(name: string, aboveVersion: number): PeerDocument | undefined
  /** @returns this node's version of the document afterwards */
  push(document: PeerDocument): Promise<number>
  borrow(request: LoanRequest): LoanAnswer
  returnLoan(loan: LoanReturn): void
}

/**
 * Calls to peers, addressed by the `host:port` of their listeners. Errors:
 * `Unavailable` means that a call had no effect, `EffectUnknown` that the response
 * to a push, a loan request or the return of a loan was lost.
 */
export interface IPeerClient extends IClosable {
  exchange(address: string, heartbeat: Heartbeat, deadline: Deadline): Promise<Result<Heartbeat, StepError>>
  /** @returns undefined if the peer has no higher version */
  fetch(address: string, name: string, aboveVersion: number, deadline: Deadline): Promise<Result<PeerDocument | undefined, StepError>>
  push(address: string, document: PeerDocument, deadline: Deadline): Promise<Result<number, StepError>>
  borrow(address: string, request: LoanRequest, deadline: Deadline): Promise<Result<LoanAnswer, StepError>>
  returnLoan(address: string, loan: LoanReturn, deadline: Deadline): Promise<Result<void, StepError>>
  /** Closes the connection to a peer that no longer exists. */
  closePeer(address: string): void
}
