/** Handles `ANY /v1/services/S/...`: forwards the caller's request to an upstream and streams the response back. */
import { createDeadline, type Deadline } from '@umberspar/base/common/deadline'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import type { IClock } from '@umberspar/base/common/clock'
import { type ILogger, LogLevel } from '@umberspar/base/common/logger'
import type { IMetrics } from '@umberspar/base/common/metrics'
import { removeHopByHop } from '@umberspar/steering/common/request/headers'
import { ProblemKind } from '@umberspar/steering/common/request/requestProblem'
import { findRoute, isIdempotent } from '@umberspar/steering/common/request/route'
import { Outcome } from '@umberspar/steering/common/state/outcome'
import type { BurnCounter } from '@umberspar/steering/common/burn/burnCounter'
import { isGoodRequest } from '@umberspar/steering/common/burn/burnReport'
import { ResponseState, classifyExchange, SentState } from '@umberspar/steering/common/request/outcomeTable'
import { MAX_ATTEMPTS } from '@umberspar/steering/common/request/requestFlow'
import { AttemptError } from '@umberspar/adapters/node/upstream/upstreamTransport'
import type { HeldClaim } from '@umberspar/steering/common/dedup/claimManager'
import { randomUUID } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { pipeline } from 'node:stream/promises'
import type { ConfigurationManager } from '../configuration/configurationManager.js'
import { type Deduplicator, IDEMPOTENCY_KEY_HEADER } from '../dedup/deduplicator.js'
import { readBody, type RequestBody } from '../request/requestBody.js'
import type { RequestContext } from '../request/requestContext.js'
import type { DemandMeter } from '../plan/demandMeter.js'
import { ResponseEnd, type RequestFailure, type PendingResponse } from '../request/requestResult.js'
import type { RequestRunner } from '../request/requestRunner.js'
import type { ClientRegions } from './clientRegions.js'
import { sendProblem, type ProblemExtras } from './sendProblem.js'

const SERVICES_PREFIX = '/v1/services/'
const MIN_SERVER_ERROR_STATUS = 500
/**
 * The maximum of `umberspar-timeout-ms`, unless the service's own `answerWithinMs`
 * is longer: a caller must not occupy a slot for days.
 */
const MAX_TIMEOUT_MS = 600_000

/** The outcome of a request of which nothing was sent to any upstream. */
const UNSENT_OUTCOME = classifyExchange(SentState.Nothing, ResponseState.None)

/** Sent while there is no configuration. A starting daemon has one within seconds. */
const NOT_READY_PROBLEM: ProblemExtras = { kind: ProblemKind.NotReady, retryAfterSeconds: 1 }

/** The column of the outcome table for each way a response body can end. */
const ANSWER_STATE_BY_END: Readonly<Record<ResponseEnd, ResponseState>> = {
  [ResponseEnd.Complete]: ResponseState.Complete,
  [ResponseEnd.Broken]: ResponseState.Incomplete,
  [ResponseEnd.CallerDisconnected]: ResponseState.Cancelled
}

/** The services that the handler uses. */
export interface RequestHandlerDependencies {
  readonly configurationManager: ConfigurationManager
  readonly runner: RequestRunner
  readonly deduplicator: Deduplicator
  readonly regions: ClientRegions
  readonly burn: BurnCounter
  readonly demand: DemandMeter
  readonly clock: IClock
  readonly logger: ILogger
  readonly metrics: IMetrics
}

/** A request's service and path, parsed from its URL. */
interface Target {
  readonly service: string
  readonly path: string
}

/** Runs HTTP requests on upstreams and sends the upstreams' responses to the callers. */
export class RequestHandler {
  private openRequests = 0

  constructor (private readonly dependencies: RequestHandlerDependencies) {}

  /** @returns the number of requests in flight */
  get inFlight (): number {
    return this.openRequests
  }

  /**
   * Handles one request until its response has ended.
   * @param request the caller's request
   * @param response the response to write
   */
  async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const startedAt = this.dependencies.clock.now()
    const requestId = getHeader(request, 'umberspar-request-id') ?? randomUUID()
    const callerAbort = new AbortController()
    response.once('close', () => { if (!response.writableFinished) callerAbort.abort() })
    const context = this.createContext(request, requestId, callerAbort.signal)
    if (context instanceof StepError) {
      const isNotReady = context.code === ErrorCode.Unavailable
      sendProblem(response, context, UNSENT_OUTCOME, requestId, isNotReady ? NOT_READY_PROBLEM : {})
      return
    }
    this.openRequests++
    try {
      const isGood = await this.serve(context, request, response)
      this.record(context, isGood, startedAt)
    } finally {
      this.openRequests--
    }
  }

  private async serve (context: RequestContext, request: IncomingMessage, response: ServerResponse): Promise<boolean> {
    const body = await readBody(request, context.deadline, this.dependencies.clock)
    if (!body.ok) {
      // The rest of the body may still arrive and must not be parsed as the next request.
      response.setHeader('Connection', 'close')
      sendProblem(response, body.val, UNSENT_OUTCOME, context.requestId)
      return true
    }
    const finishMeasuring = this.dependencies.demand.start(context.service, context.clientRegion)
    try {
      return await this.runRequest(context, request, body.val, response)
    } finally {
      finishMeasuring()
    }
  }

  private async runRequest (context: RequestContext, request: IncomingMessage, body: RequestBody, response: ServerResponse): Promise<boolean> {
    const claimResult = await this.dependencies.deduplicator.claim(context, getHeader(request, IDEMPOTENCY_KEY_HEADER))
    if (!claimResult.ok) {
      const { error, outcome, ...extras } = claimResult.val
      this.logFailure(context, error, outcome)
      sendProblem(response, error, outcome, context.requestId, extras)
      return error.code !== ErrorCode.Unavailable && error.code !== ErrorCode.Exhausted
    }
    const claim = claimResult.val
    const headers = removeHopByHop(request.headers)
    delete headers.host
    headers['x-forwarded-for'] = this.dependencies.regions.buildForwardedFor(request)
    const runContext = claim === undefined ? context : { ...context, deadline: claim.deadline }
    const runResult = await this.dependencies.runner.run(runContext, headers, body)
    if (runResult.ok) return await this.sendResponse(context, runResult.val, claim, response)
    return await this.sendFailure(context, runResult.val, claim, response)
  }

  private async sendFailure (context: RequestContext, failure: RequestFailure, claim: HeldClaim | undefined, response: ServerResponse): Promise<boolean> {
    const { error, outcome, retryAfterSeconds } = failure
    const minRetryAfterSeconds = claim === undefined ? undefined : await this.finishClaim(claim, outcome, context.deadline)
    this.logFailure(context, error, outcome)
    sendProblem(response, error, outcome, context.requestId, { retryAfterSeconds: Math.max(retryAfterSeconds, minRetryAfterSeconds ?? 0) })
    return error.code === ErrorCode.Cancelled
  }

  /** @returns the minimum Retry-After in seconds, or undefined if the key is released or stays claimed */
  private async finishClaim (claim: HeldClaim, outcome: Outcome, deadline: Deadline): Promise<number | undefined> {
    if (outcome === Outcome.NotRun) return await this.dependencies.deduplicator.release(claim, deadline)
    this.dependencies.deduplicator.finish(claim, outcome)
    return undefined
  }

  private logFailure (context: RequestContext, error: StepError, outcome: Outcome): void {
    const { service, requestId } = context
    this.dependencies.logger.log(LogLevel.Warn, { step: error.step, peer: error.peer, code: error.code, outcome, requestId, service }, error.message)
    this.dependencies.metrics.count('request.failed', 1, { service, outcome, code: error.code })
  }

  private async sendResponse (context: RequestContext, pending: PendingResponse, claim: HeldClaim | undefined, response: ServerResponse): Promise<boolean> {
    const { status } = pending.response
    const end = await this.pipeResponse(context, pending, response)
    pending.finish(end)
    // The outcome table never yields `not-run` once a response has begun.
    const outcome = classifyExchange(SentState.MaybeSent, ANSWER_STATE_BY_END[end]) === Outcome.Done ? Outcome.Done : Outcome.Unknown
    if (claim !== undefined) this.dependencies.deduplicator.finish(claim, outcome, status)
    return end === ResponseEnd.Complete ? status < MIN_SERVER_ERROR_STATUS : end === ResponseEnd.CallerDisconnected
  }

  private async pipeResponse (context: RequestContext, pending: PendingResponse, response: ServerResponse): Promise<ResponseEnd> {
    const { status, headers, body } = pending.response
    try {
      response.statusCode = status
      for (const [name, value] of Object.entries(removeHopByHop(headers))) response.setHeader(name, value)
      await pipeline(body, response)
      return ResponseEnd.Complete
    } catch (cause) {
      // The upstream's body ended early or the caller disconnected. The connection is
      // destroyed so that the caller can't mistake an incomplete response for a
      // complete one.
      response.destroy()
      body.destroy()
      const message = cause instanceof Error ? cause.message : 'the response was interrupted'
      this.dependencies.logger.log(LogLevel.Warn, { step: 'pipe-answer', peer: pending.workerId, requestId: context.requestId }, message)
      const isUpstreamFailure = cause instanceof AttemptError && cause.code !== ErrorCode.Cancelled
      return !isUpstreamFailure && context.signal.aborted ? ResponseEnd.CallerDisconnected : ResponseEnd.Broken
    }
  }

  private createContext (request: IncomingMessage, requestId: string, signal: AbortSignal): RequestContext | StepError {
    const current = this.dependencies.configurationManager.current
    if (current === undefined) return createLocalError(ErrorCode.Unavailable, 'no configuration has been loaded yet')
    const target = parseTarget(request.url ?? '/')
    // A service named like an inherited property (`constructor`) must not be found.
    const settings = target !== undefined && Object.hasOwn(current.body.services, target.service) ? current.body.services[target.service] : undefined
    if (target === undefined || settings === undefined) return createLocalError(ErrorCode.NotFound, `no service matches ${request.url}`)
    const timeoutMs = parseTimeout(getHeader(request, 'umberspar-timeout-ms'), settings.answerWithinMs)
    if (timeoutMs === undefined) return createLocalError(ErrorCode.Invalid, 'umberspar-timeout-ms: expected a positive integer')
    const method = request.method ?? 'GET'
    const route = findRoute(settings, target.path)
    const canRetry = isIdempotent(route, method)
    // If the service deduplicates by key, a non-idempotent request without a key is
    // attempted only once: neither the daemon nor the caller could detect a second run.
    const isSingleAttempt = settings.deduplicate && !canRetry && getHeader(request, IDEMPOTENCY_KEY_HEADER) === undefined
    return {
      requestId,
      service: target.service,
      settings,
      route,
      isIdempotent: canRetry,
      maxAttempts: isSingleAttempt ? 1 : MAX_ATTEMPTS,
      method,
      path: target.path,
      clientRegion: this.dependencies.regions.find(request),
      deadline: createDeadline(this.dependencies.clock.now(), timeoutMs),
      signal
    }
  }

  private record (context: RequestContext, isServed: boolean, startedAt: number): void {
    const now = this.dependencies.clock.now()
    this.dependencies.burn.record(context.service, isGoodRequest(context.settings.objective, isServed, startedAt, now), now)
    this.dependencies.metrics.observe('request.latency', now - startedAt, { service: context.service })
  }
}

/**
 * @param url a request's path and query
 * @returns the service and the path after its prefix, or undefined if the URL names no service
 */
export function parseTarget (url: string): Target | undefined {
  if (!url.startsWith(SERVICES_PREFIX)) return undefined
  const rest = url.slice(SERVICES_PREFIX.length)
  const end = rest.search(/[/?]/)
  const service = end === -1 ? rest : rest.slice(0, end)
  const pathAndQuery = end === -1 ? '' : rest.slice(end)
  return { service, path: pathAndQuery.startsWith('/') ? pathAndQuery : `/${pathAndQuery}` }
}

function parseTimeout (text: string | undefined, defaultMs: number): number | undefined {
  if (text === undefined) return defaultMs
  const timeoutMs = Number(text)
  if (!Number.isInteger(timeoutMs) || timeoutMs <= 0) return undefined
  return Math.min(timeoutMs, Math.max(MAX_TIMEOUT_MS, defaultMs))
}

function getHeader (request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name]
  return Array.isArray(value) ? value[0] : value
}

function createLocalError (code: ErrorCode, message: string): StepError {
  return new StepError({ code, step: 'accept-request', peer: 'local', message })
}
