/**
 * Forwards one buffered request to a worker and the response back to the caller: chooses a worker,
 * attempts the request there, retries where that is allowed, and ends the request. `mayHaveRun`
 * tells whether the request may have run; only an attempt that was sent and not refused sets it.
 */
import type { Instant, ITimer } from '@umberspar/base/common/clock'
import { type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import { shouldAdmit } from '@umberspar/steering/common/entry/admission'
import { computeHomeRegions } from '@umberspar/steering/common/entry/accountTable'
import { type UpstreamChoice, chooseUpstream } from '@umberspar/steering/common/entry/chooseUpstream'
import { AccessOutcome } from '@umberspar/steering/common/entry/decideAccess'
import { computeRetryDelayMs, addRetryJitter } from '@umberspar/steering/common/entry/retryDelay'
import { mayRetryAfterRefusal, mayRetryAfterPossibleRun, mayRetryAfterUnsent } from '@umberspar/steering/common/entry/mayRetry'
import type { QuotaToken } from '@umberspar/steering/common/quota/quotaTokenPool'
import { QuotaOutcome } from '../quota/accountQuota.js'
import { EndReason, AttemptOutcome, RequestOutcome } from '../telemetry/requestOutcomes.js'
import type { ResponseHead } from '../upstream/responseParser.js'
import type { CallerResponse } from './callerResponse.js'
import { describeChoice } from './describeChoice.js'
import type { EntryContext } from './entryContext.js'
import { UpstreamAttempt, type AttemptResult } from './upstreamAttempt.js'
import type { BufferedResponse } from './responseCollector.js'
import type { BufferedRequest } from './bufferedRequest.js'
import { getRefusal, REASON_BY_DENIAL, REFUSAL_BY_UNAVAILABILITY } from './refusals.js'

/** Statuses whose responses carry `Retry-After`. */
const RETRY_AFTER_STATUSES: ReadonlySet<number> = new Set([429, 503])
/** How long after the deadline a response is still awaited: a worker that reached the deadline reports it by its response. */
const RESPONSE_SLACK_MS = 150

/** One request that is being forwarded. */
export class ProxiedRequest {
  private readonly service: string
  private readonly affinityKey: string | undefined
  private readonly deadline: Deadline
  private readonly triedWorkers = new Set<string>()
  private currentAttempt: UpstreamAttempt | undefined
  /** `refused` attempts were sent, so they count as `sent` too. */
  private readonly attemptCounts = { sent: 0, unsent: 0, refused: 0 }
  /** Name of the caller's client account. */
  private accountName: string | undefined
  /** What the request took from the quota of the account. */
  private quotaToken: QuotaToken | undefined
  private mayHaveRun = false
  private fallbackResponse: BufferedResponse | undefined
  private deadlineTimer: ITimer | undefined
  private isEnded = false

  /**
   * @param context the shared services of the process
   * @param request the request to forward
   * @param response the response to the caller
   */
  constructor (private readonly context: EntryContext, private readonly request: BufferedRequest, private readonly response: CallerResponse) {
    const { route, arrivedAt, callerDeadline } = request
    this.service = context.view.roundRobin.chooseService(route)
    this.affinityKey = context.headerRewriter.getAffinityKey(request.message, route)
    this.deadline = Math.min(callerDeadline, arrivedAt + route.timeoutMs)
  }

  /** Starts to forward the request. */
  start (): void {
    this.response.onDidDisconnect(() => { this.handleDisconnect() })
    this.response.onDidDrain(() => { this.currentAttempt?.resume() })
    // Once per request, sent or not: the retry budget grows with requests, not with attempts to open a connection.
    this.context.view.getRetryBudget(this.service).recordFirstAttempt(this.context.clock.now())
    this.deadlineTimer = this.context.clock.schedule(this.deadline + RESPONSE_SLACK_MS, () => { this.handleDeadline() })
    const blockedMs = this.context.quarantine.getBlockedMs(this.request.digest)
    if (blockedMs > 0) this.answerLocally(EndReason.Quarantined, blockedMs)
    else this.takeQuota()
  }

  /** Called once per request: retries don't count against the quota. */
  private takeQuota (): void {
    const { account } = this.context.accessController.decide(this.request.route, this.request.keyDigest)
    this.accountName = account?.name
    if (account === undefined) return this.startNextAttempt()
    this.context.quotas.take(account, ({ outcome, token, waitMs }) => {
      this.quotaToken = token
      if (this.isEnded) this.returnQuota()
      else if (outcome === QuotaOutcome.Granted) this.startNextAttempt()
      else this.answerLocally(outcome === QuotaOutcome.Exhausted ? EndReason.QuotaExhausted : EndReason.QuotaUnknown, addRetryJitter(waitMs, this.context.random))
    })
  }

  /** Returns what was taken from the quota if the request has certainly not run. */
  private returnQuota (): void {
    const { quotaToken, accountName } = this
    this.quotaToken = undefined
    const hasNotRun = this.attemptCounts.sent === this.attemptCounts.refused
    if (quotaToken !== undefined && accountName !== undefined && hasNotRun) this.context.quotas.return(accountName, quotaToken)
  }

  private startNextAttempt (): void {
    if (this.isEnded) return
    const { context } = this
    const { clock, view, accessController } = context
    const now = clock.now()
    if (hasPassed(this.deadline, now)) return this.endWithoutResponse(EndReason.DeadlineUnreachable)
    const access = accessController.decide(this.request.route, this.request.keyDigest)
    if (access.outcome !== AccessOutcome.Allowed) return this.endWithoutResponse(REASON_BY_DENIAL[access.outcome])
    if (context.quarantine.getBlockedMs(this.request.digest) > 0) return this.endWithoutResponse(EndReason.Quarantined)
    const homeRegions = computeHomeRegions(this.request.route, access.account)
    if (homeRegions === undefined) return this.endWithoutResponse(EndReason.NoHomeRegion)
    const choice = this.chooseWorker(homeRegions, now)
    if (choice === undefined) return this.endWithoutCandidates(homeRegions, now)
    if (!this.shouldAttempt(choice, now)) return this.endWithoutResponse(EndReason.DeadlineUnreachable, choice)
    if (this.attemptCounts.sent > 0 && !view.getRetryBudget(this.service).take(now)) return this.endWithoutResponse(EndReason.RetryBudgetExhausted, choice)
    this.logAttempt(choice, now)
    const { id } = choice.candidate.tracker.registration
    this.triedWorkers.add(id)
    this.currentAttempt = new UpstreamAttempt(this.context, this.request, choice, this.service, this.affinityKey, this.deadline, {
      mayStillSend: (sentAt) => !hasPassed(this.deadline, sentAt) && this.context.quarantine.getBlockedMs(this.request.digest) === 0,
      onSent: () => { this.attemptCounts.sent++ },
      onStreamStart: (head) => this.startStream(head),
      onStreamData: (chunk) => { if (!this.response.writeChunk(chunk)) this.currentAttempt?.pause() },
      onEnd: (result) => { this.handleAttemptResult(result) }
    })
    this.currentAttempt.start()
  }

  private shouldAttempt (choice: UpstreamChoice, now: Instant): boolean {
    const { view } = this.context
    const { hasEnoughSamples } = view.getServiceTimes(this.request.route, this.service)
    const saturation = view.getPool(this.service).getSaturation(now)
    return shouldAdmit(choice, { now, deadline: this.deadline, hasEnoughSamples, wasSent: this.attemptCounts.sent > 0, saturation })
  }

  private chooseWorker (homeRegions: readonly string[], now: Instant): UpstreamChoice | undefined {
    const { view, byteCosts } = this.context
    const { route, body, arrivedAt } = this.request
    const work = view.getServiceTimes(route, this.service)
    const pool = view.getPool(this.service)
    const candidates = pool.listCandidates({ homeRegions, key: this.affinityKey, triedWorkers: this.triedWorkers }, work, view.evacuatedDomains, now)
    const choiceContext = { now, goalAt: arrivedAt + route.goalMs, deadline: this.deadline, bytes: body.length + work.getMeanResponseBytes(), saturation: pool.getSaturation(now) }
    return chooseUpstream(candidates, choiceContext, byteCosts)
  }

  private handleAttemptResult (result: AttemptResult): void {
    this.currentAttempt = undefined
    if (this.isEnded) return
    HANDLER_BY_OUTCOME[result.outcome](this, result)
  }

  /** Forwards a worker's complete response to the caller. */
  deliver (response: BufferedResponse, reason = EndReason.None): void {
    const { head, body, length } = response
    this.response.writeComplete(head, this.context.headerRewriter.listResponseFields(head.rawHeaders), body, length)
    this.finishRequest(RequestOutcome.Answered, reason, head.status)
  }

  /** Ends a streamed response. */
  finishStream (status: number): void {
    this.response.finishStream()
    this.finishRequest(RequestOutcome.Answered, EndReason.None, status)
  }

  /** Aborts a streamed response that the worker did not finish. */
  cancelStream (status: number): void {
    this.response.cancelStream()
    this.finishRequest(RequestOutcome.Failed, EndReason.WorkerFailed, status)
  }

  /** Retries after an attempt that was not sent. */
  retryUnsent (): void {
    this.attemptCounts.unsent++
    if (mayRetryAfterUnsent(this.attemptCounts)) this.startNextAttempt()
    else this.endWithoutResponse(EndReason.NoWorker)
  }

  /** Retries after a worker refused to run the request. */
  retryRefused (): void {
    this.attemptCounts.refused++
    if (mayRetryAfterRefusal(this.request.route, this.attemptCounts)) this.startNextAttempt()
    else this.endWithoutResponse(EndReason.WorkersRefused)
  }

  /**
   * Retries after an attempt that may have run the request.
   * @param fallback the worker's error response, sent to the caller if no retry succeeds
   */
  retryPossiblyRun (fallback?: BufferedResponse): void {
    this.mayHaveRun = true
    this.fallbackResponse = fallback ?? this.fallbackResponse
    if (mayRetryAfterPossibleRun(this.request.route, this.attemptCounts)) this.startNextAttempt()
    else this.endWithoutResponse(EndReason.WorkerFailed)
  }

  private endWithoutCandidates (homeRegions: readonly string[], now: Instant): void {
    const { view, random } = this.context
    const unavailability = view.getPool(this.service).findUnavailability(homeRegions, view.evacuatedDomains, now)
    if (unavailability === undefined || this.mayHaveRun) return this.endWithoutResponse(EndReason.NoWorker)
    const { reason, computeDelayMs } = REFUSAL_BY_UNAVAILABILITY[unavailability.reason]
    this.answerLocally(reason, computeDelayMs(unavailability.until - now, random))
  }

  private endWithoutResponse (reason: EndReason, choice?: UpstreamChoice): void {
    if (this.fallbackResponse !== undefined) return this.deliver(this.fallbackResponse, reason)
    if (this.mayHaveRun) return this.answerLocally(reason === EndReason.NoResponse ? reason : EndReason.WorkerFailed)
    // The request has not run, so reasons that mean it may have run are replaced by a refusal.
    const hasOwnRefusal = reason !== EndReason.RetryBudgetExhausted && reason !== EndReason.WorkerFailed
    const blockedMs = reason === EndReason.Quarantined ? this.context.quarantine.getBlockedMs(this.request.digest) : 0
    this.answerLocally(hasOwnRefusal ? reason : EndReason.WorkersRefused, Math.max(blockedMs, computeRetryDelayMs(choice, this.context.random)))
  }

  private answerLocally (reason: EndReason, retryAfterMs?: number): void {
    const { outcome, status, text } = getRefusal(reason)
    this.response.writeLocal({ status, text, retryAfterMs: RETRY_AFTER_STATUSES.has(status) ? retryAfterMs : undefined })
    this.finishRequest(outcome, reason, status, retryAfterMs)
  }

  private startStream (head: ResponseHead): boolean {
    this.response.startStream(head, this.context.headerRewriter.listResponseFields(head.rawHeaders))
    return true
  }

  private handleDisconnect (): void {
    if (this.isEnded) return
    this.currentAttempt?.cancel()
    this.finishRequest(RequestOutcome.Abandoned, EndReason.CallerDisconnected, 0)
  }

  private handleDeadline (): void {
    if (this.isEnded || this.currentAttempt?.isStreaming === true) return
    // An attempt that is still opening its connection has sent nothing.
    const isSent = this.currentAttempt?.isSent === true
    this.currentAttempt?.cancel()
    this.mayHaveRun ||= isSent
    this.endWithoutResponse(this.mayHaveRun ? EndReason.NoResponse : EndReason.DeadlineUnreachable)
  }

  private finishRequest (outcome: RequestOutcome, reason: EndReason, status: number, retryAfterMs?: number): void {
    if (this.isEnded) return
    this.isEnded = true
    this.deadlineTimer?.close()
    this.request.body.release()
    this.returnQuota()
    const { route, requestId, arrivedAt } = this.request
    const { era, revision, ageMs } = this.context.getRecordsAge()
    this.context.telemetry.logRequestEnd({
      requestId,
      route: route.name,
      service: this.service,
      account: this.accountName,
      kind: route.kind,
      status,
      end: outcome,
      reason,
      offers: this.attemptCounts.sent,
      spanMs: this.context.clock.now() - arrivedAt,
      goalMs: route.goalMs,
      retryAfterMs,
      configuration: this.context.view.document?.version,
      era,
      revision,
      recordsAgeMs: ageMs,
      proofAgeMs: this.context.accessController.loggedProofAgeMs
    })
  }

  private logAttempt (choice: UpstreamChoice, now: Instant): void {
    const { era, revision, ageMs } = this.context.getRecordsAge()
    this.context.telemetry.logAttempt({
      requestId: this.request.requestId,
      route: this.request.route.name,
      service: this.service,
      object: this.affinityKey,
      offer: this.triedWorkers.size + 1,
      ...describeChoice(choice, now),
      configuration: this.context.view.document?.version ?? 0,
      era,
      revision,
      recordsAgeMs: ageMs
    })
  }
}

type AttemptResultHandler = (request: ProxiedRequest, result: AttemptResult) => void

/** How a request continues after each outcome of an attempt. */
const HANDLER_BY_OUTCOME: Readonly<Record<AttemptOutcome, AttemptResultHandler>> = {
  [AttemptOutcome.Answered]: (request, { response, status }) => {
    if (response === undefined) request.finishStream(status ?? 0)
    else request.deliver(response)
  },
  [AttemptOutcome.FailedByWorker]: (request, { response }) => { request.retryPossiblyRun(response) },
  [AttemptOutcome.RefusedByWorker]: (request) => { request.retryRefused() },
  [AttemptOutcome.AddressReused]: (request) => { request.retryRefused() },
  [AttemptOutcome.NotSent]: (request) => { request.retryUnsent() },
  [AttemptOutcome.Withdrawn]: (request) => { request.retryUnsent() },
  [AttemptOutcome.ConnectionLost]: (request, { isStreaming, status }) => {
    if (isStreaming) request.cancelStream(status ?? 0)
    else request.retryPossiblyRun()
  },
  [AttemptOutcome.MalformedResponse]: (request, { isStreaming, status }) => {
    if (isStreaming) request.cancelStream(status ?? 0)
    else request.retryPossiblyRun()
  },
  [AttemptOutcome.Cancelled]: () => {}
}
