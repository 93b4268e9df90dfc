/**
 * Forwards one buffered request to a worker and the response back to the caller: chooses a worker,
 * attempts the request there, retries where that is allowed, and ends the request. `mayHaveRun`
 * tells whether the request may have run; only an attempt that was sent and not refused sets it.
 */
import type { Instant, ITimer } from '@umberspar/base/common/clock'
import { type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import { shouldAdmit } from '@umberspar/steering/common/entry/admission/admission'
import type { EntryNode } from '@umberspar/steering/common/entry/records'
import type { UpstreamChoice } from '@umberspar/steering/common/entry/workers/chooseUpstream'
import { estimateRoom, type ExpectedRoom } from '@umberspar/steering/common/entry/retry/retryDelay'
import { mayRetryAfterRefusal, mayRetryAfterPossibleRun, mayRetryAfterUnsent } from '@umberspar/steering/common/entry/retry/mayRetry'
import type { RefusalInputs } from '../telemetry/entryTelemetry.js'
import { EndReason, RequestOutcome } from '../telemetry/requestOutcomes.js'
import type { ResponseHead } from '../upstream/responseParser.js'
import type { CallerResponse } from './callerResponse.js'
import type { EntryContext } from './entryContext.js'
import type { AttemptListener, AttemptResult, IAttempt } from './attempt.js'
import { ATTEMPT_HANDLERS } from './attemptHandlers.js'
import { listAnnouncements } from '../relay/relayAdvisories.js'
import { RelayAttempt } from '../relay/relayAttempt.js'
import { chooseRelayPath } from '../relay/relayChoice.js'
import { hasIdleConnection, listWithoutIdleConnection } from './idleConnections.js'
import { UpstreamAttempt } from './upstreamAttempt.js'
import type { BufferedResponse } from './responseCollector.js'
import type { BufferedRequest } from './bufferedRequest.js'
import { planReturn, recordArrival, recordRefusal, takeRetry } from './callerReturns.js'
import { RequestAdmission } from './requestAdmission.js'
import { computeRequestDeadline, RESPONSE_SLACK_MS } from './requestDeadline.js'
import { RequestQuota } from './requestQuota.js'
import { logAttempt, logRequestEnd } from './requestLog.js'
import { RequestWaits } from './requestWaits.js'
import { chooseWorker } from './workerChoice.js'
import { checkAccess } from './requestAccess.js'
import { getRefusal, REASON_BY_UNAVAILABILITY } from './refusals.js'

/** Statuses whose responses carry `Retry-After`. */
const RETRY_AFTER_STATUSES: ReadonlySet<number> = new Set([429, 503])

/** One request that is being forwarded. */
export class ProxiedRequest {
  private readonly service: string
  private readonly affinityKey: string | undefined
  private readonly deadline: Deadline
  /** Also those that the VM which relayed the request excludes. */
  private readonly triedWorkers: Set<string>
  private currentAttempt: IAttempt | undefined
  private lastChoice: UpstreamChoice | undefined
  /** `refused` attempts were sent, so they count as `sent` too. */
  private readonly attemptCounts: { sent: number, unsent: number, refused: number }
  /** Attempts by way of other VMs. */
  private relays = 0
  private readonly quota: RequestQuota
  private readonly admission: RequestAdmission
  private mayHaveRun = false
  private fallbackResponse: BufferedResponse | undefined
  private deadlineTimer: ITimer | undefined
  private readonly waits: RequestWaits
  private isEnded = false

  /**
   * @param context the shared services of the process
   * @param request the request to forward
   * @param response the response to the caller
   */
  constructor (private readonly context: EntryContext, private readonly request: BufferedRequest, private readonly response: CallerResponse) {
    const { route, arrivedAt, callerDeadline, relayOrigin } = request
    const hasChosenService = route.parts.some(({ service }) => service === relayOrigin?.service)
    this.service = hasChosenService ? relayOrigin!.service : context.view.roundRobin.chooseService(route)
    this.triedWorkers = new Set(relayOrigin?.excludedWorkers)
    this.attemptCounts = { sent: relayOrigin?.attempts ?? 0, unsent: 0, refused: 0 }
    this.quota = new RequestQuota(context, request)
    this.admission = new RequestAdmission(context, request, this.service)
    this.waits = new RequestWaits(context, request, () => { this.startNextAttempt() })
    this.affinityKey = context.headerRewriter.getAffinityKey(request.message, route)
    this.deadline = computeRequestDeadline(route, arrivedAt, callerDeadline)
  }

  /** Starts to forward the request. */
  start (): void {
    this.response.onDidDisconnect(() => { this.handleDisconnect() })
    this.response.setAnnouncements(() => listAnnouncements(this.context, this.service, this.triedWorkers))
    this.response.onDidDrain(() => { this.currentAttempt?.resume() })
    recordArrival(this.context, this.request, this.service)
    this.deadlineTimer = this.context.timeoutClock.schedule(this.deadline + RESPONSE_SLACK_MS, () => { this.handleDeadline() })
    const blockedMs = this.context.quarantine.getBlockedMs(this.request.digest)
    if (blockedMs > 0) this.answerLocally(EndReason.Quarantined, blockedMs)
    else {
      this.quota.take(() => {
        // It may have been taken after the request has ended.
        if (this.isEnded) this.returnQuota()
        else this.startNextAttempt()
      }, (reason, retryAfterMs) => { if (!this.isEnded) this.answerLocally(reason, retryAfterMs) })
    }
  }

  /** Returns what was taken from the quota if the request has certainly not run. */
  private returnQuota (): void {
    if (this.attemptCounts.sent === this.attemptCounts.refused) this.quota.return()
  }

  private startNextAttempt (): void {
    if (this.isEnded) return
    const { context } = this
    const now = context.clock.now()
    if (hasPassed(this.deadline, now)) return this.endWithoutResponse(EndReason.DeadlineUnreachable)
    const homeRegions = this.checkAccess()
    if (homeRegions === undefined) return
    const isDisconnected = context.links.isDisconnected(this.service)
    let choice = !isDisconnected || context.links.isResponding(this.service, now) ? this.chooseWorker(homeRegions, now) : undefined
    if (isDisconnected && !hasIdleConnection(context, choice)) {
      const path = chooseRelayPath(context, { service: this.service, homeRegions, relays: this.relays, isRelayed: this.request.relayOrigin !== undefined }, now)
      if (path !== undefined) return typeof path === 'string' ? this.endWithoutResponse(path) : this.startRelay(path)
      choice = this.chooseWorker(homeRegions, now, listWithoutIdleConnection(context, this.service, this.triedWorkers)) ?? this.chooseWorker(homeRegions, now)
    }
    if (choice === undefined) return this.endWithoutCandidates(homeRegions, now)
    const refusal = this.findRefusal(choice, now)
    if (refusal !== undefined) return this.endWithoutResponse(refusal, choice)
    logAttempt(context, { requestId: this.request.requestId, route: this.request.route, service: this.service, affinityKey: this.affinityKey, attempt: this.attemptCounts.sent + this.attemptCounts.unsent + 1, choice, now })
    this.triedWorkers.add(choice.candidate.tracker.registration.id)
    this.lastChoice = choice
    this.currentAttempt = new UpstreamAttempt(this.context, this.request, choice, this.service, this.affinityKey, this.deadline, this.createListener())
    this.currentAttempt.start()
  }

  /** @returns the regions that may serve the request; undefined if it can't be sent now, because it waits for a proof or has ended */
  private checkAccess (): readonly string[] | undefined {
    const access = checkAccess(this.context, this.request)
    if (access.ok) return access.val
    if (access.val !== EndReason.RecordsStale || !this.waits.waitForProof()) this.endWithoutResponse(access.val)
    return undefined
  }

  /** Has another VM send the request to a worker, as this VM reaches none. */
  private startRelay (node: EntryNode): void {
    this.relays++
    this.context.telemetry.logRelay(this.request.requestId, this.service, node.name, this.attemptCounts.sent)
    this.currentAttempt = new RelayAttempt(this.context, this.request, node, this.service, this.attemptCounts.sent, this.deadline, this.createListener())
    this.currentAttempt.start()
  }

  private createListener (): AttemptListener {
    return {
      mayStillSend: (sentAt) => !hasPassed(this.deadline, sentAt) && this.context.quarantine.getBlockedMs(this.request.digest) === 0,
      onSent: () => { this.attemptCounts.sent++ },
      onStreamStart: (head) => this.startStream(head),
      onStreamData: (chunk) => { if (!this.response.writeChunk(chunk)) this.currentAttempt?.pause() },
      onEnd: (result) => { this.handleAttemptResult(result) }
    }
  }

  /** @returns why the request isn't sent to the chosen worker; undefined if it is */
  private findRefusal (choice: UpstreamChoice, now: Instant): EndReason | undefined {
    const { view } = this.context
    const { sent } = this.attemptCounts
    const { hasEnoughSamples } = view.getServiceTimes(this.request.route, this.service)
    const saturation = view.getPool(this.service).getSaturation(now)
    const yielded = this.admission.findRefusal(choice, sent, now)
    if (yielded !== undefined) return yielded
    if (!shouldAdmit(choice, { now, deadline: this.deadline, hasEnoughSamples, wasSent: sent > 0, saturation })) return EndReason.DeadlineUnreachable
    const retry = { now, mayHaveRun: this.mayHaveRun, timeLeftMs: this.request.callerDeadline - now, expectedMs: choice.expectedMs }
    return sent === 0 || takeRetry(this.context, this.request, this.service, retry) ? undefined : EndReason.RetryBudgetExhausted
  }

  private chooseWorker (homeRegions: readonly string[], now: Instant, triedWorkers: ReadonlySet<string> = this.triedWorkers): UpstreamChoice | undefined {
    const { service, affinityKey, deadline, request: { route, arrivedAt, body } } = this
    return chooseWorker(this.context, { route, service, affinityKey, arrivedAt, deadline, bodyBytes: body.length, homeRegions, triedWorkers, hasWaited: this.waits.hasWaitedForPlace }, now)
  }

  private handleAttemptResult (result: AttemptResult): void {
    this.currentAttempt = undefined
    if (this.isEnded) return
    ATTEMPT_HANDLERS[result.outcome](this, result)
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
  cancelStream (status: number, outcome = RequestOutcome.Failed, reason = EndReason.WorkerFailed): void {
    this.response.cancelStream()
    this.finishRequest(outcome, reason, status)
  }

  /** Retries after an attempt that was not sent. */
  retryUnsent (): void {
    this.attemptCounts.unsent++
    if (mayRetryAfterUnsent(this.attemptCounts)) this.startNextAttempt()
    else this.endWithoutResponse(EndReason.NoWorker)
  }

  /** Retries after another VM could not take the request. */
  retryRelay (): void {
    // It has not reached a worker.
    this.attemptCounts.sent--
    this.startNextAttempt()
  }

  /** Passes on the response of another VM that refused the request. */
  deliverRefusal ({ head, body, length }: BufferedResponse): void {
    this.attemptCounts.refused++
    if (this.mayHaveRun) return this.endWithoutResponse(EndReason.WorkerFailed)
    this.response.writeComplete(head, this.context.headerRewriter.listResponseFields(head.rawHeaders), body, length)
    this.finishRequest(RequestOutcome.Refused, EndReason.WorkersRefused, head.status)
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
    const { view } = this.context
    const unavailability = view.getPool(this.service).findUnavailability(homeRegions, view.evacuatedDomains, now)
    if (unavailability === undefined || this.mayHaveRun) return this.endWithoutResponse(EndReason.NoWorker)
    // The place may be at a worker that has refused the request.
    if (this.triedWorkers.size === 0 && this.waits.waitForPlace(this.service, unavailability.until, this.deadline, now)) return
    this.refuse(REASON_BY_UNAVAILABILITY[unavailability.reason], { roomAt: unavailability.until, expectedMs: 0 })
  }

  private endWithoutResponse (reason: EndReason, choice = this.lastChoice): void {
    if (this.fallbackResponse !== undefined) return this.deliver(this.fallbackResponse, reason)
    if (this.mayHaveRun) return this.answerLocally(reason === EndReason.NoResponse ? reason : EndReason.WorkerFailed)
    // The request has not run, so reasons that mean it may have run are replaced by a refusal.
    const hasOwnRefusal = reason !== EndReason.RetryBudgetExhausted && reason !== EndReason.WorkerFailed
    this.refuse(hasOwnRefusal ? reason : EndReason.WorkersRefused, estimateRoom(choice, this.context.clock.now()))
  }

  private refuse (reason: EndReason, room: ExpectedRoom): void {
    const { retryAfterMs, inputs } = planReturn(this.context, this.request, this.service, room)
    const blockedMs = reason === EndReason.Quarantined ? this.context.quarantine.getBlockedMs(this.request.digest) : 0
    this.answerLocally(reason, Math.max(blockedMs, retryAfterMs), inputs)
  }

  private answerLocally (reason: EndReason, retryAfterMs?: number, inputs?: RefusalInputs): void {
    const { outcome, status, text } = getRefusal(reason)
    this.response.writeLocal({ status, text, retryAfterMs: RETRY_AFTER_STATUSES.has(status) ? retryAfterMs : undefined, isUnable: reason === EndReason.RelayUnable })
    if (outcome === RequestOutcome.Refused) recordRefusal(this.context, { ...this.request, reason, service: this.service })
    this.finishRequest(outcome, reason, status, retryAfterMs, inputs)
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
    if (this.isEnded) return
    const { currentAttempt } = this
    currentAttempt?.cancel()
    if (currentAttempt?.isStreaming === true) return this.cancelStream(this.response.status, RequestOutcome.TimedOut, EndReason.NoResponse)
    // An attempt that is still opening its connection has sent nothing.
    this.mayHaveRun ||= currentAttempt?.isSent === true
    this.endWithoutResponse(this.mayHaveRun ? EndReason.NoResponse : EndReason.DeadlineUnreachable)
  }

  private finishRequest (outcome: RequestOutcome, reason: EndReason, status: number, retryAfterMs?: number, refusalInputs?: RefusalInputs): void {
    if (this.isEnded) return
    this.isEnded = true
    if (outcome === RequestOutcome.Answered) this.context.view.callerReturns.getSchedule(this.service).recordAnswer(this.context.clock.now())
    this.deadlineTimer?.close()
    this.waits.close()
    this.request.body.release()
    this.returnQuota()
    this.admission.recordEnd(reason)
    const { route, requestId, arrivedAt, relayOrigin } = this.request
    logRequestEnd(this.context, { requestId, route, service: this.service, account: this.quota.accountName, status, outcome, reason, attempts: this.attemptCounts.sent, arrivedAt, retryAfterMs, isRelayed: relayOrigin !== undefined, refusalInputs })
  }
}
