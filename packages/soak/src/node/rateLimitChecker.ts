/** Checks that a worker gets no more requests than the rate limit that it announces tolerates, from all VMs together that know of it. */
import type { Instant } from '@umberspar/base/common/clock'

/** The users' rule: how many requests a limit allows in any window. */
export const LIMIT_WINDOW_MS = 4_000
const TOLERANCE_FACTOR = 1.5
const TOLERANCE_SLACK = 5
/** A limit applies this long after it was first announced. */
const STABILITY_MS = 3_000
const MS_PER_SECOND = 1_000

interface AnnouncedLimit {
  /** Requests per second; undefined if the worker announces no limit any more. */
  readonly perSecond: number | undefined
  readonly from: Instant
}

interface Arrival {
  readonly at: Instant
  readonly node: string
  /** Whether the VM had passed on a response with a limit before. */
  readonly isInformed: boolean
  /** How long after the caller had sent it, in milliseconds. */
  readonly delayMs: number
}

/** What one worker got in the busiest window in which its limit applied. */
export interface WorkerMaximum {
  readonly workerId: string
  readonly requests: number
  readonly allowed: number
  /** The requests by VM. */
  readonly requestsByNode: Readonly<Record<string, number>>
}

/** The limits and arrivals of one worker. */
class LimitedWorker {
  readonly limits: AnnouncedLimit[] = []
  readonly informedNodes = new Set<string>()
  arrivals: Arrival[] = []
  maximum: WorkerMaximum | undefined

  constructor (private readonly id: string) {}

  /** @returns the description of what arrived if it exceeds the limit */
  recordArrival (node: string, at: Instant, sentAt: Instant): string | undefined {
    this.arrivals = this.arrivals.filter((arrival) => arrival.at > at - LIMIT_WINDOW_MS)
    this.arrivals.push({ at, node, isInformed: this.informedNodes.has(node), delayMs: at - sentAt })
    const perSecond = this.findLimit(at)
    if (perSecond === undefined) return undefined
    const counted = this.arrivals.filter(({ isInformed }) => isInformed)
    const allowed = Math.floor(TOLERANCE_FACTOR * perSecond * LIMIT_WINDOW_MS / MS_PER_SECOND + TOLERANCE_SLACK)
    if (this.maximum === undefined || counted.length / allowed > this.maximum.requests / this.maximum.allowed) {
      this.maximum = { workerId: this.id, requests: counted.length, allowed, requestsByNode: countByNode(counted) }
    }
    return counted.length > allowed ? `${counted.length} requests in ${LIMIT_WINDOW_MS} ms at a limit of ${perSecond} a second, allowed ${allowed}: ${JSON.stringify(countByNode(counted))}, the latest ${Math.round(Math.max(...counted.map(({ delayMs }) => delayMs)))} ms after its caller had sent it` : undefined
  }

  /** @returns the highest limit that may still be relied on; undefined if none applies */
  private findLimit (now: Instant): number | undefined {
    let highest = 0
    for (const { perSecond, from } of [...this.limits].reverse()) {
      if (perSecond === undefined) return undefined
      highest = Math.max(highest, perSecond)
      if (from <= now - STABILITY_MS - LIMIT_WINDOW_MS) return highest
    }
    const first = this.limits[0]
    return first !== undefined && first.from <= now - STABILITY_MS ? highest : undefined
  }
}

function countByNode (arrivals: readonly Arrival[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const { node } of arrivals) counts[node] = (counts[node] ?? 0) + 1
  return counts
}

/** Checks one run. */
export class RateLimitChecker {
  private readonly workers = new Map<string, LimitedWorker>()

  /**
   * Records that a worker announces another limit from now on.
   * @param perSecond requests per second; undefined for none
   */
  recordLimit (workerId: string, perSecond: number | undefined, at: Instant): void {
    const worker = this.workers.get(workerId) ?? new LimitedWorker(workerId)
    this.workers.set(workerId, worker)
    // After a time without a limit, the rule begins anew.
    if (worker.limits.at(-1)?.perSecond === undefined) worker.limits.length = 0
    worker.limits.push({ perSecond, from: at })
  }

  /** Records that a VM has passed on a response that announced a limit. */
  recordInformed (workerId: string, node: string): void {
    this.workers.get(workerId)?.informedNodes.add(node)
  }

  /**
   * @param workerId the worker that a request arrived at
   * @param node the VM that sent it
   * @param at when it arrived
   * @param sentAt when its caller sent it
   * @returns what exceeds the limit; undefined if nothing does
   */
  recordArrival (workerId: string, node: string, at: Instant, sentAt = at): string | undefined {
    return this.workers.get(workerId)?.recordArrival(node, at, sentAt)
  }

  /** @returns the busiest window of each worker */
  listMaxima (): WorkerMaximum[] {
    return [...this.workers.values()].flatMap(({ maximum }) => maximum === undefined ? [] : [maximum])
  }
}
