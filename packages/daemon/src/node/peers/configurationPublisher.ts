/**
 * Pushes a configuration that this node has just received to its children in the
 * push tree. A failed push is not retried: the child learns of the version from
 * the next digests and fetches it.
 */
import type { IClock } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline } from '@umberspar/base/common/deadline'
import { runDetached } from '@umberspar/base/common/detached'
import { type ILogger, logError, LogLevel } from '@umberspar/base/common/logger'
import type { IPeerClient, PeerDocument } from '@umberspar/steering/common/ports/peers'
import { choosePushTargets, type PushRoute, PushScope } from '@umberspar/steering/common/gossip/pushTree'
import type { NodeLocation } from '@umberspar/steering/common/gossip/nodeLocation'
import { type ConfigurationManager, type ReceivedConfiguration, ConfigurationSource } from '../configuration/configurationManager.js'
import type { MemberDirectory } from '../members/memberDirectory.js'
import { encodeDocument } from './peerService.js'

const PUSH_TIMEOUT_MS = 4000

/** Push scope by the source of a configuration. One that was itself received by push is forwarded along that push's route. */
const SCOPE_BY_SOURCE: Readonly<Record<Exclude<ConfigurationSource, ConfigurationSource.Push>, PushScope>> = {
  // Watchers in other regions may be disconnected from the store.
  [ConfigurationSource.Operator]: PushScope.Global,
  [ConfigurationSource.Store]: PushScope.Region,
  [ConfigurationSource.Digest]: PushScope.Region
}

/** Pushes new configurations to peers. */
export class ConfigurationPublisher implements IClosable {
  private readonly subscription: IClosable

  constructor (
    private readonly self: NodeLocation,
    private readonly client: IPeerClient,
    private readonly members: MemberDirectory,
    configurationManager: ConfigurationManager,
    private readonly clock: IClock,
    private readonly logger: ILogger
  ) {
    this.subscription = configurationManager.onDidReceive((learned) => runDetached(() => this.push(learned), logger, 'push-configuration'))
  }

  close (): void {
    this.subscription.close()
  }

  private async push (learned: ReceivedConfiguration): Promise<void> {
    const route = this.chooseRoute(learned)
    if (route === undefined) return
    const targets = choosePushTargets(this.members.listActive(), this.self, route)
    const document = { ...encodeDocument(learned.configuration), route }
    await Promise.all(targets.map((nodeId) => this.pushTo(nodeId, document)))
  }

  private chooseRoute ({ origin }: ReceivedConfiguration): PushRoute | undefined {
    if (origin.source === ConfigurationSource.Push) return origin.route
    return { originId: this.self.nodeId, scope: SCOPE_BY_SOURCE[origin.source] }
  }

  private async pushTo (nodeId: string, document: PeerDocument): Promise<void> {
    const member = this.members.get(nodeId)
    const address = member?.vm.peerAddress
    // The child may have announced in a digest that it already has the version.
    if (address === undefined || (member?.configurationVersion ?? 0) >= document.document.version) return
    const pushed = await this.client.push(address, document, createDeadline(this.clock.now(), PUSH_TIMEOUT_MS))
    if (!pushed.ok) logError(this.logger, LogLevel.Info, pushed.val)
  }
}
