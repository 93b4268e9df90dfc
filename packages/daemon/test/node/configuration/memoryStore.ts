/** An in-memory store whose calls are ordered by a scheduler, and whose requests and responses may be lost. */
import { createDeadline, type Deadline } from '@umberspar/base/common/deadline'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { Emitter } from '@umberspar/base/common/event'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import type { GrantedLease, IKeyValueStore, IStoreWatch, StoreChange, StoredValue, StoreSnapshot, StoreTransaction, TransactionResult, WatchEndReason } from '@umberspar/steering/common/ports/keyValueStore'

/** What happens to one write. */
export enum WriteFault {
  None = 'none',
  /** It is applied, but its response is lost. */
  LostAnswer = 'lost-answer',
  /** It is first reported as lost and applied later, unless its condition fails by then. */
  Late = 'late',
  /** It never arrives, which the client can't detect. */
  LostRequest = 'lost-request',
  /** The store refuses it because of its rate limit. */
  OverRate = 'over-rate'
}

/** The limits of the real server. */
const MAX_OPERATIONS = 128
const MAX_VALUE_BYTES = 1_048_576

/** Waits until the scheduler runs the named step. */
export type WaitForTurn = (label: string) => Promise<void>

/** A store that several daemons share. */
export class MemoryStore implements IKeyValueStore {
  readonly lateWrites: Array<Promise<void>> = []
  private values = new Map<string, StoredValue>()
  private revision = 0

  /**
   * @param waitForTurn determines the order of calls
   * @param faults what happens to the next writes; further writes succeed
   */
  constructor (private readonly waitForTurn: WaitForTurn = async () => {}, readonly faults: WriteFault[] = []) {}

  /** @returns the sorted keys that begin with a prefix */
  listKeys (prefix: string): string[] {
    return [...this.values.keys()].filter((key) => key.startsWith(prefix)).sort()
  }

  /** @returns a backup of the stored values */
  saveState (): Map<string, StoredValue> {
    return new Map(this.values)
  }

  /** Restores a backup. */
  loadState (saved: ReadonlyMap<string, StoredValue>): void {
    this.values = new Map(saved)
  }

  async get (key: string): Promise<Result<StoredValue | undefined, StepError>> {
    await this.waitForTurn('get')
    return new Ok(this.values.get(key))
  }

  async list (prefix: string): Promise<Result<StoreSnapshot, StepError>> {
    await this.waitForTurn('list')
    const values = this.listKeys(prefix).flatMap((key) => this.values.get(key) ?? [])
    return new Ok({ values, revision: this.revision })
  }

  async transact (transaction: StoreTransaction): Promise<Result<TransactionResult, StepError>> {
    checkLimits(transaction)
    const fault = this.faults.shift() ?? WriteFault.None
    if (fault === WriteFault.Late) this.lateWrites.push(this.applyLater(transaction))
    await this.waitForTurn('arrive')
    if (fault === WriteFault.OverRate) return new Err(createError(ErrorCode.Exhausted))
    const isApplied = fault === WriteFault.None || fault === WriteFault.LostAnswer
    const result = isApplied ? this.applyNow(transaction) : undefined
    await this.waitForTurn('answer')
    if (result === undefined || fault === WriteFault.LostAnswer) return new Err(createError(ErrorCode.EffectUnknown))
    return new Ok(result)
  }

  async acquireLease (ttlSeconds: number, deadline: Deadline): Promise<Result<GrantedLease, StepError>> {
    return new Ok({ leaseId: '1', deadline: createDeadline(deadline, ttlSeconds) })
  }

  async renewLease (leaseId: string, deadline: Deadline): Promise<Result<GrantedLease, StepError>> {
    return new Ok({ leaseId, deadline })
  }

  async releaseLease (): Promise<Result<void, StepError>> {
    return new Ok(undefined)
  }

  watch (): IStoreWatch {
    return { onDidChange: new Emitter<StoreChange>().event, onDidEnd: new Emitter<WatchEndReason>().event, close: () => {} }
  }

  close (): void {}

  private async applyLater (transaction: StoreTransaction): Promise<void> {
    // Waits several turns, so that the client may resolve the write and others may write in between.
    for (const label of ['late 1', 'late 2', 'late 3', 'late 4', 'late 5', 'late 6']) await this.waitForTurn(label)
    this.applyNow(transaction)
  }

  private applyNow ({ conditions, writes }: StoreTransaction): TransactionResult {
    const isApplied = conditions.every(({ key, modRevision }) => (this.values.get(key)?.modRevision ?? 0) === modRevision)
    if (!isApplied) return { isApplied, revision: this.revision }
    this.revision += 1
    for (const write of writes) {
      if (write.kind === 'delete') this.values.delete(write.key)
      else this.values.set(write.key, { key: write.key, value: write.value, modRevision: this.revision })
    }
    return { isApplied, revision: this.revision }
  }
}

function checkLimits ({ conditions, writes }: StoreTransaction): void {
  if (conditions.length > MAX_OPERATIONS || writes.length > MAX_OPERATIONS) throw new Error('too many operations in transaction')
  if (writes.some((write) => write.kind === 'put' && write.value.length >= MAX_VALUE_BYTES)) throw new Error('value is too large')
}

function createError (code: ErrorCode): StepError {
  return new StepError({ code, step: 'transact', peer: 'store', message: code })
}
