/** Counters and histograms of an entry process, fetched as text; by prom-client. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'

/** Upper bounds of the latency buckets, in seconds: from a warm local answer to the longest time limits. */
const LATENCY_BUCKETS = [0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 1.5, 2, 3, 5]

/** What gauges are read from when the metrics are fetched. */
export interface GaugeSource {
  /** Values by name; units stand in the names. */
  readGauges(): Readonly<Record<string, number>>
  /** @returns the repeats that each service could be sent at once */
  readRepeatsLeft(): Iterable<readonly [service: string, left: number]>
}

/** The metrics of one process. */
export class EntryMetrics {
  private readonly registry = new Registry()
  /** Fetched before the rest: a collector that takes the first few kilobytes only must not lose what this VM knows. */
  private readonly gaugeRegistry = new Registry()
  private readonly toldBytes
  private readonly requests
  private readonly offers
  private readonly beliefs
  private readonly lookups
  private readonly logDrops
  private readonly latency
  private readonly repeatsLeft
  private readonly gauges = new Map<string, Gauge>()

  constructor () {
    const registers = [this.registry]
    this.toldBytes = new Counter({ name: 'umberspar_record_bytes_told_total', help: 'Bytes of records written to other entry VMs', registers: [this.gaugeRegistry] })
    this.requests = new Counter({ name: 'umberspar_requests_total', help: 'Requests by kind, end and reason', labelNames: ['kind', 'end', 'reason'], registers })
    this.offers = new Counter({ name: 'umberspar_offers_total', help: 'Offers of requests to workers by service and end', labelNames: ['service', 'end'], registers })
    this.beliefs = new Counter({ name: 'umberspar_view_changes_total', help: 'Changes of what this process believes', labelNames: ['change'], registers })
    this.lookups = new Counter({ name: 'umberspar_lookups_total', help: 'Look-ups by answer', labelNames: ['answer'], registers })
    this.logDrops = new Counter({ name: 'umberspar_log_lines_dropped_total', help: 'Log lines that found no room', labelNames: ['urgency'], registers })
    this.repeatsLeft = new Gauge({ name: 'umberspar_repeats_left', help: 'Repeats that could be sent at once by service', labelNames: ['service'], registers })
    this.latency = new Histogram({ name: 'umberspar_request_seconds', help: 'From the head of a request to the end of its answer', labelNames: ['service', 'end'], buckets: LATENCY_BUCKETS, registers })
  }

  /** Counts a request that has ended. */
  countRequest (kind: string, end: string, reason: string): void {
    this.requests.inc({ kind, end, reason })
  }

  /** @param spanMs from the request's head to the end of its answer, in milliseconds */
  observeLatency (service: string, end: string, spanMs: number): void {
    this.latency.observe({ service, end }, spanMs / 1_000)
  }

  /** Counts an offer that has ended. */
  countOffer (service: string, end: string): void {
    this.offers.inc({ service, end })
  }

  /** Counts a change of the view. */
  countChange (change: string): void {
    this.beliefs.inc({ change })
  }

  /** Counts what was written to another entry VM. */
  countTold (bytes: number): void {
    this.toldBytes.inc(bytes)
  }

  /** Counts a look-up. */
  countLookup (answer: string): void {
    this.lookups.inc({ answer })
  }

  /** Counts log lines that were dropped. */
  countLogDrop (urgency: string): void {
    this.logDrops.inc({ urgency })
  }

  /**
   * @param source the gauges
   * @returns all metrics in the Prometheus text format
   */
  async read (source: GaugeSource): Promise<string> {
    for (const [name, value] of Object.entries(source.readGauges())) this.readGauge(name).set(value)
    for (const [service, left] of source.readRepeatsLeft()) this.repeatsLeft.set({ service }, left)
    return `${await this.gaugeRegistry.metrics()}\n${await this.registry.metrics()}`
  }

  private readGauge (name: string): Gauge {
    let gauge = this.gauges.get(name)
    if (gauge === undefined) {
      gauge = new Gauge({ name: `umberspar_${name}`, help: name.replaceAll('_', ' '), registers: [this.gaugeRegistry] })
      this.gauges.set(name, gauge)
    }
    return gauge
  }
}
