/**
 * Checks every promise while a run goes on, from what callers and workers saw: the
 * history checker's, and those that only this platform has. A promise that binds
 * undisturbed processes only is judged for these only.
 */
import type { IClock, Instant } from '@umberspar/base/common/clock'
import { AnswerKind, ExecutionEnd, HistoryEventKind } from '@umberspar/testing/common/history/historyEvent'
import { HistoryChecker, type Violation, ViolationKind } from '@umberspar/testing/common/history/historyChecker'
import { WorkerFault, type WorkerObserver, type WorkerRun } from '@umberspar/testing/node/standIns/usersPlatform/platformWorkerStandIn'
import { REVOKE_MS } from '../common/soakAccounts.js'
import { SoakRule, type SoakViolation } from '../common/soakRule.js'
import type { Calm } from './calm.js'

/** One attempt of a caller. */
export interface Attempt {
  readonly requestId: string
  readonly operationId: string
  readonly service: string
  readonly isIdempotent: boolean
  readonly path: string
  readonly method: string
  readonly bodyLength: number
  /** `host:port` of the entry VM asked. */
  readonly entry: string
  /** The client account of its key; undefined if it sent none. */
  readonly account?: string
}

/** What a cold worker tolerates. */
export interface ColdLimit {
  /** Requests in any second, from all entry VMs. */
  readonly perSecond: number
  readonly until: Instant
}

interface AttemptRecord extends Attempt {
  readonly sentAt: Instant
  readonly workers: Set<string>
}

/** Workers that one attempt of an idempotent request may run on. */
const MOST_RUNS = 2
/** A connection that ends sooner after the last byte of a request may have crossed it, in milliseconds. */
const CROSSING_MS = 200
const SECOND_MS = 1_000

/** The judge of one run. */
export class SoakJudge implements WorkerObserver {
  readonly violations: SoakViolation[] = []
  readonly answers = new Map<AnswerKind, number>()
  private readonly attempts = new Map<string, AttemptRecord>()
  private readonly runsByName = new Map<string, number>()
  private readonly coldLimits = new Map<string, ColdLimit>()
  private readonly coldArrivals = new Map<string, Instant[]>()
  private readonly leaving = new Set<string>()
  /** When the keys of client accounts were taken away, by account. */
  private readonly keysTakenAt = new Map<string, Instant>()
  private readonly bound = new Set<string>()
  private readonly checker = new HistoryChecker((violation) => { this.handleViolation(violation) })
  private nextRun = 0

  /**
   * @param clock of all parties
   * @param calm when the last disruption was
   */
  constructor (private readonly clock: IClock, private readonly calm: Calm) {}

  /** @returns attempts so far */
  countAttempts (): number {
    return this.attempts.size
  }

  /** Notes a broken promise that was seen elsewhere. */
  report (rule: string, subject: string, detail: string): void {
    this.violations.push({ rule, at: this.clock.now(), subject, detail })
  }

  /** Notes an attempt, before it is sent. */
  recordSent (attempt: Attempt): void {
    const at = this.clock.now()
    this.attempts.set(attempt.requestId, { ...attempt, sentAt: at, workers: new Set() })
    this.checker.record({ kind: HistoryEventKind.Sent, at, ...attempt })
  }

  /** Notes how an attempt ended at its caller. */
  recordAnswer (requestId: string, answer: AnswerKind, detail: string): void {
    this.answers.set(answer, (this.answers.get(answer) ?? 0) + 1)
    this.checker.record({ kind: HistoryEventKind.Answered, at: this.clock.now(), requestId, answer, detail })
  }

  /** Notes a planned stop that begins. */
  recordStopBegan (entry: string): void {
    this.checker.record({ kind: HistoryEventKind.StopBegan, at: this.clock.now(), targets: [entry] })
  }

  /** Notes the end of a planned stop. */
  recordStopEnded (entry: string): void {
    this.checker.record({ kind: HistoryEventKind.StopEnded, at: this.clock.now(), targets: [entry] })
  }

  /** Notes that a worker leaves. It binds from the moment from which nothing is disturbed. */
  recordLeaving (workerId: string): void {
    this.leaving.add(workerId)
    this.updateLeaving()
  }

  /** Notes that a worker is gone. */
  recordGone (workerId: string): void {
    this.leaving.delete(workerId)
    this.coldLimits.delete(workerId)
  }

  /** Lets leavings bind from now on if nothing is disturbed, and not while something is. */
  updateLeaving (): void {
    const at = this.clock.now()
    const isCalm = at >= this.calm.getCalmFrom()
    for (const workerId of this.leaving) {
      if (isCalm === this.bound.has(workerId)) continue
      this.checker.record({ kind: isCalm ? HistoryEventKind.DrainAnnounced : HistoryEventKind.DrainWithdrawn, at, targets: [workerId] })
      if (isCalm) this.bound.add(workerId)
      else this.bound.delete(workerId)
    }
  }

  /** Notes that a worker is cold. */
  setCold (workerId: string, limit: ColdLimit): void {
    this.coldLimits.set(workerId, limit)
  }

  onRefused (workerId: string, requestId: string): void {
    this.checkCold(workerId)
    this.checker.record({ kind: HistoryEventKind.Offered, at: this.clock.now(), workerId, requestId })
  }

  onRun (workerId: string, run: WorkerRun): void {
    this.checkCold(workerId)
    const { requestId } = run
    const attempt = this.attempts.get(requestId)
    this.checkAsked(workerId, run, attempt)
    if (attempt === undefined) return
    this.checkKey(attempt)
    attempt.workers.add(workerId)
    if (attempt.workers.size > MOST_RUNS) this.report(SoakRule.TooManyRuns, requestId, [...attempt.workers].join(' '))
    this.nextRun++
    this.runsByName.set(`${workerId} ${requestId}`, this.nextRun)
    this.checker.record({ kind: HistoryEventKind.ExecutionStarted, at: this.clock.now(), executionId: this.nextRun, workerId, requestId, service: attempt.service })
  }

  onRunEnd (workerId: string, requestId: string, fault: WorkerFault, isAnswered: boolean): void {
    const at = this.clock.now()
    const executionId = this.runsByName.get(`${workerId} ${requestId}`)
    if (executionId === undefined) return
    if (fault !== WorkerFault.None) this.checker.record({ kind: HistoryEventKind.FaultPlanted, at, workerId, requestId, fault })
    this.checker.record({ kind: HistoryEventKind.ExecutionEnded, at, executionId, workerId, end: isAnswered ? ExecutionEnd.Answered : ExecutionEnd.Cancelled })
  }

  /** Notes that the keys of a client account were taken away, as of now. */
  recordKeysTaken (account: string): void {
    this.keysTakenAt.set(account, this.clock.now())
  }

  /** Notes that the account has keys again. */
  recordKeysGiven (account: string): void {
    this.keysTakenAt.delete(account)
  }

  private checkAsked (workerId: string, { requestId, method, path, bodyLength, account, authorization }: WorkerRun, attempt: AttemptRecord | undefined): void {
    const isAsked = attempt?.method === method && attempt.path === path && attempt.bodyLength === bodyLength
    const isAccount = account === (attempt?.account ?? '') && authorization === ''
    if (isAsked && isAccount) return
    this.report(SoakRule.Unasked, requestId, `${workerId} ran ${method} ${path} with ${bodyLength} bytes for ${account}, a key: ${authorization !== ''}, sent was ${JSON.stringify(attempt ?? null)}`)
  }

  /** Binds whatever is disturbed: also a VM that is cut off must stop in time. */
  private checkKey ({ requestId, account = '', sentAt }: AttemptRecord): void {
    const takenAt = this.keysTakenAt.get(account)
    if (takenAt === undefined || sentAt <= takenAt + REVOKE_MS) return
    this.report(SoakRule.Revoked, requestId, `sent ${Math.round(sentAt - takenAt)} ms after the keys of ${account} had been taken away`)
  }

  private checkCold (workerId: string): void {
    const limit = this.coldLimits.get(workerId)
    const now = this.clock.now()
    if (limit === undefined || now > limit.until) return
    const arrivals = (this.coldArrivals.get(workerId) ?? []).filter((at) => now - at < SECOND_MS)
    arrivals.push(now)
    this.coldArrivals.set(workerId, arrivals)
    if (arrivals.length > limit.perSecond) this.report(SoakRule.ColdOverrun, workerId, `${arrivals.length} requests in a second, ${limit.perSecond} are tolerated`)
  }

  private handleViolation ({ kind, at, subject, detail }: Violation): void {
    if (kind === ViolationKind.CutAtPlannedStop && !this.isCut(subject, at)) return
    this.violations.push({ rule: kind, at, subject, detail })
  }

  /** A stop is judged only if nothing else was disturbed; a request that crossed the close of its connection is not cut. */
  private isCut (requestId: string, at: Instant): boolean {
    const attempt = this.attempts.get(requestId)
    if (attempt === undefined || attempt.sentAt < this.calm.getCalmFrom()) return false
    return attempt.workers.size > 0 || at - attempt.sentAt > CROSSING_MS
  }
}
