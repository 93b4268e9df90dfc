/**
 * Writes the final states of claims to the store, and retries while the store is
 * unavailable. Until a final state is written, the stored claim is `running`, so every
 * node refuses further requests with its key. If a node fails before it has written
 * it, they are refused as `unknown` later on. In neither case does a request run twice.
 */
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline } from '@umberspar/base/common/deadline'
import { ErrorCode } from '@umberspar/base/common/errors'
import { addJitter, type IRandomSource } from '@umberspar/base/common/random'
import type { IKeyValueStore } from '../ports/keyValueStore.js'
import { type ClaimRecord, decodeClaim, encodeClaim } from './claimRecord.js'
import type { StoreCallBudget } from './storeCallBudget.js'

/** Beyond this the oldest pending claim is dropped and stays `running` in the store. */
const MAX_PENDING_CLAIMS = 10_000
const WRITE_TIMEOUT_MS = 2_000
const RETRY_DELAY_MS = 1_000
const RETRY_JITTER_RATIO = 0.5
/** Limits the load on a store that has just become available again. */
const MAX_RETRIES_PER_ROUND = 32
/** One write and, if it was not applied or its answer was lost, one read. */
const STORE_CALLS_PER_RETRY = 2
/** Without a delay in between, a write is repeated only if a read returned the revision that it needs. */
const MAX_WRITE_ATTEMPTS = 2

/** A claim in its final state, to be written to the store. */
export interface FinalClaim {
  readonly key: string
  /** The claim as it is to be stored. */
  readonly record: ClaimRecord
  readonly leaseId: string
  /** The last known store revision of the claim; 0 if it is not known to be stored. */
  readonly modRevision: number
}

/** Dependencies of {@link ClaimFinalizer}. */
export interface ClaimFinalizerDependencies {
  readonly store: IKeyValueStore
  readonly clock: IClock
  readonly random: IRandomSource
  readonly calls: StoreCallBudget
  /** Called for every store call. */
  readonly onCall: () => void
}

/** Writes the final states of this node's claims. */
export class ClaimFinalizer {
  /** Claims whose final state may not have been written yet, by claim id. */
  private readonly pending = new Map<string, FinalClaim>()
  private readonly inFlight = new Set<Promise<boolean>>()
  private timer: ITimer | undefined
  private isClosed = false

  constructor (private readonly dependencies: ClaimFinalizerDependencies) {}

  /** @returns the number of claims whose final state may not have been written yet */
  get size (): number {
    return this.pending.size
  }

  /**
   * @param claimId id of a claim of this process
   * @returns the claim in its final state, if that may not have been written yet
   */
  find (claimId: string): ClaimRecord | undefined {
    return this.pending.get(claimId)?.record
  }

  /**
   * Writes the final state of a claim, and retries later if that fails. The store call
   * of the first attempt was reserved when the key was claimed; retries wait until the
   * budget allows their calls.
   * @param claim the claim in its final state
   * @returns whether the state is known to be written, after the first attempt
   */
  push (claim: FinalClaim): Promise<boolean> {
    const oldest = this.pending.keys().next()
    if (this.pending.size >= MAX_PENDING_CLAIMS && oldest.done !== true) this.pending.delete(oldest.value)
    this.pending.set(claim.record.claimId, claim)
    return this.startWrite(claim, createDeadline(this.dependencies.clock.now(), WRITE_TIMEOUT_MS))
  }

  /**
   * Tries once more to write all pending claims.
   * @param deadline when to give up
   * @returns a promise that settles when all attempts have ended
   */
  async settle (deadline: Deadline): Promise<void> {
    for (const claim of [...this.pending.values()]) this.startWrite(claim, deadline)
    await Promise.all(this.inFlight)
  }

  /** Stops retrying; pending claims stay `running` in the store. */
  close (): void {
    this.isClosed = true
    this.timer?.close()
    this.pending.clear()
  }

  private startWrite (claim: FinalClaim, deadline: Deadline): Promise<boolean> {
    const pendingWrite = this.write(claim, deadline).finally(() => { this.inFlight.delete(pendingWrite) })
    this.inFlight.add(pendingWrite)
    return pendingWrite
  }

  private async write (claim: FinalClaim, deadline: Deadline): Promise<boolean> {
    const { claimId } = claim.record
    let current = claim
    for (let writeCount = 0; writeCount < MAX_WRITE_ATTEMPTS; writeCount++) {
      if (await this.writeOnce(current, deadline)) {
        this.pending.delete(claimId)
        return true
      }
      const next = this.pending.get(claimId)
      // No new revision was read, so the store is unavailable; retry after a delay.
      if (next === undefined || next === current) break
      current = next
    }
    this.scheduleRetries()
    return false
  }

  /** @returns whether the final state is written, or no longer needs to be */
  private async writeOnce (claim: FinalClaim, deadline: Deadline): Promise<boolean> {
    const { key, record, leaseId, modRevision } = claim
    this.dependencies.onCall()
    const written = await this.dependencies.store.transact({
      conditions: [{ key, modRevision }],
      writes: [{ kind: 'put', key, value: encodeClaim(record), leaseId }]
    }, deadline)
    if (written.ok && written.val.isApplied) return true
    // The lease has expired and the claim with it: its retention is over.
    if (!written.ok && written.val.code === ErrorCode.NotFound) return true
    if (!written.ok && written.val.code !== ErrorCode.EffectUnknown) return false
    return await this.compareWithStore(claim, deadline)
  }

  /** Reads the stored claim after the answer to a write was lost or the write's expected revision was wrong. */
  private async compareWithStore (claim: FinalClaim, deadline: Deadline): Promise<boolean> {
    this.dependencies.onCall()
    const read = await this.dependencies.store.get(claim.key, deadline)
    if (!read.ok) return false
    const existing = read.val === undefined ? undefined : decodeClaim(read.val.value)
    const isOwnClaim = existing?.claimId === claim.record.claimId
    if (isOwnClaim && existing.state === claim.record.state) return true
    if (read.val !== undefined && !isOwnClaim) return true
    // The claim is this process's own or missing. If it is missing, a create whose
    // answer was lost can still reach the store; writing the final state in its place
    // makes the condition of that create fail.
    this.pending.set(claim.record.claimId, { ...claim, modRevision: read.val?.modRevision ?? 0 })
    return false
  }

  private scheduleRetries (): void {
    if (this.timer !== undefined || this.isClosed) return
    const { clock, random } = this.dependencies
    const at = createDeadline(clock.now(), addJitter(random, RETRY_DELAY_MS, RETRY_JITTER_RATIO))
    this.timer = clock.schedule(at, () => {
      this.timer = undefined
      this.runRetries()
    })
  }

  private runRetries (): void {
    const deadline = createDeadline(this.dependencies.clock.now(), WRITE_TIMEOUT_MS)
    for (const claim of [...this.pending.values()].slice(0, MAX_RETRIES_PER_ROUND)) {
      if (!this.dependencies.calls.take(STORE_CALLS_PER_RETRY)) break
      this.startWrite(claim, deadline)
    }
    if (this.pending.size > 0) this.scheduleRetries()
  }
}
