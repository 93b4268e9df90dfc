/**
 * Sends heartbeats to peers, hands the configuration to those behind, and
 * fetches it from those ahead.
 */
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline } from '@umberspar/base/common/deadline'
import { runDetached } from '@umberspar/base/common/detached'
import { type ILogger, logError, LogLevel } from '@umberspar/base/common/logger'
import { addJitter, type IRandomSource } from '@umberspar/base/common/random'
import type { IPeerClient } from '@umberspar/steering/common/ports/peers'
import { NodeState } from '@umberspar/steering/common/state/nodeState'
import type { ConfigurationKeeper } from '../configuration/configurationKeeper.js'
import { computeMemberState, type Member, type MemberDirectory } from '../members/memberDirectory.js'
import { CONFIGURATION_DOCUMENT, decodeDocument, encodeDocument, type PeerService } from './peerService.js'

const HEARTBEAT_SPAN_MS = 500
const HEARTBEAT_JITTER = 0.2
const CALL_DEADLINE_MS = 2000

/** The outgoing side of the conversation between daemons. */
export class Heartbeats implements IClosable {
  private timer: ITimer | undefined
  private isClosed = false

  constructor (
    private readonly client: IPeerClient,
    private readonly service: PeerService,
    private readonly members: MemberDirectory,
    private readonly keeper: ConfigurationKeeper,
    private readonly clock: IClock,
    private readonly random: IRandomSource,
    private readonly logger: ILogger
  ) {
    keeper.onDidAdopt(() => runDetached(() => this.sendRound(), logger, 'send-heartbeats'))
  }

  /** Speaks to every peer once, then again and again. */
  async start (): Promise<void> {
    await this.sendRound()
    this.scheduleRound()
  }

  /**
   * Speaks to every peer now; a peer out of reach delays nobody else.
   * @returns whether all peers that are known to live have heard
   */
  async sendRound (): Promise<boolean> {
    return await this.sendTo(this.members.listPeers())
  }

  /**
   * Speaks to some peers now.
   * @param peers the peers
   * @returns whether all of them that are known to live have heard
   */
  async sendTo (peers: readonly Member[]): Promise<boolean> {
    if (this.isClosed) return false
    const now = this.clock.now()
    const heard = await Promise.all(peers.map(async (peer) => await this.send(peer) || computeMemberState(peer, now) !== NodeState.Live))
    return heard.every(Boolean)
  }

  close (): void {
    this.isClosed = true
    this.timer?.close()
  }

  private async send ({ vm }: Member): Promise<boolean> {
    const address = vm.peerAddress
    if (address === undefined) return false
    const answer = await this.client.exchange(address, this.service.buildDigest(vm.vmId), this.createDeadline())
    if (this.isClosed) return false
    if (!answer.ok) {
      logError(this.logger, LogLevel.Debug, answer.val)
      return false
    }
    const theirs = this.service.observe(answer.val)
    if (theirs > this.keeper.version) await this.fetchFrom(address)
    else if (theirs < this.keeper.version) await this.pushTo(address)
    return true
  }

  private async fetchFrom (address: string): Promise<void> {
    const fetched = await this.client.fetch(address, CONFIGURATION_DOCUMENT, this.keeper.version, this.createDeadline())
    if (!fetched.ok) logError(this.logger, LogLevel.Warn, fetched.val)
    else if (fetched.val !== undefined) this.keeper.apply(decodeDocument(fetched.val), address)
  }

  private async pushTo (address: string): Promise<void> {
    const current = this.keeper.currentText
    if (current === undefined) return
    const pushed = await this.client.push(address, encodeDocument(current), this.createDeadline())
    if (!pushed.ok) logError(this.logger, LogLevel.Warn, pushed.val)
  }

  private createDeadline (): number {
    return createDeadline(this.clock.now(), CALL_DEADLINE_MS)
  }

  private scheduleRound (): void {
    if (this.isClosed) return
    const at = createDeadline(this.clock.now(), addJitter(this.random, HEARTBEAT_SPAN_MS, HEARTBEAT_JITTER))
    this.timer = this.clock.schedule(at, () => {
      runDetached(() => this.sendRound().finally(() => this.scheduleRound()), this.logger, 'send-heartbeats')
    })
  }
}
