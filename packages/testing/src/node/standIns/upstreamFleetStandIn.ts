/** All upstream workers of a steering configuration, each on a listener of its own. */
import type { IClosable } from '@umberspar/base/common/closing'
import { CloseStack } from '@umberspar/base/common/closing'
import type { IClock } from '@umberspar/base/common/clock'
import { Emitter } from '@umberspar/base/common/event'
import { SeededRandom } from '@umberspar/base/common/random'
import { SystemClock } from '@umberspar/base/node/systemClock'
import type { SteeringConfiguration, WorkerConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import { configurationSchema } from '@umberspar/steering/common/configuration/configurationSchema'
import type { ExecutionEvent } from './upstream/executionEvent.js'
import type { WorkerFaults } from './upstream/workerFaults.js'
import type { WorkerOptions } from './upstream/workerOptions.js'
import { UpstreamWorkerStandIn } from './upstreamWorkerStandIn.js'

/** Where a VM or a worker stands. */
export interface Location {
  readonly region: string
  readonly failureDomain: string
}

/** What a fleet's workers have in common. */
export interface FleetOptions {
  readonly clock: IClock
  readonly seed: number
  /** True: every worker takes a free port; false: the configured address. */
  readonly usesFreePorts: boolean
  /** One-way delay between two failure domains of a region, in milliseconds. */
  readonly betweenDomainsMs: number
  /** Where an entry VM stands; undefined for one that is not known, which counts as near. */
  readonly findEntry: (entryId: string) => Location | undefined
  /** How the workers of a service behave. */
  readonly getWorkerOptions: (service: string) => Partial<WorkerOptions>
}

/** One worker of a fleet with its place. */
export interface FleetWorker extends Location {
  /** `service/failureDomain/name of the worker`. */
  readonly workerId: string
  readonly service: string
  /** `host:port` as listened on. */
  readonly address: string
  readonly worker: UpstreamWorkerStandIn
}

interface PlannedWorker extends Location {
  readonly service: string
  readonly workerName: string
  readonly settings: WorkerConfiguration
}

const DEFAULT_OPTIONS: FleetOptions = {
  clock: new SystemClock(),
  seed: 1,
  usesFreePorts: true,
  betweenDomainsMs: 0.5,
  findEntry: () => undefined,
  getWorkerOptions: () => ({})
}

function listPlannedWorkers (configuration: SteeringConfiguration): PlannedWorker[] {
  const regionByDomain = new Map<string, string>()
  for (const [region, { failureDomains }] of Object.entries(configuration.regions)) {
    for (const failureDomain of failureDomains) regionByDomain.set(failureDomain, region)
  }
  return Object.entries(configuration.services).flatMap(([service, { places }]) => {
    return Object.entries(places).flatMap(([failureDomain, place]) => {
      const region = regionByDomain.get(failureDomain) ?? ''
      return Object.entries(place.workers).map(([workerName, settings]) => ({ service, failureDomain, region, workerName, settings }))
    })
  })
}

function computeOneWayMs (configuration: SteeringConfiguration, entry: Location | undefined, worker: Location, betweenDomainsMs: number): number {
  if (entry === undefined || entry.failureDomain === worker.failureDomain) return 0
  if (entry.region === worker.region) return betweenDomainsMs
  const link = configuration.links.find((candidate) => candidate.from === entry.region && candidate.to === worker.region)
  return link?.oneWayMs ?? betweenDomainsMs
}

/** The workers of one configuration. */
export class UpstreamFleetStandIn implements IClosable {
  private readonly closing = new CloseStack()
  private readonly members = new Map<string, FleetWorker>()
  private readonly didExecute = new Emitter<ExecutionEvent>()
  private readonly options: FleetOptions

  /** Fires what any worker's `onDidExecute` fires. */
  readonly onDidExecute = this.didExecute.event

  private constructor (readonly configuration: SteeringConfiguration, options: Partial<FleetOptions>) {
    this.options = { ...DEFAULT_OPTIONS, ...options }
    this.closing.add(this.didExecute)
  }

  /**
   * Starts every worker; `configuration` of the result names the addresses listened on.
   * @param configurationInput a parsed JSON document that passes the schema
   * @param options what differs from free ports and fast, near workers
   * @returns the fleet, once all workers listen
   */
  static async start (configurationInput: unknown, options: Partial<FleetOptions> = {}): Promise<UpstreamFleetStandIn> {
    const configuration = configurationSchema.parse(configurationInput)
    const fleet = new UpstreamFleetStandIn(configuration, options)
    const planned = listPlannedWorkers(configuration)
    try {
      for (const [index, member] of planned.entries()) await fleet.addWorker(member, index)
    } catch (failure) {
      await fleet.close()
      throw failure
    }
    return fleet
  }

  /** @returns every worker with its place */
  listWorkers (): readonly FleetWorker[] {
    return [...this.members.values()]
  }

  /**
   * @param workerId `service/failureDomain/name of the worker`
   * @returns the worker, undefined if there is none
   */
  findWorker (workerId: string): FleetWorker | undefined {
    return this.members.get(workerId)
  }

  /**
   * @param failureDomain the failure domain
   * @returns its workers, of all services
   */
  listDomain (failureDomain: string): readonly FleetWorker[] {
    return this.listWorkers().filter((member) => member.failureDomain === failureDomain)
  }

  /** @param changes faults to switch on or off in every worker */
  setFaults (changes: Partial<WorkerFaults>): void {
    for (const { worker } of this.members.values()) worker.setFaults(changes)
  }

  /** Switches every fault of every worker off. */
  clearFaults (): void {
    for (const { worker } of this.members.values()) worker.clearFaults()
  }

  /** Closes every worker. */
  close (): Promise<void> {
    return this.closing.close()
  }

  private async addWorker (member: PlannedWorker, index: number): Promise<void> {
    const { service, failureDomain, region, workerName, settings } = member
    const { clock, seed, betweenDomainsMs } = this.options
    const workerId = `${service}/${failureDomain}/${workerName}`
    const refusal = this.configuration.services[service]?.refusal
    const worker = new UpstreamWorkerStandIn({
      clock,
      random: new SeededRandom(seed + index),
      ...(refusal === undefined ? {} : { refusal }),
      ...this.options.getWorkerOptions(service),
      workerId,
      slots: settings.slots,
      connections: settings.connections,
      getOneWayMs: (entryId) => computeOneWayMs(this.configuration, this.options.findEntry(entryId), member, betweenDomainsMs)
    })
    this.closing.add(worker)
    worker.onDidExecute((event) => this.didExecute.fire(event))
    const address = await worker.start(this.options.usesFreePorts ? undefined : settings.address)
    settings.address = address
    this.members.set(workerId, { workerId, service, failureDomain, region, address, worker })
  }
}
