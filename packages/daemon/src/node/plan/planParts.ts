/** Creates what measures demand, follows the agreed plan and, on one node, advances it. */
import type { CloseStack } from '@umberspar/base/common/closing'
import type { Digester } from '@umberspar/steering/common/configuration/canonicalJson'
import type { IKeyValueStore } from '@umberspar/steering/common/ports/keyValueStore'
import type { IPeerClient } from '@umberspar/steering/common/ports/peers'
import { SMALL_FLEET } from '@umberspar/steering/common/spread/neighbours'
import { NodeState } from '@umberspar/steering/common/state/nodeState'
import type { ConfigurationKeeper } from '../configuration/configurationKeeper.js'
import type { PatchService } from '../configuration/patchService.js'
import type { PartInputs } from '../partInputs.js'
import type { MemberDirectory } from '../members/memberDirectory.js'
import type { DocumentRegistry } from '../peers/documentRegistry.js'
import type { Heartbeats } from '../peers/heartbeats.js'
import type { PeerService } from '../peers/peerService.js'
import type { PlanKeeper } from '../places/planKeeper.js'
import type { WorkerReports } from '../places/workerReports.js'
import { DemandMeter } from './demandMeter.js'
import { DrainPlanner } from './drainPlanner.js'
import { MeasurementBoard } from './measurementBoard.js'
import { PlanDocuments } from './planDocuments.js'
import { PlanHolder } from './planHolder.js'
import { PlanSpreader } from './planSpreader.js'
import { StepReporter } from './stepReporter.js'
import { PlanStore } from './planStore.js'
import { PlanTimer } from './planTimer.js'
import { PlanWatcher } from './planWatcher.js'

/** What planning is made from. */
export interface PlanPartInputs extends PartInputs {
  readonly digester: Digester
  readonly store: IKeyValueStore
  readonly keeper: ConfigurationKeeper
  readonly members: MemberDirectory
  readonly patches: PatchService
  readonly plans: PlanKeeper
  readonly reports: WorkerReports
  readonly peerService: PeerService
  readonly heartbeats: Heartbeats
  readonly peerClient: IPeerClient
  readonly registry: DocumentRegistry
}

/** The parts of planning. */
export interface PlanParts {
  readonly demand: DemandMeter
  readonly board: MeasurementBoard
  readonly planWatcher: PlanWatcher
  readonly planHolder: PlanHolder
  readonly drainPlanner: DrainPlanner
}

/**
 * @param inputs the daemon's other parts
 * @param owned closes the parts
 * @returns the parts, nothing started yet
 */
export function createPlanParts (inputs: PlanPartInputs, owned: CloseStack): PlanParts {
  const { settings, clock, random, logger, plans, keeper, members, heartbeats, peerService, registry } = inputs
  const { nodeId, region } = settings
  const demand = new DemandMeter(region, clock)
  const documents = owned.add(new PlanDocuments(plans, inputs.digester, logger))
  const spreader = owned.add(new PlanSpreader(settings, inputs.peerClient, members, documents, clock, logger))
  const board = owned.add(new MeasurementBoard(nodeId, demand, inputs.reports, members, clock, () => documents.listInForce()))
  registry.addSource(documents)
  registry.addObserver(board)
  plans.setConditions((service) => ({ failedUntil: board.failedUntil, utilization: board.getUtilization(service), measurements: board.measurements }))
  owned.add(new PlanTimer(board, plans, clock))
  owned.add(new StepReporter({
    plans,
    clock,
    logger,
    getSettleSpan: () => keeper.current?.body.shiftCaps.settleMs,
    findHolder: () => documents.pusherId === nodeId || members.list().length > SMALL_FLEET ? undefined : documents.pusherId,
    report: (holderId) => heartbeats.reportTo(holderId)
  }))
  const store = new PlanStore(inputs.store, settings.store.keyPrefix)
  const planWatcher = owned.add(new PlanWatcher({ nodeId, region }, inputs.store, store, plans, members, clock, random, logger))
  const planHolder = owned.add(new PlanHolder({
    nodeId,
    store,
    plans,
    board,
    keeper,
    clock,
    random,
    logger,
    isLive: () => peerService.state === NodeState.Live,
    measure: () => heartbeats.exchangeWithAll(),
    push: (service) => spreader.pushOwn(service)
  }))
  const drainPlanner = new DrainPlanner(plans, board)
  inputs.patches.checkResult = (current, next) => drainPlanner.check(current, next)
  return { demand, board, planWatcher, planHolder, drainPlanner }
}
