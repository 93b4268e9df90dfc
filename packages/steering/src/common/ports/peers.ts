/** The ports between daemons: what a node answers its peers, and what it asks of them. */
import type { Instant } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import type { Deadline } from '@umberspar/base/common/deadline'
import type { StepError } from '@umberspar/base/common/errors'
import type { Result } from '@umberspar/base/common/result'
import type { AnnouncedState, DemandReport, DocumentVersion } from '../membership/memberFacts.js'
import type { MemberReport } from '../membership/memberReport.js'
import type { PushRoute } from '../spread/pushTree.js'

/** A whole document. */
export interface PeerDocument {
  readonly document: DocumentVersion
  readonly body: Uint8Array
  /** How a pushed document goes on; left out, it is not handed on. */
  readonly route?: PushRoute
}

/** The newest load that a node knows of one worker. */
export interface WorkerReport {
  readonly workerId: string
  /** 0 is idle, 1 is full; may exceed 1. */
  readonly utilization: number
  readonly inFlight: number
  /** On the own clock; the adapter carries the age over the wire. */
  readonly measuredAt: Instant
  readonly isDraining: boolean
  readonly isHealthy: boolean
  /** It says that it is starting and still cold. */
  readonly isStarting: boolean
  /** Its health was asked for; else an answer told its load and whether it drains. */
  readonly isProbed: boolean
  /** Whether `utilization` and `inFlight` were told; a probe may ask for the health alone. */
  readonly hasLoad: boolean
}

/** A heartbeat: who is there, in which state, with which versions. */
export interface Digest {
  readonly nodeId: string
  readonly state: AnnouncedState
  /** Grows with every start of the node. */
  readonly incarnation: number
  readonly documents: readonly DocumentVersion[]
  readonly workers: readonly WorkerReport[]
  readonly demand: readonly DemandReport[]
  readonly region: string
  readonly failureDomain: string
  /** Grows with every round of the node; a digest without a newer one is no sign of life. */
  readonly beat: number
  /** What the node has heard of others. */
  readonly members: readonly MemberReport[]
  /** When a read of the store, by whichever node, last confirmed the sender's configuration; undefined if not lately. */
  readonly confirmedAt: Instant | undefined
}

/** Asks to use some of a peer's slots and connections at a worker until a deadline. */
export interface LoanRequest {
  readonly borrowerId: string
  /** The same for a repeated request, so that a loan is not given twice. */
  readonly loanId: string
  readonly workerId: string
  readonly slots: number
  readonly connections: number
  /** On the own clock of whoever holds the request. */
  readonly deadline: Deadline
}

/** What was lent; zero slots and connections are a refusal. */
export interface LoanAnswer {
  readonly loanId: string
  readonly slots: number
  readonly connections: number
  /**
   * On the own clock. The borrower's is counted from before its request was sent,
   * the lender's from the receipt: the borrower's never lies after the lender's.
   */
  readonly deadline: Deadline
}

/** Gives a loan back before its deadline. */
export interface LoanReturn {
  readonly borrowerId: string
  readonly loanId: string
}

/** What a node answers its peers. A StepError thrown reaches the caller with its code. */
export interface IPeerService {
  /** @returns the own digest */
  exchange(digest: Digest): Digest
  /** @returns the document, if the own version is higher than `aboveVersion` */
  fetch(name: string, aboveVersion: number): PeerDocument | undefined
  /** @returns the version in force here afterwards */
  push(document: PeerDocument): Promise<number>
  borrow(request: LoanRequest): LoanAnswer
  returnLoan(loan: LoanReturn): void
}

/**
 * Calls to peers by the `host:port` of their listeners. Errors: `Unavailable` says
 * that a call had no effect, `EffectUnknown` that the answer to a push, a loan or a
 * return was lost.
 */
export interface IPeerClient extends IClosable {
  exchange(address: string, digest: Digest, deadline: Deadline): Promise<Result<Digest, StepError>>
  /** @returns undefined if the peer has no higher version */
  fetch(address: string, name: string, aboveVersion: number, deadline: Deadline): Promise<Result<PeerDocument | undefined, StepError>>
  push(address: string, document: PeerDocument, deadline: Deadline): Promise<Result<number, StepError>>
  borrow(address: string, request: LoanRequest, deadline: Deadline): Promise<Result<LoanAnswer, StepError>>
  returnLoan(address: string, loan: LoanReturn, deadline: Deadline): Promise<Result<void, StepError>>
  /** Gives up the connection to a peer that is gone. */
  closePeer(address: string): void
}
