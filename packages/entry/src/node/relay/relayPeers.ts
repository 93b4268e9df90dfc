/** The entry VMs to which this one relays requests: connections, requests in flight, and which of them can't take any for a while. */
import type { IClock, Instant } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import { chooseRelay, type RelayScope } from '@umberspar/steering/common/entry/relay/chooseRelay'
import type { EntryNode } from '@umberspar/steering/common/entry/records'
import { splitAddress } from '../address.js'
import { IdleLimit } from '../upstream/idleLimit.js'
import { type EchoRule } from '../upstream/upstreamConnection.js'
import { openSocket, UpstreamPool } from '../upstream/upstreamPool.js'

/** How long a VM that can't take requests of a service isn't asked again. */
const UNABLE_MS = 1_000
/** How long a VM to which no connection could be opened isn't asked again. */
const UNREACHABLE_MS = 2_000

interface RelayPeer {
  node: EntryNode
  pool: UpstreamPool
  inFlight: number
  unreachableUntil: Deadline
  readonly unableUntil: Map<string, Deadline>
}

/** The other entry VMs as relays. */
export class RelayPeers implements IClosable {
  private readonly peers = new Map<string, RelayPeer>()
  private readonly idleLimit: IdleLimit

  /**
   * @param self this VM's name
   * @param listNodes the registered entry VMs
   * @param rule how responses are matched to requests
   * @param clock for timeouts
   * @param maxSilenceMs how long after a connection fell silent requests may still be sent on it, in milliseconds
   * @param listVmsWithout lists the VMs that have said that they don't reach a service's workers
   */
  constructor (
    private readonly self: string,
    private readonly listNodes: () => Iterable<EntryNode>,
    private readonly rule: EchoRule,
    private readonly clock: IClock,
    maxSilenceMs: number,
    private readonly listVmsWithout: (service: string) => ReadonlySet<string> = () => new Set()
  ) {
    this.idleLimit = new IdleLimit(maxSilenceMs)
  }

  /** @returns the number of relayed requests that other VMs have not answered yet */
  get inFlightRequests (): number {
    let inFlight = 0
    for (const peer of this.peers.values()) inFlight += peer.inFlight
    return inFlight
  }

  /**
   * @param service the service of the request
   * @param scope where this VM is, and where the request may go
   * @returns the VM to relay a request to; undefined if none can take it
   */
  choose (service: string, scope: RelayScope): EntryNode | undefined {
    const now = this.clock.now()
    const vmsWithout = this.listVmsWithout(service)
    const candidates = [...this.listNodes()]
      .filter(({ name }) => name !== this.self && this.canAsk(name, service, now))
      .map((node) => ({ node, inFlight: this.peers.get(node.name)?.inFlight ?? 0, hasLostService: vmsWithout.has(node.name) }))
    return chooseRelay(candidates, scope)
  }

  /** @returns the connections to a VM */
  getPool (node: EntryNode): UpstreamPool {
    return this.getPeer(node).pool
  }

  /**
   * Records that a request is relayed to a VM.
   * @returns called once, when the request has ended in any way
   */
  startRequest (node: EntryNode): () => void {
    const peer = this.getPeer(node)
    peer.inFlight++
    return () => { peer.inFlight-- }
  }

  /** Records that a VM can't take requests of a service now. */
  recordUnable (node: EntryNode, service: string): void {
    this.getPeer(node).unableUntil.set(service, createDeadline(this.clock.now(), UNABLE_MS))
  }

  /** Records that no connection to a VM could be opened. */
  recordUnreachable (node: EntryNode): void {
    this.getPeer(node).unreachableUntil = createDeadline(this.clock.now(), UNREACHABLE_MS)
  }

  /** Closes the connections to a VM that is no longer registered; open requests are finished. */
  remove (name: string): void {
    this.peers.get(name)?.pool.close()
    this.peers.delete(name)
  }

  close (): void {
    for (const name of [...this.peers.keys()]) this.remove(name)
  }

  private canAsk (name: string, service: string, now: Instant): boolean {
    const peer = this.peers.get(name)
    return peer === undefined || (hasPassed(peer.unreachableUntil, now) && hasPassed(peer.unableUntil.get(service) ?? now, now))
  }

  private getPeer (node: EntryNode): RelayPeer {
    let peer = this.peers.get(node.name)
    const { host, port } = splitAddress(node.peerAddress)
    if (peer !== undefined && !peer.pool.isFor(host, port)) {
      this.remove(node.name)
      peer = undefined
    }
    if (peer === undefined) {
      const pool = new UpstreamPool(host, port, this.rule, () => {}, this.idleLimit, this.clock, openSocket)
      peer = { node, pool, inFlight: 0, unreachableUntil: Number.NEGATIVE_INFINITY, unableUntil: new Map() }
      this.peers.set(node.name, peer)
    }
    return peer
  }
}
