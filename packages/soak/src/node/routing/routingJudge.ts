/** Judges each probe of a routing soak by the versions that may be in force and by its VM's contact with the store. */
import type { Instant } from '@umberspar/base/common/clock'
import type { ContactLedger } from '../../common/routing/contactLedger.js'
import { type RoutedRequest, RoutingBreach, type RoutingHistory } from '../../common/routing/routingHistory.js'

/** What a run checks. */
export enum RoutingRule {
  /** A VM in contact decided by a version that had been replaced longer ago than the bound. */
  OldVersion = 'old-version',
  /** A VM in contact denied what every version in force allows. */
  Denied = 'denied',
  /** A request ran outside its homes, whatever its VM's contact. */
  OutsideHome = 'outside-home',
  /** VMs in contact serve added routes less than a quarter as often as the first ones. */
  AddedNotServed = 'added-not-served',
  /** A process ended by itself. */
  EntryEnded = 'entry-ended',
  /** After all faults had ended a VM was not ready, or not at the newest version. */
  NotRecovered = 'not-recovered'
}

/** One broken rule. */
export interface RoutingViolation {
  readonly rule: RoutingRule
  readonly at: Instant
  readonly node: string
  readonly detail: string
}

/** One probe. */
export interface Probe extends RoutedRequest {
  readonly node: string
  readonly requestId: string
}

interface Served {
  sent: number
  served: number
}

const LEAST_ADDED = 20
const LEAST_SERVED_PART = 0.25

/** The judge of one run. */
export class RoutingJudge {
  readonly violations: RoutingViolation[] = []
  /** Breaches of old versions at VMs out of contact: allowed, and worth knowing. */
  outOfContact = 0
  private readonly calm = { first: { sent: 0, served: 0 }, added: { sent: 0, served: 0 } }

  /**
   * @param history the versions
   * @param contacts the disturbances
   */
  constructor (private readonly history: RoutingHistory, private readonly contacts: ContactLedger) {}

  /** Notes a violation that was seen elsewhere. */
  report (rule: RoutingRule, at: Instant, node: string, detail: string): void {
    this.violations.push({ rule, at, node, detail })
  }

  /** Judges a request that ran or was denied. */
  check (probe: Probe): void {
    const { node, sentAt, endedAt } = probe
    const isInContact = this.contacts.isInContact(node, sentAt, endedAt)
    for (const breach of this.history.listBreaches(probe)) {
      if (breach === RoutingBreach.OutsideHome) this.reportBreach(RoutingRule.OutsideHome, probe, isInContact)
      else if (isInContact) this.reportBreach('denied' in probe.outcome ? RoutingRule.Denied : RoutingRule.OldVersion, probe, isInContact)
      else this.outOfContact++
    }
  }

  /** Counts a request on a route of the first version, or on one added later, for the rule on added routes. */
  count (probe: Pick<Probe, 'node' | 'sentAt' | 'endedAt'>, isAdded: boolean, isServed: boolean): void {
    if (!this.contacts.isInContact(probe.node, probe.sentAt, probe.endedAt)) return
    const served: Served = isAdded ? this.calm.added : this.calm.first
    served.sent++
    if (isServed) served.served++
  }

  /** Judges what only the whole run shows. */
  end (at: Instant): void {
    const { first, added } = this.calm
    if (added.sent < LEAST_ADDED || first.sent === 0) return
    if (added.served / added.sent < LEAST_SERVED_PART * first.served / first.sent) {
      this.report(RoutingRule.AddedNotServed, at, 'all', `${added.served} of ${added.sent} on added routes, ${first.served} of ${first.sent} on the first ones`)
    }
  }

  private reportBreach (rule: RoutingRule, { node, requestId, path, sentAt, outcome }: Probe, isInContact: boolean): void {
    const newest = this.history.newest
    const behindMs = newest === undefined ? 0 : Math.round(sentAt - newest.ackedAt)
    this.report(rule, sentAt, node, `${requestId} ${path} ${JSON.stringify(outcome)}, in contact: ${isInContact}, newest ${newest?.version} for ${behindMs} ms`)
  }
}
