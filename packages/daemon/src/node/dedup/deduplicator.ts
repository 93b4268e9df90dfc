/** Claims Idempotency-Keys for requests of services that ask for it, and says what refused ones are told. */
import type { IClock } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline, type Deadline } from '@umberspar/base/common/deadline'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import type { IMetrics } from '@umberspar/base/common/metrics'
import type { IRandomSource } from '@umberspar/base/common/random'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import { type ClaimAnswer, ClaimAnswerKind, ClaimKeeper, type HeldClaim } from '@umberspar/steering/common/dedup/claimKeeper'
import type { ClaimRecord } from '@umberspar/steering/common/dedup/claimRecord'
import { ClaimDecision } from '@umberspar/steering/common/dedup/decideClaim'
import { StoreCallBudget } from '@umberspar/steering/common/dedup/storeCallBudget'
import type { IKeyValueStore } from '@umberspar/steering/common/ports/keyValueStore'
import { ProblemKind } from '@umberspar/steering/common/request/requestProblem'
import { computeRetryAfter } from '@umberspar/steering/common/request/retryAfter'
import { Outcome } from '@umberspar/steering/common/state/outcome'
import { createHash, randomUUID } from 'node:crypto'
import type { RequestContext } from '../request/requestContext.js'

/** Header of the key, in lower case. */
export const KEY_HEADER = 'idempotency-key'
const MAX_KEY_LENGTH = 255
const CLAIM_STEP = 'claim-key'
/** How long the end of a daemon waits for ends of claims to be written, in milliseconds. */
const CLOSE_SPAN = 1_000
const MS_PER_SECOND = 1000
const MAX_RETRY_AFTER = 30
/** Of the first request's time left, the part after which a caller may ask again. */
const PART_OF_WAIT = 0.25
/**
 * Told while a release is not known to be written, in seconds: a write that gets
 * no answer takes 2 s, and the next one begins at most 1.5 s later.
 */
const UNRELEASED_RETRY_AFTER = 5
const UNRELEASED_JITTER = 3

/** What a deduplicator works with. */
export interface DeduplicatorParts {
  readonly store: IKeyValueStore
  readonly clock: IClock
  readonly random: IRandomSource
  readonly metrics: IMetrics
  readonly keyPrefix: string
  readonly nodeId: string
  readonly incarnation: number
  /** Entry VMs that share the store's rate. */
  readonly countNodes: () => number
}

/** Why a request was not sent anywhere. */
export interface ClaimRefusal {
  readonly kind: ProblemKind
  readonly outcome: Outcome
  readonly error: StepError
  readonly retryAfterSeconds?: number
  /** Said of the first request, beside the problem's standard members. */
  readonly members?: Readonly<Record<string, unknown>>
}

type RefusalOf = (existing: ClaimRecord | undefined) => ClaimRefusal

/** Deduplication of one daemon's requests. */
export class Deduplicator implements IClosable {
  private readonly keeper: ClaimKeeper

  private readonly refusalByDecision: Readonly<Record<Exclude<ClaimDecision, ClaimDecision.TakeOver>, RefusalOf>> = {
    [ClaimDecision.Running]: (existing) => ({
      kind: ProblemKind.RequestRunning,
      outcome: Outcome.Unknown,
      error: this.createError(ErrorCode.Conflict, 'the first request with this key may still be running'),
      retryAfterSeconds: this.computeWait(existing)
    }),
    [ClaimDecision.AlreadyRan]: (existing) => ({
      kind: ProblemKind.AlreadyRan,
      outcome: Outcome.Done,
      error: this.createError(ErrorCode.Conflict, 'the first request with this key has run; its answer is not kept'),
      members: { firstStatus: existing?.status }
    }),
    [ClaimDecision.OutcomeUnknown]: () => ({
      kind: ProblemKind.DuplicateRequest,
      outcome: Outcome.Unknown,
      error: this.createError(ErrorCode.Conflict, 'the first request with this key may have run; it will not be run again')
    }),
    [ClaimDecision.KeyReused]: () => ({
      kind: ProblemKind.KeyReused,
      outcome: Outcome.NotRun,
      error: this.createError(ErrorCode.Invalid, 'this key was used with another method or path')
    })
  }

  constructor (private readonly parts: DeduplicatorParts) {
    const { clock, countNodes, metrics } = parts
    const calls = new StoreCallBudget(clock, countNodes)
    this.keeper = new ClaimKeeper({ ...parts, calls, onCall: () => { metrics.count('dedup.store-calls', 1) } })
  }

  /**
   * Claims the key of a request that must not run twice.
   * @param context the request
   * @param key its Idempotency-Key, if any
   * @returns the claim; undefined if the request needs none; or why it must not be sent
   */
  async claim (context: RequestContext, key: string | undefined): Promise<Result<HeldClaim | undefined, ClaimRefusal>> {
    if (!context.settings.deduplicate || context.isIdempotent || key === undefined) return new Ok(undefined)
    if (key.length === 0 || key.length > MAX_KEY_LENGTH) return new Err(this.createBadKey())
    const answer = await this.keeper.claim({
      service: context.service,
      keyHash: computeHash(key),
      fingerprint: computeHash(`${context.method}\n${context.path}`),
      claimId: randomUUID(),
      deadline: context.deadline
    })
    const { service } = context
    const result = answer.kind === ClaimAnswerKind.Refused ? answer.decision : answer.kind
    this.parts.metrics.count('dedup.claims', 1, { service, result })
    return this.toResult(answer)
  }

  /**
   * Records how a claimed request ended that ran or may have run. Each claim is finished or released, once.
   * @param claim the claim
   * @param outcome how the request ended
   * @param status the upstream's status, if it answered
   */
  finish (claim: HeldClaim, outcome: Outcome.Done | Outcome.Unknown, status?: number): void {
    this.keeper.finish(claim, outcome, status)
    this.parts.metrics.set('dedup.pending-ends', this.keeper.pendingEnds)
  }

  /**
   * Frees the key of a request that did not run, before its caller is told so.
   * @param claim the claim
   * @param deadline the caller's
   * @returns the least Retry-After in seconds; undefined if the key is free now
   */
  async release (claim: HeldClaim, deadline: Deadline): Promise<number | undefined> {
    const isReleased = await this.keeper.release(claim, deadline)
    this.parts.metrics.set('dedup.pending-ends', this.keeper.pendingEnds)
    return isReleased ? undefined : this.computeUnreleasedWait()
  }

  /** Writes the ends that are not written yet, for at most a second. */
  async close (): Promise<void> {
    if (this.keeper.pendingEnds > 0) await this.keeper.settle(createDeadline(this.parts.clock.now(), CLOSE_SPAN))
    this.keeper.close()
  }

  private toResult (answer: ClaimAnswer): Result<HeldClaim | undefined, ClaimRefusal> {
    if (answer.kind === ClaimAnswerKind.Claimed) return new Ok(answer.claim)
    if (answer.kind === ClaimAnswerKind.Refused) return new Err(this.refusalByDecision[answer.decision](answer.existing))
    const isOverRate = answer.kind === ClaimAnswerKind.OverRate
    const error = isOverRate
      ? this.createError(ErrorCode.Exhausted, 'this entry VM may make no more claims now')
      : this.createError(ErrorCode.Unavailable, 'the key-value service did not take the claim in time')
    const retryAfterSeconds = isOverRate || answer.isReleased ? computeRetryAfter(undefined, this.parts.random.next()) : this.computeUnreleasedWait()
    return new Err({ kind: ProblemKind.ClaimUnavailable, outcome: Outcome.NotRun, error, retryAfterSeconds })
  }

  /**
   * A part of the first request's time left: it usually ends long before its
   * deadline, and its caller, whose deadline is the same, must learn of it before.
   */
  private computeWait (existing: ClaimRecord | undefined): number {
    const waitMs = ((existing?.endsByWallMs ?? 0) - this.parts.clock.getWallTime()) * PART_OF_WAIT
    return Math.min(MAX_RETRY_AFTER, Math.max(1, Math.ceil(waitMs / MS_PER_SECOND)))
  }

  private computeUnreleasedWait (): number {
    return UNRELEASED_RETRY_AFTER + Math.floor(UNRELEASED_JITTER * this.parts.random.next())
  }

  private createBadKey (): ClaimRefusal {
    const error = this.createError(ErrorCode.Invalid, `Idempotency-Key: expected 1 to ${MAX_KEY_LENGTH} characters`)
    return { kind: ProblemKind.BadRequest, outcome: Outcome.NotRun, error }
  }

  private createError (code: ErrorCode, message: string): StepError {
    return new StepError({ code, step: CLAIM_STEP, peer: 'store', message })
  }
}

/** SHA-256: a caller must not be able to make a key that collides with another's. */
function computeHash (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}
