/** Asks every node of the fleet the same question. */
import type { FleetNode } from '../common/operatorMessages.js'

/** A node and its answer; undefined if it gave none. */
export interface NodeAnswer<T> {
  readonly node: FleetNode
  readonly answer: T | undefined
}

/** Questions in flight at a time: bounds sockets when the fleet counts thousands of nodes. */
const MAX_REQUESTS_IN_FLIGHT = 64

/**
 * @param nodes the fleet
 * @param ask asks one node; it must end by a deadline of its own
 * @returns the answers in the order of the nodes
 */
export async function askEachNode<T> (
  nodes: readonly FleetNode[],
  ask: (node: FleetNode) => Promise<T | undefined>
): Promise<ReadonlyArray<NodeAnswer<T>>> {
  const answers = new Array<NodeAnswer<T>>(nodes.length)
  const remaining = nodes.entries()
  const runWorker = async (): Promise<void> => {
    // The workers share one iterator, so each node is taken by exactly one of them.
    for (const [index, node] of remaining) {
      answers[index] = { node, answer: await ask(node) }
    }
  }
  await Promise.all(Array.from({ length: Math.min(MAX_REQUESTS_IN_FLIGHT, nodes.length) }, runWorker))
  return answers
}
