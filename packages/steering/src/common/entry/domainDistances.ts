/**
 * How far the failure domains are from this entry VM, learned from how long new
 * connections take to open. The least of the latest openings counts: a busy worker
 * or a lost packet makes one opening slow, never fast.
 */
import { classifyNearness, Nearness } from './nearness.js'

/** Before any connection was opened, in milliseconds there and back. */
const ASSUMED_MS: Readonly<Record<Nearness, number>> = {
  [Nearness.SameDomain]: 1,
  [Nearness.SameRegion]: 2,
  [Nearness.OtherRegion]: 60
}
/** How much a slower opening lifts what is known; a route that became longer is known after some dozen. */
const RISE_GAIN = 0.05

/** Distances by failure domain. */
export class DomainDistances {
  private readonly distanceByDomain = new Map<string, number>()

  /**
   * @param domain this VM's failure domain
   * @param regionOf all failure domains with their regions
   */
  constructor (private readonly domain: string, private readonly regionOf: ReadonlyMap<string, string>) {}

  /**
   * @param other a failure domain
   * @returns how near it is
   */
  getNearness (other: string): Nearness {
    return classifyNearness(this.domain, other, this.regionOf)
  }

  /**
   * @param other a failure domain
   * @returns the way there and back, in milliseconds
   */
  getRoundTrip (other: string): number {
    return this.distanceByDomain.get(other) ?? ASSUMED_MS[this.getNearness(other)]
  }

  /**
   * @param other the failure domain of a worker
   * @param openMs how long a new connection to it took
   */
  record (other: string, openMs: number): void {
    const known = this.distanceByDomain.get(other)
    const updated = known === undefined || openMs < known ? openMs : known + RISE_GAIN * (openMs - known)
    this.distanceByDomain.set(other, updated)
  }
}
