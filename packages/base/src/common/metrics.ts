/** Metrics as a port; the adapter sends them by StatsD. */
import type { IClosable } from './closing.js'

/** Labels of one measurement. */
export type MetricTags = Readonly<Record<string, string>>

/** Counts, gauges and timings. */
export interface IMetrics extends IClosable {
  /** Adds to a counter. */
  count(name: string, value: number, tags?: MetricTags): void
  /** Sets a gauge. */
  set(name: string, value: number, tags?: MetricTags): void
  /** Records a span in milliseconds. */
  observe(name: string, spanMs: number, tags?: MetricTags): void
}

/** Metrics that go nowhere. */
export const NULL_METRICS: IMetrics = {
  count: () => {},
  set: () => {},
  observe: () => {},
  close: () => {}
}
