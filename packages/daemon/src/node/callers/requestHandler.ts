/** Handles `ANY /v1/services/S/...`: the caller's request, streamed both ways. */
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
import { AnswerState, classifyExchange, SentState } from '@umberspar/steering/common/request/outcomeTable'
import { MAX_ATTEMPTS } from '@umberspar/steering/common/request/requestFlow'
import { AttemptError } from '@umberspar/adapters/node/upstream/upstreamTransport'
import type { HeldClaim } from '@umberspar/steering/common/dedup/claimKeeper'
import { randomUUID } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { pipeline } from 'node:stream/promises'
import type { ConfigurationKeeper } from '../configuration/configurationKeeper.js'
import { type Deduplicator, KEY_HEADER } from '../dedup/deduplicator.js'
import { readBody, type RequestBody } from '../request/requestBody.js'
import type { RequestContext } from '../request/requestContext.js'
import type { DemandMeter } from '../plan/demandMeter.js'
import { AnswerEnd, type RequestFailure, type RunningAnswer } from '../request/requestEnds.js'
import type { RequestRunner } from '../request/requestRunner.js'
import type { ClientRegions } from './clientRegions.js'
import { answerProblem, type ProblemExtras } from './problem.js'

const SERVICES_PREFIX = '/v1/services/'
const SERVER_ERROR = 500
/**
 * The most that `umberspar-timeout-ms` gives, in milliseconds, unless the service's
 * own `answerWithinMs` is longer: a caller must not hold a slot for days.
 */
const MAX_ANSWER_SPAN = 600_000

/** What the outcome table says where nothing was sent to any upstream. */
const UNSENT = classifyExchange(SentState.Nothing, AnswerState.Nothing)

/** Told while no configuration is in force, which a starting daemon has within seconds. */
const NOT_READY: ProblemExtras = { kind: ProblemKind.NotReady, retryAfterSeconds: 1 }

/** The column of the outcome table for each way an answer's body can end. */
const STATE_BY_END: Readonly<Record<AnswerEnd, AnswerState>> = {
  [AnswerEnd.Whole]: AnswerState.Whole,
  [AnswerEnd.Broken]: AnswerState.Broken,
  [AnswerEnd.CallerLeft]: AnswerState.Abandoned
}

/** What the handler works with. */
export interface RequestHandlerParts {
  readonly keeper: ConfigurationKeeper
  readonly runner: RequestRunner
  readonly deduplicator: Deduplicator
  readonly regions: ClientRegions
  readonly burn: BurnCounter
  readonly demand: DemandMeter
  readonly clock: IClock
  readonly logger: ILogger
  readonly metrics: IMetrics
}

/** Where a request goes, read from its URL. */
interface Target {
  readonly service: string
  readonly path: string
}

/** Turns HTTP requests into runs and runs into HTTP answers. */
export class RequestHandler {
  private open = 0

  constructor (private readonly parts: RequestHandlerParts) {}

  /** @returns requests that are being served now */
  get inFlight (): number {
    return this.open
  }

  /**
   * Serves one request to its end.
   * @param request the caller's request
   * @param response its response
   */
  async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const startedAt = this.parts.clock.now()
    const requestId = getHeader(request, 'umberspar-request-id') ?? randomUUID()
    const gone = new AbortController()
    response.once('close', () => { if (!response.writableFinished) gone.abort() })
    const context = this.createContext(request, requestId, gone.signal)
    if (context instanceof StepError) {
      const isNotReady = context.code === ErrorCode.Unavailable
      answerProblem(response, context, UNSENT, requestId, isNotReady ? NOT_READY : {})
      return
    }
    this.open++
    try {
      const isGood = await this.serve(context, request, response)
      this.record(context, isGood, startedAt)
    } finally {
      this.open--
    }
  }

  private async serve (context: RequestContext, request: IncomingMessage, response: ServerResponse): Promise<boolean> {
    const body = await readBody(request, context.deadline, this.parts.clock)
    if (!body.ok) {
      // The rest of the body may still come; it must not be read as a next request.
      response.setHeader('Connection', 'close')
      answerProblem(response, body.val, UNSENT, context.requestId)
      return true
    }
    const finishMeasuring = this.parts.demand.start(context.service, context.clientRegion)
    try {
      return await this.runRequest(context, request, body.val, response)
    } finally {
      finishMeasuring()
    }
  }

  private async runRequest (context: RequestContext, request: IncomingMessage, body: RequestBody, response: ServerResponse): Promise<boolean> {
    const claimed = await this.parts.deduplicator.claim(context, getHeader(request, KEY_HEADER))
    if (!claimed.ok) {
      const { error, outcome, ...extras } = claimed.val
      this.logRefusal(context, error, outcome)
      answerProblem(response, error, outcome, context.requestId, extras)
      return error.code !== ErrorCode.Unavailable && error.code !== ErrorCode.Exhausted
    }
    const claim = claimed.val
    const headers = removeHopByHop(request.headers)
    delete headers.host
    headers['x-forwarded-for'] = this.parts.regions.buildForwardedFor(request)
    const bounded = claim === undefined ? context : { ...context, deadline: claim.deadline }
    const ran = await this.parts.runner.run(bounded, headers, body)
    if (ran.ok) return await this.answer(context, ran.val, claim, response)
    return await this.refuse(context, ran.val, claim, response)
  }

  private async refuse (context: RequestContext, failure: RequestFailure, claim: HeldClaim | undefined, response: ServerResponse): Promise<boolean> {
    const { error, outcome, retryAfterSeconds } = failure
    const leastWait = claim === undefined ? undefined : await this.finishClaim(claim, outcome, context.deadline)
    this.logRefusal(context, error, outcome)
    answerProblem(response, error, outcome, context.requestId, { retryAfterSeconds: Math.max(retryAfterSeconds, leastWait ?? 0) })
    return error.code === ErrorCode.Cancelled
  }

  /** @returns the least Retry-After in seconds, if the key is not free at once */
  private async finishClaim (claim: HeldClaim, outcome: Outcome, deadline: Deadline): Promise<number | undefined> {
    if (outcome === Outcome.NotRun) return await this.parts.deduplicator.release(claim, deadline)
    this.parts.deduplicator.finish(claim, outcome)
    return undefined
  }

  private logRefusal (context: RequestContext, error: StepError, outcome: Outcome): void {
    const { service, requestId } = context
    this.parts.logger.log(LogLevel.Warn, { step: error.step, peer: error.peer, code: error.code, outcome, requestId, service }, error.message)
    this.parts.metrics.count('request.failed', 1, { service, outcome, code: error.code })
  }

  private async answer (context: RequestContext, running: RunningAnswer, claim: HeldClaim | undefined, response: ServerResponse): Promise<boolean> {
    const { status } = running.response
    const end = await this.pipeAnswer(context, running, response)
    running.finish(end)
    // Of an exchange that began to be answered, the table never says `not-run`.
    const outcome = classifyExchange(SentState.MayHaveLeft, STATE_BY_END[end]) === Outcome.Done ? Outcome.Done : Outcome.Unknown
    if (claim !== undefined) this.parts.deduplicator.finish(claim, outcome, status)
    return end === AnswerEnd.Whole ? status < SERVER_ERROR : end === AnswerEnd.CallerLeft
  }

  private async pipeAnswer (context: RequestContext, running: RunningAnswer, response: ServerResponse): Promise<AnswerEnd> {
    const { status, headers, body } = running.response
    try {
      response.statusCode = status
      for (const [name, value] of Object.entries(removeHopByHop(headers))) response.setHeader(name, value)
      await pipeline(body, response)
      return AnswerEnd.Whole
    } catch (cause) {
      // The upstream's body ended early or the caller left. The connection is
      // destroyed, so that the caller sees it break and never takes a short
      // answer for a whole one.
      response.destroy()
      body.destroy()
      const message = cause instanceof Error ? cause.message : 'the answer broke off'
      this.parts.logger.log(LogLevel.Warn, { step: 'pipe-answer', peer: running.workerId, requestId: context.requestId }, message)
      const isUpstreams = cause instanceof AttemptError && cause.code !== ErrorCode.Cancelled
      return !isUpstreams && context.signal.aborted ? AnswerEnd.CallerLeft : AnswerEnd.Broken
    }
  }

  private createContext (request: IncomingMessage, requestId: string, signal: AbortSignal): RequestContext | StepError {
    const current = this.parts.keeper.current
    if (current === undefined) return createLocalError(ErrorCode.Unavailable, 'no configuration is in force yet')
    const target = parseTarget(request.url ?? '/')
    // A service named like a member of every object (`constructor`) must not be found.
    const settings = target !== undefined && Object.hasOwn(current.body.services, target.service) ? current.body.services[target.service] : undefined
    if (target === undefined || settings === undefined) return createLocalError(ErrorCode.NotFound, `no service stands behind ${request.url}`)
    const spanMs = parseSpan(getHeader(request, 'umberspar-timeout-ms'), settings.answerWithinMs)
    if (spanMs === undefined) return createLocalError(ErrorCode.Invalid, 'umberspar-timeout-ms: expected a whole number of milliseconds above 0')
    const method = request.method ?? 'GET'
    const route = findRoute(settings, target.path)
    const mayRepeat = isIdempotent(route, method)
    // Where keys are expected, a request without one is tried once only: neither
    // we nor its caller could tell a second run from the first.
    const isOnce = settings.deduplicate && !mayRepeat && getHeader(request, KEY_HEADER) === undefined
    return {
      requestId,
      service: target.service,
      settings,
      route,
      isIdempotent: mayRepeat,
      maxAttempts: isOnce ? 1 : MAX_ATTEMPTS,
      method,
      path: target.path,
      clientRegion: this.parts.regions.find(request),
      deadline: createDeadline(this.parts.clock.now(), spanMs),
      signal
    }
  }

  private record (context: RequestContext, isServed: boolean, startedAt: number): void {
    const now = this.parts.clock.now()
    this.parts.burn.record(context.service, isGoodRequest(context.settings.objective, isServed, startedAt, now), now)
    this.parts.metrics.observe('request.latency', now - startedAt, { service: context.service })
  }
}

/**
 * @param url path and query of a request
 * @returns the service and what stands below it, or undefined
 */
export function parseTarget (url: string): Target | undefined {
  if (!url.startsWith(SERVICES_PREFIX)) return undefined
  const rest = url.slice(SERVICES_PREFIX.length)
  const end = rest.search(/[/?]/)
  const service = end === -1 ? rest : rest.slice(0, end)
  const below = end === -1 ? '' : rest.slice(end)
  return { service, path: below.startsWith('/') ? below : `/${below}` }
}

function parseSpan (text: string | undefined, otherwise: number): number | undefined {
  if (text === undefined) return otherwise
  const span = Number(text)
  if (!Number.isInteger(span) || span <= 0) return undefined
  return Math.min(span, Math.max(MAX_ANSWER_SPAN, otherwise))
}

function getHeader (request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name]
  return Array.isArray(value) ? value[0] : value
}

function createLocalError (code: ErrorCode, message: string): StepError {
  return new StepError({ code, step: 'accept-request', peer: 'local', message })
}
