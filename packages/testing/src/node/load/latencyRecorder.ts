/** Latency by HDR histograms: constant memory, and a bounded relative error at every percentile. */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'

const MICROSECONDS_PER_MS = 1000
const HIGHEST_MICROSECONDS = 600_000_000
const SIGNIFICANT_DIGITS = 3

/** What a report says of a set of latencies; all in milliseconds. */
export interface LatencySummary {
  readonly count: number
  readonly p50Ms: number
  readonly p99Ms: number
  readonly p999Ms: number
  readonly maxMs: number
}

/** Records latencies of one kind of request. */
export class LatencyRecorder {
  private readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MICROSECONDS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    bitBucketSize: 32,
    useWebAssembly: false
  })

  /**
   * @param spanMs a latency, counted from the intended start
   */
  record (spanMs: number): void {
    const microseconds = Math.round(spanMs * MICROSECONDS_PER_MS)
    this.histogram.recordValue(Math.min(HIGHEST_MICROSECONDS, Math.max(0, microseconds)))
  }

  /**
   * @param percentile 0 to 100
   * @returns the latency that this part of the requests did not exceed, in milliseconds; 0 if none was recorded
   */
  getPercentileMs (percentile: number): number {
    if (this.histogram.totalCount === 0) return 0
    return this.histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS
  }

  /** @returns the usual figures */
  getSummary (): LatencySummary {
    return {
      count: this.histogram.totalCount,
      p50Ms: this.getPercentileMs(50),
      p99Ms: this.getPercentileMs(99),
      p999Ms: this.getPercentileMs(99.9),
      maxMs: this.histogram.totalCount === 0 ? 0 : this.histogram.maxValue / MICROSECONDS_PER_MS
    }
  }
}
