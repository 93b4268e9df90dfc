/** Computes and formats the progress of a drain over all nodes of the fleet. */
import { DrainDirection, getTargetName } from './drainTarget.js'
import type { DrainTarget } from './drainTarget.js'
import type { FleetNode, NodeDrain } from './operatorMessages.js'

/** The drains that one node reports; `drains` is undefined if the node did not answer. */
export interface NodeDrains {
  readonly node: FleetNode
  readonly drains: readonly NodeDrain[] | undefined
}

/** The progress of draining or undraining one target, over the whole fleet. */
export interface DrainProgress {
  readonly nodesAsked: number
  readonly nodesAnswered: number
  /** Number of nodes that report the drain or undrain as complete. */
  readonly nodesDone: number
  /** Ids of nodes that did not answer. */
  readonly unreachable: readonly string[]
  /** Ids of nodes that still have to complete. */
  readonly waitingFor: readonly string[]
  /** The largest share of traffic that any node still plans to send to the target, 0 to 1. */
  readonly largestWeight: number
  /** Requests in flight to the target, summed over all nodes that answered. */
  readonly inFlight: number
  readonly isDone: boolean
}

/**
 * States of nodes that the other daemons suspect to have failed, or have removed. A node
 * in any other state may still be sending to the target although this client can't reach
 * it, so the drain is not complete until that node answers.
 */
const EXCLUDED_STATES: ReadonlySet<string> = new Set(['suspected', 'gone'])

const IS_DONE_BY_DIRECTION: Readonly<Record<DrainDirection, (drain: NodeDrain | undefined) => boolean>> = {
  // A node that does not list the drain has not adopted it yet and still sends traffic to the target.
  [DrainDirection.Drain]: (drain) => drain?.isSafeToStop === true,
  [DrainDirection.Undrain]: (drain) => drain === undefined
}

/** What to wait for. */
export interface DrainWaitOptions {
  readonly target: DrainTarget
  readonly direction: DrainDirection
  /** Whether to ignore nodes that don't answer; the operator has made sure that they are stopped. */
  readonly isUnreachableAllowed: boolean
}

function isBlockedBy (node: FleetNode, options: DrainWaitOptions): boolean {
  return !options.isUnreachableAllowed && !EXCLUDED_STATES.has(node.state)
}

/**
 * @param options what to wait for
 * @param answers one for each node of the fleet
 * @returns the progress over the whole fleet
 */
export function computeDrainProgress (options: DrainWaitOptions, answers: readonly NodeDrains[]): DrainProgress {
  const { target, direction } = options
  const targetName = getTargetName(target)
  const unreachable: string[] = []
  const waitingFor: string[] = []
  let nodesDone = 0
  let largestWeight = 0
  let inFlight = 0
  for (const { node, drains } of answers) {
    if (drains === undefined) {
      unreachable.push(node.nodeId)
      if (isBlockedBy(node, options)) waitingFor.push(node.nodeId)
      continue
    }
    const drain = drains.find((item) => item.kind === target.kind && item.target === targetName)
    largestWeight = Math.max(largestWeight, drain?.weight ?? 0)
    inFlight += drain?.inFlight ?? 0
    if (IS_DONE_BY_DIRECTION[direction](drain)) nodesDone += 1
    else waitingFor.push(node.nodeId)
  }
  return {
    nodesAsked: answers.length,
    nodesAnswered: answers.length - unreachable.length,
    nodesDone,
    unreachable,
    waitingFor,
    largestWeight,
    inFlight,
    isDone: nodesDone > 0 && waitingFor.length === 0
  }
}

/**
 * @param progress the fleet's progress
 * @returns a summary line
 */
export function formatDrainProgress (progress: DrainProgress): string {
  const { nodesDone, nodesAsked, largestWeight, inFlight, unreachable } = progress
  const missing = unreachable.length === 0 ? '' : `, no answer from ${unreachable.join(', ')}`
  return `${nodesDone} of ${nodesAsked} nodes done, largest planned share ${largestWeight.toFixed(3)}, ${inFlight} in flight${missing}`
}
