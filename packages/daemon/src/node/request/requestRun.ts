/**
 * Executes the effects of one request's flow with places and transport, and
 * feeds what happens back into it. All decisions are in `requestFlow`.
 */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline } from '@umberspar/base/common/deadline'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import type { IMetrics } from '@umberspar/base/common/metrics'
import type { IRandomSource } from '@umberspar/base/common/random'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import type { AttemptError, AttemptResponse, IUpstreamTransport } from '@umberspar/adapters/node/upstream/upstreamTransport'
import { parseOrcaLoad } from '@umberspar/adapters/node/upstream/orca'
import { AttemptPurpose, type FlowEffect, FlowEffectKind, type FlowEvent, FlowEventKind, FlowPhase, type FlowState, type FlowTimer, type FlowView } from '@umberspar/steering/common/request/flowTypes'
import { AnswerState, classifyExchange, SentState } from '@umberspar/steering/common/request/outcomeTable'
import { createFlow, stepFlow } from '@umberspar/steering/common/request/requestFlow'
import { computeRetryAfter } from '@umberspar/steering/common/request/retryAfter'
import type { Outcome } from '@umberspar/steering/common/state/outcome'
import type { SlotGrant } from '../places/placePool.js'
import { classifyAttemptError, DRAINING_HEADER, isRefusal, isWorkersFault, mayStillRun } from './classifyAnswer.js'
import { AnswerEnd, type RequestFailure, type RunningAnswer } from './requestEnds.js'
import { canRepeatBody, type RequestBody } from './requestBody.js'
import type { RequestContext } from './requestContext.js'
import type { ServiceStatistics } from './serviceStatistics.js'
import type { NoSlot, SlotFinder } from './slotFinder.js'

/**
 * A cancelled attempt's slot stays taken so long, in milliseconds: its worker
 * hears of the cancellation when the connection's close arrives, after one way
 * through the network and, if that packet is lost, a retransmission after 200 ms.
 */
export const CANCELLATION_SPAN = 250
/** A hedge that finds no free slot is not worth waiting for, in milliseconds. */
const HEDGE_WAIT_SPAN = 5
const SERVER_ERROR = 500

/** A reason of our own spares the stack trace that the platform's default one takes. */
const CANCELLED = 'cancelled'

/** What runs work with. */
export interface RunParts {
  readonly selfId: string
  readonly transport: IUpstreamTransport
  readonly slots: SlotFinder
  readonly clock: IClock
  readonly random: IRandomSource
  readonly metrics: IMetrics
}

/** What is to be run. */
export interface RunInput {
  readonly context: RequestContext
  /** Without the hop-by-hop ones. */
  readonly headers: Record<string, string | string[]>
  readonly body: RequestBody
  readonly statistics: ServiceStatistics
}

interface RunAttempt {
  readonly controller: AbortController
  grant: SlotGrant | undefined
  response: AttemptResponse | undefined
  sentAt: Instant
}

type EffectOf<Kind extends FlowEffectKind> = Extract<FlowEffect, { kind: Kind }>
type EffectHandlers = { readonly [Kind in FlowEffectKind]: (effect: EffectOf<Kind>) => void }

/** One request on its way to an answer. */
export class RequestRun {
  private state: FlowState
  private readonly attempts: RunAttempt[] = []
  private readonly timers = new Map<FlowTimer, ITimer>()
  private noSlot: NoSlot | undefined
  private lastError: StepError | undefined
  private resolve: (result: Result<RunningAnswer, RequestFailure>) => void = () => {}
  private readonly onCallerLeft = (): void => { this.apply({ kind: FlowEventKind.CallerLeft }) }

  private readonly handlers: EffectHandlers = {
    [FlowEffectKind.AcquireSlot]: (effect) => { this.acquire(effect) },
    [FlowEffectKind.ReleaseSlot]: ({ attemptId }) => { this.attempts[attemptId]?.grant?.release() },
    [FlowEffectKind.Send]: ({ attemptId }) => { this.send(attemptId) },
    [FlowEffectKind.CancelAttempt]: ({ attemptId }) => { this.cancel(attemptId) },
    [FlowEffectKind.StartTimer]: ({ timer, at }) => { this.startTimer(timer, at) },
    [FlowEffectKind.StopTimer]: ({ timer }) => { this.timers.get(timer)?.close() },
    [FlowEffectKind.RecordFirst]: () => { this.input.statistics.budget.recordFirst() },
    [FlowEffectKind.SpendToken]: () => { this.input.statistics.budget.take() },
    [FlowEffectKind.Answer]: ({ attemptId }) => { this.answer(attemptId) },
    [FlowEffectKind.Refuse]: ({ outcome }) => { this.refuse(outcome) }
  }

  constructor (private readonly parts: RunParts, private readonly input: RunInput) {
    const { isIdempotent, maxAttempts, deadline } = input.context
    this.state = createFlow({ isIdempotent, maxAttempts, deadline })
  }

  /** @returns an upstream's answer, or whether the request may have run */
  run (): Promise<Result<RunningAnswer, RequestFailure>> {
    const { signal } = this.input.context
    return new Promise((resolve) => {
      this.resolve = resolve
      this.apply({ kind: FlowEventKind.Started })
      if (signal.aborted) this.onCallerLeft()
      else signal.addEventListener('abort', this.onCallerLeft, { once: true })
    })
  }

  private apply (event: FlowEvent): void {
    const { state, effects } = stepFlow(this.state, event, this.buildView())
    this.state = state
    for (const effect of effects) {
      const handle = this.handlers[effect.kind] as (effect: FlowEffect) => void
      handle(effect)
    }
  }

  private buildView (): FlowView {
    const { body, statistics } = this.input
    return {
      now: this.parts.clock.now(),
      jitter: this.parts.random.next(),
      hasToken: statistics.budget.hasToken,
      hedgeSpan: statistics.latency.getHedgeSpan(),
      isBodyWhole: canRepeatBody(body),
      isBodyShared: body.kind === 'buffered'
    }
  }

  private async acquire ({ attemptId, purpose, wish }: EffectOf<FlowEffectKind.AcquireSlot>): Promise<void> {
    const { context } = this.input
    const attempt: RunAttempt = { controller: new AbortController(), grant: undefined, response: undefined, sentAt: 0 }
    this.attempts[attemptId] = attempt
    this.parts.metrics.count('request.attempts', 1, { service: context.service, purpose })
    const found = await this.parts.slots.acquire({ context, wish, deadline: this.getWaitDeadline(purpose), signal: attempt.controller.signal })
    if (!found.ok) {
      this.noSlot = found.val
      if (purpose !== AttemptPurpose.Hedge) this.lastError ??= found.val.error
      this.apply({ kind: FlowEventKind.SlotRefused, attemptId })
      return
    }
    const { grant, failureDomain } = found.val
    attempt.grant = grant
    this.apply({ kind: FlowEventKind.SlotGranted, attemptId, workerId: grant.workerId, failureDomain })
  }

  private getWaitDeadline (purpose: AttemptPurpose): Deadline {
    const { deadline } = this.input.context
    if (purpose !== AttemptPurpose.Hedge) return deadline
    return Math.min(deadline, createDeadline(this.parts.clock.now(), HEDGE_WAIT_SPAN))
  }

  private async send (attemptId: number): Promise<void> {
    const attempt = this.attempts[attemptId]
    const grant = attempt?.grant
    if (attempt === undefined || grant === undefined) return
    const { context, body } = this.input
    attempt.sentAt = this.parts.clock.now()
    const sent = await this.parts.transport.send({
      workerId: grant.workerId,
      address: grant.worker.address,
      method: context.method,
      path: context.path,
      headers: this.buildHeaders(),
      body: body.kind === 'buffered' ? body.bytes : body.stream,
      deadline: context.deadline,
      signal: attempt.controller.signal
    })
    if (sent.ok) this.handleHead(attemptId, attempt, grant, sent.val)
    else this.handleFailure(attemptId, attempt, grant, sent.val)
  }

  private handleFailure (attemptId: number, attempt: RunAttempt, grant: SlotGrant, error: AttemptError): void {
    const { context } = this.input
    const now = this.parts.clock.now()
    if (isWorkersFault(error, { sentAt: attempt.sentAt, now, expectedSpan: context.settings.objective.latencyMs })) {
      grant.table.observeFailure(grant.workerId, now)
    }
    grant.release(mayStillRun(error) ? this.getHoldEnd() : undefined)
    const outcome = classifyAttemptError(error)
    if (error.code !== ErrorCode.Cancelled) this.lastError = error.isLate ? createLateError(error) : error
    this.apply({ kind: FlowEventKind.AttemptFailed, attemptId, outcome })
  }

  private handleHead (attemptId: number, attempt: RunAttempt, grant: SlotGrant, response: AttemptResponse): void {
    const now = this.parts.clock.now()
    const load = parseOrcaLoad(response.headers)
    if (load !== undefined) grant.table.observeLoad(grant.workerId, { utilization: load.utilization, takenAt: now })
    if (response.headers[DRAINING_HEADER] !== undefined) grant.table.markDraining(grant.workerId, true, now)
    if (isRefusal(response.status, response.headers, this.input.context.settings.refusal)) {
      // Refusing is quick, so in-flight counts alone would prefer the worker that sheds.
      grant.table.observeLoad(grant.workerId, { utilization: 1, takenAt: now })
      this.handleRefusal(attemptId, grant, response)
      return
    }
    if (this.input.body.kind === 'buffered') grant.table.observeAnswerTime(grant.workerId, now - attempt.sentAt, now)
    attempt.response = response
    this.input.statistics.latency.observe(now - attempt.sentAt)
    this.apply({ kind: FlowEventKind.AnswerBegan, attemptId })
  }

  private handleRefusal (attemptId: number, grant: SlotGrant, response: AttemptResponse): void {
    response.body.resume()
    response.body.on('error', () => {})
    grant.release()
    this.lastError = new StepError({ code: ErrorCode.Refused, step: 'send-request', peer: grant.worker.address, message: 'the upstream refused the request without running it' })
    const outcome = classifyExchange(SentState.MayHaveLeft, AnswerState.Refusal)
    this.apply({ kind: FlowEventKind.AttemptFailed, attemptId, outcome })
  }

  private cancel (attemptId: number): void {
    const attempt = this.attempts[attemptId]
    if (attempt === undefined) return
    // A loser's time is a lower bound of its latency; without it the estimate
    // would only see the fast ones and hedges would go out earlier and earlier.
    // A caller that leaves says nothing of the latency.
    const isLoser = this.state.phase === FlowPhase.Answered && attempt.grant !== undefined && attempt.response === undefined
    if (isLoser) this.input.statistics.latency.observe(this.parts.clock.now() - attempt.sentAt)
    attempt.controller.abort(CANCELLED)
    // Without a response, the end of `acquire` or `send` releases the slot.
    if (attempt.response !== undefined) attempt.grant?.release(this.getHoldEnd())
  }

  private startTimer (timer: FlowTimer, at: Instant): void {
    this.timers.get(timer)?.close()
    this.timers.set(timer, this.parts.clock.schedule(at, () => { this.apply({ kind: FlowEventKind.TimerDue, timer }) }))
  }

  private answer (attemptId: number): void {
    const attempt = this.attempts[attemptId]
    if (attempt?.grant === undefined || attempt.response === undefined) return
    this.stopListening()
    const { grant, response } = attempt
    this.resolve(new Ok({ response, workerId: grant.workerId, finish: (end) => { this.finish(grant, end, response.status) } }))
  }

  private finish (grant: SlotGrant, end: AnswerEnd, status: number): void {
    const now = this.parts.clock.now()
    // A worker that answers errors at once would look idle and draw all requests.
    const isError = end === AnswerEnd.Broken || (end === AnswerEnd.Whole && status >= SERVER_ERROR)
    if (isError) grant.table.observeFailure(grant.workerId, now)
    else if (end === AnswerEnd.Whole) grant.table.observeAnswer(grant.workerId, now)
    grant.release(end === AnswerEnd.Whole ? undefined : this.getHoldEnd())
  }

  private refuse (outcome: Outcome.NotRun | Outcome.Unknown): void {
    this.stopListening()
    const error = this.lastError ?? this.createEndError()
    const medianSpan = this.input.statistics.latency.getMedianSpan()
    const room = this.noSlot?.room === undefined ? undefined : { ...this.noSlot.room, medianSpan }
    const retryAfterSeconds = computeRetryAfter(room, this.parts.random.next())
    this.resolve(new Err({ outcome, error, retryAfterSeconds }))
  }

  private createEndError (): StepError {
    const hasLeft = this.input.context.signal.aborted
    const code = hasLeft ? ErrorCode.Cancelled : ErrorCode.DeadlinePassed
    const message = hasLeft ? 'the caller has gone' : 'the time ran out before an attempt could be made'
    return new StepError({ code, step: 'run-request', peer: this.input.context.service, message })
  }

  private stopListening (): void {
    this.input.context.signal.removeEventListener('abort', this.onCallerLeft)
  }

  private getHoldEnd (): Instant {
    return createDeadline(this.parts.clock.now(), CANCELLATION_SPAN)
  }

  private buildHeaders (): Record<string, string | string[]> {
    const { context, headers } = this.input
    return {
      ...headers,
      'umberspar-request-id': context.requestId,
      'umberspar-entry': this.parts.selfId,
      'umberspar-timeout-ms': String(Math.max(1, Math.floor(context.deadline - this.parts.clock.now())))
    }
  }
}

/** The transport says of a late answer that its effect is unknown; callers are told that the time ran out. */
function createLateError (error: StepError): StepError {
  return new StepError({ code: ErrorCode.DeadlinePassed, step: error.step, peer: error.peer, message: error.message, cause: error })
}
