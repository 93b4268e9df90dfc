/**
 * Estimates the round trip times from this entry VM to the failure domains by how long new
 * connections take to open. The minimum of recent connections counts: a busy worker or a lost
 * packet makes a connection slower, never faster.
 */
import { classifyProximity, Proximity } from './proximity.js'

/** Round trip times assumed before the first connection. */
const INITIAL_ROUND_TRIP_MS: Readonly<Record<Proximity, number>> = {
  [Proximity.SameDomain]: 1,
  [Proximity.SameRegion]: 2,
  [Proximity.OtherRegion]: 60
}
/** Weight of a slower connection. After a route has become longer, about a dozen connections adapt the estimate. */
const RISE_SMOOTHING_FACTOR = 0.05

/** Round trip times by failure domain. */
export class DomainRoundTrips {
  private readonly roundTripMsByDomain = new Map<string, number>()

  /**
   * @param domain this VM's failure domain
   * @param regionByDomain all failure domains with their regions
   */
  constructor (private readonly domain: string, private readonly regionByDomain: ReadonlyMap<string, string>) {}

  /**
   * @param other a failure domain
   * @returns its proximity to this VM's failure domain
   */
  getProximity (other: string): Proximity {
    return classifyProximity(this.domain, other, this.regionByDomain)
  }

  /**
   * @param other a failure domain
   * @returns the round trip time, in milliseconds
   */
  getRoundTripMs (other: string): number {
    return this.roundTripMsByDomain.get(other) ?? INITIAL_ROUND_TRIP_MS[this.getProximity(other)]
  }

  /**
   * @param other the failure domain of a worker
   * @param connectMs how long a new connection to the worker took to open, in milliseconds
   */
  record (other: string, connectMs: number): void {
    const previousMs = this.roundTripMsByDomain.get(other)
    const updatedMs = previousMs === undefined || connectMs < previousMs ? connectMs : previousMs + RISE_SMOOTHING_FACTOR * (connectMs - previousMs)
    this.roundTripMsByDomain.set(other, updatedMs)
  }
}
