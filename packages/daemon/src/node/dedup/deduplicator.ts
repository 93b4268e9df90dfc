/** Claims Idempotency-Keys for requests of services with deduplication, and builds the responses to duplicate requests. */
import type { IClock } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline, type Deadline } from '@umberspar/base/common/deadline'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import type { IMetrics } from '@umberspar/base/common/metrics'
import type { IRandomSource } from '@umberspar/base/common/random'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import { type ClaimAnswer, ClaimAnswerKind, ClaimManager, type HeldClaim } from '@umberspar/steering/common/dedup/claimManager'
import type { ClaimRecord } from '@umberspar/steering/common/dedup/claimRecord'
import { ClaimDecision } from '@umberspar/steering/common/dedup/decideClaim'
import { StoreCallBudget } from '@umberspar/steering/common/dedup/storeCallBudget'
import type { IKeyValueStore } from '@umberspar/steering/common/ports/keyValueStore'
import { ProblemKind } from '@umberspar/steering/common/request/requestProblem'
import { computeRetryAfter } from '@umberspar/steering/common/request/retryAfter'
import { Outcome } from '@umberspar/steering/common/state/outcome'
import { createHash, randomUUID } from 'node:crypto'
import type { RequestContext } from '../request/requestContext.js'

/** Name of the header with the key, in lower case. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key'
const MAX_KEY_LENGTH = 255
const CLAIM_STEP = 'claim-key'
/** How long a closing daemon waits until the outcomes of claims are written. */
const CLOSE_TIMEOUT_MS = 1_000
const MS_PER_SECOND = 1000
const MAX_RETRY_AFTER_SECONDS = 30
/** Ratio of the first request's remaining time after which a duplicate request may be retried. */
const RETRY_AFTER_RATIO = 0.25
/**
 * Retry-After while a claim may not have been released in the store: a write without
 * a response times out after 2 s, and is retried at most 1.5 s later.
 */
const UNRELEASED_RETRY_AFTER_SECONDS = 5
const UNRELEASED_RETRY_JITTER_SECONDS = 3

/** The services and settings that a deduplicator uses. */
export interface DeduplicatorDependencies {
  readonly store: IKeyValueStore
  readonly clock: IClock
  readonly random: IRandomSource
  readonly metrics: IMetrics
  readonly keyPrefix: string
  readonly nodeId: string
  readonly incarnation: number
  /** Returns the number of entry VMs that share the store's rate limit. */
  readonly countNodes: () => number
}

/** Why a request was not sent to an upstream. */
export interface ClaimRefusal {
  readonly kind: ProblemKind
  readonly outcome: Outcome
  readonly error: StepError
  readonly retryAfterSeconds?: number
  /** Extension members of the problem document that describe the first request. */
  readonly members?: Readonly<Record<string, unknown>>
}

type RefusalBuilder = (existing: ClaimRecord | undefined) => ClaimRefusal

/** Deduplicates one daemon's requests by their Idempotency-Key. */
export class Deduplicator implements IClosable {
  private readonly claimManager: ClaimManager

  private readonly refusalByDecision: Readonly<Record<Exclude<ClaimDecision, ClaimDecision.TakeOver>, RefusalBuilder>> = {
    [ClaimDecision.Running]: (existing) => ({
      kind: ProblemKind.RequestRunning,
      outcome: Outcome.Unknown,
      error: this.createError(ErrorCode.Conflict, 'the first request with this key may still be running'),
      retryAfterSeconds: this.computeRunningRetryAfter(existing)
    }),
    [ClaimDecision.AlreadyRan]: (existing) => ({
      kind: ProblemKind.AlreadyRan,
      outcome: Outcome.Done,
      error: this.createError(ErrorCode.Conflict, 'the first request with this key has run; its response is not stored'),
      members: { firstStatus: existing?.status }
    }),
    [ClaimDecision.OutcomeUnknown]: () => ({
      kind: ProblemKind.DuplicateRequest,
      outcome: Outcome.Unknown,
      error: this.createError(ErrorCode.Conflict, 'the first request with this key may have run and will not be run again')
    }),
    [ClaimDecision.KeyReused]: () => ({
      kind: ProblemKind.KeyReused,
      outcome: Outcome.NotRun,
      error: this.createError(ErrorCode.Invalid, 'this key was already used with another method or path')
    })
  }

  constructor (private readonly dependencies: DeduplicatorDependencies) {
    const { clock, countNodes, metrics } = dependencies
    const calls = new StoreCallBudget(clock, countNodes)
    this.claimManager = new ClaimManager({ ...dependencies, calls, onCall: () => { metrics.count('dedup.store-calls', 1) } })
  }

  /**
   * Claims the key of a request that must not run twice.
   * @param context the request
   * @param key its Idempotency-Key, if any
   * @returns the claim, or undefined if the request needs none; or why the request must not be sent
   */
  async claim (context: RequestContext, key: string | undefined): Promise<Result<HeldClaim | undefined, ClaimRefusal>> {
    if (!context.settings.deduplicate || context.isIdempotent || key === undefined) return new Ok(undefined)
    if (key.length === 0 || key.length > MAX_KEY_LENGTH) return new Err(this.createInvalidKeyRefusal())
    const answer = await this.claimManager.claim({
      service: context.service,
      keyHash: computeHash(key),
      fingerprint: computeHash(`${context.method}\n${context.path}`),
      claimId: randomUUID(),
      deadline: context.deadline
    })
    const { service } = context
    const result = answer.kind === ClaimAnswerKind.Refused ? answer.decision : answer.kind
    this.dependencies.metrics.count('dedup.claims', 1, { service, result })
    return this.toResult(answer)
  }

  /**
   * Records the outcome of a claimed request that ran or may have run. Each claim must be either finished or released, once.
   * @param claim the claim
   * @param outcome how the request ended
   * @param status the status of the upstream's response, if any
   */
  finish (claim: HeldClaim, outcome: Outcome.Done | Outcome.Unknown, status?: number): void {
    this.claimManager.finish(claim, outcome, status)
    this.dependencies.metrics.set('dedup.pending-ends', this.claimManager.pendingClaims)
  }

  /**
   * Releases the key of a request that did not run, before the caller is told so.
   * @param claim the claim
   * @param deadline the caller's deadline
   * @returns the minimum Retry-After in seconds, or undefined if the key was released
   */
  async release (claim: HeldClaim, deadline: Deadline): Promise<number | undefined> {
    const isReleased = await this.claimManager.release(claim, deadline)
    this.dependencies.metrics.set('dedup.pending-ends', this.claimManager.pendingClaims)
    return isReleased ? undefined : this.computeUnreleasedRetryAfter()
  }

  /** Waits at most one second for the outcomes that are not written yet. */
  async close (): Promise<void> {
    if (this.claimManager.pendingClaims > 0) await this.claimManager.settle(createDeadline(this.dependencies.clock.now(), CLOSE_TIMEOUT_MS))
    this.claimManager.close()
  }

  private toResult (answer: ClaimAnswer): Result<HeldClaim | undefined, ClaimRefusal> {
    if (answer.kind === ClaimAnswerKind.Claimed) return new Ok(answer.claim)
    if (answer.kind === ClaimAnswerKind.Refused) return new Err(this.refusalByDecision[answer.decision](answer.existing))
    const isOverRate = answer.kind === ClaimAnswerKind.RateLimited
    const error = isOverRate
      ? this.createError(ErrorCode.Exhausted, 'this entry VM has reached its rate limit for claims')
      : this.createError(ErrorCode.Unavailable, 'the store did not accept the claim in time')
    const retryAfterSeconds = isOverRate || answer.isReleased ? computeRetryAfter(undefined, this.dependencies.random.next()) : this.computeUnreleasedRetryAfter()
    return new Err({ kind: ProblemKind.ClaimUnavailable, outcome: Outcome.NotRun, error, retryAfterSeconds })
  }

  /**
   * Computes the Retry-After while the first request is running. It is a fraction of
   * that request's remaining time: the request usually ends long before its deadline,
   * and the retrying caller has the same deadline and must get the result before it.
   */
  private computeRunningRetryAfter (existing: ClaimRecord | undefined): number {
    const waitMs = ((existing?.endsByWallMs ?? 0) - this.dependencies.clock.getWallTime()) * RETRY_AFTER_RATIO
    return Math.min(MAX_RETRY_AFTER_SECONDS, Math.max(1, Math.ceil(waitMs / MS_PER_SECOND)))
  }

  private computeUnreleasedRetryAfter (): number {
    return UNRELEASED_RETRY_AFTER_SECONDS + Math.floor(UNRELEASED_RETRY_JITTER_SECONDS * this.dependencies.random.next())
  }

  private createInvalidKeyRefusal (): ClaimRefusal {
    const error = this.createError(ErrorCode.Invalid, `Idempotency-Key: expected 1 to ${MAX_KEY_LENGTH} characters`)
    return { kind: ProblemKind.BadRequest, outcome: Outcome.NotRun, error }
  }

  private createError (code: ErrorCode, message: string): StepError {
    return new StepError({ code, step: CLAIM_STEP, peer: 'store', message })
  }
}

/** Uses SHA-256, so that a caller can't construct a key that collides with another caller's. */
function computeHash (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}
