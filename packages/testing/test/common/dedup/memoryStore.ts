/** An IKeyValueStore in memory whose calls can fail in every way that the port allows. */
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import type { GrantedLease, IKeyValueStore, IStoreWatch, StoredValue, StoreSnapshot, StoreTransaction, TransactionResult } from '@umberspar/steering/common/ports/keyValueStore'

/** What becomes of one call. */
export enum CallFate {
  Works = 'works',
  /** The store is out of reach: no effect, and the caller knows. */
  Down = 'down',
  /** The call is lost on its way: no effect, and the caller cannot know. */
  Lost = 'lost',
  /** It takes effect and its answer is lost. */
  AnswerLost = 'answer-lost',
  /** Its caller is told that the answer was lost; it takes effect only later. */
  Late = 'late'
}

const LEASE_SPAN_MS = 1e12

function createError (code: ErrorCode): StepError {
  return new StepError({ code, step: 'store', peer: 'memory', message: code })
}

/** The fake. */
export class MemoryStore implements IKeyValueStore {
  readonly values = new Map<string, StoredValue>()
  calls = 0
  private revision = 0
  private leases = 0

  /**
   * @param waitTurn settled when the next call may go on; the test's scheduler decides
   * @param takeFate draws the fate of a call
   */
  constructor (private readonly waitTurn: () => Promise<void>, private readonly takeFate: () => CallFate) {}

  async get (key: string): Promise<Result<StoredValue | undefined, StepError>> {
    this.calls++
    const fate = this.takeFate()
    await this.waitTurn()
    if (fate !== CallFate.Works) return new Err(createError(ErrorCode.Unavailable))
    const value = this.values.get(key)
    await this.waitTurn()
    return new Ok(value)
  }

  async transact (transaction: StoreTransaction): Promise<Result<TransactionResult, StepError>> {
    this.calls++
    const fate = this.takeFate()
    await this.waitTurn()
    if (fate === CallFate.Down) return new Err(createError(ErrorCode.Unavailable))
    if (fate === CallFate.Late) {
      this.applyLate(transaction)
      return new Err(createError(ErrorCode.EffectUnknown))
    }
    const result = fate === CallFate.Lost ? undefined : this.apply(transaction)
    await this.waitTurn()
    return result === undefined || fate === CallFate.AnswerLost ? new Err(createError(ErrorCode.EffectUnknown)) : new Ok(result)
  }

  async openLease (): Promise<Result<GrantedLease, StepError>> {
    this.calls++
    const fate = this.takeFate()
    await this.waitTurn()
    if (fate !== CallFate.Works) return new Err(createError(ErrorCode.Unavailable))
    return new Ok({ leaseId: String(++this.leases), deadline: LEASE_SPAN_MS })
  }

  list (): Promise<Result<StoreSnapshot, StepError>> {
    return Promise.resolve(new Ok({ values: [...this.values.values()], revision: this.revision }))
  }

  renewLease (leaseId: string): Promise<Result<GrantedLease, StepError>> {
    return Promise.resolve(new Ok({ leaseId, deadline: LEASE_SPAN_MS }))
  }

  closeLease (): Promise<Result<void, StepError>> {
    return Promise.resolve(new Ok(undefined))
  }

  watch (): IStoreWatch {
    throw createError(ErrorCode.Refused)
  }

  close (): void {}

  private async applyLate (transaction: StoreTransaction): Promise<void> {
    await this.waitTurn()
    await this.waitTurn()
    this.apply(transaction)
  }

  private apply ({ conditions, writes }: StoreTransaction): TransactionResult {
    const holds = conditions.every(({ key, modRevision }) => (this.values.get(key)?.modRevision ?? 0) === modRevision)
    if (!holds) return { isApplied: false, revision: this.revision }
    this.revision++
    for (const write of writes) {
      if (write.kind === 'put') this.values.set(write.key, { key: write.key, value: write.value, modRevision: this.revision })
      else this.values.delete(write.key)
    }
    return { isApplied: true, revision: this.revision }
  }
}
