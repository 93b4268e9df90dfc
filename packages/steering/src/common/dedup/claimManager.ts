/**
 * Claims of Idempotency-Keys. At most one request with a key may run; this is
 * decided by create-if-absent and compare-and-swap in the store before anything is
 * sent. If the answer to a write is lost, the claim is read back.
 */
import type { IClock } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, getRemainingMs, hasPassed } from '@umberspar/base/common/deadline'
import { ErrorCode } from '@umberspar/base/common/errors'
import type { IRandomSource } from '@umberspar/base/common/random'
import { Outcome } from '../state/outcome.js'
import type { IKeyValueStore, StoredValue } from '../ports/keyValueStore.js'
import { ClaimLeases, CLAIM_RETENTION_SECONDS } from './claimLeases.js'
import { buildClaimKey, type ClaimRecord, ClaimState, decodeClaim, encodeClaim } from './claimRecord.js'
import { ClaimFinalizer } from './claimFinalizer.js'
import { ClaimDecision, decideClaim } from './decideClaim.js'
import type { StoreCallBudget } from './storeCallBudget.js'

/** If claiming takes longer, the request is rejected as not run. */
const CLAIM_TIMEOUT_MS = 1_000
/** For this long after the store was unavailable, requests are rejected without a store call. */
const STORE_BACKOFF_MS = 1_000
/** A claim is written again if an answer was lost, or if another request changed the stored claim first. */
const MAX_WRITE_ATTEMPTS = 3
/** One write for the claim and one for its final state; further calls are taken from the budget when needed. */
const STORE_CALLS_PER_CLAIM = 2
const MS_PER_SECOND = 1000
/** How long the answer to a request that did not run is delayed until its claim is released. */
const RELEASE_TIMEOUT_MS = 500
/** How far that delay may exceed the caller's deadline. */
const RELEASE_GRACE_MS = 100
/**
 * A claimed request must have ended long before its claim expires. Otherwise a
 * process that was paused for longer than the retention could send a request whose
 * key has been claimed and run again in the meantime.
 */
const MAX_RUN_MS = CLAIM_RETENTION_SECONDS * MS_PER_SECOND / 6

/** A request that asks for the right to run. */
export interface ClaimRequest {
  readonly service: string
  /** Hash of the Idempotency-Key. */
  readonly keyHash: string
  /** Hash of method and path. */
  readonly fingerprint: string
  /** Unique to this request, also among requests with the same key. */
  readonly claimId: string
  readonly deadline: Deadline
}

/** Possible results of claiming a key. */
export enum ClaimAnswerKind {
  Claimed = 'claimed',
  /** The key was claimed before; the decision says what that means for the request. */
  Refused = 'refused',
  /** The store is unavailable. */
  StoreUnavailable = 'store-unavailable',
  /** This node has exceeded its rate limit for store calls. */
  RateLimited = 'over-rate'
}

/** A claim held by this process: its request may run once, until the deadline. */
export interface HeldClaim {
  readonly key: string
  readonly record: ClaimRecord
  readonly leaseId: string
  /** Store revision at which the claim was written. */
  readonly modRevision: number
  /** No byte of the request may be sent to an upstream after this time. */
  readonly deadline: Deadline
}

/** The result of claiming a key. */
export type ClaimAnswer =
  | { readonly kind: ClaimAnswerKind.Claimed, readonly claim: HeldClaim }
  | { readonly kind: ClaimAnswerKind.Refused, readonly decision: Exclude<ClaimDecision, ClaimDecision.TakeOver>, readonly existing: ClaimRecord | undefined }
  | { readonly kind: ClaimAnswerKind.RateLimited }
  /** `isReleased`: the store contains no claim of this request, and no write in flight can still add one. */
  | { readonly kind: ClaimAnswerKind.StoreUnavailable, readonly isReleased: boolean }

/** Dependencies of {@link ClaimManager}. */
export interface ClaimManagerDependencies {
  readonly store: IKeyValueStore
  readonly clock: IClock
  readonly random: IRandomSource
  readonly calls: StoreCallBudget
  readonly keyPrefix: string
  readonly nodeId: string
  readonly incarnation: number
  /** Called for every store call. */
  readonly onCall: () => void
}

/** The result of one attempt to write a claim; `again` asks for another one at the expected revision. */
type WriteResult =
  | { readonly kind: 'claimed', readonly modRevision: number }
  | { readonly kind: 'again', readonly expected: number }
  | { readonly kind: 'refused', readonly decision: Exclude<ClaimDecision, ClaimDecision.TakeOver>, readonly existing: ClaimRecord | undefined }
  | { readonly kind: 'failed' }

/** A claim that is being written. */
interface ClaimAttempt {
  readonly key: string
  readonly record: ClaimRecord
  readonly leaseId: string
  /** Whether the answer to a write was lost, so that the write may have been applied or may still be. */
  isUncertain: boolean
}

const STATE_BY_OUTCOME: Readonly<Record<Outcome, ClaimState>> = {
  [Outcome.Done]: ClaimState.Done,
  [Outcome.NotRun]: ClaimState.NotRun,
  [Outcome.Unknown]: ClaimState.Unknown
}

/** Claims keys and records the final states of claims. */
export class ClaimManager {
  private readonly leases: ClaimLeases
  private readonly finalizer: ClaimFinalizer
  private backoffUntil = -Infinity

  constructor (private readonly dependencies: ClaimManagerDependencies) {
    this.leases = new ClaimLeases(dependencies.store, dependencies.clock)
    this.finalizer = new ClaimFinalizer(dependencies)
  }

  /** @returns the number of claims whose final state may not have been written to the store yet */
  get pendingClaims (): number {
    return this.finalizer.size
  }

  /**
   * Claims the key of a request before anything is sent to an upstream.
   * @param request the request
   * @returns the claim, or the reason why the request must not run; in that case nothing has run
   */
  async claim (request: ClaimRequest): Promise<ClaimAnswer> {
    const { clock, calls } = this.dependencies
    const now = clock.now()
    if (!hasPassed(this.backoffUntil, now)) return { kind: ClaimAnswerKind.StoreUnavailable, isReleased: true }
    if (!calls.take(STORE_CALLS_PER_CLAIM)) return { kind: ClaimAnswerKind.RateLimited }
    const deadline = Math.min(request.deadline, createDeadline(now, CLAIM_TIMEOUT_MS))
    const leaseId = await this.getLease(deadline)
    if (leaseId === undefined) {
      this.startBackoff()
      calls.release(STORE_CALLS_PER_CLAIM)
      return { kind: ClaimAnswerKind.StoreUnavailable, isReleased: true }
    }
    const runUntil = Math.min(request.deadline, createDeadline(now, MAX_RUN_MS))
    const attempt = { key: buildClaimKey(this.dependencies.keyPrefix, request.service, request.keyHash), record: this.buildRecord(request, runUntil), leaseId, isUncertain: false }
    const result = await this.writeUntilDecided(attempt, deadline)
    if (result.kind !== 'claimed') return await this.handleFailedClaim(attempt, result, request.deadline)
    return { kind: ClaimAnswerKind.Claimed, claim: { key: attempt.key, record: attempt.record, leaseId, modRevision: result.modRevision, deadline: runUntil } }
  }

  /**
   * Records the outcome of a claimed request that ran or may have run. The answer to
   * the caller doesn't have to wait for the write. Every claim is finished or released
   * exactly once.
   * @param claim the claim
   * @param outcome outcome of the request
   * @param status the upstream's status code, if it answered
   */
  finish (claim: HeldClaim, outcome: Outcome.Done | Outcome.Unknown, status?: number): void {
    this.saveFinalState(claim, { ...claim.record, state: STATE_BY_OUTCOME[outcome], ...(status === undefined ? {} : { status }) })
  }

  /**
   * Releases the key of a request that is known not to have run. The caller may
   * retry as soon as it has the answer, possibly at another entry VM. If the answer
   * were sent before the release is written, the retry would find the key claimed and
   * be answered with `unknown`, although the request never ran.
   * @param claim the claim
   * @param deadline the caller's deadline
   * @returns whether the release is known to be written; if not, writing it is retried in the background
   */
  async release (claim: HeldClaim, deadline: Deadline): Promise<boolean> {
    return await this.waitForRelease(this.saveFinalState(claim, { ...claim.record, state: ClaimState.NotRun }), deadline)
  }

  /**
   * Tries once more to write all final states that are pending.
   * @param deadline when to give up
   * @returns a promise that settles when these attempts have ended
   */
  settle (deadline: Deadline): Promise<void> {
    return this.finalizer.settle(deadline)
  }

  /** Stops writing final states. */
  close (): void {
    this.finalizer.close()
  }

  private saveFinalState ({ key, leaseId, modRevision }: HeldClaim, record: ClaimRecord): Promise<boolean> {
    return this.finalizer.push({ key, record, leaseId, modRevision })
  }

  /** Waits only briefly, so that an unavailable store doesn't delay the answer to the caller. */
  private waitForRelease (release: Promise<boolean>, deadline: Deadline): Promise<boolean> {
    const { clock } = this.dependencies
    const now = clock.now()
    const giveUpAt = Math.min(createDeadline(now, RELEASE_TIMEOUT_MS), Math.max(now, deadline) + RELEASE_GRACE_MS)
    return new Promise((resolve) => {
      const timer = clock.schedule(giveUpAt, () => resolve(false))
      release.then((isWritten) => {
        timer.close()
        resolve(isWritten)
      }, () => resolve(false))
    })
  }

  private async getLease (deadline: Deadline): Promise<string | undefined> {
    if (!this.leases.hasUsableLease) this.dependencies.onCall()
    const lease = await this.leases.getLease(deadline)
    return lease.ok ? lease.val : undefined
  }

  private buildRecord (request: ClaimRequest, runUntil: Deadline): ClaimRecord {
    const { clock, nodeId, incarnation } = this.dependencies
    const endsByWallMs = clock.getWallTime() + getRemainingMs(runUntil, clock.now())
    return { claimId: request.claimId, fingerprint: request.fingerprint, nodeId, incarnation, state: ClaimState.Running, endsByWallMs }
  }

  private async writeUntilDecided (attempt: ClaimAttempt, deadline: Deadline): Promise<Exclude<WriteResult, { kind: 'again' }>> {
    let expectedRevision = 0
    for (let writeCount = 0; writeCount < MAX_WRITE_ATTEMPTS; writeCount++) {
      if (hasPassed(deadline, this.dependencies.clock.now())) break
      const result = await this.writeOnce(attempt, expectedRevision, deadline)
      if (result.kind !== 'again') return result
      expectedRevision = result.expected
    }
    return { kind: 'failed' }
  }

  private async writeOnce (attempt: ClaimAttempt, expectedRevision: number, deadline: Deadline): Promise<WriteResult> {
    const { key, record, leaseId } = attempt
    this.dependencies.onCall()
    const written = await this.dependencies.store.transact({
      conditions: [{ key, modRevision: expectedRevision }],
      writes: [{ kind: 'put', key, value: encodeClaim(record), leaseId }]
    }, deadline)
    if (written.ok && written.val.isApplied) return { kind: 'claimed', modRevision: written.val.revision }
    if (!written.ok) {
      if (written.val.code === ErrorCode.NotFound) this.leases.removeLease(leaseId)
      if (written.val.code !== ErrorCode.EffectUnknown) return { kind: 'failed' }
      attempt.isUncertain = true
    }
    return await this.readBack(attempt, deadline)
  }

  /** Reads the stored claim after a write that was not applied or whose answer was lost. */
  private async readBack (attempt: ClaimAttempt, deadline: Deadline): Promise<WriteResult> {
    this.dependencies.calls.take(1)
    this.dependencies.onCall()
    const read = await this.dependencies.store.get(attempt.key, deadline)
    if (!read.ok) return { kind: 'failed' }
    // Writing the same claim id again is safe, since only one of the writes can be applied.
    if (read.val === undefined) return { kind: 'again', expected: 0 }
    return this.decideStored(attempt, read.val)
  }

  private decideStored (attempt: ClaimAttempt, stored: StoredValue): WriteResult {
    const existing = decodeClaim(stored.value)
    if (existing === undefined) return { kind: 'refused', decision: ClaimDecision.OutcomeUnknown, existing }
    if (existing.claimId === attempt.record.claimId) return { kind: 'claimed', modRevision: stored.modRevision }
    // The final state of an earlier claim of this process may not have been written yet.
    const latest = this.finalizer.find(existing.claimId) ?? existing
    const decision = decideClaim(latest, attempt.record.fingerprint, this.dependencies.clock.getWallTime())
    if (decision === ClaimDecision.TakeOver) return { kind: 'again', expected: stored.modRevision }
    return { kind: 'refused', decision, existing: latest }
  }

  private async handleFailedClaim (attempt: ClaimAttempt, result: Exclude<WriteResult, { kind: 'again' | 'claimed' }>, deadline: Deadline): Promise<ClaimAnswer> {
    // The store call reserved for the final state is needed only if a write is uncertain.
    if (result.kind === 'refused' || !attempt.isUncertain) this.dependencies.calls.release(1)
    if (result.kind === 'refused') return { kind: ClaimAnswerKind.Refused, decision: result.decision, existing: result.existing }
    this.startBackoff()
    if (!attempt.isUncertain) return { kind: ClaimAnswerKind.StoreUnavailable, isReleased: true }
    // The write may have been applied, or may still be. The caller is told that the
    // request did not run; the claim is also marked as not run, so that it doesn't
    // block a retry.
    const record = { ...attempt.record, state: ClaimState.NotRun }
    const release = this.finalizer.push({ key: attempt.key, record, leaseId: attempt.leaseId, modRevision: 0 })
    return { kind: ClaimAnswerKind.StoreUnavailable, isReleased: await this.waitForRelease(release, deadline) }
  }

  private startBackoff (): void {
    this.backoffUntil = createDeadline(this.dependencies.clock.now(), STORE_BACKOFF_MS)
  }
}
