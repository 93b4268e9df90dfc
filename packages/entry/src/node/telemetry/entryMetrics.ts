/** The metrics of an entry process, fetched in the Prometheus text format. */
import type { RetryBudgetState } from '@umberspar/steering/common/entry/retry/sharedRetryBudget'
import type { RateDivisionUse } from '@umberspar/steering/common/entry/workers/workerRateGate'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'

/** Upper bounds of the latency buckets: from a response of a warm local worker to the longest time limits. */
const LATENCY_BUCKETS_SECONDS = [0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 1.5, 2, 3, 5]

/** Waits are at most an eighth of a latency goal. */
const PLACE_WAIT_BUCKETS_SECONDS = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2]

/** Owners respond from memory; one that lacks processor time is awaited for seconds. */
const QUOTA_QUESTION_BUCKETS_SECONDS = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 4]

const RETRY_BUDGET_GAUGES: Readonly<Record<keyof RetryBudgetState, { readonly name: string, readonly help: string }>> = {
  left: { name: 'umberspar_repeats_left', help: 'Repeats that could be sent at once by service' },
  reserved: { name: 'umberspar_retry_budget_reserved', help: 'Retries among those left that only callers may use that are lost if they are refused, by service' },
  requests: { name: 'umberspar_retry_budget_requests', help: 'Requests of this VM in the window of the retry budget by service' },
  retries: { name: 'umberspar_retry_budget_retries', help: 'Retries of this VM in the window of the retry budget by service' },
  slackSharers: { name: 'umberspar_retry_budget_slack_sharers', help: 'VMs among which the slack of the retry budget is divided by service' }
}

/** The demand of one region for one service, and what its workers can serve. */
export interface RegionPlacement {
  readonly service: string
  readonly region: string
  /** Undefined if unknown. */
  readonly perSecond: number | undefined
  readonly usableSlots: number
}

/** A client account over its fair share of a service; use and share are relative to all requests of the priority. */
export interface AccountShareState {
  readonly service: string
  readonly priority: number
  readonly account: string
  readonly use: number
  readonly share: number
}

/** The division of one worker's rate limit. */
export interface RateDivisionState extends RateDivisionUse {
  readonly service: string
}

/** Workers with a rate limit that are listed for all services together. */
const MAX_LISTED_RATE_LIMITS = 64

const RATE_DIVISION_GAUGES: Readonly<Partial<Record<keyof RateDivisionUse, { readonly name: string, readonly help: string }>>> = {
  perSecond: { name: 'umberspar_rate_limit_per_second', help: 'Requests per second that a worker accepts from all VMs together' },
  maxRequests: { name: 'umberspar_rate_limit_part_requests', help: 'Requests per window that this VM may send to a worker with a rate limit' },
  sentRequests: { name: 'umberspar_rate_limit_sent_requests', help: 'Requests that this VM has sent in the window to a worker with a rate limit' },
  domainSharers: { name: 'umberspar_rate_limit_domain_sharers', help: 'VMs of this failure domain among which the part of the domain is divided' }
}

/** Accounts over their share that are listed for all services together. */
const MAX_LISTED_ACCOUNTS = 32

/** Provides the values of gauges when the metrics are fetched. */
export interface GaugeSource {
  /** @returns values by name; the names contain the units */
  readGauges(): Readonly<Record<string, number>>
  /** @returns the retry budget of each service */
  readRetryBudgets(): Iterable<readonly [service: string, state: RetryBudgetState]>
  /** @returns the accounts that are over their share; none if missing */
  readAccountShares?(): readonly AccountShareState[]
  /** @returns how the rate limits of workers are divided; none if missing */
  readRateDivisions?(): readonly RateDivisionState[]
}

/** The metrics of one process. */
export class EntryMetrics {
  private readonly registry = new Registry()
  /** Written before the other metrics: a collector that reads only the first few kilobytes must not lose the state of this VM. */
  private readonly gaugeRegistry = new Registry()
  private readonly sentRecordBytes
  private readonly requests
  private readonly attempts
  private readonly viewChanges
  private readonly relays
  private readonly lookups
  private readonly proofWaits
  private readonly placeWaits
  private readonly placeWaitSeconds
  private readonly refusals
  private readonly closedConnections
  private readonly droppedLogLines
  private readonly placementSteps
  private readonly movedObjects
  private readonly regionDemand
  private readonly regionSlots
  private readonly latencySeconds
  private readonly retryBudgetGauges
  private readonly yields
  private readonly accountUse
  private readonly accountShare
  private readonly quotaQuestions
  private readonly quotaQuestionSeconds
  private readonly quotaAnswers
  private readonly recordSubscriptions
  private readonly readinessChecks
  private readonly rateDivisionGauges
  private readonly gauges = new Map<string, Gauge>()

  constructor () {
    const registers = [this.registry]
    this.sentRecordBytes = new Counter({ name: 'umberspar_record_bytes_told_total', help: 'Bytes of records written to other entry VMs', registers: [this.gaugeRegistry] })
    this.requests = new Counter({ name: 'umberspar_requests_total', help: 'Requests by kind, end and reason', labelNames: ['kind', 'end', 'reason'], registers })
    this.attempts = new Counter({ name: 'umberspar_offers_total', help: 'Offers of requests to workers by service and end', labelNames: ['service', 'end'], registers })
    this.viewChanges = new Counter({ name: 'umberspar_view_changes_total', help: 'Changes of what this process believes', labelNames: ['change'], registers })
    this.relays = new Counter({ name: 'umberspar_relays_total', help: 'Requests relayed between entry VMs by direction and end', labelNames: ['direction', 'end'], registers })
    this.lookups = new Counter({ name: 'umberspar_lookups_total', help: 'Look-ups by answer', labelNames: ['answer'], registers })
    this.proofWaits = new Counter({ name: 'umberspar_proof_waits_total', help: 'Requests that waited for a newer proof that the records are current', labelNames: ['end'], registers })
    this.placeWaits = new Counter({ name: 'umberspar_place_waits_total', help: 'Requests that waited for a place at a worker, by end and priority', labelNames: ['end', 'priority'], registers })
    this.placeWaitSeconds = new Histogram({ name: 'umberspar_place_wait_seconds', help: 'Time for which requests waited for a place at a worker', buckets: PLACE_WAIT_BUCKETS_SECONDS, registers })
    this.refusals = new Counter({ name: 'umberspar_refusals_total', help: 'Refused requests by service, reason, priority of the route, and whether the caller had returned', labelNames: ['service', 'reason', 'priority', 'visit'], registers })
    this.closedConnections = new Counter({ name: 'umberspar_connections_closed_total', help: 'Connections that were closed for the sake of others, by what was short', labelNames: ['reason'], registers })
    this.droppedLogLines = new Counter({ name: 'umberspar_log_lines_dropped_total', help: 'Log lines that found no room', labelNames: ['urgency'], registers })
    this.placementSteps = new Counter({ name: 'umberspar_placement_steps_total', help: 'Changes of the shares of workers that followed demand', labelNames: ['service'], registers })
    this.movedObjects = new Counter({ name: 'umberspar_objects_moved_total', help: 'Estimated objects in use at this VM that followed demand to workers of another region', labelNames: ['service'], registers })
    this.regionDemand = new Gauge({ name: 'umberspar_region_demand_per_second', help: 'Requests per second by region, as far as known', labelNames: ['service', 'region'], registers })
    this.regionSlots = new Gauge({ name: 'umberspar_region_usable_slots', help: 'Slots of the workers of a region that can be used now', labelNames: ['service', 'region'], registers })
    this.retryBudgetGauges = Object.entries(RETRY_BUDGET_GAUGES).map(([field, { name, help }]) => {
      return { field: field as keyof RetryBudgetState, gauge: new Gauge({ name, help, labelNames: ['service'], registers }) }
    })
    this.yields = new Counter({ name: 'umberspar_yields_total', help: 'Requests refused by their rank at services without room by service, reason and priority', labelNames: ['service', 'reason', 'priority'], registers })
    const accountLabels = ['service', 'priority', 'account']
    this.accountUse = new Gauge({ name: 'umberspar_account_use_ratio', help: 'What an account over its fair share asks, relative to all requests of the priority', labelNames: accountLabels, registers })
    this.accountShare = new Gauge({ name: 'umberspar_account_fair_share_ratio', help: 'The fair share of an account that is over it, relative to all requests of the priority', labelNames: accountLabels, registers })
    this.rateDivisionGauges = Object.entries(RATE_DIVISION_GAUGES).map(([field, { name, help }]) => {
      return { field: field as keyof typeof RATE_DIVISION_GAUGES, gauge: new Gauge({ name, help, labelNames: ['service', 'worker'], registers }) }
    })
    this.quotaQuestions = new Counter({ name: 'umberspar_quota_questions_total', help: 'Requests for tokens sent to owners of quota shares, by outcome', labelNames: ['outcome'], registers })
    this.quotaQuestionSeconds = new Histogram({ name: 'umberspar_quota_question_seconds', help: 'Time until the owner of a quota share had responded or the request for tokens had failed', buckets: QUOTA_QUESTION_BUCKETS_SECONDS, registers })
    this.quotaAnswers = new Counter({ name: 'umberspar_quota_answers_total', help: 'Requests of other VMs for tokens by outcome', labelNames: ['outcome'], registers })
    this.recordSubscriptions = new Counter({ name: 'umberspar_record_subscriptions_total', help: 'Subscriptions to the records of other VMs that were opened, renewed or have ended', labelNames: ['event'], registers })
    this.readinessChecks = new Counter({ name: 'umberspar_readiness_checks_total', help: 'Readiness checks by what the VM waits for, or ready', labelNames: ['state'], registers })
    this.latencySeconds = new Histogram({ name: 'umberspar_request_seconds', help: 'From the head of a request to the end of its answer', labelNames: ['service', 'end'], buckets: LATENCY_BUCKETS_SECONDS, registers })
  }

  /** @param direction `sent` or `received` */
  countRelay (direction: string, end: string): void {
    this.relays.inc({ direction, end })
  }

  /** Counts a request that was refused by its rank. */
  countYield (service: string, reason: string, priority: number): void {
    this.yields.inc({ service, reason, priority })
  }

  /** Counts a request that has ended. */
  countRequest (kind: string, end: string, reason: string): void {
    this.requests.inc({ kind, end, reason })
  }

  /** @param spanMs time from the head of a request to the end of its response, in milliseconds */
  observeLatency (service: string, end: string, spanMs: number): void {
    this.latencySeconds.observe({ service, end }, spanMs / 1_000)
  }

  /** Counts an attempt that has ended. */
  countAttempt (service: string, end: string): void {
    this.attempts.inc({ service, end })
  }

  /** Counts a change of the view of the deployment. */
  countChange (change: string): void {
    this.viewChanges.inc({ change })
  }

  /** Counts bytes of records sent to another entry VM. */
  countSentRecordBytes (bytes: number): void {
    this.sentRecordBytes.inc(bytes)
  }

  /** Counts a connection that was closed for the sake of others. */
  countClosedConnection (reason: string): void {
    this.closedConnections.inc({ reason })
  }

  /** Counts a look-up. */
  countLookup (answer: string): void {
    this.lookups.inc({ answer })
  }

  /** Counts the wait of a request for a newer proof that the records are current. */
  countProofWait (end: string): void {
    this.proofWaits.inc({ end })
  }

  /** Sets the gauges of one region and service; unknown demand has no gauge. */
  setRegionPlacement ({ service, region, perSecond, usableSlots }: RegionPlacement): void {
    this.regionSlots.set({ service, region }, usableSlots)
    if (perSecond === undefined) this.regionDemand.remove({ service, region })
    else this.regionDemand.set({ service, region }, perSecond)
  }

  /** Counts a change of the shares of a service's workers that followed demand. */
  countPlacementStep (service: string, movedObjects: number): void {
    this.placementSteps.inc({ service })
    this.movedObjects.inc({ service }, movedObjects)
  }

  /** Counts the end of a wait for a place at a worker. */
  countPlaceWait (end: string, priority: number, waitedMs: number): void {
    this.placeWaits.inc({ end, priority })
    this.placeWaitSeconds.observe(waitedMs / 1_000)
  }

  /** Counts a refused request. */
  countRefusal (service: string, reason: string, priority: number, visit: string): void {
    this.refusals.inc({ service, reason, priority, visit })
  }

  /** Counts a request for tokens that this VM has sent to the owner of a quota share. */
  countQuotaQuestion (outcome: string, spanMs: number): void {
    this.quotaQuestions.inc({ outcome })
    this.quotaQuestionSeconds.observe(spanMs / 1_000)
  }

  /** Counts a request of another VM for tokens. */
  countQuotaAnswer (outcome: string): void {
    this.quotaAnswers.inc({ outcome })
  }

  /** Counts an event of a subscription to another VM's records. */
  countRecordSubscription (event: string): void {
    this.recordSubscriptions.inc({ event })
  }

  /** Counts a readiness check. */
  countReadinessCheck (state: string): void {
    this.readinessChecks.inc({ state })
  }

  /** Counts a dropped log line. */
  countDroppedLogLine (urgency: string): void {
    this.droppedLogLines.inc({ urgency })
  }

  /**
   * @param source provides the values of gauges
   * @returns all metrics in the Prometheus text format
   */
  async read (source: GaugeSource): Promise<string> {
    for (const [name, value] of Object.entries(source.readGauges())) this.getGauge(name).set(value)
    for (const [service, state] of source.readRetryBudgets()) {
      for (const { field, gauge } of this.retryBudgetGauges) gauge.set({ service }, state[field])
    }
    this.setAccountShares(source.readAccountShares?.() ?? [])
    this.setRateDivisions(source.readRateDivisions?.() ?? [])
    return `${await this.gaugeRegistry.metrics()}\n${await this.registry.metrics()}`
  }

  private setAccountShares (states: readonly AccountShareState[]): void {
    this.accountUse.reset()
    this.accountShare.reset()
    for (const { service, priority, account, use, share } of states.slice(0, MAX_LISTED_ACCOUNTS)) {
      this.accountUse.set({ service, priority, account }, use)
      this.accountShare.set({ service, priority, account }, share)
    }
  }

  private setRateDivisions (divisions: readonly RateDivisionState[]): void {
    for (const { field, gauge } of this.rateDivisionGauges) {
      gauge.reset()
      for (const division of divisions.slice(0, MAX_LISTED_RATE_LIMITS)) gauge.set({ service: division.service, worker: division.workerId }, Number(division[field]))
    }
  }

  private getGauge (name: string): Gauge {
    let gauge = this.gauges.get(name)
    if (gauge === undefined) {
      gauge = new Gauge({ name: `umberspar_${name}`, help: name.replaceAll('_', ' '), registers: [this.gaugeRegistry] })
      this.gauges.set(name, gauge)
    }
    return gauge
  }
}
