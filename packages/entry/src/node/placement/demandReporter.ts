/**
 * Publishes what arrives at this VM, and lets the placement of each service follow what
 * arrives in all regions.
 */
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import type { EntryView } from '@umberspar/steering/common/entry/entryView'
import { ExchangeTopic, type IFleetExchange } from '@umberspar/steering/common/entry/exchange/exchangeRow'
import { DemandMeter } from '@umberspar/steering/common/entry/placement/demandMeter'
import { domainDemandAggregation, estimateRegionDemand, parseDomainDemand } from '@umberspar/steering/common/entry/placement/domainDemand'
import type { EntryTelemetry } from '../telemetry/entryTelemetry.js'

/** Interval in which rates are published and placements updated. */
const REPORT_INTERVAL_MS = 1_000

/** What the reporter is built from. */
export interface DemandReporterDependencies {
  /** This VM's name. */
  readonly node: string
  readonly clock: IClock
  readonly exchange: IFleetExchange
  readonly view: EntryView
  readonly regionByDomain: ReadonlyMap<string, string>
  readonly telemetry: EntryTelemetry
}

/** The demand of one entry VM. */
export class DemandReporter implements IClosable {
  private meter: DemandMeter
  private timer: ITimer | undefined

  /** @param dependencies what the reporter is built from */
  constructor (private readonly dependencies: DemandReporterDependencies) {
    this.meter = new DemandMeter(dependencies.clock.now())
    dependencies.exchange.addAggregation(domainDemandAggregation)
  }

  /** Starts to publish; called when this VM begins to get requests. */
  start (): void {
    this.meter = new DemandMeter(this.dependencies.clock.now())
    this.schedule()
  }

  /**
   * Counts a request of a caller; relayed ones are counted where they arrived first.
   * @param service the service that the request is for
   */
  recordArrival (service: string): void {
    this.meter.record(service, this.dependencies.clock.now())
  }

  /** Stops publishing; other VMs keep the last rates until they expire or this VM is no longer registered. */
  close (): void {
    this.timer?.close()
    this.timer = undefined
  }

  private schedule (): void {
    const { clock } = this.dependencies
    this.timer = clock.schedule(clock.now() + REPORT_INTERVAL_MS, () => {
      this.schedule()
      this.publish()
      this.updatePlacements()
    })
  }

  private publish (): void {
    const { node, clock, exchange } = this.dependencies
    const now = clock.now()
    const content = this.meter.read(now)
    if (content !== undefined) exchange.publish({ topic: ExchangeTopic.VmDemand, key: node, content, at: now })
  }

  private updatePlacements (): void {
    const { clock, exchange, view, regionByDomain, telemetry } = this.dependencies
    const now = clock.now()
    const demandByDomain = parseDomainDemand(exchange.listRows(ExchangeTopic.DomainDemand), now)
    for (const [service, pool] of view.pools) {
      const perSecondByRegion = estimateRegionDemand(service, demandByDomain, view.nodeLists.sendingNodes, regionByDomain)
      pool.updateDemand(perSecondByRegion, view.evacuatedDomains, now)
      if (pool.placement?.state !== undefined) telemetry.logPlacement(service, pool.placement.state)
    }
  }
}
