/**
 * Claims of Idempotency-Keys: at most one arrival of a key gets the right to
 * run, decided by create-if-absent and compare-and-swap in the store before
 * anything is sent. A lost answer is settled by reading the claim back.
 */
import type { IClock } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, getRemainingMs, hasPassed } from '@umberspar/base/common/deadline'
import { ErrorCode } from '@umberspar/base/common/errors'
import type { IRandomSource } from '@umberspar/base/common/random'
import { Outcome } from '../state/outcome.js'
import type { IKeyValueStore, StoredValue } from '../ports/keyValueStore.js'
import { ClaimLeases, RETENTION_SECONDS } from './claimLeases.js'
import { buildClaimKey, type ClaimRecord, ClaimState, decodeClaim, encodeClaim } from './claimRecord.js'
import { ClaimSettler } from './claimSettler.js'
import { ClaimDecision, decideClaim } from './decideClaim.js'
import type { StoreCallBudget } from './storeCallBudget.js'

/** How long a claim may take; beyond it the request is refused as not run, in milliseconds. */
const CLAIM_SPAN = 1_000
/** Claims are refused at once for so long after the store was out of reach, in milliseconds. */
const REST_SPAN = 1_000
/** Writes of one claim: lost answers and takeovers that another arrival won. */
const MAX_WRITES = 3
/** The claim's write and its end's write; more calls are taken when they are needed. */
const CALLS_PER_CLAIM = 2
const MS_PER_SECOND = 1000
/** How long the answer of a request that did not run waits for its claim's release, in milliseconds. */
const RELEASE_SPAN = 500
/** How long that may go on beyond the caller's deadline, in milliseconds. */
const RELEASE_GRACE = 100
/**
 * A claimed request must have ended long before its claim lapses: a process that
 * was paused beyond the retention would otherwise send a request whose key has
 * been claimed and run again meanwhile.
 */
const MAX_RUN_SPAN = RETENTION_SECONDS * MS_PER_SECOND / 6

/** An arrival that wants to run. */
export interface ClaimRequest {
  readonly service: string
  /** Hash of the Idempotency-Key. */
  readonly keyHash: string
  /** Hash of method and path. */
  readonly fingerprint: string
  /** Unique for this arrival. */
  readonly claimId: string
  readonly deadline: Deadline
}

/** How a claim ended. */
export enum ClaimAnswerKind {
  Claimed = 'claimed',
  /** The key was claimed before; see the decision. */
  Refused = 'refused',
  /** The store is out of reach. */
  StoreUnavailable = 'store-unavailable',
  /** This node's rate of store calls is used up. */
  OverRate = 'over-rate'
}

/** A claim that is ours: the request may run, once, until the deadline. */
export interface HeldClaim {
  readonly key: string
  readonly record: ClaimRecord
  readonly leaseId: string
  readonly modRevision: number
  /** No byte may be sent later. */
  readonly deadline: Deadline
}

/** How a claim ended, with details. */
export type ClaimAnswer =
  | { readonly kind: ClaimAnswerKind.Claimed, readonly claim: HeldClaim }
  | { readonly kind: ClaimAnswerKind.Refused, readonly decision: Exclude<ClaimDecision, ClaimDecision.TakeOver>, readonly existing: ClaimRecord | undefined }
  | { readonly kind: ClaimAnswerKind.OverRate }
  /** `isReleased`: no claim of this arrival stands in the store, or can arrive there any more. */
  | { readonly kind: ClaimAnswerKind.StoreUnavailable, readonly isReleased: boolean }

/** What the keeper needs. */
export interface ClaimKeeperParts {
  readonly store: IKeyValueStore
  readonly clock: IClock
  readonly random: IRandomSource
  readonly calls: StoreCallBudget
  readonly keyPrefix: string
  readonly nodeId: string
  readonly incarnation: number
  /** Told of every store call that is made. */
  readonly onCall: () => void
}

/** What one try at the key showed. */
type WriteResult =
  | { readonly kind: 'claimed', readonly modRevision: number }
  | { readonly kind: 'again', readonly expected: number }
  | { readonly kind: 'refused', readonly decision: Exclude<ClaimDecision, ClaimDecision.TakeOver>, readonly existing: ClaimRecord | undefined }
  | { readonly kind: 'failed' }

/** A claim on its way: what is written, and whether a write without an answer may still arrive. */
interface OpenClaim {
  readonly key: string
  readonly record: ClaimRecord
  readonly leaseId: string
  isUncertain: boolean
}

const STATE_BY_OUTCOME: Readonly<Record<Outcome, ClaimState>> = {
  [Outcome.Done]: ClaimState.Done,
  [Outcome.NotRun]: ClaimState.NotRun,
  [Outcome.Unknown]: ClaimState.Unknown
}

/** Makes claims and records their ends. */
export class ClaimKeeper {
  private readonly leases: ClaimLeases
  private readonly settler: ClaimSettler
  private restsUntil = -Infinity

  constructor (private readonly parts: ClaimKeeperParts) {
    this.leases = new ClaimLeases(parts.store, parts.clock)
    this.settler = new ClaimSettler(parts)
  }

  /** @returns ends of claims that the store may not know yet */
  get pendingEnds (): number {
    return this.settler.size
  }

  /**
   * Claims a key before anything is sent.
   * @param request the arrival
   * @returns the claim, or why the request must not run; nothing has run then
   */
  async claim (request: ClaimRequest): Promise<ClaimAnswer> {
    const { clock, calls } = this.parts
    const now = clock.now()
    if (!hasPassed(this.restsUntil, now)) return { kind: ClaimAnswerKind.StoreUnavailable, isReleased: true }
    if (!calls.take(CALLS_PER_CLAIM)) return { kind: ClaimAnswerKind.OverRate }
    const deadline = Math.min(request.deadline, createDeadline(now, CLAIM_SPAN))
    const leaseId = await this.getLease(deadline)
    if (leaseId === undefined) {
      this.startRest()
      calls.release(CALLS_PER_CLAIM)
      return { kind: ClaimAnswerKind.StoreUnavailable, isReleased: true }
    }
    const runUntil = Math.min(request.deadline, createDeadline(now, MAX_RUN_SPAN))
    const open = { key: buildClaimKey(this.parts.keyPrefix, request.service, request.keyHash), record: this.buildRecord(request, runUntil), leaseId, isUncertain: false }
    const answer = await this.writeUntilDecided(open, deadline)
    if (answer.kind !== 'claimed') return await this.handleUnclaimed(open, answer, request.deadline)
    return { kind: ClaimAnswerKind.Claimed, claim: { key: open.key, record: open.record, leaseId, modRevision: answer.modRevision, deadline: runUntil } }
  }

  /**
   * Records how a claimed request ended that ran or may have run; its answer need
   * not wait. Every claim is finished or released exactly once.
   * @param claim the claim
   * @param outcome how the request ended
   * @param status the upstream's status, if it answered
   */
  finish (claim: HeldClaim, outcome: Outcome.Done | Outcome.Unknown, status?: number): void {
    this.pushEnd(claim, { ...claim.record, state: STATE_BY_OUTCOME[outcome], ...(status === undefined ? {} : { status }) })
  }

  /**
   * Frees the key of a request that is proven not to have run. Its caller may send
   * it again the moment it is told so, to another entry VM: if the answer left
   * before the release was written, the repetition would find the key running and
   * be told `unknown` of a request that never ran.
   * @param claim the claim
   * @param deadline the caller's
   * @returns whether the store has the release; if not, it goes on being written
   */
  async release (claim: HeldClaim, deadline: Deadline): Promise<boolean> {
    return await this.waitForRelease(this.pushEnd(claim, { ...claim.record, state: ClaimState.NotRun }), deadline)
  }

  /**
   * Tries once more to write the ends that the store does not know.
   * @param deadline by when to give up
   * @returns settled when the tries have ended
   */
  settle (deadline: Deadline): Promise<void> {
    return this.settler.settle(deadline)
  }

  /** Stops writing. */
  close (): void {
    this.settler.close()
  }

  private pushEnd ({ key, leaseId, modRevision }: HeldClaim, record: ClaimRecord): Promise<boolean> {
    return this.settler.push({ key, record, leaseId, modRevision })
  }

  /** Waits a short while only: an answer that is known must not be held back by a store that is out of reach. */
  private waitForRelease (written: Promise<boolean>, deadline: Deadline): Promise<boolean> {
    const { clock } = this.parts
    const now = clock.now()
    const giveUpAt = Math.min(createDeadline(now, RELEASE_SPAN), Math.max(now, deadline) + RELEASE_GRACE)
    return new Promise((resolve) => {
      const timer = clock.schedule(giveUpAt, () => resolve(false))
      written.then((isWritten) => {
        timer.close()
        resolve(isWritten)
      }, () => resolve(false))
    })
  }

  private async getLease (deadline: Deadline): Promise<string | undefined> {
    if (!this.leases.isOpen) this.parts.onCall()
    const lease = await this.leases.getLease(deadline)
    return lease.ok ? lease.val : undefined
  }

  private buildRecord (request: ClaimRequest, runUntil: Deadline): ClaimRecord {
    const { clock, nodeId, incarnation } = this.parts
    const endsByWallMs = clock.getWallTime() + getRemainingMs(runUntil, clock.now())
    return { claimId: request.claimId, fingerprint: request.fingerprint, nodeId, incarnation, state: ClaimState.Running, endsByWallMs }
  }

  private async writeUntilDecided (open: OpenClaim, deadline: Deadline): Promise<Exclude<WriteResult, { kind: 'again' }>> {
    let expected = 0
    for (let writes = 0; writes < MAX_WRITES; writes++) {
      if (hasPassed(deadline, this.parts.clock.now())) break
      const result = await this.writeOnce(open, expected, deadline)
      if (result.kind !== 'again') return result
      expected = result.expected
    }
    return { kind: 'failed' }
  }

  private async writeOnce (open: OpenClaim, expected: number, deadline: Deadline): Promise<WriteResult> {
    const { key, record, leaseId } = open
    this.parts.onCall()
    const written = await this.parts.store.transact({
      conditions: [{ key, modRevision: expected }],
      writes: [{ kind: 'put', key, value: encodeClaim(record), leaseId }]
    }, deadline)
    if (written.ok && written.val.isApplied) return { kind: 'claimed', modRevision: written.val.revision }
    if (!written.ok) {
      if (written.val.code === ErrorCode.NotFound) this.leases.removeLease(leaseId)
      if (written.val.code !== ErrorCode.EffectUnknown) return { kind: 'failed' }
      open.isUncertain = true
    }
    return await this.readBack(open, deadline)
  }

  /** Reads the claim that stands, after a write that was not applied or whose answer was lost. */
  private async readBack (open: OpenClaim, deadline: Deadline): Promise<WriteResult> {
    this.parts.calls.take(1)
    this.parts.onCall()
    const read = await this.parts.store.get(open.key, deadline)
    if (!read.ok) return { kind: 'failed' }
    // The same claim id may be written again: only one of the writes can apply.
    if (read.val === undefined) return { kind: 'again', expected: 0 }
    return this.decideStored(open, read.val)
  }

  private decideStored (open: OpenClaim, stored: StoredValue): WriteResult {
    const existing = decodeClaim(stored.value)
    if (existing === undefined) return { kind: 'refused', decision: ClaimDecision.OutcomeUnknown, existing }
    if (existing.claimId === open.record.claimId) return { kind: 'claimed', modRevision: stored.modRevision }
    // This process may know the end of its own earlier claim before the store does.
    const known = this.settler.find(existing.claimId) ?? existing
    const decision = decideClaim(known, open.record.fingerprint, this.parts.clock.getWallTime())
    if (decision === ClaimDecision.TakeOver) return { kind: 'again', expected: stored.modRevision }
    return { kind: 'refused', decision, existing: known }
  }

  private async handleUnclaimed (open: OpenClaim, result: Exclude<WriteResult, { kind: 'again' | 'claimed' }>, deadline: Deadline): Promise<ClaimAnswer> {
    // The end's write, paid for in advance, is needed only for an uncertain claim.
    if (result.kind === 'refused' || !open.isUncertain) this.parts.calls.release(1)
    if (result.kind === 'refused') return { kind: ClaimAnswerKind.Refused, decision: result.decision, existing: result.existing }
    this.startRest()
    if (!open.isUncertain) return { kind: ClaimAnswerKind.StoreUnavailable, isReleased: true }
    // The write may have been applied, or may be later. The caller is told that
    // nothing ran, which is true; the claim's end is written so that a
    // repetition is not refused because of it.
    const record = { ...open.record, state: ClaimState.NotRun }
    const written = this.settler.push({ key: open.key, record, leaseId: open.leaseId, modRevision: 0 })
    return { kind: ClaimAnswerKind.StoreUnavailable, isReleased: await this.waitForRelease(written, deadline) }
  }

  private startRest (): void {
    this.restsUntil = createDeadline(this.parts.clock.now(), REST_SPAN)
  }
}
