/** Creates the planning components, which measure demand, follow the agreed plan and, on one node, advance it. */
import type { CloseStack } from '@umberspar/base/common/closing'
import type { Digester } from '@umberspar/steering/common/configuration/canonicalJson'
import type { IKeyValueStore } from '@umberspar/steering/common/ports/keyValueStore'
import type { IPeerClient } from '@umberspar/steering/common/ports/peers'
import { MAX_SMALL_FLEET_VMS } from '@umberspar/steering/common/gossip/neighbours'
import { NodeState } from '@umberspar/steering/common/state/nodeState'
import type { ConfigurationManager } from '../configuration/configurationManager.js'
import type { PatchService } from '../configuration/patchService.js'
import type { PartInputs } from '../partInputs.js'
import type { MemberDirectory } from '../members/memberDirectory.js'
import type { DocumentRegistry } from '../peers/documentRegistry.js'
import type { Heartbeats } from '../peers/heartbeats.js'
import type { PeerService } from '../peers/peerService.js'
import type { PlanFollower } from '../places/planFollower.js'
import type { WorkerReports } from '../places/workerReports.js'
import { DemandMeter } from './demandMeter.js'
import { DrainPlanner } from './drainPlanner.js'
import { MeasurementCollector } from './measurementCollector.js'
import { PlanDocuments } from './planDocuments.js'
import { PlanHolder } from './planHolder.js'
import { PlanPublisher } from './planPublisher.js'
import { StepReporter } from './stepReporter.js'
import { PlanStore } from './planStore.js'
import { PlanTimer } from './planTimer.js'
import { PlanWatcher } from './planWatcher.js'

/** Dependencies of the planning components. */
export interface PlanPartInputs extends PartInputs {
  readonly digester: Digester
  readonly store: IKeyValueStore
  readonly configurationManager: ConfigurationManager
  readonly members: MemberDirectory
  readonly patches: PatchService
  readonly plans: PlanFollower
  readonly reports: WorkerReports
  readonly peerService: PeerService
  readonly heartbeats: Heartbeats
  readonly peerClient: IPeerClient
  readonly registry: DocumentRegistry
}

/** The planning components that other parts of the daemon use. */
export interface PlanParts {
  readonly demand: DemandMeter
  readonly measurementCollector: MeasurementCollector
  readonly planWatcher: PlanWatcher
  readonly planHolder: PlanHolder
  readonly drainPlanner: DrainPlanner
}

/**
 * @param inputs dependencies of the components
 * @param owned closes the components
 * @returns the components, not started yet
 */
export function createPlanParts (inputs: PlanPartInputs, owned: CloseStack): PlanParts {
  const { settings, clock, random, logger, plans, configurationManager, members, heartbeats, peerService, registry } = inputs
  const { nodeId, region } = settings
  const demand = new DemandMeter(region, clock)
  const documents = owned.add(new PlanDocuments(plans, inputs.digester, logger))
  const publisher = owned.add(new PlanPublisher(settings, inputs.peerClient, members, documents, clock, logger))
  const collector = owned.add(new MeasurementCollector(nodeId, demand, inputs.reports, members, clock, () => documents.listVersionsInForce()))
  registry.addSource(documents)
  registry.addObserver(collector)
  plans.setConditions((service) => ({ failedUntil: collector.failedUntil, utilization: collector.getUtilization(service), measurements: collector.measurements }))
  owned.add(new PlanTimer(collector, plans, clock))
  owned.add(new StepReporter({
    plans,
    clock,
    logger,
    getSettleMs: () => configurationManager.current?.body.shiftCaps.settleMs,
    findHolderId: () => documents.newestPlanOriginId === nodeId || members.list().length > MAX_SMALL_FLEET_VMS ? undefined : documents.newestPlanOriginId,
    report: (holderId) => heartbeats.reportTo(holderId)
  }))
  const store = new PlanStore(inputs.store, settings.store.keyPrefix)
  const planWatcher = owned.add(new PlanWatcher({ nodeId, region }, inputs.store, store, plans, members, clock, random, logger))
  const planHolder = owned.add(new PlanHolder({
    nodeId,
    store,
    plans,
    collector,
    configurationManager,
    clock,
    random,
    logger,
    isLive: () => peerService.state === NodeState.Live,
    askForMeasurements: () => heartbeats.exchangeWithAll(),
    push: (service) => publisher.publish(service)
  }))
  const drainPlanner = new DrainPlanner(plans, collector)
  inputs.patches.checkResult = (current, next) => drainPlanner.check(current, next)
  return { demand, measurementCollector: collector, planWatcher, planHolder, drainPlanner }
}
