/** All places of the configuration in force, with this entry VM's shares of them. */
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

/** A worker with its place and the entry VMs that use it. */
export interface PlaceWorker {
  readonly workerId: string
  readonly address: string
  readonly pool: PlacePool
  /** Ids of the entry VMs that have a share of the worker's slots; others send to it only on borrowed slots. */
  readonly shareHolders: readonly string[]
}

/** A worker's address and the number of connections that this entry VM may open to it. */
export interface WorkerConnectionLimit {
  readonly address: string
  readonly connections: number
}

/** Provides this entry VM's shares. */
export interface ShareSource {
  /**
   * @param slotKey a worker's slots
   * @returns the share that may be used now
   */
  getShare(slotKey: string): SlotShare
  /**
   * @param placeKey a place
   * @returns the share of the place's own limit; Infinity if none is configured
   */
  getPlaceShare(placeKey: string): number
}

/** Creates the pools of all places and finds them by service and failure domain. */
export class PlaceDirectory implements IClosable {
  private readonly pools = new Map<string, PlacePool>()
  /** Pools of places that are no longer configured, kept until their last request has ended. */
  private readonly removedPools = new Set<PlacePool>()
  private readonly didRunOut = new Emitter<PlacePool>()
  private configuration: SteeringConfiguration | undefined

  /** Fires when a request finds no free slot in a place. */
  readonly onDidRunOut = this.didRunOut.event

  constructor (
    private readonly clock: IClock,
    private readonly random: IRandomSource,
    private readonly admission?: AdmissionPolicy
  ) {}

  /**
   * @param service a service's name
   * @param failureDomain a failure domain's name
   * @returns the pool, or undefined if the service has no place in the failure domain
   */
  find (service: string, failureDomain: string): PlacePool | undefined {
    return this.pools.get(buildPlaceKey(service, failureDomain))
  }

  /** @returns all pools */
  list (): PlacePool[] {
    return [...this.pools.values()]
  }

  /** @returns all pools, including those that are no longer configured but have slots in use */
  listWithRemoved (): PlacePool[] {
    for (const pool of this.removedPools) {
      pool.ledger.removeExpired(this.clock.now())
      if (pool.ledger.listUsage().size === 0) this.removedPools.delete(pool)
    }
    return [...this.pools.values(), ...this.removedPools]
  }

  /**
   * Applies a configuration.
   * @param configuration the configuration in force
   * @param source provides this node's shares
   * @param roster the entry VMs among which slots are divided
   * @returns the workers of all places
   */
  update (configuration: SteeringConfiguration, source: ShareSource, roster: readonly LookupNode[]): PlaceWorker[] {
    this.configuration = configuration
    const configured = new Set<string>()
    const workers: PlaceWorker[] = []
    for (const [service, settings] of Object.entries(configuration.services)) {
      for (const [failureDomain, place] of Object.entries(settings.places)) {
        const pool = this.getOrCreate(service, failureDomain, settings.warmUpMs)
        configured.add(buildPlaceKey(service, failureDomain))
        const region = findRegion(configuration, failureDomain)
        const shareHolders = region === undefined ? [] : listServiceEntries(service, region, roster, configuration.entriesPerRegion)
        for (const [workerId, { address }] of Object.entries(place.workers)) workers.push({ workerId, address, pool, shareHolders })
      }
    }
    this.removeUnconfigured(configured)
    this.applyShares(source)
    return workers
  }

  /**
   * Passes to every pool its current shares.
   * @param source provides this node's shares
   */
  applyShares (source: ShareSource): void {
    for (const [service, settings] of Object.entries(this.configuration?.services ?? {})) {
      for (const [failureDomain, place] of Object.entries(settings.places)) {
        const pool = this.find(service, failureDomain)
        if (pool === undefined) continue
        pool.updateWorkers(place)
        const keys = Object.keys(place.workers).map((workerId) => pool.getSlotKey(workerId))
        const slots = new Map(keys.map((slotKey) => [slotKey, source.getShare(slotKey)]))
        pool.update(slots, source.getPlaceShare(buildPlaceKey(service, failureDomain)), settings.maxQueue)
      }
    }
  }

  /**
   * @param isProbed whether this node probes the worker at an address
   * @returns every worker with the number of connections that this node may open to it now
   */
  listConnections (isProbed: (address: string) => boolean): WorkerConnectionLimit[] {
    return this.list().flatMap((pool) => Object.entries(pool.configuredWorkers).map(([workerId, { address, connections }]) => {
      const probeConnections = isProbed(address) ? computeProbeConnections(connections) : 0
      return { address, connections: pool.ledger.countConnections(pool.getSlotKey(workerId)) + probeConnections }
    }))
  }

  close (): void {
    for (const pool of this.pools.values()) pool.close()
    this.pools.clear()
    this.didRunOut.close()
  }

  private getOrCreate (service: string, failureDomain: string, warmUpSpanMs: number): PlacePool {
    const name = buildPlaceKey(service, failureDomain)
    const existing = this.pools.get(name)
    if (existing !== undefined) return existing
    const pool = new PlacePool({ service, failureDomain }, this.clock, this.random, warmUpSpanMs, this.admission)
    pool.onDidRunOut((source) => this.didRunOut.fire(source))
    this.pools.set(name, pool)
    return pool
  }

  private removeUnconfigured (configured: ReadonlySet<string>): void {
    for (const [name, pool] of this.pools) {
      if (configured.has(name)) continue
      pool.close()
      this.pools.delete(name)
      this.removedPools.add(pool)
    }
  }
}
