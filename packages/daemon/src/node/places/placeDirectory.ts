/**
 * All places of the configuration in force, and this entry VM's parts of them.
 */
import type { IClock } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { Emitter } from '@umberspar/base/common/event'
import type { IRandomSource } from '@umberspar/base/common/random'
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import { findRegion } from '@umberspar/steering/common/configuration/findRegion'
import type { SlotShare } from '@umberspar/steering/common/limits/divideSlots'
import { computeProbeConnections } from '@umberspar/steering/common/limits/probeConnections'
import { listServiceEntries, type LookupNode } from '@umberspar/steering/common/lookup/decideLookup'
import { buildPlaceKey } from '@umberspar/steering/common/limits/slotKey'
import type { AdmissionPolicy } from './admissionQueue.js'
import { PlacePool } from './placePool.js'

/** A worker of any place, for probes. */
export interface KnownWorker {
  readonly workerId: string
  readonly address: string
  readonly pool: PlacePool
  /** Entry VMs that have a part of the worker; no others send to it. */
  readonly holders: readonly string[]
}

/** A worker's address and this entry VM's connections to it. */
export interface WorkerConnectionLimit {
  readonly address: string
  readonly connections: number
}

/** Where this entry VM's parts come from. */
export interface PartSource {
  /**
   * @param slotKey a worker's slots
   * @returns the part that may be used now
   */
  getPart(slotKey: string): SlotShare
  /**
   * @param placeKey a place
   * @returns the part of the place's own limit; Infinity where there is none
   */
  getPlacePart(placeKey: string): number
}

/** Finds pools by service and failure domain. */
export class PlaceDirectory implements IClosable {
  private readonly pools = new Map<string, PlacePool>()
  /** Pools of places that are no longer configured, until their last request has ended. */
  private readonly leaving = new Set<PlacePool>()
  private readonly didLack = new Emitter<PlacePool>()
  private configuration: SteeringConfiguration | undefined

  /** Fires when a request found no free slot in a place. */
  readonly onDidLack = this.didLack.event

  constructor (
    private readonly clock: IClock,
    private readonly random: IRandomSource,
    private readonly admission?: AdmissionPolicy
  ) {}

  /**
   * @param service a service's name
   * @param failureDomain a failure domain's name
   * @returns the pool, or undefined if the service is not there
   */
  find (service: string, failureDomain: string): PlacePool | undefined {
    return this.pools.get(buildPlaceKey(service, failureDomain))
  }

  /** @returns all pools */
  list (): PlacePool[] {
    return [...this.pools.values()]
  }

  /** @returns all pools, and those no longer configured whose slots are still in use */
  listWithUse (): PlacePool[] {
    for (const pool of this.leaving) {
      pool.ledger.removeEnded(this.clock.now())
      if (pool.ledger.listUse().size === 0) this.leaving.delete(pool)
    }
    return [...this.pools.values(), ...this.leaving]
  }

  /**
   * Takes over a configuration.
   * @param configuration the configuration in force
   * @param source this node's parts
   * @param roster the entry VMs that have a part
   * @returns all workers
   */
  update (configuration: SteeringConfiguration, source: PartSource, roster: readonly LookupNode[]): KnownWorker[] {
    this.configuration = configuration
    const kept = new Set<string>()
    const known: KnownWorker[] = []
    for (const [service, settings] of Object.entries(configuration.services)) {
      for (const [failureDomain, place] of Object.entries(settings.places)) {
        const pool = this.getOrCreate(service, failureDomain, settings.warmUpMs)
        kept.add(buildPlaceKey(service, failureDomain))
        const region = findRegion(configuration, failureDomain)
        const holders = region === undefined ? [] : listServiceEntries(service, region, roster, configuration.entriesPerRegion)
        for (const [workerId, { address }] of Object.entries(place.workers)) known.push({ workerId, address, pool, holders })
      }
    }
    this.removeOthers(kept)
    this.applyParts(source)
    return known
  }

  /**
   * Hands every pool its parts.
   * @param source this node's parts
   */
  applyParts (source: PartSource): void {
    for (const [service, settings] of Object.entries(this.configuration?.services ?? {})) {
      for (const [failureDomain, place] of Object.entries(settings.places)) {
        const pool = this.find(service, failureDomain)
        if (pool === undefined) continue
        pool.updateWorkers(place)
        const keys = Object.keys(place.workers).map((workerId) => pool.getSlotKey(workerId))
        const slots = new Map(keys.map((slotKey) => [slotKey, source.getPart(slotKey)]))
        pool.update(slots, source.getPlacePart(buildPlaceKey(service, failureDomain)), settings.maxQueue)
      }
    }
  }

  /**
   * @param isProbed tells whether this node probes the worker at an address
   * @returns every worker with the connections that this node may open to it now
   */
  listConnections (isProbed: (address: string) => boolean): WorkerConnectionLimit[] {
    return this.list().flatMap((pool) => Object.entries(pool.configuredWorkers).map(([workerId, { address, connections }]) => {
      const forProbes = isProbed(address) ? computeProbeConnections(connections) : 0
      return { address, connections: pool.ledger.countConnections(pool.getSlotKey(workerId)) + forProbes }
    }))
  }

  close (): void {
    for (const pool of this.pools.values()) pool.close()
    this.pools.clear()
    this.didLack.close()
  }

  private getOrCreate (service: string, failureDomain: string, warmUpSpanMs: number): PlacePool {
    const name = buildPlaceKey(service, failureDomain)
    const known = this.pools.get(name)
    if (known !== undefined) return known
    const pool = new PlacePool({ service, failureDomain }, this.clock, this.random, warmUpSpanMs, this.admission)
    pool.onDidLack((lacking) => this.didLack.fire(lacking))
    this.pools.set(name, pool)
    return pool
  }

  private removeOthers (kept: ReadonlySet<string>): void {
    for (const [name, pool] of this.pools) {
      if (kept.has(name)) continue
      pool.close()
      this.pools.delete(name)
      this.leaving.add(pool)
    }
  }
}
