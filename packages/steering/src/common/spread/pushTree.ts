/**
 * The tree in which a new document is pushed. Every node computes its own
 * children from the origin's id and the list of nodes, so no message carries the
 * tree. The regions form one tree, headed by the origin's; inside each region the
 * nodes form another, headed by the node that was reached first. Nodes whose
 * lists differ may be reached twice or not at all: a second push is ignored by
 * its version, and a missing one is made good by digests.
 */
import { rankByRendezvous } from '../lookup/rendezvous.js'
import { listNodeIdsOf, type SpreadNode } from './spreadNode.js'

/** Children of a node in each of the two trees; a node sends to at most twice as many. */
export const PUSH_FAN_OUT = 4

/** How far a push goes. */
export enum PushScope {
  /** To all nodes of all regions: the origin accepted a change. */
  Global = 'global',
  /** To all nodes of the origin's region: the other regions have watchers of their own. */
  Region = 'region'
}

/** Where a push began and how far it goes; it travels with the document. */
export interface PushRoute {
  readonly originId: string
  readonly scope: PushScope
}

function listChildren (order: readonly string[], self: string): string[] {
  const index = order.indexOf(self)
  if (index < 0) return []
  return order.slice(index * PUSH_FAN_OUT + 1, index * PUSH_FAN_OUT + 1 + PUSH_FAN_OUT)
}

/** Puts one id first and ranks the others, differently for each origin, so that the load of relaying is spread. */
function sortFrom (first: string, ids: readonly string[], originId: string): string[] {
  return [first, ...rankByRendezvous(`push/${originId}`, ids.filter((id) => id !== first))]
}

/** The node that hands a push on in its region. */
function chooseHead (nodes: readonly SpreadNode[], region: string, origin: SpreadNode): string | undefined {
  if (region === origin.region) return origin.nodeId
  return rankByRendezvous(`push/${origin.nodeId}`, listNodeIdsOf(nodes, region))[0]
}

function listRegionHeads (nodes: readonly SpreadNode[], self: SpreadNode, origin: SpreadNode): string[] {
  if (chooseHead(nodes, self.region, origin) !== self.nodeId) return []
  const regions = [...new Set(nodes.map((node) => node.region))]
  const order = sortFrom(origin.region, regions, origin.nodeId)
  return listChildren(order, self.region).flatMap((region) => chooseHead(nodes, region, origin) ?? [])
}

/**
 * Chooses to whom a node hands on a document that it has just taken over.
 * @param nodes the nodes that are neither leaving nor suspected, as this node sees them
 * @param self this node
 * @param route where the push began and how far it goes
 * @returns ids of the next nodes: heads of regions first, then nodes of the own region
 */
export function choosePushTargets (nodes: readonly SpreadNode[], self: SpreadNode, route: PushRoute): string[] {
  const origin = nodes.find((node) => node.nodeId === route.originId) ?? { nodeId: route.originId, region: self.region }
  const heads = route.scope === PushScope.Global ? listRegionHeads(nodes, self, origin) : []
  const head = chooseHead(nodes, self.region, origin)
  if (head === undefined) return heads
  const order = sortFrom(head, listNodeIdsOf(nodes, self.region), origin.nodeId)
  return [...heads, ...listChildren(order, self.nodeId)].filter((nodeId) => nodeId !== self.nodeId)
}
