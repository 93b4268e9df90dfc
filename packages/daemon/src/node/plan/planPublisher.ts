/**
 * Pushes a new plan: in a small fleet directly from the plan's holder to all
 * nodes, in a larger one along the push tree that configurations use as well.
 * Nodes that miss the push fetch the plan after the next digest.
 */
import type { IClock } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline } from '@umberspar/base/common/deadline'
import { runDetached } from '@umberspar/base/common/detached'
import { type ILogger, logError, LogLevel } from '@umberspar/base/common/logger'
import { getPlanName } from '@umberspar/steering/common/plan/planDocument'
import type { IPeerClient, PeerDocument } from '@umberspar/steering/common/ports/peers'
import { MAX_SMALL_FLEET_VMS } from '@umberspar/steering/common/gossip/neighbours'
import { choosePushTargets, type PushRoute, PushScope } from '@umberspar/steering/common/gossip/pushTree'
import type { NodeLocation } from '@umberspar/steering/common/gossip/nodeLocation'
import type { MemberDirectory } from '../members/memberDirectory.js'
import type { PlanDocuments } from './planDocuments.js'

const PUSH_TIMEOUT_MS = 2000

/** Publishes this node's plans and forwards plans that peers push. */
export class PlanPublisher implements IClosable {
  private readonly subscription: IClosable

  constructor (
    private readonly self: NodeLocation,
    private readonly client: IPeerClient,
    private readonly members: MemberDirectory,
    private readonly documents: PlanDocuments,
    private readonly clock: IClock,
    private readonly logger: ILogger
  ) {
    this.subscription = documents.onDidReceivePush((document) => runDetached(() => this.push(document), logger, 'push-plan'))
  }

  /**
   * Pushes a plan that this node wrote.
   * @param service the plan's service
   */
  async publish (service: string): Promise<void> {
    const document = this.documents.get(getPlanName(service))
    if (document !== undefined) await this.push({ ...document, route: { originId: this.self.nodeId, scope: PushScope.Global } })
  }

  close (): void {
    this.subscription.close()
  }

  private async push (document: PeerDocument): Promise<void> {
    if (document.route === undefined) return
    const targets = this.chooseTargets(document.route)
    await Promise.all(targets.map((nodeId) => this.pushTo(nodeId, document)))
  }

  /** In a fleet of up to 32 nodes, {@link MAX_SMALL_FLEET_VMS}, the holder pushes to all nodes itself, as each hop of the tree would delay every step. */
  private chooseTargets (route: PushRoute): string[] {
    const nodes = this.members.listActive()
    if (nodes.length > MAX_SMALL_FLEET_VMS) return choosePushTargets(nodes, this.self, route)
    return route.originId === this.self.nodeId ? nodes.map(({ nodeId }) => nodeId).filter((nodeId) => nodeId !== this.self.nodeId) : []
  }

  private async pushTo (nodeId: string, document: PeerDocument): Promise<void> {
    const address = this.members.get(nodeId)?.vm.peerAddress
    if (address === undefined) return
    const pushed = await this.client.push(address, document, createDeadline(this.clock.now(), PUSH_TIMEOUT_MS))
    if (!pushed.ok) logError(this.logger, LogLevel.Debug, pushed.val)
  }
}
