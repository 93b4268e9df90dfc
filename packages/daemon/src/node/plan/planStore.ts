/**
 * The plan's keys in the store: `plan/<service>`, `plan-holder` bound to a
 * lease, and `plan-epoch`, which grows with every holder and never vanishes.
 */
import type { Deadline } from '@umberspar/base/common/deadline'
import { ErrorCode, type StepError } from '@umberspar/base/common/errors'
import { Ok, type Result } from '@umberspar/base/common/result'
import { encodeCanonical } from '@umberspar/steering/common/configuration/canonicalJson'
import { getPlanName, parsePlan, type PlanDocument } from '@umberspar/steering/common/plan/planDocument'
import type { GrantedLease, IKeyValueStore, StoredValue } from '@umberspar/steering/common/ports/keyValueStore'

/** A plan and the store's revision of its key. */
export interface StoredPlan {
  readonly document: PlanDocument
  readonly modRevision: number
}

/** The right to advance plans. */
export interface Holding {
  readonly epoch: number
  readonly lease: GrantedLease
  /** The revision of the holder's key; it changes with every holder. */
  readonly holderRevision: number
}

/** Reads and writes the plan's keys. */
export class PlanStore {
  constructor (
    private readonly store: IKeyValueStore,
    private readonly keyPrefix: string
  ) {}

  /** @returns the prefix of all plans, for a watch */
  get planPrefix (): string {
    return `${this.keyPrefix}${getPlanName('')}`
  }

  private get holderKey (): string {
    return `${this.keyPrefix}plan-holder`
  }

  private get epochKey (): string {
    return `${this.keyPrefix}plan-epoch`
  }

  /**
   * @param deadline when to give up
   * @returns all plans and the store's revision
   */
  async list (deadline: Deadline): Promise<Result<{ plans: StoredPlan[], revision: number }, StepError>> {
    const listed = await this.store.list(this.planPrefix, deadline)
    return listed.map(({ values, revision }) => ({ plans: values.flatMap((value) => decodePlan(value) ?? []), revision }))
  }

  /**
   * @param service a service's name
   * @param deadline when to give up
   * @returns its plan, or undefined if there is none
   */
  async read (service: string, deadline: Deadline): Promise<Result<StoredPlan | undefined, StepError>> {
    const read = await this.store.get(`${this.keyPrefix}${getPlanName(service)}`, deadline)
    return read.map((value) => value === undefined ? undefined : decodePlan(value))
  }

  /**
   * Writes one step. The holder's key is a condition: a holder that was paused
   * past its lease still believes in it, but its key has vanished or belongs to
   * another, so that its late step is refused by the store itself.
   * @param document the step
   * @param base the revision of the version before it, 0 for none
   * @param holding the right to write
   * @param deadline when to give up
   * @returns the plan's new revision; undefined if the conditions did not hold
   */
  async write (document: PlanDocument, base: number, holding: Holding, deadline: Deadline): Promise<Result<number | undefined, StepError>> {
    const key = `${this.keyPrefix}${getPlanName(document.service)}`
    const written = await this.store.transact({
      conditions: [{ key: this.holderKey, modRevision: holding.holderRevision }, { key, modRevision: base }],
      writes: [{ kind: 'put', key, value: encodeText(encodeCanonical(document)) }]
    }, deadline)
    return written.map(({ isApplied, revision }) => isApplied ? revision : undefined)
  }

  /**
   * @param deadline when to give up
   * @returns the revision of the holder's key, 0 if nobody holds the plan
   */
  async readHolder (deadline: Deadline): Promise<Result<number, StepError>> {
    const read = await this.store.get(this.holderKey, deadline)
    return read.map((value) => value?.modRevision ?? 0)
  }

  /**
   * Becomes the holder if there is none.
   * @param nodeId who wants to hold it
   * @param ttlSeconds how long the lease lasts without renewal
   * @param deadline when to give up
   * @returns the holding, or undefined if somebody else has it
   */
  async acquire (nodeId: string, ttlSeconds: number, deadline: Deadline): Promise<Result<Holding | undefined, StepError>> {
    const epochRead = await this.store.get(this.epochKey, deadline)
    if (!epochRead.ok) return epochRead
    const lease = await this.store.openLease(ttlSeconds, deadline)
    if (!lease.ok) return lease
    const epoch = decodeEpoch(epochRead.val) + 1
    const { leaseId } = lease.val
    const swapped = await this.store.transact({
      conditions: [{ key: this.holderKey, modRevision: 0 }, { key: this.epochKey, modRevision: epochRead.val?.modRevision ?? 0 }],
      writes: [
        { kind: 'put', key: this.holderKey, value: encodeText(JSON.stringify({ nodeId, epoch })), leaseId },
        { kind: 'put', key: this.epochKey, value: encodeText(String(epoch)) }
      ]
    }, deadline)
    if (swapped.ok && swapped.val.isApplied) return new Ok({ epoch, lease: lease.val, holderRevision: swapped.val.revision })
    // An answer that was lost may have made this node the holder without its
    // knowledge; closing the lease takes the key away again.
    await this.store.closeLease(leaseId, deadline)
    return swapped.ok ? new Ok(undefined) : swapped
  }

  /**
   * @param holding what is held
   * @param deadline when to give up
   * @returns the renewed lease, or undefined if it has lapsed
   */
  async renew (holding: Holding, deadline: Deadline): Promise<Result<GrantedLease | undefined, StepError>> {
    const renewed = await this.store.renewLease(holding.lease.leaseId, deadline)
    if (!renewed.ok && renewed.val.code === ErrorCode.NotFound) return new Ok(undefined)
    return renewed
  }

  /**
   * Gives the holding up at once.
   * @param holding what is held
   * @param deadline when to give up
   */
  async release (holding: Holding, deadline: Deadline): Promise<Result<void, StepError>> {
    return await this.store.closeLease(holding.lease.leaseId, deadline)
  }
}

/**
 * @param value a stored value of `plan/<service>`
 * @returns the plan, or undefined if it is damaged
 */
export function decodePlan (value: StoredValue): StoredPlan | undefined {
  const document = parsePlan(new TextDecoder().decode(value.value))
  return document === undefined ? undefined : { document, modRevision: value.modRevision }
}

function decodeEpoch (value: StoredValue | undefined): number {
  const epoch = value === undefined ? 0 : Number(new TextDecoder().decode(value.value))
  return Number.isSafeInteger(epoch) && epoch >= 0 ? epoch : 0
}

function encodeText (text: string): Uint8Array {
  return new TextEncoder().encode(text)
}
