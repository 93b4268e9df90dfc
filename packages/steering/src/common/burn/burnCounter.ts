/** Counts good and bad requests per service over the windows of the burn report. */
import type { Instant } from '@umberspar/base/common/clock'

/** The windows that a report shows. */
export enum BurnWindow {
  FiveMinutes = '5m',
  OneHour = '1h',
  SixHours = '6h'
}

/** All windows, the shortest first. */
export const BURN_WINDOWS: readonly BurnWindow[] = [BurnWindow.FiveMinutes, BurnWindow.OneHour, BurnWindow.SixHours]

/** Requests that met a service's objective, and requests that did not. */
export interface BurnCounts {
  readonly good: number
  readonly bad: number
}

/** One service's counts. */
export interface ServiceCounts {
  readonly windows: Readonly<Record<BurnWindow, BurnCounts>>
  /** Since the daemon started. */
  readonly total: BurnCounts
}

const BUCKET_SPAN_MS = 10_000
const BUCKETS_BY_WINDOW: Readonly<Record<BurnWindow, number>> = {
  [BurnWindow.FiveMinutes]: 30,
  [BurnWindow.OneHour]: 360,
  [BurnWindow.SixHours]: 2160
}
const RING_SIZE = BUCKETS_BY_WINDOW[BurnWindow.SixHours]
/** No bucket of time has this number. */
const UNUSED = -1

/** A service's ring: the bucket of time `n` lies at `n` modulo the ring's size. */
class BucketRing {
  private readonly numbers = new Float64Array(RING_SIZE).fill(UNUSED)
  private readonly good = new Uint32Array(RING_SIZE)
  private readonly bad = new Uint32Array(RING_SIZE)
  private totalGood = 0
  private totalBad = 0

  record (isGood: boolean, bucket: number): void {
    if (isGood) this.totalGood++
    else this.totalBad++
    const index = bucket % RING_SIZE
    const present = this.numbers[index] as number
    // An older bucket than the one in its place has left all windows.
    if (present > bucket) return
    if (present < bucket) {
      this.numbers[index] = bucket
      this.good[index] = 0
      this.bad[index] = 0
    }
    const counts = isGood ? this.good : this.bad
    counts[index] = (counts[index] as number) + 1
  }

  count (bucket: number, window: BurnWindow): BurnCounts {
    const oldest = bucket - BUCKETS_BY_WINDOW[window]
    let good = 0
    let bad = 0
    for (let index = 0; index < RING_SIZE; index++) {
      const number = this.numbers[index] as number
      if (number === UNUSED || number <= oldest || number > bucket) continue
      good += this.good[index] as number
      bad += this.bad[index] as number
    }
    return { good, bad }
  }

  getTotal (): BurnCounts {
    return { good: this.totalGood, bad: this.totalBad }
  }
}

/** Counts of one daemon, in buckets of ten seconds. */
export class BurnCounter {
  private readonly rings = new Map<string, BucketRing>()

  /**
   * @param service the request's service
   * @param isGood whether it met the objective
   * @param now the present
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
   * @param service the service
   * @param now the present
   * @returns its counts; zero throughout if it had no request
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

  /** @returns the services that had requests */
  listServices (): string[] {
    return [...this.rings.keys()]
  }
}

function toBucket (now: Instant): number {
  return Math.max(0, Math.floor(now / BUCKET_SPAN_MS))
}
