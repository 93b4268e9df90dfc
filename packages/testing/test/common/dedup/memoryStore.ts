/** A fake IKeyValueStore in memory whose calls can fail in every way that the interface allows. */
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import type { GrantedLease, IKeyValueStore, IStoreWatch, StoredValue, StoreSnapshot, StoreTransaction, TransactionResult } from '@umberspar/steering/common/ports/keyValueStore'

/** The outcome of a call to the store. */
export enum CallOutcome {
  Succeeds = 'works',
  /** The store is unreachable: the call has no effect, and the caller knows it. */
  Unreachable = 'down',
  /** The call is lost before it reaches the store: it has no effect, but the caller cannot know. */
  RequestLost = 'lost',
  /** The call takes effect, but its answer is lost. */
  AnswerLost = 'answer-lost',
  /** The caller is told that the answer was lost, and the call takes effect later. */
  AppliedLate = 'late'
}

const LEASE_DEADLINE = 1e12

function createError (code: ErrorCode): StepError {
  return new StepError({ code, step: 'store', peer: 'memory', message: code })
}

/** A fake key-value store. */
export class MemoryStore implements IKeyValueStore {
  readonly values = new Map<string, StoredValue>()
  callCount = 0
  private revision = 0
  private leaseCount = 0

  /**
   * @param waitForTurn resolves when the call may continue, so that a test can control the order of calls
   * @param takeCallOutcome returns the outcome of the next call
   */
  constructor (private readonly waitForTurn: () => Promise<void>, private readonly takeCallOutcome: () => CallOutcome) {}

  async get (key: string): Promise<Result<StoredValue | undefined, StepError>> {
    this.callCount++
    const callOutcome = this.takeCallOutcome()
    await this.waitForTurn()
    if (callOutcome !== CallOutcome.Succeeds) return new Err(createError(ErrorCode.Unavailable))
    const value = this.values.get(key)
    await this.waitForTurn()
    return new Ok(value)
  }

  async transact (transaction: StoreTransaction): Promise<Result<TransactionResult, StepError>> {
    this.callCount++
    const callOutcome = this.takeCallOutcome()
    await this.waitForTurn()
    if (callOutcome === CallOutcome.Unreachable) return new Err(createError(ErrorCode.Unavailable))
    if (callOutcome === CallOutcome.AppliedLate) {
      this.applyLate(transaction)
      return new Err(createError(ErrorCode.EffectUnknown))
    }
    const result = callOutcome === CallOutcome.RequestLost ? undefined : this.apply(transaction)
    await this.waitForTurn()
    return result === undefined || callOutcome === CallOutcome.AnswerLost ? new Err(createError(ErrorCode.EffectUnknown)) : new Ok(result)
  }

  async acquireLease (): Promise<Result<GrantedLease, StepError>> {
    this.callCount++
    const callOutcome = this.takeCallOutcome()
    await this.waitForTurn()
    if (callOutcome !== CallOutcome.Succeeds) return new Err(createError(ErrorCode.Unavailable))
    return new Ok({ leaseId: String(++this.leaseCount), deadline: LEASE_DEADLINE })
  }

  list (): Promise<Result<StoreSnapshot, StepError>> {
    return Promise.resolve(new Ok({ values: [...this.values.values()], revision: this.revision }))
  }

  renewLease (leaseId: string): Promise<Result<GrantedLease, StepError>> {
    return Promise.resolve(new Ok({ leaseId, deadline: LEASE_DEADLINE }))
  }

  releaseLease (): Promise<Result<void, StepError>> {
    return Promise.resolve(new Ok(undefined))
  }

  watch (): IStoreWatch {
    throw createError(ErrorCode.Refused)
  }

  close (): void {}

  private async applyLate (transaction: StoreTransaction): Promise<void> {
    await this.waitForTurn()
    await this.waitForTurn()
    this.apply(transaction)
  }

  private apply ({ conditions, writes }: StoreTransaction): TransactionResult {
    const areConditionsMet = conditions.every(({ key, modRevision }) => (this.values.get(key)?.modRevision ?? 0) === modRevision)
    if (!areConditionsMet) return { isApplied: false, revision: this.revision }
    this.revision++
    for (const write of writes) {
      if (write.kind === 'put') this.values.set(write.key, { key: write.key, value: write.value, modRevision: this.revision })
      else this.values.delete(write.key)
    }
    return { isApplied: true, revision: this.revision }
  }
}
