/**
 * How far the failure domains are from this entry VM, learned from how long new
 * connections take to open. The least of the latest openings counts: a busy worker
 * or a lost packet makes one opening slow, never fast.
 */
import { classifyProximity, Proximity } from './proximity.js'

/** Before any connection was opened, in milliseconds there and back. */
const INITIAL_ROUND_TRIP_MS: Readonly<Record<Proximity, number>> = {
  [Proximity.SameDomain]: 1,
  [Proximity.SameRegion]: 2,
  [Proximity.OtherRegion]: 60
}
/** How much a slower opening lifts what is known; a route that became longer is known after some dozen. */
const RISE_SMOOTHING_FACTOR = 0.05

/** Distances by failure domain. */
export class DomainDistances {
  private readonly roundTripMsByDomain = new Map<string, number>()

  /**
   * @param domain this VM's failure domain
   * @param regionByDomain all failure domains with their regions
   */
  constructor (private readonly domain: string, private readonly regionByDomain: ReadonlyMap<string, string>) {}

  /**
   * @param other a failure domain
   * @returns how near it is
   */
  getProximity (other: string): Proximity {
    return classifyProximity(this.domain, other, this.regionByDomain)
  }

  /**
   * @param other a failure domain
   * @returns the way there and back, in milliseconds
   */
  getRoundTrip (other: string): number {
    return this.roundTripMsByDomain.get(other) ?? INITIAL_ROUND_TRIP_MS[this.getProximity(other)]
  }

  /**
   * @param other the failure domain of a worker
   * @param connectMs how long a new connection to it took
   */
  record (other: string, connectMs: number): void {
    const previousMs = this.roundTripMsByDomain.get(other)
    const updatedMs = previousMs === undefined || connectMs < previousMs ? connectMs : previousMs + RISE_SMOOTHING_FACTOR * (connectMs - previousMs)
    this.roundTripMsByDomain.set(other, updatedMs)
  }
}
