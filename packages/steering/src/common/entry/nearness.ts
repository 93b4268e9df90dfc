/** How near a failure domain is to another: the one judgement that shares, distances and costs go by. */

/** From one failure domain to another. */
export enum Nearness {
  SameDomain = 'same-domain',
  SameRegion = 'same-region',
  OtherRegion = 'other-region'
}

/**
 * @param from a failure domain
 * @param to another, or the same
 * @param regionOf all failure domains with their regions
 * @returns how near they are
 */
export function classifyNearness (from: string, to: string, regionOf: ReadonlyMap<string, string>): Nearness {
  if (from === to) return Nearness.SameDomain
  return regionOf.get(from) === regionOf.get(to) ? Nearness.SameRegion : Nearness.OtherRegion
}
