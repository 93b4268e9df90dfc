/** Types of an attempt to send a request to a worker: request, response and errors. */
import type { Readable } from 'node:stream'
import type { Deadline } from '@umberspar/base/common/deadline'
import type { IClosable } from '@umberspar/base/common/closing'
import type { Result } from '@umberspar/base/common/result'
import type { StepErrorDetails } from '@umberspar/base/common/errors'
import { StepError } from '@umberspar/base/common/errors'

/** Headers by lower-case name; a header that occurs several times keeps all its values. */
export type HeaderMap = Record<string, string | string[]>

/** A request to one worker. */
export interface AttemptRequest {
  readonly workerId: string
  /** `host:port` of the worker, as passed to `setWorkers`. */
  readonly address: string
  readonly method: string
  /** Path and query; begins with `/`. */
  readonly path: string
  /** Hop-by-hop headers are removed before sending. */
  readonly headers: Record<string, string | string[]>
  /** Not read from if the attempt fails with {@link AttemptError.mayHaveBeenSent} false for a reason other than deadline or signal. */
  readonly body: Readable | Uint8Array | null
  /** Applies to the whole attempt, including the response body. */
  readonly deadline: Deadline
  /** Cancels the attempt at any time, also while the response body is being received. */
  readonly signal: AbortSignal
}

/** A worker's response; available once its headers have been received. */
export interface AttemptResponse {
  readonly status: number
  readonly headers: Record<string, string | string[]>
  /** Ends only when the complete body has been received; otherwise it emits `error` with an {@link AttemptError}. */
  readonly body: Readable
}

/** Details of an {@link AttemptError}. */
export interface AttemptErrorDetails extends StepErrorDetails {
  readonly mayHaveBeenSent: boolean
  readonly hasHeaders: boolean
  /** Defaults to false. */
  readonly isDeadlinePassed?: boolean
}

/** Why an attempt failed. */
export class AttemptError extends StepError {
  /** False only if no byte of the request can have been sent. */
  readonly mayHaveBeenSent: boolean
  /** Whether the response headers had been received; the error is then emitted by the body stream. */
  readonly hasHeaders: boolean
  /** Whether the deadline ended the attempt. The clock can't tell, as timers may fire a fraction of a millisecond early. */
  readonly isDeadlinePassed: boolean

  constructor (details: AttemptErrorDetails) {
    super(details)
    this.name = 'AttemptError'
    this.mayHaveBeenSent = details.mayHaveBeenSent
    this.hasHeaders = details.hasHeaders
    this.isDeadlinePassed = details.isDeadlinePassed ?? false
  }
}

/** How many connections this process may have open to a worker. */
export interface WorkerLimit {
  readonly address: string
  readonly connections: number
}

/** A worker's responses to a probe. */
export interface ProbeResult {
  /** Whether the worker responded with status 200, being ready or starting. False while it drains, so check `isDraining` first. */
  readonly isHealthy: boolean
  readonly isDraining: boolean
  readonly isStarting: boolean
  /** The load that the worker reports; undefined if the probe did not request it. */
  readonly load: ProbedLoad | undefined
}

/** The response of a worker's load endpoint. */
export interface ProbedLoad {
  /** 0 is idle, 1 is fully loaded; may exceed 1. */
  readonly utilization: number
  readonly inFlight: number
}

/** The endpoints that a probe requests; each request occupies one of the worker's slots for up to 6 ms. */
export enum ProbeScope {
  Health = 'health',
  HealthAndLoad = 'health-and-load'
}

/** Sends requests to workers. */
export interface IUpstreamTransport extends IClosable {
  /**
   * Makes one attempt, without retries.
   * @param request the request
   * @returns the response once its headers have been received; `Exhausted` immediately if all connections to the worker are in use
   */
  send(request: AttemptRequest): Promise<Result<AttemptResponse, AttemptError>>
  /**
   * Replaces the workers and their connection limits. A worker that is no longer listed gets
   * no new requests and its idle connections are closed; requests in flight finish.
   * @param workers all workers; the limits of entries with the same address are added
   */
  setWorkers(workers: ReadonlyArray<WorkerLimit>): void
  /**
   * Requests a worker's health, and its load if `scope` includes it. The requests use connections that count towards the worker's limit.
   * @param address `host:port` of the worker
   * @param deadline when all responses must have been received
   * @param scope the endpoints to request
   * @returns the worker's state; an error if it does not respond or its response is invalid
   */
  probe(address: string, deadline: Deadline, scope: ProbeScope): Promise<Result<ProbeResult, StepError>>
}
