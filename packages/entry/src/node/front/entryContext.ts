/** The services that the request handling of an entry process shares. */
import type { IClock } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import type { IRandomSource } from '@umberspar/base/common/random'
import type { ByteCosts } from '@umberspar/steering/common/entry/workers/chooseUpstream'
import type { DomainRoundTrips } from '@umberspar/steering/common/entry/placement/domainRoundTrips'
import type { EntryView } from '@umberspar/steering/common/entry/entryView'
import type { WorkerLoadExchange } from '@umberspar/steering/common/entry/workers/workerLoadExchange'
import type { WorkerLinks } from '@umberspar/steering/common/entry/workers/workerLinks'
import type { ICallerProtocol } from '@umberspar/steering/common/ports/callerProtocol'
import type { AccessController } from '../accounts/accessController.js'
import type { ProofWaiter } from '../accounts/proofWaiter.js'
import type { EventLoopMonitor } from '../eventLoop/eventLoopMonitor.js'
import type { RecordsAge } from '../replica/recordsAge.js'
import type { FleetReports } from '../exchange/fleetReports.js'
import type { RelayPeers } from '../relay/relayPeers.js'
import type { RateLimitReporter } from '../sharing/rateLimitReporter.js'
import type { OpenAttempts } from './openAttempts.js'
import type { RequestQuarantine } from '../quarantine/requestQuarantine.js'
import type { AccountQuotas } from '../quota/accountQuotas.js'
import type { ServiceGates } from '@umberspar/steering/common/entry/admission/serviceGates'
import type { EntryTelemetry } from '../telemetry/entryTelemetry.js'
import type { AdvisoryRecorder } from '../upstream/advisoryRecorder.js'
import type { UpstreamPools } from '../upstream/upstreamPools.js'
import type { BodyMemoryBudget } from './bodyReader.js'
import type { CallerLimits } from './callerConnection.js'
import type { HeaderRewriter } from './headerRewriter.js'
import type { PlaceWaiter } from './placeWaiter.js'
import type { ResponseMemory } from './responseMemory.js'

/** Where this VM is. */
export interface VmLocation {
  readonly domain: string
  readonly regionByDomain: ReadonlyMap<string, string>
}

/** The shared services of one process. */
export interface EntryContext {
  readonly clock: IClock
  /** For timeouts of workers and callers. */
  readonly timeoutClock: IClock
  readonly random: IRandomSource
  readonly eventLoop: EventLoopMonitor
  readonly protocol: ICallerProtocol
  readonly headerRewriter: HeaderRewriter
  readonly view: EntryView
  readonly accessController: AccessController
  readonly proofWaiter: ProofWaiter
  readonly quotas: AccountQuotas
  readonly quarantine: RequestQuarantine
  readonly roundTrips: DomainRoundTrips
  readonly pools: UpstreamPools
  /** Which requests yield at services without enough room. */
  readonly gates: ServiceGates
  readonly reports: FleetReports
  /** Whether this VM reaches the workers of each service. */
  readonly links: WorkerLinks
  /** Passes load reports on to other VMs; undefined if VMs don't exchange them. */
  readonly workerLoads?: WorkerLoadExchange
  readonly openAttempts: OpenAttempts
  /** Records what workers announce in their responses. */
  readonly advisoryRecorder: AdvisoryRecorder
  /** Passes on the rate limits that workers announce. */
  readonly rateLimitReporter: RateLimitReporter
  readonly relayPeers: RelayPeers
  /** This VM's failure domain and the regions of all. */
  readonly location: VmLocation
  /** Holds requests back until a place is expected. */
  readonly placeWaiter: PlaceWaiter
  readonly bodyMemoryBudget: BodyMemoryBudget
  readonly responseMemory: ResponseMemory
  /** What limits the connections of callers. */
  readonly callerLimits: CallerLimits
  readonly byteCosts: ByteCosts
  readonly telemetry: EntryTelemetry
  getRecordsAge(): RecordsAge
  /** Whether the process is draining before it stops. */
  isDraining(): boolean
  /** Whether the process ends later than a request whose deadline this is must be answered. */
  canAnswer(deadline: Deadline): boolean
}
