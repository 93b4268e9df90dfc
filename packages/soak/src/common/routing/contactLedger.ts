/** Since when each entry VM and the store have been undisturbed: bounds on changes bind only VMs that are. */
import type { Instant } from '@umberspar/base/common/clock'

/** A disturbance that has not ended. */
export interface Disturbance {
  end(at: Instant): void
}

interface Span {
  readonly node: string | undefined
  readonly from: Instant
  until: Instant
}

/** The disturbances of one run. */
export class ContactLedger {
  private readonly spans: Span[] = []

  /** @param stabilityMs after a disturbance a VM is out of contact for this long, in milliseconds */
  constructor (private readonly stabilityMs: number) {}

  /**
   * Notes that a disturbance begins.
   * @param node the VM that it concerns; undefined for all, as one of the store does
   */
  start (node: string | undefined, at: Instant): Disturbance {
    const span: Span = { node, from: at, until: Infinity }
    this.spans.push(span)
    return { end: (endedAt) => { span.until = endedAt } }
  }

  /** @returns whether a VM has been undisturbed from the stability span before one instant to another */
  isInContact (node: string, from: Instant, until: Instant): boolean {
    return !this.spans.some((span) => (span.node === undefined || span.node === node) && span.from <= until && span.until + this.stabilityMs >= from)
  }
}
