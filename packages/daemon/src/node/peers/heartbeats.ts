/**
 * Compares digests with a bounded number of neighbours, and fetches the
 * configuration from those ahead or hands it to those behind.
 */
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline } from '@umberspar/base/common/deadline'
import { runDetached } from '@umberspar/base/common/detached'
import { type ILogger, logError, LogLevel } from '@umberspar/base/common/logger'
import { addJitter, type IRandomSource } from '@umberspar/base/common/random'
import type { Digest, IPeerClient, PeerDocument } from '@umberspar/steering/common/ports/peers'
import { chooseNeighbours, computeRoundSpan, type Neighbours, SMALL_FLEET } from '@umberspar/steering/common/spread/neighbours'
import type { SpreadNode } from '@umberspar/steering/common/spread/spreadNode'
import { type ConfigurationKeeper, LearnSource } from '../configuration/configurationKeeper.js'
import type { MemberDirectory } from '../members/memberDirectory.js'
import type { DocumentRegistry } from './documentRegistry.js'
import { CONFIGURATION_DOCUMENT, decodeDocument, encodeDocument, type PeerService } from './peerService.js'

const HEARTBEAT_JITTER = 0.2
const CALL_DEADLINE_MS = 2000

/** The outgoing side of the conversation between daemons. */
export class Heartbeats implements IClosable {
  private readonly running = new Set<string>()
  private timer: ITimer | undefined
  private isClosed = false

  constructor (
    private readonly self: SpreadNode,
    private readonly client: IPeerClient,
    private readonly service: PeerService,
    private readonly members: MemberDirectory,
    private readonly keeper: ConfigurationKeeper,
    private readonly registry: DocumentRegistry,
    private readonly clock: IClock,
    private readonly random: IRandomSource,
    private readonly logger: ILogger
  ) {}

  /** Speaks to its neighbours once, then again and again. */
  async start (): Promise<void> {
    await this.sendRound()
    this.scheduleRound()
  }

  /** Speaks to this round's neighbours now; a peer out of reach delays nobody else. */
  async sendRound (): Promise<void> {
    if (this.isClosed) return
    const neighbours = this.chooseNeighbours()
    this.service.startRound()
    this.members.updateSilence(neighbours.ring)
    await Promise.all([...neighbours.ring, ...neighbours.random].map((nodeId) => this.sendTo(nodeId)))
    if (this.members.list().length > SMALL_FLEET) this.closeChance(neighbours)
  }

  /**
   * Speaks now to nodes that need not be neighbours, as when this node leaves.
   * @param nodeIds to whom
   * @returns whether all have heard the state of now
   */
  async sendToAll (nodeIds: readonly string[]): Promise<boolean> {
    if (this.isClosed) return false
    // A digest with the beat of an earlier one would count as the same news.
    this.service.startRound()
    const heard = await Promise.all(nodeIds.map((nodeId) => this.sendTo(nodeId)))
    return heard.every(Boolean)
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
    // A peer that hangs must not gather a call for every round.
    if (address === undefined || this.running.has(nodeId)) return false
    this.running.add(nodeId)
    try {
      return await this.send(nodeId, address)
    } finally {
      this.running.delete(nodeId)
    }
  }

  private async send (nodeId: string, address: string): Promise<boolean> {
    const answer = await this.client.exchange(address, this.service.buildDigest(nodeId), this.createDeadline())
    if (this.isClosed) return false
    if (!answer.ok) {
      logError(this.logger, LogLevel.Debug, answer.val)
      return false
    }
    const theirs = this.service.observe(answer.val, true)
    await this.exchangeDocuments(address, answer.val)
    if (theirs > this.keeper.version) await this.fetchFrom(address)
    else if (theirs < this.keeper.version) await this.pushTo(address)
    return true
  }

  /** Asks all nodes of a small fleet for their digests, of a large one this round's neighbours. */
  async exchangeWithAll (): Promise<void> {
    const others = this.members.list().filter(({ vm }) => vm.vmId !== this.self.nodeId)
    if (others.length > SMALL_FLEET) await this.sendRound()
    else await Promise.all(others.map(({ vm }) => this.sendTo(vm.vmId)))
  }

  private async exchangeDocuments (address: string, theirs: Digest): Promise<void> {
    for (const { name, aboveVersion } of this.registry.listWanted(theirs)) {
      const fetched = await this.client.fetch(address, name, aboveVersion, this.createDeadline())
      if (!fetched.ok) logError(this.logger, LogLevel.Warn, fetched.val)
      else if (fetched.val !== undefined) this.registry.apply(fetched.val, address)
    }
    await Promise.all(this.registry.listLacking(theirs).map((document) => this.pushDocument(address, document)))
  }

  private async pushDocument (address: string, document: PeerDocument): Promise<void> {
    const pushed = await this.client.push(address, document, this.createDeadline())
    if (!pushed.ok) logError(this.logger, LogLevel.Debug, pushed.val)
  }

  private async fetchFrom (address: string): Promise<void> {
    const fetched = await this.client.fetch(address, CONFIGURATION_DOCUMENT, this.keeper.version, this.createDeadline())
    if (!fetched.ok) logError(this.logger, LogLevel.Warn, fetched.val)
    else if (fetched.val !== undefined) this.keeper.apply(decodeDocument(fetched.val), address, { source: LearnSource.Digest })
  }

  private async pushTo (address: string): Promise<void> {
    const current = this.keeper.currentText
    if (current === undefined) return
    const pushed = await this.client.push(address, encodeDocument(current), this.createDeadline())
    if (!pushed.ok) logError(this.logger, LogLevel.Warn, pushed.val)
  }

  /** Channels to neighbours met by chance would grow to one for every node of a large fleet. */
  private closeChance (neighbours: Neighbours): void {
    for (const nodeId of neighbours.random) {
      const address = this.members.get(nodeId)?.vm.peerAddress
      if (address !== undefined) this.client.closePeer(address)
    }
  }

  private createDeadline (): number {
    return createDeadline(this.clock.now(), CALL_DEADLINE_MS)
  }

  private scheduleRound (): void {
    if (this.isClosed) return
    const spanMs = computeRoundSpan(this.members.list().length)
    const at = createDeadline(this.clock.now(), addJitter(this.random, spanMs, HEARTBEAT_JITTER))
    this.timer = this.clock.schedule(at, () => {
      // The next round does not wait for this one: a peer that hangs would slow the beat down.
      runDetached(() => this.sendRound(), this.logger, 'send-heartbeats')
      this.scheduleRound()
    })
  }
}
