/** Sends the same request to every node of the fleet. */
import type { FleetNode } from '../common/operatorMessages.js'

/** A node and its answer; `answer` is undefined if the node did not answer. */
export interface NodeAnswer<T> {
  readonly node: FleetNode
  readonly answer: T | undefined
}

/** Limits the number of open sockets if the fleet has thousands of nodes. */
const MAX_REQUESTS_IN_FLIGHT = 64

/**
 * @param nodes the nodes of the fleet
 * @param ask sends the request to one node; it must apply its own deadline
 * @returns the answers in the order of the nodes
 */
export async function askEachNode<T> (
  nodes: readonly FleetNode[],
  ask: (node: FleetNode) => Promise<T | undefined>
): Promise<ReadonlyArray<NodeAnswer<T>>> {
  const answers = new Array<NodeAnswer<T>>(nodes.length)
  const remaining = nodes.entries()
  const runLoop = async (): Promise<void> => {
    // The concurrent loops share one iterator, so each node is asked exactly once.
    for (const [index, node] of remaining) {
      answers[index] = { node, answer: await ask(node) }
    }
  }
  await Promise.all(Array.from({ length: Math.min(MAX_REQUESTS_IN_FLIGHT, nodes.length) }, runLoop))
  return answers
}
