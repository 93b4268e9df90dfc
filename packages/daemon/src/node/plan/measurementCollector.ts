/** Collects this node's view of demand, places and members from its own meters and from peers' heartbeats. */
import type { IClock } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { Emitter } from '@umberspar/base/common/event'
import type { Deadline } from '@umberspar/base/common/deadline'
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import { addMeasurement, computeDemand, type MeasurementState, NO_MEASUREMENTS, type NodeMeasurement, type PlanMember, setMembers } from '@umberspar/steering/common/plan/measurements'
import { getPlaceKey, listFailedDomains, updateFailures } from '@umberspar/steering/common/plan/placeFailures'
import { parseInForceName } from '@umberspar/steering/common/plan/planDocument'
import type { PlaceObservation } from '@umberspar/steering/common/plan/plannerState'
import type { Demand } from '@umberspar/steering/common/plan/servicePlan'
import type { DemandReport, DocumentVersion } from '@umberspar/steering/common/membership/memberFacts'
import type { Heartbeat } from '@umberspar/steering/common/ports/peers'
import { NodeState } from '@umberspar/steering/common/state/nodeState'
import type { MemberDirectory } from '../members/memberDirectory.js'
import { computeMemberState } from '../members/memberDirectory.js'
import type { IDigestObserver } from '../peers/documentRegistry.js'
import type { WorkerReports } from '../places/workerReports.js'
import type { DemandMeter } from './demandMeter.js'
import { PlaceObserver } from './placeObserver.js'

/** Holds the measurements of all nodes and updates them. */
export class MeasurementCollector implements IDigestObserver, IClosable {
  private readonly observer = new PlaceObserver()
  private readonly didReceive = new Emitter<void>()
  private configuration: SteeringConfiguration | undefined
  private state: MeasurementState = NO_MEASUREMENTS
  private failures: ReadonlyMap<string, Deadline> = new Map()
  private observedPlaces: readonly PlaceObservation[] = []

  constructor (
    private readonly selfId: string,
    private readonly meter: DemandMeter,
    private readonly reports: WorkerReports,
    private readonly members: MemberDirectory,
    private readonly clock: IClock,
    private readonly listInForce: () => readonly DocumentVersion[]
  ) {}

  /** Fires after a peer's measurements were recorded. */
  readonly onDidReceive = this.didReceive.event

  /** @returns all measurements, as of the last update */
  get measurements (): MeasurementState {
    return this.state
  }

  /** @returns when failed places recover, by place */
  get failedUntil (): ReadonlyMap<string, Deadline> {
    return this.failures
  }

  /** @returns all places as last observed */
  get places (): readonly PlaceObservation[] {
    return this.observedPlaces
  }

  close (): void {
    this.didReceive.close()
  }

  /** @param configuration the configuration in force */
  setConfiguration (configuration: SteeringConfiguration): void {
    this.configuration = configuration
    this.observer.removeUnknownWorkers(configuration)
  }

  listDemand (): DemandReport[] {
    return this.meter.list(Object.keys(this.configuration?.services ?? {}))
  }

  observe (digest: Heartbeat): void {
    this.observer.observe(digest.workers)
    // A node exchanges heartbeats with few peers, so their relayed measurements of other nodes count as well, with their age.
    for (const { nodeId, demand, documents } of [digest, ...digest.members]) {
      const measurement = buildMeasurement(nodeId, demand, documents)
      if (measurement !== undefined && nodeId !== this.selfId) this.state = addMeasurement(this.state, measurement)
    }
    this.didReceive.fire()
  }

  /** Refreshes this node's own measurement, the members and the states of all places. */
  update (): void {
    const { configuration } = this
    if (configuration === undefined) return
    const now = this.clock.now()
    this.observer.observe(this.reports.listOwnReports())
    this.state = setMembers(this.state, this.listMembers())
    const own = buildMeasurement(this.selfId, this.listDemand(), this.listInForce())
    if (own !== undefined) this.state = addMeasurement(this.state, own)
    this.observedPlaces = this.observer.listPlaces(configuration, now)
    this.failures = updateFailures(this.failures, this.observedPlaces, now)
  }

  /**
   * @param service a service's name
   * @returns concurrent requests by client region, summed over all nodes
   */
  getDemand (service: string): Demand {
    return computeDemand(this.state, service)
  }

  /**
   * @param service a service's name
   * @returns failure domains where the service has failed
   */
  listFailed (service: string): Set<string> {
    return listFailedDomains(this.failures, service, this.clock.now())
  }

  /**
   * @param service a service's name
   * @returns mean utilization by failure domain, where known
   */
  getUtilization (service: string): Record<string, number> {
    const prefix = getPlaceKey(service, '')
    return Object.fromEntries(this.observedPlaces.flatMap((place) => {
      const hasUtilization = getPlaceKey(place.service, '') === prefix && place.utilization !== undefined
      return hasUtilization ? [[place.failureDomain, place.utilization]] : []
    })) as Record<string, number>
  }

  /** @returns entry VMs of the membership list that aren't leaving */
  listMembers (): PlanMember[] {
    return this.members.list().flatMap((member) => {
      const isSelf = member.vm.vmId === this.selfId
      const state = isSelf ? NodeState.Live : computeMemberState(member)
      return state === NodeState.Leaving ? [] : [{ nodeId: member.vm.vmId, isLive: state === NodeState.Live }]
    })
  }
}

function buildMeasurement (nodeId: string, demand: readonly DemandReport[], documents: readonly DocumentVersion[]): NodeMeasurement | undefined {
  if (demand.length === 0) return undefined
  const demandByService: Record<string, Record<string, number>> = {}
  for (const { service, clientRegion, concurrency } of demand) (demandByService[service] ??= {})[clientRegion] = concurrency
  const versionsInForce: Record<string, number> = {}
  for (const { name, version } of documents) {
    const service = parseInForceName(name)
    if (service !== undefined) versionsInForce[service] = version
  }
  return { nodeId, measuredAt: Math.min(...demand.map((report) => report.measuredAt)), inForce: versionsInForce, demand: demandByService }
}
