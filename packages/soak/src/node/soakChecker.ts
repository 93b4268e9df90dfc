/**
 * Checks all guarantees during a run, from what callers and workers observe: those of
 * the history checker and those specific to this platform. A guarantee that holds only
 * without disruptions is checked only after a stable period.
 */
import type { IClock, Instant } from '@umberspar/base/common/clock'
import { AnswerKind, ExecutionEnd, HistoryEventKind } from '@umberspar/testing/common/history/historyEvent'
import { HistoryChecker, type Violation, ViolationKind } from '@umberspar/testing/common/history/historyChecker'
import { RETRY_BUDGET, ROUTE_TIMEOUT_MS } from '@umberspar/testing/node/standIns/usersPlatform/platformRecords'
import { type Announcement, WorkerFault, type WorkerObserver, type WorkerRun } from '@umberspar/testing/node/standIns/usersPlatform/platformWorkerStandIn'
import { MAX_REVOCATION_MS } from '../common/soakAccounts.js'
import { SoakRule, type SoakViolation } from '../common/soakRule.js'
import { AnnouncementChecker } from './announcementChecker.js'
import type { DisruptionTracker } from './disruptionTracker.js'
import { RateLimitChecker } from './rateLimitChecker.js'
import { RetryBudgetChecker } from './retryBudgetChecker.js'
import { ShareChecker } from './shareChecker.js'

/** An attempt of a caller. */
export interface Attempt {
  readonly requestId: string
  readonly operationId: string
  readonly service: string
  readonly isIdempotent: boolean
  readonly path: string
  readonly method: string
  readonly bodyLength: number
  /** Address of the entry VM that it is sent to, as `host:port`. */
  readonly entry: string
  /** The client account of its API key; undefined if it has none. */
  readonly account?: string
  /** How long the caller waits, in milliseconds. */
  readonly deadlineMs?: number
  /** The route's priority; undefined if its share is not checked. */
  readonly priority?: number
}

/** The load that a cold worker tolerates. */
export interface ColdLimit {
  /** Maximum number of requests in any second, from all entry VMs together. */
  readonly perSecond: number
  readonly until: Instant
}

interface AttemptRecord extends Attempt {
  readonly sentAt: Instant
  readonly workers: Set<string>
  /** Whether its share is checked. */
  readonly isInRush: boolean
}

/** Maximum number of workers that run the same attempt of an idempotent request. */
const MAX_WORKERS_PER_ATTEMPT = 2
/** A request sent less than this before its connection closed may have crossed the close. */
const CLOSE_RACE_MS = 200
const SECOND_MS = 1_000

/** Checks one run. */
export class SoakChecker implements WorkerObserver {
  readonly violations: SoakViolation[] = []
  readonly answers = new Map<AnswerKind, number>()
  private readonly attempts = new Map<string, AttemptRecord>()
  private readonly executionIds = new Map<string, number>()
  private readonly coldLimits = new Map<string, ColdLimit>()
  private readonly coldArrivals = new Map<string, Instant[]>()
  private readonly draining = new Set<string>()
  /** When the API keys of client accounts were revoked, by account. */
  private readonly keysRevokedAt = new Map<string, Instant>()
  private readonly announcedDrains = new Set<string>()
  private readonly historyChecker = new HistoryChecker((violation) => { this.handleViolation(violation) })
  private readonly announcementChecker = new AnnouncementChecker()
  private readonly retryBudgetChecker = new RetryBudgetChecker(RETRY_BUDGET)
  private readonly shareChecker = new ShareChecker()
  private readonly rateLimitChecker = new RateLimitChecker()
  /** The worker whose response to a request announced a rate limit. */
  private readonly limitedResponses = new Map<string, string>()
  private rushFrom: Instant = Infinity
  private lastExecutionId = 0

  /**
   * @param clock clock of the run
   * @param disruptions the disruptions of the run
   */
  constructor (private readonly clock: IClock, private readonly disruptions: DisruptionTracker) {}

  /** @returns the number of attempts so far */
  countAttempts (): number {
    return this.attempts.size
  }

  /** Records a violation that was detected elsewhere. */
  report (rule: string, subject: string, detail: string): void {
    this.violations.push({ rule, at: this.clock.now(), subject, detail })
  }

  /** Records an attempt; called before it is sent. */
  recordSent (attempt: Attempt): void {
    const at = this.clock.now()
    this.attempts.set(attempt.requestId, { ...attempt, sentAt: at, workers: new Set(), isInRush: attempt.priority !== undefined && at >= this.rushFrom && at >= this.disruptions.getStableFrom() })
    this.retryBudgetChecker.recordRequest(attempt.service, at)
    this.historyChecker.record({ kind: HistoryEventKind.Sent, at, ...attempt })
  }

  /** Records the outcome of an attempt at its caller. */
  recordAnswer (requestId: string, answer: AnswerKind, detail: string): void {
    const attempt = this.attempts.get(requestId)
    if (attempt !== undefined) this.announcementChecker.recordAnswer(attempt, answer, this.clock.now())
    const limitedWorker = this.limitedResponses.get(requestId)
    this.limitedResponses.delete(requestId)
    if (attempt !== undefined && limitedWorker !== undefined && answer === AnswerKind.Complete) this.rateLimitChecker.recordInformed(limitedWorker, attempt.entry)
    if (attempt?.isInRush === true) this.shareChecker.record({ account: attempt.account ?? '', priority: attempt.priority ?? 0 }, answer)
    this.answers.set(answer, (this.answers.get(answer) ?? 0) + 1)
    this.historyChecker.record({ kind: HistoryEventKind.Answered, at: this.clock.now(), requestId, answer, detail })
  }

  /**
   * Records the start of an entry process.
   * @param entry an address by which callers know it
   */
  recordEntryStart (entry: string): void {
    this.announcementChecker.recordEntryStart(entry, this.clock.now())
  }

  /** Records the start of a planned stop. */
  recordStopStart (entry: string): void {
    this.historyChecker.record({ kind: HistoryEventKind.StopStarted, at: this.clock.now(), targets: [entry] })
  }

  /** Records the end of a planned stop. */
  recordStopEnd (entry: string): void {
    this.historyChecker.record({ kind: HistoryEventKind.StopEnded, at: this.clock.now(), targets: [entry] })
  }

  /** Records that a worker drains. The drain is checked only while the run is stable. */
  recordDrain (workerId: string): void {
    this.draining.add(workerId)
    this.updateDrains()
  }

  /** Records that a worker has ended. */
  recordWorkerEnd (workerId: string): void {
    this.announcementChecker.recordWorkerEnd(workerId, this.clock.now())
    this.draining.delete(workerId)
    this.coldLimits.delete(workerId)
  }

  /** Announces pending drains to the history checker if the run is stable, and withdraws announced ones otherwise. */
  updateDrains (): void {
    const at = this.clock.now()
    const isStable = at >= this.disruptions.getStableFrom()
    for (const workerId of this.draining) {
      if (isStable === this.announcedDrains.has(workerId)) continue
      this.historyChecker.record({ kind: isStable ? HistoryEventKind.DrainAnnounced : HistoryEventKind.DrainWithdrawn, at, targets: [workerId] })
      if (isStable) this.announcedDrains.add(workerId)
      else this.announcedDrains.delete(workerId)
    }
  }

  /** Records that a service lacks room from an instant on, so that the shares of who is served are checked. */
  startRush (from: Instant): void {
    this.rushFrom = from
  }

  /** Records that the service has room again. */
  endRush (): void {
    this.rushFrom = Infinity
  }

  /**
   * Checks the shares of all rushes.
   * @returns what each account got at each priority
   */
  checkShares (): ReturnType<ShareChecker['list']> {
    for (const { rule, subject, detail } of this.shareChecker.check()) this.report(rule, subject, detail)
    return this.shareChecker.list()
  }

  /** Records that a worker is cold. */
  setCold (workerId: string, limit: ColdLimit): void {
    this.coldLimits.set(workerId, limit)
  }

  /** Records that a worker announces another rate limit; undefined for none. */
  recordRateLimit (workerId: string, perSecond: number | undefined): void {
    this.rateLimitChecker.recordLimit(workerId, perSecond, this.clock.now())
  }

  onResponse (workerId: string, requestId: string, announcement: Announcement): void {
    if (announcement.hasRateLimit === true) this.limitedResponses.set(requestId, workerId)
    this.announcementChecker.recordResponse(workerId, requestId, announcement, this.clock.now())
  }

  onRefused (workerId: string, requestId: string): void {
    this.checkColdLimit(workerId)
    this.checkRateLimit(workerId, this.attempts.get(requestId))
    this.checkAnnouncements(workerId, this.attempts.get(requestId))
    this.checkRetryBudget(this.attempts.get(requestId))
    this.historyChecker.record({ kind: HistoryEventKind.RefusedWhileDraining, at: this.clock.now(), workerId, requestId })
  }

  onRun (workerId: string, run: WorkerRun): void {
    this.checkColdLimit(workerId)
    const { requestId } = run
    const attempt = this.attempts.get(requestId)
    this.checkSent(workerId, run, attempt)
    if (attempt === undefined) return
    this.checkKey(attempt)
    this.checkRateLimit(workerId, attempt)
    this.checkAnnouncements(workerId, attempt)
    this.checkRetryBudget(attempt)
    attempt.workers.add(workerId)
    if (attempt.workers.size > MAX_WORKERS_PER_ATTEMPT) this.report(SoakRule.TooManyRuns, requestId, [...attempt.workers].join(' '))
    this.lastExecutionId++
    this.executionIds.set(`${workerId} ${requestId}`, this.lastExecutionId)
    this.historyChecker.record({ kind: HistoryEventKind.ExecutionStarted, at: this.clock.now(), executionId: this.lastExecutionId, workerId, requestId, service: attempt.service })
  }

  onRunEnd (workerId: string, requestId: string, fault: WorkerFault, isAnswered: boolean): void {
    const at = this.clock.now()
    const executionId = this.executionIds.get(`${workerId} ${requestId}`)
    if (executionId === undefined) return
    if (fault !== WorkerFault.None) this.historyChecker.record({ kind: HistoryEventKind.FaultInjected, at, workerId, requestId, fault })
    this.historyChecker.record({ kind: HistoryEventKind.ExecutionEnded, at, executionId, workerId, end: isAnswered ? ExecutionEnd.Answered : ExecutionEnd.Cancelled })
  }

  /** Records that the API keys of a client account have just been revoked. */
  recordKeysRevoked (account: string): void {
    this.keysRevokedAt.set(account, this.clock.now())
  }

  /** Records that the API keys of a client account are valid again. */
  recordKeysRestored (account: string): void {
    this.keysRevokedAt.delete(account)
  }

  private checkSent (workerId: string, { requestId, method, path, bodyLength, account, authorization }: WorkerRun, attempt: AttemptRecord | undefined): void {
    const isExpectedRequest = attempt?.method === method && attempt.path === path && attempt.bodyLength === bodyLength
    const isExpectedAccount = account === (attempt?.account ?? '') && authorization === ''
    if (isExpectedRequest && isExpectedAccount) return
    this.report(SoakRule.UnexpectedRun, requestId, `${workerId} ran ${method} ${path} with ${bodyLength} bytes for account ${account}, API key forwarded: ${authorization !== ''}, attempt sent: ${JSON.stringify(attempt ?? null)}`)
  }

  /** Checked during disruptions as well: a partitioned VM must also stop accepting a revoked key in time. */
  private checkKey ({ requestId, account = '', sentAt }: AttemptRecord): void {
    const revokedAt = this.keysRevokedAt.get(account)
    if (revokedAt === undefined || sentAt <= revokedAt + MAX_REVOCATION_MS) return
    this.report(SoakRule.RevokedKeyAccepted, requestId, `sent ${Math.round(sentAt - revokedAt)} ms after the API keys of ${account} had been revoked`)
  }

  private checkAnnouncements (workerId: string, attempt: AttemptRecord | undefined): void {
    if (attempt === undefined) return
    for (const { rule, detail } of this.announcementChecker.checkArrival(workerId, attempt, this.clock.now())) this.report(rule, attempt.requestId, detail)
  }

  private checkRetryBudget (attempt: AttemptRecord | undefined): void {
    if (attempt === undefined) return
    const detail = this.retryBudgetChecker.checkArrival(attempt.service, attempt.requestId, this.clock.now())
    if (detail !== undefined) this.report(SoakRule.RetryBudgetExceeded, attempt.service, detail)
  }

  private checkRateLimit (workerId: string, attempt: AttemptRecord | undefined): void {
    const detail = attempt === undefined ? undefined : this.rateLimitChecker.recordArrival(workerId, attempt.entry, this.clock.now(), attempt.sentAt)
    if (detail !== undefined) this.report(SoakRule.RateLimitExceeded, workerId, detail)
  }

  private checkColdLimit (workerId: string): void {
    const limit = this.coldLimits.get(workerId)
    const now = this.clock.now()
    if (limit === undefined || now > limit.until) return
    const arrivals = (this.coldArrivals.get(workerId) ?? []).filter((at) => now - at < SECOND_MS)
    arrivals.push(now)
    this.coldArrivals.set(workerId, arrivals)
    if (arrivals.length > limit.perSecond) this.report(SoakRule.ColdLimitExceeded, workerId, `${arrivals.length} requests in one second, limit ${limit.perSecond}`)
  }

  private handleViolation ({ kind, at, subject, detail }: Violation): void {
    if (kind === ViolationKind.InterruptedByPlannedStop && !this.isCutOff(subject, at)) return
    const attempt = this.attempts.get(subject)
    const trace = attempt === undefined ? '' : `; sent ${Math.round(at - attempt.sentAt)} ms before, ran on: ${[...attempt.workers].join(' ')}`
    this.violations.push({ rule: kind, at, subject, detail: detail + trace })
  }

  /** A planned stop counts only if the run was stable; a request that crossed the close of its connection, or had no time left, was not cut off. */
  private isCutOff (requestId: string, at: Instant): boolean {
    const attempt = this.attempts.get(requestId)
    if (attempt === undefined || attempt.sentAt < this.disruptions.getStableFrom()) return false
    if (at - attempt.sentAt >= Math.min(ROUTE_TIMEOUT_MS, attempt.deadlineMs ?? Infinity)) return false
    return attempt.workers.size > 0 || at - attempt.sentAt > CLOSE_RACE_MS
  }
}
