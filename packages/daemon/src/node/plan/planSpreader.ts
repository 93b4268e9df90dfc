/**
 * Pushes a new plan down the tree that configurations take: the holder to all,
 * every other node to its children. Whoever is missed gets it with a digest.
 */
import type { IClock } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline } from '@umberspar/base/common/deadline'
import { runDetached } from '@umberspar/base/common/detached'
import { type ILogger, logError, LogLevel } from '@umberspar/base/common/logger'
import { getPlanName } from '@umberspar/steering/common/plan/planDocument'
import type { IPeerClient, PeerDocument } from '@umberspar/steering/common/ports/peers'
import { choosePushTargets, PushScope } from '@umberspar/steering/common/spread/pushTree'
import type { SpreadNode } from '@umberspar/steering/common/spread/spreadNode'
import type { MemberDirectory } from '../members/memberDirectory.js'
import type { PlanDocuments } from './planDocuments.js'

const PUSH_SPAN_MS = 2000

/** Hands plans on. */
export class PlanSpreader implements IClosable {
  private readonly subscription: IClosable

  constructor (
    private readonly self: SpreadNode,
    private readonly client: IPeerClient,
    private readonly members: MemberDirectory,
    private readonly documents: PlanDocuments,
    private readonly clock: IClock,
    private readonly logger: ILogger
  ) {
    this.subscription = documents.onDidTakePush((document) => runDetached(() => this.push(document), logger, 'push-plan'))
  }

  /**
   * Begins to push what this node wrote.
   * @param service whose plan
   */
  async pushOwn (service: string): Promise<void> {
    const document = this.documents.get(getPlanName(service))
    if (document !== undefined) await this.push({ ...document, route: { originId: this.self.nodeId, scope: PushScope.Global } })
  }

  close (): void {
    this.subscription.close()
  }

  private async push (document: PeerDocument): Promise<void> {
    if (document.route === undefined) return
    const targets = choosePushTargets(this.members.listActive(), this.self, document.route)
    await Promise.all(targets.map((nodeId) => this.pushTo(nodeId, document)))
  }

  private async pushTo (nodeId: string, document: PeerDocument): Promise<void> {
    const address = this.members.get(nodeId)?.vm.peerAddress
    if (address === undefined) return
    const pushed = await this.client.push(address, document, createDeadline(this.clock.now(), PUSH_SPAN_MS))
    if (!pushed.ok) logError(this.logger, LogLevel.Debug, pushed.val)
  }
}
