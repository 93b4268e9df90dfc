/** Watches the version in force at each daemon of a run, and notes when it first saw which. */
import type { IClosable } from '@umberspar/base/common/closing'
import type { IClock, Instant } from '@umberspar/base/common/clock'
import { Agent, request } from 'undici'
import { waitUntil } from '../waiting.js'

const POLL_SPAN_MS = 10
const ANSWER_WITHIN_MS = 500

/** A daemon went from a version to a lower one. */
export interface Reversion {
  readonly nodeId: string
  readonly from: number
  readonly to: number
}

interface ObservedNode {
  readonly nodeId: string
  readonly address: string
  /** The highest version seen in force, over all starts of the daemon. */
  highest: number
  /** When each version, or a higher one, was first seen in force. */
  readonly firstSeenAt: Map<number, Instant>
}

interface StatusAnswer {
  readonly state: string
  readonly configurationVersion: number
}

/** Polls every daemon in a loop of its own, so that a paused one delays no other. */
export class VersionObserver implements IClosable {
  readonly reversions: Reversion[] = []
  private readonly agent = new Agent({ headersTimeout: ANSWER_WITHIN_MS, bodyTimeout: ANSWER_WITHIN_MS, connections: 1 })
  private readonly nodes = new Map<string, ObservedNode>()
  private readonly loops: Array<Promise<void>> = []
  private isClosed = false

  constructor (private readonly clock: IClock) {}

  /**
   * @param nodeId a daemon
   * @param address its operators' listener
   */
  start (nodeId: string, address: string): void {
    const node: ObservedNode = { nodeId, address, highest: 0, firstSeenAt: new Map() }
    this.nodes.set(nodeId, node)
    this.loops.push(this.runLoop(node))
  }

  /**
   * @param nodeId a daemon
   * @param version a version
   * @returns when it, or a higher one, was first seen in force there; undefined if not yet
   */
  getSeenAt (nodeId: string, version: number): Instant | undefined {
    return this.nodes.get(nodeId)?.firstSeenAt.get(version)
  }

  async close (): Promise<void> {
    this.isClosed = true
    await Promise.all(this.loops)
    await this.agent.destroy()
  }

  private async runLoop (node: ObservedNode): Promise<void> {
    while (!this.isClosed) {
      const status = await this.readStatus(node.address)
      // A daemon that starts serves nobody before it is live; what it holds then is not in force.
      if (status?.state === 'live') this.record(node, status.configurationVersion)
      await waitUntil(this.clock, this.clock.now() + POLL_SPAN_MS)
    }
  }

  private record (node: ObservedNode, version: number): void {
    if (version < node.highest) this.reversions.push({ nodeId: node.nodeId, from: node.highest, to: version })
    const now = this.clock.now()
    for (let each = node.highest + 1; each <= version; each++) node.firstSeenAt.set(each, now)
    node.highest = Math.max(node.highest, version)
  }

  private async readStatus (address: string): Promise<StatusAnswer | undefined> {
    try {
      const response = await request(`http://${address}/v1/status`, { dispatcher: this.agent })
      return await response.body.json() as StatusAnswer
    } catch {
      return undefined
    }
  }
}
