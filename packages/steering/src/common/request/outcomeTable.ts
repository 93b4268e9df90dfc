/**
 * Maps what was sent to an upstream and what was received from it to the outcome
 * of the request. Every code path that ends a request uses this table, so that
 * none of them decides on `not-run` by itself.
 */
import { Outcome } from '../state/outcome.js'

/** Whether any part of a request may have been sent to an upstream. */
export enum SentState {
  /** No byte was sent: the request was never written to a connected socket. */
  Nothing = 'nothing',
  /** Between one byte and the complete request may have been sent. */
  MaybeSent = 'may-have-left'
}

/** What was received in response. */
export enum ResponseState {
  /** No byte of a final response: connection refused, stale keep-alive socket, connection reset, or 1xx responses only. */
  None = 'nothing',
  /** The explicit refusal that is configured for the service, before or after the upstream read the body. */
  Refused = 'refusal',
  /** A complete response with any status. */
  Complete = 'whole',
  /** The head of a response but not its complete body: truncated, malformed chunks or connection reset. */
  Incomplete = 'broken',
  /** The deadline passed before the response was complete. */
  DeadlinePassed = 'late',
  /** Before the response was complete, the caller disconnected or the attempt was cancelled in favor of another one. */
  Cancelled = 'abandoned'
}

/**
 * A response that arrives although no byte of the request was sent must belong to
 * another request and proves nothing about this one. Complete and incomplete
 * responses in the first row are therefore `unknown`.
 */
const OUTCOMES: Readonly<Record<SentState, Readonly<Record<ResponseState, Outcome>>>> = {
  [SentState.Nothing]: {
    [ResponseState.None]: Outcome.NotRun,
    [ResponseState.Refused]: Outcome.NotRun,
    [ResponseState.Complete]: Outcome.Unknown,
    [ResponseState.Incomplete]: Outcome.Unknown,
    [ResponseState.DeadlinePassed]: Outcome.NotRun,
    [ResponseState.Cancelled]: Outcome.NotRun
  },
  [SentState.MaybeSent]: {
    [ResponseState.None]: Outcome.Unknown,
    [ResponseState.Refused]: Outcome.NotRun,
    [ResponseState.Complete]: Outcome.Done,
    [ResponseState.Incomplete]: Outcome.Unknown,
    [ResponseState.DeadlinePassed]: Outcome.Unknown,
    [ResponseState.Cancelled]: Outcome.Unknown
  }
}

/**
 * @param sent what was sent
 * @param received what was received
 * @returns the outcome of the request after this exchange
 */
export function classifyExchange (sent: SentState, received: ResponseState): Outcome {
  return OUTCOMES[sent][received]
}

/**
 * Merges the outcomes of all exchanges of a request that ended without a response.
 * @param outcomes the outcome of each exchange
 * @returns `not-run` if all outcomes are `not-run`, otherwise `unknown`
 */
export function mergeOutcomes (outcomes: readonly Outcome[]): Outcome.NotRun | Outcome.Unknown {
  return outcomes.every((outcome) => outcome === Outcome.NotRun) ? Outcome.NotRun : Outcome.Unknown
}
