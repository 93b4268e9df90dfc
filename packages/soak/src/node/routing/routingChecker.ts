/** Checks each probe of a routing soak against the versions that may be in effect, considering whether its VM was disrupted. */
import type { Instant } from '@umberspar/base/common/clock'
import type { DisruptionLog } from '../../common/routing/disruptionLog.js'
import { type RoutedRequest, RoutingBreach, type RoutingHistory } from '../../common/routing/routingHistory.js'

/** The rules that a run checks; each member names its violation. */
export enum RoutingRule {
  /** A stable VM routed by a version that had been replaced longer ago than the limit. */
  ReplacedVersion = 'old-version',
  /** A stable VM denied a request that every version in effect allows. */
  Denied = 'denied',
  /** A request ran outside its home regions; checked for disrupted VMs as well. */
  OutsideHomeRegions = 'outside-home',
  /** Stable VMs serve added routes less than a quarter as often as those of the first version. */
  AddedRoutesNotServed = 'added-not-served',
  /** A process exited unexpectedly. */
  EntryExited = 'entry-ended',
  /** After the end of all faults, a VM was not ready or did not use the newest version. */
  NotRecovered = 'not-recovered'
}

/** A violation of a rule. */
export interface RoutingViolation {
  readonly rule: RoutingRule
  readonly at: Instant
  readonly node: string
  readonly detail: string
}

/** A probe request with its outcome. */
export interface Probe extends RoutedRequest {
  readonly node: string
  readonly requestId: string
}

interface ServedCount {
  sent: number
  served: number
}

const MIN_ADDED_REQUESTS = 20
const MIN_SERVED_RATIO = 0.25

/** Checks one run. */
export class RoutingChecker {
  readonly violations: RoutingViolation[] = []
  /** Number of requests that disrupted VMs routed by a replaced version. This is allowed and only reported. */
  outOfContact = 0
  private readonly requestCounts = { first: { sent: 0, served: 0 }, added: { sent: 0, served: 0 } }

  /**
   * @param history the configuration versions
   * @param disruptions the disruptions of the run
   */
  constructor (private readonly history: RoutingHistory, private readonly disruptions: DisruptionLog) {}

  /** Records a violation that was detected elsewhere. */
  report (rule: RoutingRule, at: Instant, node: string, detail: string): void {
    this.violations.push({ rule, at, node, detail })
  }

  /** Checks a request that ran or was denied. */
  check (probe: Probe): void {
    const { node, sentAt, endedAt } = probe
    const isStable = this.disruptions.isStable(node, sentAt, endedAt)
    for (const breach of this.history.listBreaches(probe)) {
      if (breach === RoutingBreach.OutsideHomeRegions) this.reportBreach(RoutingRule.OutsideHomeRegions, probe, isStable)
      else if (isStable) this.reportBreach('denied' in probe.outcome ? RoutingRule.Denied : RoutingRule.ReplacedVersion, probe, isStable)
      else this.outOfContact++
    }
  }

  /** Counts a request for {@link RoutingRule.AddedRoutesNotServed}, either on a route of the first version or on one added later. */
  countRequest (probe: Pick<Probe, 'node' | 'sentAt' | 'endedAt'>, isAdded: boolean, isServed: boolean): void {
    if (!this.disruptions.isStable(probe.node, probe.sentAt, probe.endedAt)) return
    const count: ServedCount = isAdded ? this.requestCounts.added : this.requestCounts.first
    count.sent++
    if (isServed) count.served++
  }

  /** Checks at the end of a run how often added routes were served. */
  checkServedRatio (at: Instant): void {
    const { first, added } = this.requestCounts
    if (added.sent < MIN_ADDED_REQUESTS || first.sent === 0) return
    if (added.served / added.sent < MIN_SERVED_RATIO * first.served / first.sent) {
      this.report(RoutingRule.AddedRoutesNotServed, at, 'all', `${added.served} of ${added.sent} requests served on added routes, ${first.served} of ${first.sent} on routes of the first version`)
    }
  }

  private reportBreach (rule: RoutingRule, { node, requestId, path, sentAt, outcome }: Probe, isStable: boolean): void {
    const newest = this.history.newest
    const newestAgeMs = newest === undefined ? 0 : Math.round(sentAt - newest.ackedAt)
    this.report(rule, sentAt, node, `${requestId} ${path} ${JSON.stringify(outcome)}, VM stable: ${isStable}, newest version ${newest?.version} acknowledged ${newestAgeMs} ms before`)
  }
}
