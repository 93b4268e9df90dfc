/** How near a failure domain is to another: the one judgement that shares, distances and costs go by. */

/** From one failure domain to another. */
export enum Proximity {
  SameDomain = 'same-domain',
  SameRegion = 'same-region',
  OtherRegion = 'other-region'
}

/**
 * @param from a failure domain
 * @param to another, or the same
 * @param regionByDomain all failure domains with their regions
 * @returns how near they are
 */
export function classifyProximity (from: string, to: string, regionByDomain: ReadonlyMap<string, string>): Proximity {
  if (from === to) return Proximity.SameDomain
  return regionByDomain.get(from) === regionByDomain.get(to) ? Proximity.SameRegion : Proximity.OtherRegion
}
