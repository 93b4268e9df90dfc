/**
 * The tree along which a new document is pushed to all nodes. Every node computes its
 * own children from the origin's id and the list of nodes, so messages don't carry the
 * tree. The regions form one tree with the origin's region as its root. The nodes of
 * each region form another. Its root, the region head, is the origin itself or the node
 * that receives the push from the parent region. If nodes have different lists, some
 * may be reached twice or not at all: a second push is ignored because of its version,
 * and a missed document is found by exchanging digests.
 */
import { rankByRendezvous } from '../lookup/rendezvous.js'
import { listNodeIdsInRegion, type NodeLocation } from './nodeLocation.js'

/** Maximum number of children of a node in each of the two trees; a node sends to at most twice as many. */
export const MAX_PUSH_FAN_OUT = 4

/** The nodes to which a document is pushed. */
export enum PushScope {
  /** All nodes of all regions; used if the origin accepted a change. */
  Global = 'global',
  /** All nodes of the origin's region; used if the other regions learn of the document from watchers of their own. */
  Region = 'region'
}

/** Origin and scope of a push; sent along with the document. */
export interface PushRoute {
  readonly originId: string
  readonly scope: PushScope
}

function listChildren (order: readonly string[], self: string): string[] {
  const index = order.indexOf(self)
  if (index < 0) return []
  return order.slice(index * MAX_PUSH_FAN_OUT + 1, index * MAX_PUSH_FAN_OUT + 1 + MAX_PUSH_FAN_OUT)
}

/** Puts one id first and ranks the others by a hash of the origin, so that the load of forwarding is distributed. */
function rankWithFirst (first: string, ids: readonly string[], originId: string): string[] {
  return [first, ...rankByRendezvous(`push/${originId}`, ids.filter((id) => id !== first))]
}

/** Chooses the root of a region's tree. */
function chooseRegionHead (nodes: readonly NodeLocation[], region: string, origin: NodeLocation): string | undefined {
  if (region === origin.region) return origin.nodeId
  return rankByRendezvous(`push/${origin.nodeId}`, listNodeIdsInRegion(nodes, region))[0]
}

function listChildRegionHeads (nodes: readonly NodeLocation[], self: NodeLocation, origin: NodeLocation): string[] {
  if (chooseRegionHead(nodes, self.region, origin) !== self.nodeId) return []
  const regions = [...new Set(nodes.map((node) => node.region))]
  const order = rankWithFirst(origin.region, regions, origin.nodeId)
  return listChildren(order, self.region).flatMap((region) => chooseRegionHead(nodes, region, origin) ?? [])
}

/**
 * Chooses the nodes to which a node forwards a document that it has just adopted.
 * @param nodes the nodes that are neither leaving nor suspected, according to this node
 * @param self this node
 * @param route origin and scope of the push
 * @returns ids of the nodes: heads of other regions first, then nodes of this node's region
 */
export function choosePushTargets (nodes: readonly NodeLocation[], self: NodeLocation, route: PushRoute): string[] {
  const origin = nodes.find((node) => node.nodeId === route.originId) ?? { nodeId: route.originId, region: self.region }
  const childRegionHeads = route.scope === PushScope.Global ? listChildRegionHeads(nodes, self, origin) : []
  const regionHead = chooseRegionHead(nodes, self.region, origin)
  if (regionHead === undefined) return childRegionHeads
  const order = rankWithFirst(regionHead, listNodeIdsInRegion(nodes, self.region), origin.nodeId)
  return [...childRegionHeads, ...listChildren(order, self.nodeId)].filter((nodeId) => nodeId !== self.nodeId)
}
