/** The interface of metrics; an adapter sends them by StatsD. */
import type { IClosable } from './closing.js'

/** Labels of a measurement. */
export type MetricTags = Readonly<Record<string, string>>

/** Counts, gauges and timings. */
export interface IMetrics extends IClosable {
  /** Adds a value to a counter. */
  count(name: string, value: number, tags?: MetricTags): void
  /** Sets a gauge. */
  set(name: string, value: number, tags?: MetricTags): void
  /** Records a duration in milliseconds. */
  observe(name: string, durationMs: number, tags?: MetricTags): void
}

/** Discards all measurements. */
export const NULL_METRICS: IMetrics = {
  count: () => {},
  set: () => {},
  observe: () => {},
  close: () => {}
}
