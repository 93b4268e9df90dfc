/** Finds the peers that own shares of a place and may lend slots. */
import { listServiceEntries } from '@umberspar/steering/common/lookup/decideLookup'
import type { ConfigurationManager } from '../configuration/configurationManager.js'
import type { MemberDirectory } from '../members/memberDirectory.js'
import { findRegion } from '@umberspar/steering/common/configuration/findRegion'
import type { PlaceKey } from '../places/placePool.js'

/** A peer that owns a share of a place. */
export interface Lender {
  readonly nodeId: string
  /** `host:port` where it listens for peers. */
  readonly address: string
}

/** Finds the lenders of places and caches them until {@link clear}. */
export class LenderDirectory {
  private readonly lendersByPlace = new Map<string, readonly Lender[]>()

  constructor (
    private readonly selfId: string,
    private readonly members: MemberDirectory,
    private readonly configurationManager: ConfigurationManager
  ) {}

  /**
   * @param place a place
   * @returns the service's entry VMs in the place's region, except this node
   */
  list (place: PlaceKey): readonly Lender[] {
    const name = `${place.service}/${place.failureDomain}`
    const cached = this.lendersByPlace.get(name)
    if (cached !== undefined) return cached
    const lenders = this.findLenders(place)
    this.lendersByPlace.set(name, lenders)
    return lenders
  }

  /** Clears the cache; must be called when members or the configuration have changed. */
  clear (): void {
    this.lendersByPlace.clear()
  }

  private findLenders ({ service, failureDomain }: PlaceKey): Lender[] {
    const configuration = this.configurationManager.current?.body
    const region = configuration === undefined ? undefined : findRegion(configuration, failureDomain)
    if (configuration === undefined || region === undefined) return []
    const members = this.members.list()
    const candidates = members.map(({ vm }) => ({ nodeId: vm.vmId, region: vm.region, failureDomain: vm.failureDomain }))
    const owners = new Set(listServiceEntries(service, region, candidates, configuration.entriesPerRegion))
    return members.flatMap(({ vm }) => {
      if (vm.vmId === this.selfId || !owners.has(vm.vmId) || vm.peerAddress === undefined) return []
      return [{ nodeId: vm.vmId, address: vm.peerAddress }]
    })
  }
}
