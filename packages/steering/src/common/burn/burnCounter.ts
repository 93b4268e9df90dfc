/** Counts good and bad requests per service in the time windows of the burn report. */
import type { Instant } from '@umberspar/base/common/clock'

/** The time windows of a report. */
export enum BurnWindow {
  FiveMinutes = '5m',
  OneHour = '1h',
  SixHours = '6h'
}

/** All time windows, from shortest to longest. */
export const BURN_WINDOWS: readonly BurnWindow[] = [BurnWindow.FiveMinutes, BurnWindow.OneHour, BurnWindow.SixHours]

/** Numbers of requests that met the service's objective and that did not. */
export interface BurnCounts {
  readonly good: number
  readonly bad: number
}

/** The counts of one service. */
export interface ServiceCounts {
  readonly windows: Readonly<Record<BurnWindow, BurnCounts>>
  /** Counts since the daemon started. */
  readonly total: BurnCounts
}

const BUCKET_DURATION_MS = 10_000
const BUCKETS_BY_WINDOW: Readonly<Record<BurnWindow, number>> = {
  [BurnWindow.FiveMinutes]: 30,
  [BurnWindow.OneHour]: 360,
  [BurnWindow.SixHours]: 2160
}
const MAX_BUCKETS = BUCKETS_BY_WINDOW[BurnWindow.SixHours]
/** Marks an entry of the ring that has not been used yet. */
const UNUSED_BUCKET = -1

/** A ring buffer of one service's time buckets: the bucket with number `n` is stored at index `n` modulo {@link MAX_BUCKETS}. */
class BucketRing {
  private readonly bucketNumbers = new Float64Array(MAX_BUCKETS).fill(UNUSED_BUCKET)
  private readonly goodCounts = new Uint32Array(MAX_BUCKETS)
  private readonly badCounts = new Uint32Array(MAX_BUCKETS)
  private totalGood = 0
  private totalBad = 0

  record (isGood: boolean, bucket: number): void {
    if (isGood) this.totalGood++
    else this.totalBad++
    const index = bucket % MAX_BUCKETS
    const storedBucket = this.bucketNumbers[index] as number
    // The entry already holds a newer bucket, so this bucket is older than all windows.
    if (storedBucket > bucket) return
    if (storedBucket < bucket) {
      this.bucketNumbers[index] = bucket
      this.goodCounts[index] = 0
      this.badCounts[index] = 0
    }
    const counts = isGood ? this.goodCounts : this.badCounts
    counts[index] = (counts[index] as number) + 1
  }

  count (bucket: number, window: BurnWindow): BurnCounts {
    const lastExcludedBucket = bucket - BUCKETS_BY_WINDOW[window]
    let good = 0
    let bad = 0
    for (let index = 0; index < MAX_BUCKETS; index++) {
      const bucketNumber = this.bucketNumbers[index] as number
      if (bucketNumber === UNUSED_BUCKET || bucketNumber <= lastExcludedBucket || bucketNumber > bucket) continue
      good += this.goodCounts[index] as number
      bad += this.badCounts[index] as number
    }
    return { good, bad }
  }

  getTotal (): BurnCounts {
    return { good: this.totalGood, bad: this.totalBad }
  }
}

/** The counts of one daemon, in buckets of ten seconds. */
export class BurnCounter {
  private readonly rings = new Map<string, BucketRing>()

  /**
   * Counts one request.
   * @param service the request's service
   * @param isGood whether the request met the service's objective
   * @param now the current time
   */
  record (service: string, isGood: boolean, now: Instant): void {
    let ring = this.rings.get(service)
    if (ring === undefined) {
      ring = new BucketRing()
      this.rings.set(service, ring)
    }
    ring.record(isGood, toBucket(now))
  }

  /**
   * @param service the name of the service
   * @param now the current time
   * @returns the counts of the service; all zero if it had no requests
   */
  getCounts (service: string, now: Instant): ServiceCounts {
    const ring = this.rings.get(service) ?? new BucketRing()
    const bucket = toBucket(now)
    return {
      windows: {
        [BurnWindow.FiveMinutes]: ring.count(bucket, BurnWindow.FiveMinutes),
        [BurnWindow.OneHour]: ring.count(bucket, BurnWindow.OneHour),
        [BurnWindow.SixHours]: ring.count(bucket, BurnWindow.SixHours)
      },
      total: ring.getTotal()
    }
  }

  /** @returns the names of the services that had requests */
  listServices (): string[] {
    return [...this.rings.keys()]
  }
}

function toBucket (now: Instant): number {
  return Math.max(0, Math.floor(now / BUCKET_DURATION_MS))
}
