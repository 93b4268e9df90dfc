/**
 * All places of the configuration in force, and this entry VM's parts of them.
 * Parts follow the roster: the entry VMs that look-ups name for the service in
 * the worker's region.
 */
import type { IClock } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import type { IRandomSource } from '@umberspar/base/common/random'
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import { divideSlots } from '@umberspar/steering/common/limits/divideSlots'
import { listServiceEntries, type LookupNode } from '@umberspar/steering/common/lookup/decideLookup'
import { PlacePool } from './placePool.js'

/** A worker of any place, for probes and connection limits. */
export interface KnownWorker {
  readonly workerId: string
  readonly address: string
  /** This entry VM's part of the worker's connections. */
  readonly connections: number
  readonly pool: PlacePool
  /** Entry VMs that have a part of the worker; no others send to it. */
  readonly holders: readonly string[]
}

/** Finds pools by service and failure domain. */
export class PlaceDirectory implements IClosable {
  private readonly pools = new Map<string, PlacePool>()

  constructor (
    private readonly selfId: string,
    private readonly clock: IClock,
    private readonly random: IRandomSource
  ) {}

  /**
   * @param service a service's name
   * @param failureDomain a failure domain's name
   * @returns the pool, or undefined if the service is not there
   */
  find (service: string, failureDomain: string): PlacePool | undefined {
    return this.pools.get(`${service}/${failureDomain}`)
  }

  /** @returns all pools */
  list (): PlacePool[] {
    return [...this.pools.values()]
  }

  /**
   * Takes over a configuration and a roster.
   * @param configuration the configuration in force
   * @param nodes the entry VMs of the roster
   * @returns all workers with this node's part of their connections
   */
  update (configuration: SteeringConfiguration, nodes: readonly LookupNode[]): KnownWorker[] {
    const known: KnownWorker[] = []
    const kept = new Set<string>()
    for (const [service, settings] of Object.entries(configuration.services)) {
      for (const [failureDomain, place] of Object.entries(settings.places)) {
        const region = findRegion(configuration, failureDomain)
        const entries = listServiceEntries(service, region, nodes, configuration.entriesPerRegion)
        const parts = divideSlots({ service, workers: place.workers, entries, selfId: this.selfId })
        const pool = this.getOrCreate(service, failureDomain, settings.warmUpMs)
        pool.update(place, parts, settings.maxQueue)
        kept.add(`${service}/${failureDomain}`)
        for (const [workerId, worker] of Object.entries(place.workers)) {
          known.push({ workerId, address: worker.address, connections: parts.get(workerId)?.connections ?? 0, pool, holders: entries })
        }
      }
    }
    this.removeOthers(kept)
    return known
  }

  close (): void {
    for (const pool of this.pools.values()) pool.close()
    this.pools.clear()
  }

  private getOrCreate (service: string, failureDomain: string, warmUpSpanMs: number): PlacePool {
    const name = `${service}/${failureDomain}`
    const known = this.pools.get(name)
    if (known !== undefined) return known
    const pool = new PlacePool({ service, failureDomain }, this.clock, this.random, warmUpSpanMs)
    this.pools.set(name, pool)
    return pool
  }

  private removeOthers (kept: ReadonlySet<string>): void {
    for (const [name, pool] of this.pools) {
      if (kept.has(name)) continue
      pool.close()
      this.pools.delete(name)
    }
  }
}

/**
 * @param configuration a checked configuration
 * @param failureDomain one of its failure domains
 * @returns the region it belongs to
 */
export function findRegion (configuration: SteeringConfiguration, failureDomain: string): string {
  for (const [region, settings] of Object.entries(configuration.regions)) {
    if (settings.failureDomains.includes(failureDomain)) return region
  }
  return ''
}
