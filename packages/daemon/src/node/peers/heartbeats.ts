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
import type { IPeerClient } from '@umberspar/steering/common/ports/peers'
import { chooseNeighbours, computeRoundSpan, type Neighbours, SMALL_FLEET } from '@umberspar/steering/common/spread/neighbours'
import type { SpreadNode } from '@umberspar/steering/common/spread/spreadNode'
import { type ConfigurationKeeper, LearnSource } from '../configuration/configurationKeeper.js'
import type { MemberDirectory } from '../members/memberDirectory.js'
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

  close (): void {
    this.isClosed = true
    this.timer?.close()
  }

  private chooseNeighbours (): Neighbours {
    const nodes = this.members.list().map(({ vm }) => ({ nodeId: vm.vmId, region: vm.region }))
    return chooseNeighbours(nodes, this.self, this.random)
  }

  private async sendTo (nodeId: string): Promise<void> {
    const address = this.members.get(nodeId)?.vm.peerAddress
    // A peer that hangs must not gather a call for every round.
    if (address === undefined || this.running.has(nodeId)) return
    this.running.add(nodeId)
    try {
      await this.send(address)
    } finally {
      this.running.delete(nodeId)
    }
  }

  private async send (address: string): Promise<void> {
    const answer = await this.client.exchange(address, this.service.buildDigest(), this.createDeadline())
    if (this.isClosed) return
    if (!answer.ok) {
      logError(this.logger, LogLevel.Debug, answer.val)
      return
    }
    const theirs = this.service.observe(answer.val, true)
    if (theirs > this.keeper.version) await this.fetchFrom(address)
    else if (theirs < this.keeper.version) await this.pushTo(address)
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
