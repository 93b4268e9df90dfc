/** VMs that exchange rows over a network in simulated time, with cuts in each direction. */
import { ManualClock } from '@umberspar/base/common/manualClock'
import { DomainRoundTrips } from '@umberspar/steering/common/entry/placement/domainRoundTrips'
import type { EntryNode } from '@umberspar/steering/common/entry/records'
import type { DatagramListener } from '../../../src/node/exchange/datagramSocket.js'
import { FleetExchange } from '../../../src/node/exchange/fleetExchange.js'

const DELAY_MS = 5

/** One VM. */
export interface SimulatedVm {
  readonly node: EntryNode
  readonly exchange: FleetExchange
  isLate: boolean
  /** Datagrams that it has sent. */
  sentCount: number
}

/** The network and its VMs. */
export class ExchangeNetwork {
  readonly clock = new ManualClock()
  readonly vms = new Map<string, SimulatedVm>()
  /** Links that lose all datagrams, as `from to` by VM name. */
  readonly cutLinks = new Set<string>()
  private addedCount = 0
  private readonly listeners = new Map<string, { readonly name: string, readonly listener: DatagramListener }>()

  /** @param regions failure domains with their regions */
  constructor (private readonly regions: Readonly<Record<string, string>>) {}

  /** Adds a VM; without an address it runs a build that takes no part. */
  addVm (name: string, domain: string, takesPart = true): SimulatedVm {
    const number = ++this.addedCount
    const address = `10.0.${number >> 8}.${number & 255}:7000`
    const node: EntryNode = { name, address, peerAddress: address, domain, exchangeAddress: takesPart ? address : undefined }
    const regionByDomain = new Map(Object.entries(this.regions))
    const exchange = new FleetExchange({
      clock: this.clock,
      self: node,
      regionByDomain,
      roundTrips: new DomainRoundTrips(domain, regionByDomain),
      listNodes: () => [...this.vms.values()].map((vm) => vm.node),
      findSubjectDomain: ({ key }) => key.split('/')[0],
      isLate: () => vm.isLate,
      onError: () => {},
      socket: {
        listen: (_address, listener) => { this.listeners.set(address, { name, listener }) },
        send: (datagram, target) => {
          vm.sentCount++
          this.deliver(name, address, datagram, target)
        },
        close: () => { this.listeners.delete(address) }
      }
    })
    const vm: SimulatedVm = { node, exchange, isLate: false, sentCount: 0 }
    this.vms.set(name, vm)
    for (const other of this.vms.values()) other.exchange.updateNodes()
    if (takesPart) exchange.start()
    return vm
  }

  /** Ends a VM without a word; the others still have it in their list. */
  stopVm (name: string): void {
    this.vms.get(name)!.exchange.close()
  }

  /** Ends a VM that is no longer registered. */
  removeVm (name: string): void {
    this.stopVm(name)
    this.vms.delete(name)
    for (const other of this.vms.values()) other.exchange.updateNodes()
  }

  /** Cuts a VM off, or only its outgoing or incoming datagrams. */
  breakLinks (name: string, { isIncoming = true, isOutgoing = true } = {}): void {
    for (const other of this.vms.keys()) {
      if (isOutgoing) this.cutLinks.add(`${name} ${other}`)
      if (isIncoming) this.cutLinks.add(`${other} ${name}`)
    }
  }

  private deliver (from: string, fromAddress: string, datagram: Buffer, target: string): void {
    this.clock.schedule(this.clock.now() + DELAY_MS, () => {
      const receiver = this.listeners.get(target)
      if (receiver === undefined || this.cutLinks.has(`${from} ${receiver.name}`)) return
      receiver.listener(datagram, fromAddress.split(':')[0]!)
    })
  }
}
