/** The values of an entry process's gauges, read when the metrics are fetched. */
import type { IClock } from '@umberspar/base/common/clock'
import type { ServiceGates } from '@umberspar/steering/common/entry/admission/serviceGates'
import type { EntryView } from '@umberspar/steering/common/entry/entryView'
import type { RetryBudgetState } from '@umberspar/steering/common/entry/retry/sharedRetryBudget'
import type { WorkerLinks } from '@umberspar/steering/common/entry/workers/workerLinks'
import { UpstreamState } from '@umberspar/steering/common/entry/records'
import type { ViewUpdater } from '../replica/viewUpdater.js'
import type { RecordSynchronizer } from '../replica/recordSynchronizer.js'
import type { CallerServer } from '../front/callerServer.js'
import type { PlaceWaiter } from '../front/placeWaiter.js'
import type { RequestQuarantine } from '../quarantine/requestQuarantine.js'
import type { AccountQuotas } from '../quota/accountQuotas.js'
import type { EventLoopMonitor } from '../eventLoop/eventLoopMonitor.js'
import type { FleetExchange } from '../exchange/fleetExchange.js'
import type { RelayPeers } from '../relay/relayPeers.js'
import type { AccountShareState, GaugeSource, RateDivisionState } from './entryMetrics.js'

/** The value of unknown ages, since a gauge always has a value. */
const UNKNOWN_AGE_SECONDS = -1
const MS_PER_SECOND = 1_000

/** The services whose state the gauges show. */
export interface GaugeDependencies {
  readonly clock: IClock
  readonly view: EntryView
  readonly viewUpdater: ViewUpdater
  readonly synchronizer: RecordSynchronizer
  readonly quotas: AccountQuotas
  readonly quarantine: RequestQuarantine
  readonly callerServer: CallerServer
  readonly placeWaiter: PlaceWaiter
  readonly eventLoop: EventLoopMonitor
  readonly links: WorkerLinks
  readonly relayPeers: RelayPeers
  readonly exchange: FleetExchange | undefined
  readonly gates: ServiceGates
  isReady(): boolean
}

function toSeconds (ageMs: number): number {
  return Number.isFinite(ageMs) ? ageMs / MS_PER_SECOND : UNKNOWN_AGE_SECONDS
}

/** @returns the median; NaN if there are no values */
function computeMedian (values: readonly number[]): number {
  return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? Number.NaN
}

/** The gauges of one process. */
export class EntryGauges implements GaugeSource {
  /** @param dependencies the services whose state the gauges show */
  constructor (private readonly dependencies: GaugeDependencies) {}

  readRetryBudgets (): Array<readonly [string, RetryBudgetState]> {
    const now = this.dependencies.clock.now()
    return [...this.dependencies.view.listRetryBudgets()].map(([service, retryBudget]) => [service, retryBudget.read(now)] as const)
  }

  readAccountShares (): AccountShareState[] {
    const now = this.dependencies.clock.now()
    return [...this.dependencies.gates.list()].flatMap(([service, gate]) => gate.listOverShare(now).map((account) => ({ service, ...account })))
  }

  readRateDivisions (): RateDivisionState[] {
    const now = this.dependencies.clock.now()
    return [...this.dependencies.view.pools].flatMap(([service, pool]) => pool.listRateDivisions(now).map((division) => ({ service, ...division })))
  }

  readGauges (): Readonly<Record<string, number>> {
    const { clock, view, viewUpdater, synchronizer, quotas, quarantine, callerServer, placeWaiter, eventLoop, links, relayPeers, exchange, isReady } = this.dependencies
    const now = clock.now()
    const { quarantined, suspects } = quarantine.readCounts()
    const exchangeCounts = exchange?.readCounts()
    const { ageMs, era, revision } = viewUpdater.getRecordsAge()
    return {
      requests_open: callerServer.inFlightRequests,
      requests_waiting: placeWaiter.readCounts().count,
      requests_waiting_bytes: placeWaiter.readCounts().bytes,
      event_loop_delay_seconds: eventLoop.takeLongestDelayMs() / MS_PER_SECOND,
      records_age_seconds: toSeconds(ageMs),
      records_proof_age_seconds: toSeconds(synchronizer.freshness.getAgeMs()),
      records_era: era,
      records_revision: revision,
      configuration_version: view.document?.version ?? 0,
      configuration_version_registered: view.nodeLists.newestVersion,
      entry_vms_known: view.countNodes(),
      fleet_members: view.sharers.members.size,
      limits_shared_by: view.sharers.fleet.count,
      workers_known: [...view.listTrackers()].length,
      worker_reports_age_seconds: toSeconds(computeMedian([...view.listTrackers()].map(({ load }) => load.getReportAgeMs(now)).filter((ageMs) => ageMs !== undefined))),
      workers_rate_limited: [...view.listTrackers()].filter(({ rate }) => rate.perSecond !== undefined).length,
      workers_draining_by_response: [...view.listTrackers()].filter(({ advisory }) => advisory.isDraining).length,
      workers_draining_by_registration: [...view.listTrackers()].filter(({ registration }) => registration.state === UpstreamState.Draining).length,
      workers_cooling_down: [...view.listTrackers()].filter(({ advisory }) => advisory.isCoolingDown(now)).length,
      services_disconnected: links.listDisconnected().length,
      relayed_requests_open: relayPeers.inFlightRequests,
      exchange_rows: exchangeCounts?.rows ?? 0,
      exchange_sent_bytes: exchangeCounts?.sentBytes ?? 0,
      exchange_discarded_datagrams: exchangeCounts?.discarded ?? 0,
      exchange_is_relay: Number(exchangeCounts?.isRelay ?? false),
      domains_evacuated: view.evacuatedDomains.size,
      quota_shares_kept: quotas.countOwned(),
      requests_quarantined: quarantined,
      requests_suspected: suspects,
      follows_store: Number(synchronizer.isFollowing),
      record_sources: synchronizer.countSources(),
      record_listeners: synchronizer.publisher.countSubscribers(),
      record_waiting_bytes: synchronizer.publisher.countWaitingBytes(),
      record_hops: (synchronizer.via?.length ?? 0) - 1,
      ready: Number(isReady())
    }
  }
}
