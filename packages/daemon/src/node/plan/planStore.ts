/**
 * The plan's keys in the store: `plan/<service>`, `plan-holder` bound to a
 * lease, and `plan-epoch`, which increases with every holder and is never deleted.
 */
import type { Deadline } from '@umberspar/base/common/deadline'
import { ErrorCode, type StepError } from '@umberspar/base/common/errors'
import { Ok, type Result } from '@umberspar/base/common/result'
import { encodeCanonical } from '@umberspar/steering/common/configuration/canonicalJson'
import { getPlanName, parsePlan, type PlanDocument } from '@umberspar/steering/common/plan/planDocument'
import type { GrantedLease, IKeyValueStore, StoredValue } from '@umberspar/steering/common/ports/keyValueStore'

/** A plan and its key's revision in the store. */
export interface StoredPlan {
  readonly document: PlanDocument
  readonly modRevision: number
}

/** The lease that allows one node at a time to advance the plans. */
export interface PlanLease {
  readonly epoch: number
  readonly lease: GrantedLease
  /** The revision of the `plan-holder` key; it changes with every holder. */
  readonly holderRevision: number
}

/** Reads and writes the plan's keys. */
export class PlanStore {
  constructor (
    private readonly store: IKeyValueStore,
    private readonly keyPrefix: string
  ) {}

  /** @returns the key prefix of all plans, for a watch */
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
   * Writes a new version of a plan, on condition that this node still holds the
   * lease. A process that was paused beyond its lease still believes that it holds
   * it, but its `plan-holder` key is gone or belongs to another node, so that the
   * store rejects the late write.
   * @param document the new version
   * @param baseRevision the key's revision with the previous version, 0 for none
   * @param planLease the lease of this node
   * @param deadline when to give up
   * @returns the key's new revision; undefined if a condition did not hold
   */
  async write (document: PlanDocument, baseRevision: number, planLease: PlanLease, deadline: Deadline): Promise<Result<number | undefined, StepError>> {
    const key = `${this.keyPrefix}${getPlanName(document.service)}`
    const written = await this.store.transact({
      conditions: [{ key: this.holderKey, modRevision: planLease.holderRevision }, { key, modRevision: baseRevision }],
      writes: [{ kind: 'put', key, value: encodeText(encodeCanonical(document)) }]
    }, deadline)
    return written.map(({ isApplied, revision }) => isApplied ? revision : undefined)
  }

  /**
   * @param deadline when to give up
   * @returns the revision of the `plan-holder` key, 0 if no node holds the lease
   */
  async readHolder (deadline: Deadline): Promise<Result<number, StepError>> {
    const read = await this.store.get(this.holderKey, deadline)
    return read.map((value) => value?.modRevision ?? 0)
  }

  /**
   * Acquires the lease if no node holds it.
   * @param nodeId the node that acquires it
   * @param ttlSeconds time to live of the lease without renewal, in seconds
   * @param deadline when to give up
   * @returns the lease, or undefined if another node holds it
   */
  async acquire (nodeId: string, ttlSeconds: number, deadline: Deadline): Promise<Result<PlanLease | undefined, StepError>> {
    const epochRead = await this.store.get(this.epochKey, deadline)
    if (!epochRead.ok) return epochRead
    const lease = await this.store.acquireLease(ttlSeconds, deadline)
    if (!lease.ok) return lease
    const epoch = decodeEpoch(epochRead.val) + 1
    const { leaseId } = lease.val
    const acquired = await this.store.transact({
      conditions: [{ key: this.holderKey, modRevision: 0 }, { key: this.epochKey, modRevision: epochRead.val?.modRevision ?? 0 }],
      writes: [
        { kind: 'put', key: this.holderKey, value: encodeText(JSON.stringify({ nodeId, epoch })), leaseId },
        { kind: 'put', key: this.epochKey, value: encodeText(String(epoch)) }
      ]
    }, deadline)
    if (acquired.ok && acquired.val.isApplied) return new Ok({ epoch, lease: lease.val, holderRevision: acquired.val.revision })
    // If only the store's answer was lost, this node holds the lease without
    // knowing it; closing the lease deletes the key again.
    await this.store.releaseLease(leaseId, deadline)
    return acquired.ok ? new Ok(undefined) : acquired
  }

  /**
   * @param planLease the lease to renew
   * @param deadline when to give up
   * @returns the renewed lease, or undefined if it has expired
   */
  async renew (planLease: PlanLease, deadline: Deadline): Promise<Result<GrantedLease | undefined, StepError>> {
    const renewed = await this.store.renewLease(planLease.lease.leaseId, deadline)
    if (!renewed.ok && renewed.val.code === ErrorCode.NotFound) return new Ok(undefined)
    return renewed
  }

  /**
   * Gives up the lease immediately.
   * @param planLease the lease to give up
   * @param deadline when to give up
   */
  async release (planLease: PlanLease, deadline: Deadline): Promise<Result<void, StepError>> {
    return await this.store.releaseLease(planLease.lease.leaseId, deadline)
  }
}

/**
 * @param value a stored value of `plan/<service>`
 * @returns the plan, or undefined if it is malformed
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
