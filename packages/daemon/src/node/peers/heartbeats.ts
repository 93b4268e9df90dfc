/**
 * Exchanges digests with a bounded number of neighbours, fetches newer documents
 * from them and pushes documents to neighbours that have older ones.
 */
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline } from '@umberspar/base/common/deadline'
import { runDetached } from '@umberspar/base/common/detached'
import { type ILogger, logError, LogLevel } from '@umberspar/base/common/logger'
import { addJitter, type IRandomSource } from '@umberspar/base/common/random'
import type { Heartbeat, IPeerClient, PeerDocument } from '@umberspar/steering/common/ports/peers'
import { chooseNeighbours, computeRoundIntervalMs, type Neighbours, MAX_SMALL_FLEET_VMS } from '@umberspar/steering/common/gossip/neighbours'
import type { NodeLocation } from '@umberspar/steering/common/gossip/nodeLocation'
import { type ConfigurationManager, ConfigurationSource } from '../configuration/configurationManager.js'
import type { MemberDirectory } from '../members/memberDirectory.js'
import type { DocumentRegistry } from './documentRegistry.js'
import { CONFIGURATION_DOCUMENT, decodeDocument, encodeDocument, type PeerService } from './peerService.js'

const HEARTBEAT_JITTER_RATIO = 0.2
const CALL_TIMEOUT_MS = 2000

/** Sends this node's heartbeats to peers and processes their answers. */
export class Heartbeats implements IClosable {
  private readonly pendingExchanges = new Map<string, Promise<boolean>>()
  private timer: ITimer | undefined
  private isClosed = false

  constructor (
    private readonly self: NodeLocation,
    private readonly client: IPeerClient,
    private readonly service: PeerService,
    private readonly members: MemberDirectory,
    private readonly configurationManager: ConfigurationManager,
    private readonly registry: DocumentRegistry,
    private readonly clock: IClock,
    private readonly random: IRandomSource,
    private readonly logger: ILogger
  ) {}

  /** Exchanges digests with the neighbours now and then periodically. */
  async start (): Promise<void> {
    await this.sendRound()
    this.scheduleRound()
  }

  /** Exchanges digests with this round's neighbours concurrently, so that an unreachable peer doesn't delay the others. */
  async sendRound (): Promise<void> {
    if (this.isClosed) return
    const neighbours = this.chooseNeighbours()
    this.service.startRound()
    this.members.markSilentMembers(neighbours.ring)
    await Promise.all([...neighbours.ring, ...neighbours.random].map((nodeId) => this.sendTo(nodeId)))
    if (this.members.list().length > MAX_SMALL_FLEET_VMS) this.closeRandomNeighbours(neighbours)
  }

  /**
   * Exchanges digests with nodes that may not be neighbours, for example when this node leaves.
   * @param nodeIds the nodes
   * @returns whether all of them have received the current state
   */
  async sendToAll (nodeIds: readonly string[]): Promise<boolean> {
    if (this.isClosed) return false
    // A digest with the beat of an earlier one would be ignored as already known.
    this.service.startRound()
    const delivered = await Promise.all(nodeIds.map((nodeId) => this.sendTo(nodeId)))
    return delivered.every(Boolean)
  }

  close (): void {
    this.isClosed = true
    this.timer?.close()
  }

  private chooseNeighbours (): Neighbours {
    const nodes = this.members.list().map(({ vm }) => ({ nodeId: vm.vmId, region: vm.region }))
    return chooseNeighbours(nodes, this.self, this.random)
  }

  private async sendTo (nodeId: string): Promise<boolean> {
    const address = this.members.get(nodeId)?.vm.peerAddress
    // Calls to a peer that doesn't answer must not accumulate with every round.
    if (address === undefined || this.pendingExchanges.has(nodeId)) return false
    const exchange = this.exchange(nodeId, address)
    this.pendingExchanges.set(nodeId, exchange)
    try {
      return await exchange
    } finally {
      this.pendingExchanges.delete(nodeId)
    }
  }

  private async exchange (nodeId: string, address: string): Promise<boolean> {
    const answer = await this.client.exchange(address, this.service.buildDigest(nodeId), this.createCallDeadline())
    if (this.isClosed) return false
    if (!answer.ok) {
      logError(this.logger, LogLevel.Debug, answer.val)
      return false
    }
    const peerVersion = this.service.observe(answer.val, true)
    await this.exchangeDocuments(address, answer.val)
    if (peerVersion > this.configurationManager.version) await this.fetchConfiguration(address)
    else if (peerVersion < this.configurationManager.version) await this.pushConfiguration(address)
    return true
  }

  /**
   * Sends this node's current measurements to a node, neighbour or not.
   * @param nodeId the receiving node
   * @returns whether it has received them
   */
  async reportTo (nodeId: string): Promise<boolean> {
    // A call in flight contains older measurements.
    await this.pendingExchanges.get(nodeId)?.catch(() => false)
    return !this.isClosed && await this.sendTo(nodeId)
  }

  /** Exchanges digests with all nodes of a small fleet, or with this round's neighbours in a large one. */
  async exchangeWithAll (): Promise<void> {
    const others = this.members.list().filter(({ vm }) => vm.vmId !== this.self.nodeId)
    if (others.length > MAX_SMALL_FLEET_VMS) await this.sendRound()
    else await Promise.all(others.map(({ vm }) => this.sendTo(vm.vmId)))
  }

  private async exchangeDocuments (address: string, remote: Heartbeat): Promise<void> {
    for (const { name, aboveVersion } of this.registry.listDocumentsToFetch(remote)) {
      const fetched = await this.client.fetch(address, name, aboveVersion, this.createCallDeadline())
      if (!fetched.ok) logError(this.logger, LogLevel.Warn, fetched.val)
      else if (fetched.val !== undefined) this.registry.apply(fetched.val, address)
    }
    await Promise.all(this.registry.listDocumentsToPush(remote).map((document) => this.pushDocument(address, document)))
  }

  private async pushDocument (address: string, document: PeerDocument): Promise<void> {
    const pushed = await this.client.push(address, document, this.createCallDeadline())
    if (!pushed.ok) logError(this.logger, LogLevel.Debug, pushed.val)
  }

  private async fetchConfiguration (address: string): Promise<void> {
    const fetched = await this.client.fetch(address, CONFIGURATION_DOCUMENT, this.configurationManager.version, this.createCallDeadline())
    if (!fetched.ok) logError(this.logger, LogLevel.Warn, fetched.val)
    else if (fetched.val !== undefined) this.configurationManager.apply(decodeDocument(fetched.val), address, { source: ConfigurationSource.Digest })
  }

  private async pushConfiguration (address: string): Promise<void> {
    const current = this.configurationManager.currentText
    if (current === undefined) return
    const pushed = await this.client.push(address, encodeDocument(current), this.createCallDeadline())
    if (!pushed.ok) logError(this.logger, LogLevel.Warn, pushed.val)
  }

  /** Closes channels to random neighbours; otherwise there would be one to every node of a large fleet in the end. */
  private closeRandomNeighbours (neighbours: Neighbours): void {
    for (const nodeId of neighbours.random) {
      const address = this.members.get(nodeId)?.vm.peerAddress
      if (address !== undefined) this.client.closePeer(address)
    }
  }

  private createCallDeadline (): number {
    return createDeadline(this.clock.now(), CALL_TIMEOUT_MS)
  }

  private scheduleRound (): void {
    if (this.isClosed) return
    const intervalMs = computeRoundIntervalMs(this.members.list().length)
    const at = createDeadline(this.clock.now(), addJitter(this.random, intervalMs, HEARTBEAT_JITTER_RATIO))
    this.timer = this.clock.schedule(at, () => {
      // The next round doesn't wait for this one, so that a peer that doesn't answer can't delay heartbeats.
      runDetached(() => this.sendRound(), this.logger, 'send-heartbeats')
      this.scheduleRound()
    })
  }
}
