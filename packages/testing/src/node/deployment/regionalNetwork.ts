/**
 * The links between regions of a deployment on one machine. Each region has a VM
 * list of its own, in which the peers of all regions stand with addresses of
 * relays, and a relay to the store; cutting relays cuts the region off.
 */
import type { IClosable } from '@umberspar/base/common/closing'
import { CloseStack } from '@umberspar/base/common/closing'
import type { DaemonSettings } from '@umberspar/adapters/node/settings/daemonSettings'
import type { VmEntry } from '@umberspar/steering/common/ports/vmList'
import { buildEntryVm } from '../standIns/entrySettings.js'
import { LinkFault, TcpRelay } from '../standIns/tcpRelay.js'
import { VmListStandIn } from '../standIns/vmListStandIn.js'

interface PeerRelay {
  readonly from: string
  readonly to: string
  readonly relay: TcpRelay
}

/** What of a region is cut off. */
export interface RegionCut {
  /** Its links to the peers of other regions. */
  readonly arePeersCut: boolean
  /** Its link to the store. */
  readonly isStoreCut: boolean
}

/** The links of a deployment. */
export class RegionalNetwork implements IClosable {
  private readonly closing = new CloseStack()
  private readonly peers: PeerRelay[] = []
  private readonly stores = new Map<string, TcpRelay>()
  private readonly connected: DaemonSettings[] = []

  private constructor () {}

  /** @returns the daemons' settings, with the addresses of relays and lists */
  get settings (): readonly DaemonSettings[] {
    return this.connected
  }

  /** @returns the bytes that all daemons have sent each other so far */
  get peerBytes (): number {
    return this.peers.reduce((sum, { relay }) => sum + relay.bytes, 0)
  }

  /**
   * @param settings the daemons' settings
   * @param storeAddress `host:port` of the store
   * @returns the links, all whole
   */
  static async start (settings: readonly DaemonSettings[], storeAddress: string): Promise<RegionalNetwork> {
    const network = new RegionalNetwork()
    for (const region of new Set(settings.map((each) => each.region))) await network.addRegion(region, settings, storeAddress)
    return network
  }

  /**
   * @param region which region
   * @param cut what is cut off from now on; what is not is joined again
   */
  setCut (region: string, cut: RegionCut): void {
    for (const { from, to, relay } of this.peers) {
      if (from !== to && (from === region || to === region)) relay.setFault(getFault(cut.arePeersCut))
    }
    this.stores.get(region)?.setFault(getFault(cut.isStoreCut))
  }

  async close (): Promise<void> {
    await this.closing.close()
  }

  private async addRegion (region: string, settings: readonly DaemonSettings[], storeAddress: string): Promise<void> {
    const store = this.closing.add(new TcpRelay(storeAddress))
    this.stores.set(region, store)
    const storeRelay = await store.start()
    const vms: VmEntry[] = []
    for (const each of settings) vms.push({ ...buildEntryVm(each), peerAddress: await this.addPeer(region, each) })
    const list = this.closing.add(new VmListStandIn({ vms }))
    const url = await list.start()
    for (const each of settings.filter((one) => one.region === region)) {
      this.connected.push({ ...each, store: { ...each.store, endpoints: [storeRelay] }, vmList: { url } })
    }
  }

  private async addPeer (from: string, to: DaemonSettings): Promise<string> {
    const relay = this.closing.add(new TcpRelay(to.peers.address))
    this.peers.push({ from, to: to.region, relay })
    return await relay.start()
  }
}

function getFault (isCut: boolean): LinkFault {
  return isCut ? LinkFault.Break : LinkFault.None
}
