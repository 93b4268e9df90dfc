/** The store of a simulation. */
import type { IClock, Instant } from '@umberspar/base/common/clock'
import type { SteeringRecord } from '@umberspar/steering/common/entry/records'

export const LEASE_MS = 5_500

interface Lease {
  endsAt: Instant
}

/** Keeps records under leases. */
export class SimulatedStore {
  readonly leases = new Map<number, Lease>()
  readonly records = new Map<string, { record: SteeringRecord, lease: number }>()
  revision = 1
  private lastLease = 0

  constructor (private readonly clock: IClock) {}

  createLease (): number {
    this.leases.set(++this.lastLease, { endsAt: this.clock.now() + LEASE_MS })
    return this.lastLease
  }

  put (record: SteeringRecord, lease: number): void {
    this.records.set(record.key, { record: { ...record, revision: ++this.revision }, lease })
  }

  endDueLeases (): void {
    const now = this.clock.now()
    for (const [id, { endsAt }] of this.leases) {
      if (endsAt <= now) this.endLease(id)
    }
  }

  endLease (id: number): void {
    this.leases.delete(id)
    for (const [key, { lease }] of this.records) {
      if (lease === id) this.records.delete(key)
    }
    this.revision++
  }
}
