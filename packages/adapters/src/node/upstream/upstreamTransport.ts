/**
 * Requests to workers by undici.
 *
 * A connection that is kept open can be closed by its worker in the moment a
 * request is written; such a request may have run, and the error says so. To make
 * this rare for requests that must not be repeated, idle connections live 2 s
 * only, the last used one is taken first, and undici looks for a pending close
 * before it writes. A new connection for each such request was the other way; it
 * costs every worker about 1 ms per request and still has the race at the end of
 * the request.
 */
import type { IClock } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import { hasPassed } from '@umberspar/base/common/deadline'
import type { StepError } from '@umberspar/base/common/errors'
import { ErrorCode } from '@umberspar/base/common/errors'
import type { Result } from '@umberspar/base/common/result'
import { Err } from '@umberspar/base/common/result'
import type { AttemptRequest, AttemptResponse, IUpstreamTransport, WorkerLimit, WorkerProbe } from './attempt.js'
import { AttemptError, type ProbeScope } from './attempt.js'
import { ATTEMPT_STEP, AttemptHandler } from './attemptHandler.js'
import type { TlsKeeper } from '../tls/tlsKeeper.js'
import { removeHopByHopHeaders } from './hopByHop.js'
import { WorkerConnections } from './workerConnections.js'
import { ProbeReader } from './workerProbe.js'

export type { AttemptRequest, AttemptResponse, IUpstreamTransport, WorkerLimit, WorkerProbe } from './attempt.js'
export { AttemptError, ProbeScope } from './attempt.js'

/** What an UndiciTransport needs. */
export interface UndiciTransportOptions {
  readonly clock: IClock
  /** CA and client certificate for the workers; plain text if left out. */
  readonly tls?: TlsKeeper | undefined
}

/** An IUpstreamTransport over undici, HTTP/1.1, one request at a time per connection. */
export class UndiciTransport implements IUpstreamTransport {
  private readonly workers = new Map<string, WorkerConnections>()
  private readonly clock: IClock
  private readonly tls: TlsKeeper | undefined
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
    if (connections === undefined) return Err(createUnsentError(request, ErrorCode.NotFound, 'no such worker'))
    const client = connections.acquire()
    if (client === undefined) return Err(createUnsentError(request, ErrorCode.Exhausted, 'all connections are taken'))
    const handler = new AttemptHandler(request, this.clock, (isReusable) => { connections.release(client, isReusable) })
    const { method, path, body } = request
    client.dispatch({ method, path, body, headers: removeHopByHopHeaders(request.headers) }, handler)
    return handler.result
  }

  probe (address: string, deadline: Deadline, scope: ProbeScope): Promise<Result<WorkerProbe, StepError>> {
    return this.probeReader.fetchProbe(address, deadline, scope)
  }

  /** Ends all connections at once; whoever stops gracefully lets its requests finish before. */
  async close (): Promise<void> {
    this.isClosed = true
    await Promise.all([...this.workers.values()].map((connections) => connections.close()))
    this.workers.clear()
  }

  private checkRequest (request: AttemptRequest): AttemptError | undefined {
    if (this.isClosed) return createUnsentError(request, ErrorCode.Cancelled, 'the transport is closed')
    if (request.signal.aborted) return createUnsentError(request, ErrorCode.Cancelled, 'the attempt was cancelled')
    if (!hasPassed(request.deadline, this.clock.now())) return undefined
    return createUnsentError(request, ErrorCode.DeadlinePassed, 'the deadline had passed')
  }
}

function createUnsentError (request: AttemptRequest, code: ErrorCode, message: string): AttemptError {
  return new AttemptError({
    code,
    step: ATTEMPT_STEP,
    peer: request.address,
    message: `${request.workerId}: ${message}`,
    mayHaveSent: false,
    hasHeaders: false
  })
}
