/** Proximity of failure domains; traffic shares, round trip times and transfer costs all go by it. */

/** Proximity of one failure domain to another. */
export enum Proximity {
  SameDomain = 'same-domain',
  SameRegion = 'same-region',
  OtherRegion = 'other-region'
}

/**
 * @param from a failure domain
 * @param to another failure domain, or the same
 * @param regionByDomain all failure domains with their regions
 * @returns their proximity
 */
export function classifyProximity (from: string, to: string, regionByDomain: ReadonlyMap<string, string>): Proximity {
  if (from === to) return Proximity.SameDomain
  return regionByDomain.get(from) === regionByDomain.get(to) ? Proximity.SameRegion : Proximity.OtherRegion
}
