/** Sends metrics to StatsD over UDP. */
import { StatsD } from 'hot-shots'
import type { ILogger } from '@umberspar/base/common/logger'
import { LogLevel, NULL_LOGGER } from '@umberspar/base/common/logger'
import type { IMetrics, MetricTags } from '@umberspar/base/common/metrics'

const METRIC_PREFIX = 'umberspar.'
/** Small enough that a packet with its headers fits into one Ethernet frame. */
const MAX_PACKET_BYTES = 1400
const FLUSH_INTERVAL_MS = 1000

/** Options of {@link StatsdMetrics}. */
export interface StatsdMetricsOptions {
  readonly host: string
  readonly port: number
  /** Added to every measurement, for example the node id. */
  readonly tags?: MetricTags
  readonly logger?: ILogger
}

/** Implements {@link IMetrics} with hot-shots. The first failure to send is logged; failures are never thrown. */
export class StatsdMetrics implements IMetrics {
  private readonly client: StatsD
  private readonly logger: ILogger
  private readonly peer: string
  private hasLoggedFailure = false
  private closing: Promise<void> | undefined

  constructor (options: StatsdMetricsOptions) {
    this.logger = options.logger ?? NULL_LOGGER
    this.peer = `${options.host}:${options.port}`
    this.client = new StatsD({
      host: options.host,
      port: options.port,
      prefix: METRIC_PREFIX,
      globalTags: { ...options.tags },
      includeDataDogTags: false,
      maxBufferSize: MAX_PACKET_BYTES,
      bufferFlushInterval: FLUSH_INTERVAL_MS,
      errorHandler: (error) => { this.reportFailure(error) }
    })
  }

  count (name: string, value: number, tags?: MetricTags): void {
    this.record(() => this.client.increment(name, value, { ...tags }))
  }

  set (name: string, value: number, tags?: MetricTags): void {
    this.record(() => this.client.gauge(name, value, { ...tags }))
  }

  observe (name: string, durationMs: number, tags?: MetricTags): void {
    this.record(() => this.client.timing(name, durationMs, { ...tags }))
  }

  /** Sends the buffered measurements, then closes the socket. */
  close (): Promise<void> {
    this.closing ??= new Promise((resolve) => {
      this.client.close((error) => {
        if (error) this.reportFailure(error)
        resolve()
      })
    })
    return this.closing
  }

  private record (send: () => void): void {
    if (this.closing !== undefined) return
    try {
      send()
    } catch (thrown) {
      this.reportFailure(thrown)
    }
  }

  private reportFailure (failure: unknown): void {
    if (this.hasLoggedFailure) return
    this.hasLoggedFailure = true
    const message = failure instanceof Error ? failure.message : String(failure)
    this.logger.log(LogLevel.Warn, { step: 'send-metrics', peer: this.peer }, message)
  }
}
