/** The latency that a service shows at this entry VM: two windows of samples, so that old ones are forgotten. */
import { build, type Histogram } from 'hdr-histogram-js'

/** Samples of one window; the estimate goes by the last one to two windows. */
const WINDOW_SAMPLES = 1000
/** Fewer samples say too little about the 95th percentile. */
const MIN_SAMPLES = 100
/** Quantiles are read anew after so many samples. */
const SAMPLES_PER_UPDATE = 50
const HIGHEST_MS = 3_600_000
const SIGNIFICANT_DIGITS = 2
const HEDGE_PERCENTILE = 95
const MEDIAN_PERCENTILE = 50

function createWindow (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_MS, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS, useWebAssembly: false })
}

/** What is known of the latency, in milliseconds. */
interface Quantiles {
  readonly median: number
  readonly hedge: number
}

/** Streaming quantiles of the time from sending a request to the head of its answer. */
export class LatencyEstimate {
  private current = createWindow()
  private previous = createWindow()
  private untilUpdate = MIN_SAMPLES
  private quantiles: Quantiles | undefined

  /** @param spanMs from sending to the head of the answer, in milliseconds */
  observe (spanMs: number): void {
    this.current.recordValue(Math.min(HIGHEST_MS, Math.max(1, Math.round(spanMs))))
    if (--this.untilUpdate <= 0) this.updateQuantiles()
    if (this.current.totalCount >= WINDOW_SAMPLES) this.startWindow()
  }

  /** @returns milliseconds after which a hedge is worth sending; undefined while too little is known */
  getHedgeSpan (): number | undefined {
    return this.quantiles?.hedge
  }

  /** @returns the median in milliseconds; undefined while too little is known */
  getMedianSpan (): number | undefined {
    return this.quantiles?.median
  }

  private startWindow (): void {
    const oldest = this.previous
    this.previous = this.current
    oldest.reset()
    this.current = oldest
  }

  /** Reading a quantile walks over all buckets, too much for every request. */
  private updateQuantiles (): void {
    this.untilUpdate = SAMPLES_PER_UPDATE
    this.quantiles = { median: this.readPercentile(MEDIAN_PERCENTILE), hedge: this.readPercentile(HEDGE_PERCENTILE) }
  }

  /** The slower of both windows' quantiles: after a sudden slowdown hedges must not go out early. */
  private readPercentile (percentile: number): number {
    const windows = [this.current, this.previous].filter((window) => window.totalCount >= SAMPLES_PER_UPDATE)
    return Math.max(...windows.map((window) => window.getValueAtPercentile(percentile)))
  }
}
