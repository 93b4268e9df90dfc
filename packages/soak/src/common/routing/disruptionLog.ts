/** Records disruptions of entry VMs and of the store. Time limits for configuration changes apply only to VMs without recent disruptions. */
import type { Instant } from '@umberspar/base/common/clock'

/** A disruption that has not ended yet. */
export interface Disruption {
  end(at: Instant): void
}

interface DisruptionSpan {
  readonly node: string | undefined
  readonly from: Instant
  until: Instant
}

/** The disruptions of one run. */
export class DisruptionLog {
  private readonly disruptions: DisruptionSpan[] = []

  /** @param stabilityMs how long a VM still counts as unstable after a disruption, in milliseconds */
  constructor (private readonly stabilityMs: number) {}

  /**
   * Records the start of a disruption.
   * @param node the affected VM; undefined for all, which is the case if the store is disrupted
   * @param at when it starts
   * @returns the disruption, to be ended by the caller
   */
  start (node: string | undefined, at: Instant): Disruption {
    const span: DisruptionSpan = { node, from: at, until: Infinity }
    this.disruptions.push(span)
    return { end: (endedAt) => { span.until = endedAt } }
  }

  /** @returns whether no disruption of the VM overlaps the interval, including the stability period after each disruption */
  isStable (node: string, from: Instant, until: Instant): boolean {
    return !this.disruptions.some((span) => (span.node === undefined || span.node === node) && span.from <= until && span.until + this.stabilityMs >= from)
  }
}
