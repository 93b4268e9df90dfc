/** What the input of a connection needs of the connection and of the process. */
import type { Instant } from '../../common/clock.js'
import type { ConnectionTimeouts } from './connectionTimeouts.js'
import type { InputScheduler } from './inputScheduler.js'

/** Why input is refused. */
export enum InputFault {
  Malformed = 'malformed',
  /** A transfer coding other than chunks. */
  UnknownCoding = 'unknown-coding',
  TooLong = 'too-long',
  /** The head took too long to arrive. */
  TooSlow = 'too-slow'
}

/** The connection that the input belongs to. */
export interface InputOwner {
  /** Limit on the length of a head, in bytes. */
  readonly maxHeadBytes: number
  /** Limit on the time that a head may take, in milliseconds. */
  readonly headTimeoutMs: number
  /**
   * @param headBytes what the head of the next request takes in memory, estimated
   * @returns whether that request may be passed on; otherwise call `resume` of the input when it may
   */
  mayPassRequest(headBytes: number): boolean
  /** Called once, before the bytes that are refused are passed on: @param isBody whether they belong to the request that was passed on last */
  refuseInput(fault: InputFault, isBody: boolean): void
  /** @returns when what is read now may have arrived at the earliest */
  getArrival(): Instant
  /** Called when the number of bytes that wait has changed. */
  handleWaitingBytes(): void
}

/** Divides the event loop among connections, and checks their deadlines. */
export interface InputTurns {
  readonly scheduler: InputScheduler
  readonly timeouts: ConnectionTimeouts
}
