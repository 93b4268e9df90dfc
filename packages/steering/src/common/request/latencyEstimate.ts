/** Estimates a service's latency at this entry VM from two windows of samples, so that old samples expire. */
import { build, type Histogram } from 'hdr-histogram-js'

/** Number of samples after which a new window starts; the estimate covers the current and the previous window. */
const MAX_SAMPLES_PER_WINDOW = 1000
/** The 95th percentile of fewer samples is not reliable. */
const MIN_SAMPLES_FOR_ESTIMATE = 100
/** Number of samples after which the quantiles are recomputed. */
const SAMPLES_PER_UPDATE = 50
const MAX_LATENCY_MS = 3_600_000
const SIGNIFICANT_DIGITS = 2
const HEDGE_PERCENTILE = 95
const MEDIAN_PERCENTILE = 50

function createWindow (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_LATENCY_MS, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS, useWebAssembly: false })
}

/** Quantiles of the latency, in milliseconds. */
interface Quantiles {
  readonly median: number
  readonly hedgeDelay: number
}

/** Streaming quantiles of the time from sending a request to receiving the head of its response. */
export class LatencyEstimate {
  private current = createWindow()
  private previous = createWindow()
  private samplesUntilUpdate = MIN_SAMPLES_FOR_ESTIMATE
  private quantiles: Quantiles | undefined

  /** @param latencyMs time from sending a request to receiving the head of its response, in milliseconds */
  observe (latencyMs: number): void {
    this.current.recordValue(Math.min(MAX_LATENCY_MS, Math.max(1, Math.round(latencyMs))))
    if (--this.samplesUntilUpdate <= 0) this.updateQuantiles()
    if (this.current.totalCount >= MAX_SAMPLES_PER_WINDOW) this.startWindow()
  }

  /** @returns milliseconds to wait before sending a hedge; undefined while there are too few samples */
  getHedgeDelay (): number | undefined {
    return this.quantiles?.hedgeDelay
  }

  /** @returns the median latency in milliseconds; undefined while there are too few samples */
  getMedianLatency (): number | undefined {
    return this.quantiles?.median
  }

  private startWindow (): void {
    const oldest = this.previous
    this.previous = this.current
    oldest.reset()
    this.current = oldest
  }

  /** Called only every few samples, as reading a quantile iterates over all buckets of the histogram. */
  private updateQuantiles (): void {
    this.samplesUntilUpdate = SAMPLES_PER_UPDATE
    this.quantiles = { median: this.readPercentile(MEDIAN_PERCENTILE), hedgeDelay: this.readPercentile(HEDGE_PERCENTILE) }
  }

  /** Returns the higher quantile of both windows, so that hedges are not sent too early after a sudden slowdown. */
  private readPercentile (percentile: number): number {
    const windows = [this.current, this.previous].filter((window) => window.totalCount >= SAMPLES_PER_UPDATE)
    return Math.max(...windows.map((window) => window.getValueAtPercentile(percentile)))
  }
}
