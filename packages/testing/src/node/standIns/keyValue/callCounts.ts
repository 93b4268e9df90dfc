/** Counts of the calls that the key-value stand-in has received. */

/** The calls that are counted. */
export enum CallKind {
  Range = 'range',
  Transaction = 'transaction',
  LeaseGrant = 'lease-grant',
  LeaseRevoke = 'lease-revoke',
  LeaseKeepAlive = 'lease-keep-alive',
  Watch = 'watch'
}

/** Calls received since the start or the last clearing, those refused included. */
export interface CallCounts {
  readonly byKind: Readonly<Record<CallKind, number>>
  readonly reads: number
  readonly writes: number
  /** Calls refused because of the rate cap. */
  readonly overRate: number
  /** Watches that wait at present. */
  readonly waitingWatches: number
}

/** Which calls fall under the cap of writes; the others fall under that of reads. */
export const IS_WRITE_BY_KIND: Readonly<Record<CallKind, boolean>> = {
  [CallKind.Range]: false,
  [CallKind.Transaction]: true,
  [CallKind.LeaseGrant]: true,
  [CallKind.LeaseRevoke]: true,
  [CallKind.LeaseKeepAlive]: true,
  [CallKind.Watch]: false
}

function createZeroCounts (): Record<CallKind, number> {
  return {
    [CallKind.Range]: 0,
    [CallKind.Transaction]: 0,
    [CallKind.LeaseGrant]: 0,
    [CallKind.LeaseRevoke]: 0,
    [CallKind.LeaseKeepAlive]: 0,
    [CallKind.Watch]: 0
  }
}

/** Counts calls by kind. */
export class CallCounter {
  private byKind = createZeroCounts()
  private overRate = 0

  /** Counts one call received. */
  record (kind: CallKind): void {
    this.byKind[kind] += 1
  }

  /** Counts one call refused because of the rate cap. */
  recordOverRate (): void {
    this.overRate += 1
  }

  /** Begins anew. */
  clear (): void {
    this.byKind = createZeroCounts()
    this.overRate = 0
  }

  /**
   * @param waitingWatches watches that wait at present
   * @returns the counts so far
   */
  get (waitingWatches: number): CallCounts {
    const writes = this.countWhere(true)
    const reads = this.countWhere(false)
    return { byKind: { ...this.byKind }, reads, writes, overRate: this.overRate, waitingWatches }
  }

  private countWhere (isWrite: boolean): number {
    const kinds = Object.values(CallKind).filter((kind) => IS_WRITE_BY_KIND[kind] === isWrite)
    return kinds.reduce((total, kind) => total + this.byKind[kind], 0)
  }
}
