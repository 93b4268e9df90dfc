/**
 * Executes the effects of one request's state machine (acquiring slots, sending
 * attempts, timers) and feeds the results back into it as events. All decisions
 * are made in `requestFlow`.
 */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline } from '@umberspar/base/common/deadline'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import type { IMetrics } from '@umberspar/base/common/metrics'
import type { IRandomSource } from '@umberspar/base/common/random'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import type { AttemptError, AttemptResponse, IUpstreamTransport } from '@umberspar/adapters/node/upstream/upstreamTransport'
import { parseOrcaLoad } from '@umberspar/adapters/node/upstream/orca'
import { AttemptPurpose, type FlowEffect, FlowEffectKind, type FlowEvent, FlowEventKind, FlowPhase, type FlowState, type FlowTimer, type FlowContext } from '@umberspar/steering/common/request/flowTypes'
import { COOL_DOWN_HEADER, parseCoolDownMs } from '@umberspar/steering/common/request/coolDown'
import { ResponseState, classifyExchange, SentState } from '@umberspar/steering/common/request/outcomeTable'
import { createFlow, stepFlow } from '@umberspar/steering/common/request/requestFlow'
import { computeRetryAfter } from '@umberspar/steering/common/request/retryAfter'
import type { Outcome } from '@umberspar/steering/common/state/outcome'
import type { SlotGrant } from '../places/placePool.js'
import { classifyAttemptError, DRAINING_HEADER, isRefusal, isWorkerFault, mayStillRun } from './classifyAttempt.js'
import { ResponseEnd, type RequestFailure, type PendingResponse } from './requestResult.js'
import { canReplayBody, type RequestBody } from './requestBody.js'
import type { RequestContext } from './requestContext.js'
import type { ServiceStatistics } from './serviceStatistics.js'
import type { SlotFailure, SlotFinder } from './slotFinder.js'

/**
 * How long the slot of a cancelled attempt stays occupied. The worker learns of the
 * cancellation when the connection's close arrives: after the one-way network delay
 * and, if that packet is lost, a retransmission after 200 ms.
 */
export const CANCELLATION_HOLD_MS = 250
/** A hedged attempt that finds no free slot almost at once isn't worth waiting for. */
const MAX_HEDGE_WAIT_MS = 5
const MIN_SERVER_ERROR_STATUS = 500

/** Passed to `abort`, which would otherwise create an error with a stack trace. */
const CANCELLATION_REASON = 'cancelled'

/** The services that a request run uses. */
export interface RequestRunDependencies {
  readonly selfId: string
  readonly transport: IUpstreamTransport
  readonly slots: SlotFinder
  readonly clock: IClock
  readonly random: IRandomSource
  readonly metrics: IMetrics
}

/** The request to run. */
export interface RequestRunInput {
  readonly context: RequestContext
  /** The request's headers without the hop-by-hop ones. */
  readonly headers: Record<string, string | string[]>
  readonly body: RequestBody
  readonly statistics: ServiceStatistics
}

interface Attempt {
  readonly controller: AbortController
  grant: SlotGrant | undefined
  response: AttemptResponse | undefined
  sentAt: Instant
}

type EffectOf<Kind extends FlowEffectKind> = Extract<FlowEffect, { kind: Kind }>
type EffectHandlers = { readonly [Kind in FlowEffectKind]: (effect: EffectOf<Kind>) => void }

/** Runs one request, with its retries and hedged attempts. */
export class RequestRun {
  private state: FlowState
  private readonly attempts: Attempt[] = []
  private readonly timers = new Map<FlowTimer, ITimer>()
  private lastSlotFailure: SlotFailure | undefined
  private lastError: StepError | undefined
  private resolve: (result: Result<PendingResponse, RequestFailure>) => void = () => {}
  private readonly onCallerDisconnected = (): void => { this.applyEvent({ kind: FlowEventKind.CallerLeft }) }

  private readonly effectHandlers: EffectHandlers = {
    [FlowEffectKind.AcquireSlot]: (effect) => { this.acquire(effect) },
    [FlowEffectKind.ReleaseSlot]: ({ attemptId }) => { this.attempts[attemptId]?.grant?.release() },
    [FlowEffectKind.SendAttempt]: ({ attemptId }) => { this.send(attemptId) },
    [FlowEffectKind.CancelAttempt]: ({ attemptId }) => { this.cancel(attemptId) },
    [FlowEffectKind.StartTimer]: ({ timer, at }) => { this.startTimer(timer, at) },
    [FlowEffectKind.StopTimer]: ({ timer }) => { this.timers.get(timer)?.close() },
    [FlowEffectKind.RecordFirstAttempt]: () => { this.input.statistics.budget.recordFirstAttempt() },
    [FlowEffectKind.ConsumeRetryToken]: () => { this.input.statistics.budget.consumeToken() },
    [FlowEffectKind.ForwardResponse]: ({ attemptId }) => { this.deliverResponse(attemptId) },
    [FlowEffectKind.Refuse]: ({ outcome }) => { this.deliverFailure(outcome) }
  }

  constructor (private readonly dependencies: RequestRunDependencies, private readonly input: RequestRunInput) {
    const { isIdempotent, maxAttempts, deadline } = input.context
    this.state = createFlow({ isIdempotent, maxAttempts, deadline })
  }

  /** @returns an upstream's response, or the failure with whether the request may have run */
  run (): Promise<Result<PendingResponse, RequestFailure>> {
    const { signal } = this.input.context
    return new Promise((resolve) => {
      this.resolve = resolve
      this.applyEvent({ kind: FlowEventKind.Started })
      if (signal.aborted) this.onCallerDisconnected()
      else signal.addEventListener('abort', this.onCallerDisconnected, { once: true })
    })
  }

  private applyEvent (event: FlowEvent): void {
    const { state, effects } = stepFlow(this.state, event, this.buildView())
    this.state = state
    for (const effect of effects) {
      const handle = this.effectHandlers[effect.kind] as (effect: FlowEffect) => void
      handle(effect)
    }
  }

  private buildView (): FlowContext {
    const { body, statistics } = this.input
    return {
      now: this.dependencies.clock.now(),
      jitter: this.dependencies.random.next(),
      hasRetryToken: statistics.budget.hasToken,
      hedgeDelay: statistics.latency.getHedgeDelay(),
      isBodyReplayable: canReplayBody(body),
      isBodyBuffered: body.kind === 'buffered'
    }
  }

  private async acquire ({ attemptId, purpose, preference }: EffectOf<FlowEffectKind.AcquireSlot>): Promise<void> {
    const { context } = this.input
    const attempt: Attempt = { controller: new AbortController(), grant: undefined, response: undefined, sentAt: 0 }
    this.attempts[attemptId] = attempt
    this.dependencies.metrics.count('request.attempts', 1, { service: context.service, purpose })
    const acquired = await this.dependencies.slots.acquire({ context, preference, deadline: this.getWaitDeadline(purpose), signal: attempt.controller.signal })
    if (!acquired.ok) {
      this.lastSlotFailure = acquired.val
      if (purpose !== AttemptPurpose.Hedge) this.lastError ??= acquired.val.error
      this.applyEvent({ kind: FlowEventKind.SlotRefused, attemptId })
      return
    }
    const { grant, failureDomain } = acquired.val
    attempt.grant = grant
    this.applyEvent({ kind: FlowEventKind.SlotGranted, attemptId, workerId: grant.workerId, failureDomain })
  }

  private getWaitDeadline (purpose: AttemptPurpose): Deadline {
    const { deadline } = this.input.context
    if (purpose !== AttemptPurpose.Hedge) return deadline
    return Math.min(deadline, createDeadline(this.dependencies.clock.now(), MAX_HEDGE_WAIT_MS))
  }

  private async send (attemptId: number): Promise<void> {
    const attempt = this.attempts[attemptId]
    const grant = attempt?.grant
    if (attempt === undefined || grant === undefined) return
    const { context, body } = this.input
    attempt.sentAt = this.dependencies.clock.now()
    const sendResult = await this.dependencies.transport.send({
      workerId: grant.workerId,
      address: grant.worker.address,
      method: context.method,
      path: context.path,
      headers: this.buildHeaders(),
      body: body.kind === 'buffered' ? body.bytes : body.stream,
      deadline: context.deadline,
      signal: attempt.controller.signal
    })
    if (sendResult.ok) this.handleResponseHead(attemptId, attempt, grant, sendResult.val)
    else this.handleFailure(attemptId, attempt, grant, sendResult.val)
  }

  private handleFailure (attemptId: number, attempt: Attempt, grant: SlotGrant, error: AttemptError): void {
    const { context } = this.input
    const now = this.dependencies.clock.now()
    if (isWorkerFault(error, { sentAt: attempt.sentAt, now, expectedLatency: context.settings.objective.latencyMs })) {
      grant.table.observeFailure(grant.workerId, now)
    }
    grant.release(mayStillRun(error) ? this.getDelayedReleaseTime() : undefined)
    const outcome = classifyAttemptError(error)
    if (error.code !== ErrorCode.Cancelled) this.lastError = error.isDeadlinePassed ? createDeadlineError(error) : error
    this.applyEvent({ kind: FlowEventKind.AttemptFailed, attemptId, outcome })
  }

  private handleResponseHead (attemptId: number, attempt: Attempt, grant: SlotGrant, response: AttemptResponse): void {
    const now = this.dependencies.clock.now()
    const load = parseOrcaLoad(response.headers)
    if (load !== undefined) grant.table.observeLoad(grant.workerId, { utilization: load.utilization, takenAt: now })
    if (response.headers[DRAINING_HEADER] !== undefined) grant.table.markDraining(grant.workerId, true, now)
    const coolDownMs = parseCoolDownMs(response.status, [response.headers[COOL_DOWN_HEADER] ?? []].flat())
    if (coolDownMs !== undefined) grant.table.pause(grant.workerId, createDeadline(now, coolDownMs))
    if (isRefusal(response.status, response.headers, this.input.context.settings.refusal)) {
      // Refusals are fast, so by in-flight counts alone an overloaded worker would be preferred.
      grant.table.observeLoad(grant.workerId, { utilization: 1, takenAt: now })
      this.handleRefusal(attemptId, grant, response)
      return
    }
    if (this.input.body.kind === 'buffered') grant.table.observeResponseTime(grant.workerId, now - attempt.sentAt, now)
    attempt.response = response
    this.input.statistics.latency.observe(now - attempt.sentAt)
    this.applyEvent({ kind: FlowEventKind.ResponseStarted, attemptId })
  }

  private handleRefusal (attemptId: number, grant: SlotGrant, response: AttemptResponse): void {
    response.body.resume()
    response.body.on('error', () => {})
    grant.release()
    this.lastError = new StepError({ code: ErrorCode.Refused, step: 'send-request', peer: grant.worker.address, message: 'the upstream refused the request without running it' })
    const outcome = classifyExchange(SentState.MaybeSent, ResponseState.Refused)
    this.applyEvent({ kind: FlowEventKind.AttemptFailed, attemptId, outcome })
  }

  private cancel (attemptId: number): void {
    const attempt = this.attempts[attemptId]
    if (attempt === undefined) return
    // The elapsed time of the slower of two hedged attempts is a lower bound of its
    // latency. Without it the estimate would see only the fast attempts, and hedges
    // would be sent earlier and earlier. A disconnected caller says nothing about latency.
    const isSuperseded = this.state.phase === FlowPhase.Answered && attempt.grant !== undefined && attempt.response === undefined
    if (isSuperseded) this.input.statistics.latency.observe(this.dependencies.clock.now() - attempt.sentAt)
    attempt.controller.abort(CANCELLATION_REASON)
    // Without a response, `acquire` or `send` releases the slot when it ends.
    if (attempt.response !== undefined) attempt.grant?.release(this.getDelayedReleaseTime())
  }

  private startTimer (timer: FlowTimer, at: Instant): void {
    this.timers.get(timer)?.close()
    this.timers.set(timer, this.dependencies.clock.schedule(at, () => { this.applyEvent({ kind: FlowEventKind.TimerDue, timer }) }))
  }

  private deliverResponse (attemptId: number): void {
    const attempt = this.attempts[attemptId]
    if (attempt?.grant === undefined || attempt.response === undefined) return
    this.removeAbortListener()
    const { grant, response } = attempt
    this.resolve(new Ok({ response, workerId: grant.workerId, finish: (end) => { this.finish(grant, end, response.status) } }))
  }

  private finish (grant: SlotGrant, end: ResponseEnd, status: number): void {
    const now = this.dependencies.clock.now()
    // A worker that fails requests quickly would look idle and attract all of them.
    const isError = end === ResponseEnd.Broken || (end === ResponseEnd.Complete && status >= MIN_SERVER_ERROR_STATUS)
    if (isError) grant.table.observeFailure(grant.workerId, now)
    else if (end === ResponseEnd.Complete) grant.table.observeResponse(grant.workerId, now)
    grant.release(end === ResponseEnd.Complete ? undefined : this.getDelayedReleaseTime())
  }

  private deliverFailure (outcome: Outcome.NotRun | Outcome.Unknown): void {
    this.removeAbortListener()
    const error = this.lastError ?? this.createDefaultError()
    const medianSpan = this.input.statistics.latency.getMedianLatency()
    const occupancy = this.lastSlotFailure?.occupancy === undefined ? undefined : { ...this.lastSlotFailure.occupancy, medianSpan }
    const retryAfterSeconds = computeRetryAfter(occupancy, this.dependencies.random.next())
    this.resolve(new Err({ outcome, error, retryAfterSeconds }))
  }

  private createDefaultError (): StepError {
    const hasCallerDisconnected = this.input.context.signal.aborted
    const code = hasCallerDisconnected ? ErrorCode.Cancelled : ErrorCode.DeadlinePassed
    const message = hasCallerDisconnected ? 'the caller disconnected' : 'the deadline passed before an attempt could be sent'
    return new StepError({ code, step: 'run-request', peer: this.input.context.service, message })
  }

  private removeAbortListener (): void {
    this.input.context.signal.removeEventListener('abort', this.onCallerDisconnected)
  }

  private getDelayedReleaseTime (): Instant {
    return createDeadline(this.dependencies.clock.now(), CANCELLATION_HOLD_MS)
  }

  private buildHeaders (): Record<string, string | string[]> {
    const { context, headers } = this.input
    return {
      ...headers,
      'umberspar-request-id': context.requestId,
      'umberspar-entry': this.dependencies.selfId,
      'umberspar-timeout-ms': String(Math.max(1, Math.floor(context.deadline - this.dependencies.clock.now())))
    }
  }
}

/** Reports a late response, which the transport classifies as having an unknown effect, as a passed deadline. */
function createDeadlineError (error: StepError): StepError {
  return new StepError({ code: ErrorCode.DeadlinePassed, step: error.step, peer: error.peer, message: error.message, cause: error })
}
