/** Which peers own parts of a place and may lend of them. */
import { listServiceEntries } from '@umberspar/steering/common/lookup/decideLookup'
import type { ConfigurationKeeper } from '../configuration/configurationKeeper.js'
import type { MemberDirectory } from '../members/memberDirectory.js'
import { findRegion } from '@umberspar/steering/common/configuration/findRegion'
import type { PlaceKey } from '../places/placePool.js'

/** A peer that owns a part of a place. */
export interface Lender {
  readonly nodeId: string
  /** `host:port` of its peers' listener. */
  readonly address: string
}

/** Finds lenders; what it found is kept until cleared. */
export class LenderDirectory {
  private readonly found = new Map<string, readonly Lender[]>()

  constructor (
    private readonly selfId: string,
    private readonly members: MemberDirectory,
    private readonly keeper: ConfigurationKeeper
  ) {}

  /**
   * @param place a place
   * @returns the service's entry VMs in the place's region, without this node
   */
  list (place: PlaceKey): readonly Lender[] {
    const name = `${place.service}/${place.failureDomain}`
    const known = this.found.get(name)
    if (known !== undefined) return known
    const lenders = this.find(place)
    this.found.set(name, lenders)
    return lenders
  }

  /** Forgets what was found; to be called when members or configuration changed. */
  clear (): void {
    this.found.clear()
  }

  private find ({ service, failureDomain }: PlaceKey): Lender[] {
    const configuration = this.keeper.current?.body
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
