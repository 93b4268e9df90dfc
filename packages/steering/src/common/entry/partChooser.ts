/**
 * Deals a route's requests to its services in the proportion of their weights, by
 * smooth weighted round robin: after any number of requests each part is within
 * one request of its share, where a random draw would stray by its square root.
 */
import type { RoutePolicy } from './steeringDocument.js'

/** The parts of the routes of one version. */
export class PartChooser {
  private readonly creditsByRoute = new Map<string, number[]>()

  /**
   * @param route the request's route
   * @returns the service that this request goes to
   */
  choose (route: RoutePolicy): string {
    if (route.parts.length === 1) return route.parts[0]!.service
    const credits = this.readCredits(route)
    let best = 0
    let total = 0
    for (const [index, part] of route.parts.entries()) {
      total += part.weight
      credits[index]! += part.weight
      if (credits[index]! > credits[best]!) best = index
    }
    credits[best]! -= total
    return route.parts[best]!.service
  }

  private readCredits (route: RoutePolicy): number[] {
    let credits = this.creditsByRoute.get(route.name)
    if (credits === undefined) {
      credits = route.parts.map(() => 0)
      this.creditsByRoute.set(route.name, credits)
    }
    return credits
  }
}
