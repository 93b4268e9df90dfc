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
import type { Digest, IPeerClient, PeerDocument } from '@umberspar/steering/common/ports/peers'
import type { ConfigurationKeeper } from '../configuration/configurationKeeper.js'
import type { MemberDirectory } from '../members/memberDirectory.js'
import type { DocumentRegistry } from './documentRegistry.js'
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
    private readonly registry: DocumentRegistry,
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

  /** Speaks to every peer now; a peer out of reach delays nobody else. */
  async sendRound (): Promise<void> {
    if (this.isClosed) return
    const addresses = this.members.listPeers().flatMap((member) => member.vm.peerAddress ?? [])
    await Promise.all(addresses.map((address) => this.send(address)))
  }

  close (): void {
    this.isClosed = true
    this.timer?.close()
  }

  private async send (address: string): Promise<void> {
    const answer = await this.client.exchange(address, this.service.buildDigest(), this.createDeadline())
    if (this.isClosed) return
    if (!answer.ok) {
      logError(this.logger, LogLevel.Debug, answer.val)
      return
    }
    const theirs = this.service.observe(answer.val)
    // Plans come before the configuration: a starting node that has one serves,
    // and must then use the weights that all others use.
    await this.exchangeDocuments(address, answer.val)
    if (theirs > this.keeper.version) await this.fetchFrom(address)
    else if (theirs < this.keeper.version) await this.pushTo(address)
  }

  /**
   * Sends a document to every peer at once; whoever misses it gets it with a heartbeat.
   * @param document the document
   */
  async pushToAll (document: PeerDocument): Promise<void> {
    if (this.isClosed) return
    const addresses = this.members.listPeers().flatMap((member) => member.vm.peerAddress ?? [])
    await Promise.all(addresses.map((address) => this.pushDocument(address, document)))
  }

  private async pushDocument (address: string, document: PeerDocument): Promise<void> {
    const pushed = await this.client.push(address, document, this.createDeadline())
    if (!pushed.ok) logError(this.logger, LogLevel.Debug, pushed.val)
  }

  private async exchangeDocuments (address: string, theirs: Digest): Promise<void> {
    for (const { name, aboveVersion } of this.registry.listWanted(theirs)) {
      const fetched = await this.client.fetch(address, name, aboveVersion, this.createDeadline())
      if (!fetched.ok) logError(this.logger, LogLevel.Warn, fetched.val)
      else if (fetched.val !== undefined) this.registry.apply(fetched.val, address)
    }
    await Promise.all(this.registry.listLacking(theirs).map((document) => this.pushDocument(address, document)))
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
