/**
 * Sends requests to workers with undici.
 *
 * A worker can close a kept-alive connection at the moment a request is written to it.
 * The request may then have been executed, and the error says so. To make this rare for
 * requests that must not be retried, idle connections are closed after 2 s, the most
 * recently used one is reused first, and undici checks for a pending close before it
 * writes. A new connection for each such request would cost every worker about 1 ms per
 * request and still leave the race at the end of the request.
 */
import type { IClock } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import { hasPassed } from '@umberspar/base/common/deadline'
import type { StepError } from '@umberspar/base/common/errors'
import { ErrorCode } from '@umberspar/base/common/errors'
import type { Result } from '@umberspar/base/common/result'
import { Err } from '@umberspar/base/common/result'
import type { AttemptRequest, AttemptResponse, IUpstreamTransport, WorkerLimit, ProbeResult } from './attempt.js'
import { AttemptError, type ProbeScope } from './attempt.js'
import { ATTEMPT_STEP, AttemptHandler } from './attemptHandler.js'
import type { TlsCertificateProvider } from '../tls/tlsCertificateProvider.js'
import { removeHopByHopHeaders } from './hopByHop.js'
import { WorkerConnections } from './workerConnections.js'
import { ProbeReader } from './workerProbe.js'

export type { AttemptRequest, AttemptResponse, IUpstreamTransport, WorkerLimit, ProbeResult } from './attempt.js'
export { AttemptError, ProbeScope } from './attempt.js'

/** Options of {@link UndiciTransport}. */
export interface UndiciTransportOptions {
  readonly clock: IClock
  /** CA and client certificate for connections to workers; without it they are plain text. */
  readonly tls?: TlsCertificateProvider | undefined
}

/** Implements {@link IUpstreamTransport} with undici over HTTP/1.1, with one request at a time per connection. */
export class UndiciTransport implements IUpstreamTransport {
  private readonly workers = new Map<string, WorkerConnections>()
  private readonly clock: IClock
  private readonly tls: TlsCertificateProvider | undefined
  private readonly probeReader = new ProbeReader(this)
  private isClosed = false

  constructor (options: UndiciTransportOptions) {
    this.clock = options.clock
    this.tls = options.tls
  }

  setWorkers (workers: ReadonlyArray<WorkerLimit>): void {
    if (this.isClosed) return
    const limits = new Map<string, number>()
    for (const { address, connections } of workers) limits.set(address, (limits.get(address) ?? 0) + connections)
    for (const [address, connections] of this.workers) {
      connections.setLimit(limits.get(address) ?? 0)
      if (!limits.has(address) && connections.isEmpty()) this.workers.delete(address)
    }
    for (const [address, limit] of limits) {
      if (this.workers.has(address)) continue
      const connections = new WorkerConnections(address, this.tls)
      connections.setLimit(limit)
      this.workers.set(address, connections)
    }
  }

  async send (request: AttemptRequest): Promise<Result<AttemptResponse, AttemptError>> {
    const error = this.checkRequest(request)
    if (error !== undefined) return Err(error)
    const connections = this.workers.get(request.address)
    if (connections === undefined) return Err(createUnsentError(request, ErrorCode.NotFound, 'the worker is not known to the transport'))
    const client = connections.acquire()
    if (client === undefined) return Err(createUnsentError(request, ErrorCode.Exhausted, 'all connections to the worker are in use'))
    const handler = new AttemptHandler(request, this.clock, (isReusable) => { connections.release(client, isReusable) })
    const { method, path, body } = request
    client.dispatch({ method, path, body, headers: removeHopByHopHeaders(request.headers) }, handler)
    return handler.result
  }

  probe (address: string, deadline: Deadline, scope: ProbeScope): Promise<Result<ProbeResult, StepError>> {
    return this.probeReader.fetchProbe(address, deadline, scope)
  }

  /** Closes all connections immediately. For a graceful shutdown, wait for requests in flight first. */
  async close (): Promise<void> {
    this.isClosed = true
    await Promise.all([...this.workers.values()].map((connections) => connections.close()))
    this.workers.clear()
  }

  private checkRequest (request: AttemptRequest): AttemptError | undefined {
    if (this.isClosed) return createUnsentError(request, ErrorCode.Cancelled, 'the transport has been closed')
    if (request.signal.aborted) return createUnsentError(request, ErrorCode.Cancelled, 'the attempt was cancelled')
    if (!hasPassed(request.deadline, this.clock.now())) return undefined
    return createUnsentError(request, ErrorCode.DeadlinePassed, 'the deadline passed before the attempt')
  }
}

function createUnsentError (request: AttemptRequest, code: ErrorCode, message: string): AttemptError {
  return new AttemptError({
    code,
    step: ATTEMPT_STEP,
    peer: request.address,
    message: `${request.workerId}: ${message}`,
    mayHaveBeenSent: false,
    hasHeaders: false
  })
}
