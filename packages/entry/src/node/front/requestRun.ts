/**
 * Carries one request, read whole, to a worker and its answer back: chooses,
 * offers, repeats where that is allowed, and ends it. Whether it may have run is
 * kept in `mayHaveRun`, which only an offer that was sent and not refused sets.
 */
import type { Instant, ITimer } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import { shouldOffer } from '@umberspar/steering/common/entry/admission'
import { mergeHomes } from '@umberspar/steering/common/entry/accountTable'
import { type Choice, chooseUpstream } from '@umberspar/steering/common/entry/chooseUpstream'
import { AccessEnd } from '@umberspar/steering/common/entry/decideAccess'
import { computeRetry, addSpread } from '@umberspar/steering/common/entry/comeBack'
import { mayOfferAfterRefusal, mayOfferAfterRun, mayOfferAfterUnsent } from '@umberspar/steering/common/entry/offerAgain'
import type { QuotaToken } from '@umberspar/steering/common/quota/quotaStock'
import { QuotaEnd } from '../quota/accountQuota.js'
import { EndReason, OfferEnd, RequestEnd } from '../telemetry/requestEvents.js'
import type { AnswerHead } from '../upstream/answerParser.js'
import type { CallerAnswer } from './callerAnswer.js'
import { describeChoice } from './describeChoice.js'
import type { EntryContext } from './entryContext.js'
import { Offer, type OfferResult } from './offer.js'
import type { GatheredAnswer } from './answerCollector.js'
import type { ReadRequest } from './readRequest.js'
import { getRefusal, REASON_BY_DENIAL } from './refusals.js'

/** Answers that tell when to come back. */
const RETRY_STATUSES: ReadonlySet<number> = new Set([429, 503])
/** A worker that reached its deadline answers so; this long after the time limit it is not waited for, in milliseconds. */
const ANSWER_SLACK_MS = 150

/** One request on its way. */
export class RequestRun {
  private readonly service: string
  private readonly key: string | undefined
  private readonly latestAt: Deadline
  private readonly tried = new Set<string>()
  private current: Offer | undefined
  private readonly counts = { sent: 0, unsent: 0, refused: 0 }
  /** The caller's account by name. */
  private account: string | undefined
  /** What was taken of its quota. */
  private quota: QuotaToken | undefined
  private mayHaveRun = false
  private fallback: GatheredAnswer | undefined
  private limitTimer: ITimer | undefined
  private isEnded = false

  /**
   * @param context the process's parts
   * @param request what to carry
   * @param answer where the answer goes
   */
  constructor (private readonly context: EntryContext, private readonly request: ReadRequest, private readonly answer: CallerAnswer) {
    const { route, arrivedAt, patienceUntil } = request
    this.service = context.view.parts.choose(route)
    this.key = context.heads.getKey(request.message, route)
    this.latestAt = Math.min(patienceUntil, arrivedAt + route.timeoutMs)
  }

  /** Begins; the run ends itself. */
  start (): void {
    this.answer.onDidLeave(() => { this.handleLeave() })
    this.answer.onDidDrain(() => { this.current?.resume() })
    // Once for each request, sent or not: the budget for repeats grows by requests, not by attempts to open a connection.
    this.context.view.readRepeats(this.service).recordFirst(this.context.clock.now())
    this.limitTimer = this.context.clock.schedule(this.latestAt + ANSWER_SLACK_MS, () => { this.handleLimit() })
    const blockedMs = this.context.quarantine.getBlockedMs(this.request.digest)
    if (blockedMs > 0) this.endOwn(EndReason.Quarantined, blockedMs)
    else this.takeQuota()
  }

  /** Once for each request: its repeats are the same request. */
  private takeQuota (): void {
    const { account } = this.context.gate.decide(this.request.route, this.request.keyDigest)
    this.account = account?.name
    if (account === undefined) return this.sendNext()
    this.context.quotas.take(account, ({ end, token, waitMs }) => {
      this.quota = token
      if (this.isEnded) this.returnQuota()
      else if (end === QuotaEnd.Given) this.sendNext()
      else this.endOwn(end === QuotaEnd.Spent ? EndReason.QuotaSpent : EndReason.QuotaUnknown, addSpread(waitMs, this.context.random))
    })
  }

  /** What surely did not run does not count. */
  private returnQuota (): void {
    const { quota, account } = this
    this.quota = undefined
    const hasNotRun = this.counts.sent === this.counts.refused
    if (quota !== undefined && account !== undefined && hasNotRun) this.context.quotas.return(account, quota)
  }

  private sendNext (): void {
    if (this.isEnded) return
    const { context } = this
    const { clock, view, gate } = context
    const now = clock.now()
    const access = gate.decide(this.request.route, this.request.keyDigest)
    if (access.end !== AccessEnd.Allowed) return this.endWithoutAnswer(REASON_BY_DENIAL[access.end])
    if (context.quarantine.getBlockedMs(this.request.digest) > 0) return this.endWithoutAnswer(EndReason.Quarantined)
    const homes = mergeHomes(this.request.route, access.account)
    if (homes === undefined) return this.endWithoutAnswer(EndReason.NoHome)
    const choice = this.choose(homes, now)
    if (choice === undefined) return this.endForWantOfWorkers(now)
    if (!this.shouldOffer(choice, now)) return this.endWithoutAnswer(EndReason.TooLate, choice)
    if (this.counts.sent > 0 && !view.readRepeats(this.service).take(now)) return this.endWithoutAnswer(EndReason.RepeatsSpent, choice)
    this.logOffer(choice, now)
    const { id } = choice.candidate.tracker.entry
    this.tried.add(id)
    this.current = new Offer(this.context, this.request, choice, this.service, this.key, this.latestAt, {
      mayStillSend: () => this.context.quarantine.getBlockedMs(this.request.digest) === 0,
      onSent: () => { this.counts.sent++ },
      onLong: (head) => this.startLong(head),
      onPart: (chunk) => { if (!this.answer.writePart(chunk)) this.current?.pause() },
      onEnd: (result) => { this.handleResult(result) }
    })
    this.current.start()
  }

  private shouldOffer (choice: Choice, now: Instant): boolean {
    const { view } = this.context
    const { isLearned } = view.readWork(this.request.route, this.service)
    const busyness = view.readRoster(this.service).getBusyness(now)
    return shouldOffer(choice, { now, latestAt: this.latestAt, isLearned, wasSent: this.counts.sent > 0, busyness })
  }

  private choose (homeRegions: readonly string[], now: Instant): Choice | undefined {
    const { view, byteCosts } = this.context
    const { route, body, arrivedAt } = this.request
    const work = view.readWork(route, this.service)
    const roster = view.readRoster(this.service)
    const candidates = roster.listCandidates({ homeRegions, key: this.key, tried: this.tried }, work, view.evacuated, now)
    const need = { now, goalAt: arrivedAt + route.goalMs, latestAt: this.latestAt, bytes: body.length + work.getBytes(), busyness: roster.getBusyness(now) }
    return chooseUpstream(candidates, need, byteCosts)
  }

  private handleResult (result: OfferResult): void {
    this.current = undefined
    if (this.isEnded) return
    RESULT_HANDLERS[result.end](this, result)
  }

  /** Passes a worker's answer on. */
  deliver (answer: GatheredAnswer, reason = EndReason.None): void {
    const { head, body, length } = answer
    this.answer.writeWhole(head, this.context.heads.listAnswerFields(head.rawHeaders), body, length)
    this.finish(RequestEnd.Answered, reason, head.status)
  }

  /** Ends a long answer that was passed on as it came. */
  finishLong (status: number): void {
    this.answer.finishLong()
    this.finish(RequestEnd.Answered, EndReason.None, status)
  }

  /** Breaks a long answer off that the worker did not finish. */
  breakLong (status: number): void {
    this.answer.breakOff()
    this.finish(RequestEnd.Failed, EndReason.WorkerBroke, status)
  }

  /** After an offer that was not sent. */
  retryUnsent (): void {
    this.counts.unsent++
    if (mayOfferAfterUnsent(this.counts)) this.sendNext()
    else this.endWithoutAnswer(EndReason.NoWorker)
  }

  /** After a worker that did not run the request. */
  retryRefused (): void {
    this.counts.refused++
    if (mayOfferAfterRefusal(this.request.route, this.counts)) this.sendNext()
    else this.endWithoutAnswer(EndReason.WorkersRefused)
  }

  /**
   * After an offer that may have run.
   * @param fallback the worker's own failure, which the caller gets if nothing better comes
   */
  retryRun (fallback?: GatheredAnswer): void {
    this.mayHaveRun = true
    this.fallback = fallback ?? this.fallback
    if (mayOfferAfterRun(this.request.route, this.counts)) this.sendNext()
    else this.endWithoutAnswer(EndReason.WorkerBroke)
  }

  private endForWantOfWorkers (now: Instant): void {
    const rateWaitMs = this.context.view.readRoster(this.service).getRateWaitMs(now)
    if (rateWaitMs === undefined || this.mayHaveRun) this.endWithoutAnswer(EndReason.NoWorker)
    else this.endOwn(EndReason.RateLimited, addSpread(rateWaitMs, this.context.random))
  }

  private endWithoutAnswer (reason: EndReason, choice?: Choice): void {
    if (this.fallback !== undefined) return this.deliver(this.fallback, reason)
    if (this.mayHaveRun) return this.endOwn(reason === EndReason.NoAnswer ? reason : EndReason.WorkerBroke)
    // Nothing ran: what would stand for a possible run elsewhere is a plain refusal here.
    const isRefusal = reason !== EndReason.RepeatsSpent && reason !== EndReason.WorkerBroke
    const blockedMs = reason === EndReason.Quarantined ? this.context.quarantine.getBlockedMs(this.request.digest) : 0
    this.endOwn(isRefusal ? reason : EndReason.WorkersRefused, Math.max(blockedMs, computeRetry(choice, this.context.random)))
  }

  private endOwn (reason: EndReason, retryAfterMs?: number): void {
    const { end, status, text } = getRefusal(reason)
    this.answer.writeOwn({ status, text, retryAfterMs: RETRY_STATUSES.has(status) ? retryAfterMs : undefined })
    this.finish(end, reason, status, retryAfterMs)
  }

  private startLong (head: AnswerHead): boolean {
    this.answer.startLong(head, this.context.heads.listAnswerFields(head.rawHeaders))
    return true
  }

  private handleLeave (): void {
    if (this.isEnded) return
    this.current?.cancel()
    this.finish(RequestEnd.Abandoned, EndReason.CallerLeft, 0)
  }

  private handleLimit (): void {
    if (this.isEnded || this.current?.isLong === true) return
    // An offer that is still opening its connection has sent nothing.
    const isSent = this.current?.isSent === true
    this.current?.cancel()
    this.mayHaveRun ||= isSent
    this.endWithoutAnswer(this.mayHaveRun ? EndReason.NoAnswer : EndReason.TooLate)
  }

  private finish (end: RequestEnd, reason: EndReason, status: number, retryAfterMs?: number): void {
    if (this.isEnded) return
    this.isEnded = true
    this.limitTimer?.close()
    this.request.body.release()
    this.returnQuota()
    const { route, requestId, arrivedAt } = this.request
    const { revision, ageMs } = this.context.getRecordsAge()
    this.context.telemetry.logEnd({
      requestId,
      route: route.name,
      service: this.service,
      account: this.account,
      kind: route.kind,
      status,
      end,
      reason,
      offers: this.counts.sent,
      spanMs: this.context.clock.now() - arrivedAt,
      goalMs: route.goalMs,
      retryAfterMs,
      configuration: this.context.view.document?.version,
      revision,
      recordsAgeMs: ageMs,
      proofAgeMs: this.context.gate.loggedProofAgeMs
    })
  }

  private logOffer (choice: Choice, now: Instant): void {
    const { revision, ageMs } = this.context.getRecordsAge()
    this.context.telemetry.logOffer({
      requestId: this.request.requestId,
      route: this.request.route.name,
      service: this.service,
      object: this.key,
      offer: this.tried.size + 1,
      ...describeChoice(choice, now),
      configuration: this.context.view.document?.version ?? 0,
      revision,
      recordsAgeMs: ageMs
    })
  }
}

type ResultHandler = (run: RequestRun, result: OfferResult) => void

/** What follows from how an offer ended. */
const RESULT_HANDLERS: Readonly<Record<OfferEnd, ResultHandler>> = {
  [OfferEnd.Answered]: (run, { answer, status }) => {
    if (answer === undefined) run.finishLong(status ?? 0)
    else run.deliver(answer)
  },
  [OfferEnd.FailedByWorker]: (run, { answer }) => { run.retryRun(answer) },
  [OfferEnd.RefusedByWorker]: (run) => { run.retryRefused() },
  [OfferEnd.OtherWorker]: (run) => { run.retryRefused() },
  [OfferEnd.NotSent]: (run) => { run.retryUnsent() },
  [OfferEnd.Withdrawn]: (run) => { run.retryUnsent() },
  [OfferEnd.Broken]: (run, { isStarted, status }) => {
    if (isStarted) run.breakLong(status ?? 0)
    else run.retryRun()
  },
  [OfferEnd.Garbled]: (run, { isStarted, status }) => {
    if (isStarted) run.breakLong(status ?? 0)
    else run.retryRun()
  },
  [OfferEnd.Cancelled]: () => {}
}
