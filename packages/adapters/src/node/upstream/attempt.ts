/** One attempt to run a request at one worker: what goes in, what comes out, how it fails. */
import type { Readable } from 'node:stream'
import type { Deadline } from '@umberspar/base/common/deadline'
import type { IClosable } from '@umberspar/base/common/closing'
import type { Result } from '@umberspar/base/common/result'
import type { StepErrorDetails } from '@umberspar/base/common/errors'
import { StepError } from '@umberspar/base/common/errors'

/** Header names in lower case; a header that came several times keeps all its values. */
export type HeaderMap = Record<string, string | string[]>

/** A request for one worker. */
export interface AttemptRequest {
  readonly workerId: string
  /** `host:port` of the worker, as given to `setWorkers`. */
  readonly address: string
  readonly method: string
  /** Begins with `/` and holds the query. */
  readonly path: string
  /** Hop-by-hop headers among them are left out. */
  readonly headers: Record<string, string | string[]>
  /** Untouched if the attempt fails with `mayHaveSent` false for another cause than deadline or signal. */
  readonly body: Readable | Uint8Array | null
  /** Bounds the whole attempt, the response's body included. */
  readonly deadline: Deadline
  /** Cancels the attempt at any point, the response's body included. */
  readonly signal: AbortSignal
}

/** A worker's answer, from the moment its headers are known. */
export interface AttemptResponse {
  readonly status: number
  readonly headers: Record<string, string | string[]>
  /** Ends only if the whole body has come; anything else is an `error` event with an AttemptError. */
  readonly body: Readable
}

/** Where an AttemptError arose, and what that says about the request. */
export interface AttemptErrorDetails extends StepErrorDetails {
  readonly mayHaveSent: boolean
  readonly hasHeaders: boolean
  /** False if left out. */
  readonly isLate?: boolean
}

/** Why an attempt failed. */
export class AttemptError extends StepError {
  /** False only if no byte of the request can have left. */
  readonly mayHaveSent: boolean
  /** Whether the response's headers had come; the error is then on the body's stream. */
  readonly hasHeaders: boolean
  /** The deadline ended it; timers may fire a fraction of a millisecond early, so the clock cannot tell. */
  readonly isLate: boolean

  constructor (details: AttemptErrorDetails) {
    super(details)
    this.name = 'AttemptError'
    this.mayHaveSent = details.mayHaveSent
    this.hasHeaders = details.hasHeaders
    this.isLate = details.isLate ?? false
  }
}

/** How many connections this process may hold to a worker. */
export interface WorkerLimit {
  readonly address: string
  readonly connections: number
}

/** What a worker says of itself. */
export interface WorkerProbe {
  /** It answered 200: ready or starting. False while it drains; look at `isDraining` first. */
  readonly isHealthy: boolean
  readonly isDraining: boolean
  readonly isStarting: boolean
  /** What its load endpoint says; undefined if it was not asked. */
  readonly load: ProbedLoad | undefined
}

/** What a worker's load endpoint says. */
export interface ProbedLoad {
  /** 0 is idle, 1 is full; may exceed 1. */
  readonly utilization: number
  readonly inFlight: number
}

/** What a probe asks for; each endpoint costs a worker up to 6 ms of a slot. */
export enum ProbeScope {
  Health = 'health',
  HealthAndLoad = 'health-and-load'
}

/** Carries requests to workers. */
export interface IUpstreamTransport extends IClosable {
  /**
   * Makes one attempt; never repeats it.
   * @param request what to send
   * @returns the answer once its headers are known; `Exhausted` at once if the worker's connections are all taken
   */
  send(request: AttemptRequest): Promise<Result<AttemptResponse, AttemptError>>
  /**
   * Replaces the workers and their limits of connections. A worker left out gets
   * no new request and loses its idle connections; its open requests finish.
   * @param workers all workers; limits of entries with the same address add up
   */
  setWorkers(workers: ReadonlyArray<WorkerLimit>): void
  /**
   * Asks a worker for its health, and for its load if wanted, over its counted connections.
   * @param address the worker
   * @param deadline by when all answers must have come
   * @param scope what to ask for
   * @returns what it says; an error if it does not answer or answers nonsense
   */
  probe(address: string, deadline: Deadline, scope: ProbeScope): Promise<Result<WorkerProbe, StepError>>
}
