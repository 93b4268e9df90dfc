/** Creates the parts of a daemon and registers them to be closed. */
import type { CloseStack } from '@umberspar/base/common/closing'
import { runDetached } from '@umberspar/base/common/detached'
import { PeerClient } from '@umberspar/adapters/node/peers/peerClient'
import { PeerServer } from '@umberspar/adapters/node/peers/peerServer'
import { createEtcdStore } from '@umberspar/adapters/node/store/etcdStore'
import { createChannelSecurity, createServerCredentials } from '@umberspar/adapters/node/tls/tlsOptions'
import { UndiciTransport } from '@umberspar/adapters/node/upstream/upstreamTransport'
import { HttpVmList } from '@umberspar/adapters/node/vms/httpVmList'
import { BurnCounter } from '@umberspar/steering/common/burn/burnCounter'
import type { IKeyValueStore } from '@umberspar/steering/common/ports/keyValueStore'
import { ClientBlockBuilder } from './callers/clientBlockBuilder.js'
import { ClientRegions } from './callers/clientRegions.js'
import { LookupHandler } from './callers/lookupHandler.js'
import { RequestHandler } from './callers/requestHandler.js'
import { ConfigurationManager } from './configuration/configurationManager.js'
import { ConfigurationStore } from './configuration/configurationStore.js'
import { ConfigurationWatcher } from './configuration/configurationWatcher.js'
import { Deduplicator } from './dedup/deduplicator.js'
import { PatchService } from './configuration/patchService.js'
import { MemberDirectory } from './members/memberDirectory.js'
import { LimitManager } from './limits/limitManager.js'
import { DocumentRegistry } from './peers/documentRegistry.js'
import { ConfigurationPublisher } from './peers/configurationPublisher.js'
import { Heartbeats } from './peers/heartbeats.js'
import { PeerService } from './peers/peerService.js'
import { PlaceDirectory } from './places/placeDirectory.js'
import { PlanFollower } from './places/planFollower.js'
import { WorkerProber } from './places/workerProber.js'
import { WorkerReports } from './places/workerReports.js'
import type { PartInputs } from './partInputs.js'
import { createPlanParts, type PlanParts } from './plan/planParts.js'
import { RequestRunner } from './request/requestRunner.js'
import { SlotFinder } from './request/slotFinder.js'
import { TlsSide } from './tls/daemonTls.js'

/** The parts of one daemon. */
export interface DaemonParts extends PlanParts {
  readonly store: IKeyValueStore
  readonly configurationManager: ConfigurationManager
  readonly configurations: ConfigurationStore
  readonly watcher: ConfigurationWatcher
  readonly patches: PatchService
  readonly members: MemberDirectory
  readonly peerService: PeerService
  readonly peerServer: PeerServer
  readonly peerClient: PeerClient
  readonly heartbeats: Heartbeats
  readonly limits: LimitManager
  readonly places: PlaceDirectory
  readonly plans: PlanFollower
  readonly prober: WorkerProber
  readonly reports: WorkerReports
  readonly transport: UndiciTransport
  readonly regions: ClientRegions
  readonly burn: BurnCounter
  readonly lookups: LookupHandler
  readonly requests: RequestHandler
}

/**
 * @param inputs the settings and services
 * @param owned closes the parts in reverse order of their creation
 * @returns the parts, none of them started
 */
export function createDaemonParts (inputs: PartInputs, owned: CloseStack): DaemonParts {
  const control = createControlParts(inputs, owned)
  const traffic = createTrafficParts(inputs, owned)
  const registry = new DocumentRegistry()
  const peers = createPeerParts(inputs, control, traffic, registry, owned)
  const planning = createPlanParts({ ...inputs, ...control, ...traffic, ...peers, registry }, owned)
  const burn = new BurnCounter()
  const { clock, logger, metrics, random, settings } = inputs
  const blocks = owned.add(new ClientBlockBuilder(clock, logger))
  const regions = new ClientRegions(settings.trustedForwarders, settings.region, blocks)
  const slots = new SlotFinder(traffic.places, traffic.plans, random)
  const runner = new RequestRunner({ selfId: settings.nodeId, transport: traffic.transport, slots, clock, random, metrics })
  const deduplicator = owned.add(createDeduplicator(inputs, control))
  const requests = new RequestHandler({ configurationManager: control.configurationManager, runner, deduplicator, regions, burn, demand: planning.demand, clock, logger, metrics })
  return { ...control, ...traffic, ...peers, ...planning, burn, regions, lookups: new LookupHandler(regions), requests }
}

function createDeduplicator (inputs: PartInputs, control: ControlParts): Deduplicator {
  const { settings, clock, random, metrics } = inputs
  const countNodes = (): number => control.members.list().length
  return new Deduplicator({ store: control.store, clock, random, metrics, keyPrefix: settings.store.keyPrefix, nodeId: settings.nodeId, incarnation: clock.getWallTime(), countNodes })
}

type ControlParts = Pick<DaemonParts, 'store' | 'configurationManager' | 'configurations' | 'watcher' | 'patches' | 'members'>
type TrafficParts = Pick<DaemonParts, 'places' | 'plans' | 'prober' | 'reports' | 'transport'>
type PeerParts = Pick<DaemonParts, 'peerService' | 'peerServer' | 'peerClient' | 'heartbeats' | 'limits'>

function createControlParts (inputs: PartInputs, owned: CloseStack): ControlParts {
  const { settings, digester, logger, metrics, clock, random } = inputs
  owned.add(metrics)
  const tls = inputs.tls.get(TlsSide.Store)
  const security = tls === undefined ? undefined : createChannelSecurity(tls)
  const store = owned.add(createEtcdStore({ endpoints: settings.store.endpoints, clock, logger, metrics, security }))
  const configurationManager = owned.add(new ConfigurationManager(digester, logger))
  const configurations = new ConfigurationStore(store, settings.store.keyPrefix)
  const patches = new PatchService(configurations, configurationManager, digester, clock, logger)
  const vmList = owned.add(new HttpVmList({ url: settings.vmList.url, clock }))
  const members = owned.add(new MemberDirectory(vmList, settings.nodeId, clock, random, logger))
  const watcher = owned.add(new ConfigurationWatcher({ store, configurations, configurationManager, members, self: settings, clock, random, logger }))
  return { store, configurationManager, configurations, watcher, patches, members }
}

function createTrafficParts (inputs: PartInputs, owned: CloseStack): TrafficParts {
  const { settings, clock, random, logger } = inputs
  const transport = owned.add(new UndiciTransport({ clock, tls: inputs.tls.get(TlsSide.Upstreams) }))
  const places = owned.add(new PlaceDirectory(clock, random, inputs.admission))
  const plans = owned.add(new PlanFollower(clock))
  const reports = owned.add(new WorkerReports(settings.nodeId, clock))
  const prober = owned.add(new WorkerProber(settings.nodeId, transport, reports, clock, random, logger))
  return { places, plans, prober, reports, transport }
}

function createPeerParts (inputs: PartInputs, control: ControlParts, traffic: TrafficParts, registry: DocumentRegistry, owned: CloseStack): PeerParts {
  const { settings, clock, random, logger } = inputs
  const { nodeId, region, failureDomain } = settings
  const identity = { nodeId, region, failureDomain, incarnation: clock.getWallTime() }
  const tls = inputs.tls.get(TlsSide.Peers)
  const credentials = tls === undefined ? undefined : createServerCredentials(tls)
  const security = tls === undefined ? undefined : createChannelSecurity(tls)
  const client = owned.add(new PeerClient({ clock, security }))
  const limits = owned.add(new LimitManager({ selfId: nodeId, region, ...traffic, ...control, client, clock, random, logger }))
  const peerService = new PeerService(identity, control.configurationManager, control.members, traffic.reports, limits, registry, clock)
  const peerServer = owned.add(new PeerServer({ address: settings.peers.address, service: peerService, clock, logger, credentials }))
  const heartbeats = owned.add(new Heartbeats(settings, client, peerService, control.members, control.configurationManager, registry, clock, random, logger))
  owned.add(new ConfigurationPublisher(settings, client, control.members, control.configurationManager, clock, logger))
  traffic.reports.onDidChangeState((peerIds) => runDetached(() => heartbeats.sendToAll(peerIds), logger, 'report-worker'))
  return { peerService, peerServer, peerClient: client, heartbeats, limits }
}
