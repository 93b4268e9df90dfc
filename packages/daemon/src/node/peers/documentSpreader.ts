/**
 * Pushes a configuration that this node has just taken over to its children in
 * the push tree. A push that fails is not repeated: the child learns of the
 * version by the next digests and fetches it.
 */
import type { IClock } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline } from '@umberspar/base/common/deadline'
import { runDetached } from '@umberspar/base/common/detached'
import { type ILogger, logError, LogLevel } from '@umberspar/base/common/logger'
import type { IPeerClient, PeerDocument } from '@umberspar/steering/common/ports/peers'
import { choosePushTargets, type PushRoute, PushScope } from '@umberspar/steering/common/spread/pushTree'
import type { SpreadNode } from '@umberspar/steering/common/spread/spreadNode'
import { type ConfigurationKeeper, type LearnedConfiguration, LearnSource } from '../configuration/configurationKeeper.js'
import type { MemberDirectory } from '../members/memberDirectory.js'
import { encodeDocument } from './peerService.js'

const PUSH_SPAN_MS = 4000

/** How far a node pushes what it learned at first hand. What was pushed to it goes on by the push's own route. */
const SCOPE_BY_SOURCE: Readonly<Record<Exclude<LearnSource, LearnSource.Push>, PushScope>> = {
  // The other regions' watchers may be cut off from the store.
  [LearnSource.Operator]: PushScope.Global,
  [LearnSource.Store]: PushScope.Region,
  [LearnSource.Digest]: PushScope.Region
}

/** Hands new configurations on. */
export class DocumentSpreader implements IClosable {
  private readonly subscription: IClosable

  constructor (
    private readonly self: SpreadNode,
    private readonly client: IPeerClient,
    private readonly members: MemberDirectory,
    keeper: ConfigurationKeeper,
    private readonly clock: IClock,
    private readonly logger: ILogger
  ) {
    this.subscription = keeper.onDidLearn((learned) => runDetached(() => this.push(learned), logger, 'push-configuration'))
  }

  close (): void {
    this.subscription.close()
  }

  private async push (learned: LearnedConfiguration): Promise<void> {
    const route = this.chooseRoute(learned)
    if (route === undefined) return
    const targets = choosePushTargets(this.members.listActive(), this.self, route)
    const document = { ...encodeDocument(learned.configuration), route }
    await Promise.all(targets.map((nodeId) => this.pushTo(nodeId, document)))
  }

  private chooseRoute ({ origin }: LearnedConfiguration): PushRoute | undefined {
    if (origin.source === LearnSource.Push) return origin.route
    return { originId: this.self.nodeId, scope: SCOPE_BY_SOURCE[origin.source] }
  }

  private async pushTo (nodeId: string, document: PeerDocument): Promise<void> {
    const member = this.members.get(nodeId)
    const address = member?.vm.peerAddress
    // The child's digest may have told that it has the version by another way.
    if (address === undefined || (member?.configurationVersion ?? 0) >= document.document.version) return
    const pushed = await this.client.push(address, document, createDeadline(this.clock.now(), PUSH_SPAN_MS))
    if (!pushed.ok) logError(this.logger, LogLevel.Info, pushed.val)
  }
}
