/** How far a drain is, from what every node of the fleet says. */
import { DrainDirection, getTargetName } from './drainTarget.js'
import type { DrainTarget } from './drainTarget.js'
import type { FleetNode, NodeDrain } from './operatorMessages.js'

/** One node's answer; `drains` is undefined if it gave none. */
export interface NodeDrains {
  readonly node: FleetNode
  readonly drains: readonly NodeDrain[] | undefined
}

/** The fleet's progress with one target. */
export interface DrainProgress {
  readonly nodesAsked: number
  readonly nodesAnswered: number
  /** Nodes that agree with the wanted end. */
  readonly nodesDone: number
  /** Ids of nodes that gave no answer. */
  readonly unreachable: readonly string[]
  /** Ids of nodes that keep the end from being reached. */
  readonly waitingFor: readonly string[]
  /** The largest part of traffic that a node still plans to send there, 0 to 1. */
  readonly largestWeight: number
  /** Requests in flight there, over all nodes that answered. */
  readonly inFlight: number
  readonly isDone: boolean
}

/**
 * States in which the other daemons no longer count on a node. Any other node
 * may still be sending to the target although this client can't reach it, so
 * it keeps the target from being called safe to stop.
 */
const EXCLUDED_STATES: ReadonlySet<string> = new Set(['suspected', 'gone'])

const IS_DONE_BY_DIRECTION: Readonly<Record<DrainDirection, (drain: NodeDrain | undefined) => boolean>> = {
  // A node that does not list the drain has not adopted it yet and still sends.
  [DrainDirection.Drain]: (drain) => drain?.isSafeToStop === true,
  [DrainDirection.Undrain]: (drain) => drain === undefined
}

/** What is waited for. */
export interface DrainWaitOptions {
  readonly target: DrainTarget
  readonly direction: DrainDirection
  /** The operator vouches that nodes without an answer send nothing. */
  readonly isUnreachableAllowed: boolean
}

function isBlockedBy (node: FleetNode, options: DrainWaitOptions): boolean {
  return !options.isUnreachableAllowed && !EXCLUDED_STATES.has(node.state)
}

/**
 * @param options what is waited for
 * @param answers one for each node of the fleet
 * @returns the sum over the fleet
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
 * @returns one line
 */
export function formatDrainProgress (progress: DrainProgress): string {
  const { nodesDone, nodesAsked, largestWeight, inFlight, unreachable } = progress
  const missing = unreachable.length === 0 ? '' : `, no answer from ${unreachable.join(', ')}`
  return `${nodesDone} of ${nodesAsked} nodes done, largest planned part ${largestWeight.toFixed(3)}, ${inFlight} in flight${missing}`
}
