/** Learns how many of the callers that a service refused have come back. */

/** Weight of the assumption that all come back, as a number of refusals. */
const PRIOR_WEIGHT = 4
/** Up to this many refusals determine the ratio, so that it follows changes. */
const MAX_WEIGHT = 64

/** The fraction of refused callers that have come back. */
export class ReturnRatio {
  private refused = PRIOR_WEIGHT
  private returned = PRIOR_WEIGHT

  /** A caller was refused that could come back. */
  recordRefusal (): void {
    if (this.refused >= MAX_WEIGHT) {
      this.refused /= 2
      this.returned /= 2
    }
    this.refused++
  }

  /** A caller has come back; other entry VMs may have refused it. */
  recordReturn (): void {
    this.returned = Math.min(this.returned + 1, MAX_WEIGHT)
  }

  /** @returns the fraction of refused callers that come back, 0 to 1 */
  get value (): number {
    return Math.min(1, this.returned / this.refused)
  }
}
