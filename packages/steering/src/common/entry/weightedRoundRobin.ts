/**
 * Deals a route's requests to its services in the proportion of their weights, by
 * smooth weighted round robin: after any number of requests each part is within
 * one request of its share, where a random draw would stray by its square root.
 */
import type { RoutePolicy } from './steeringDocument.js'

/** The parts of the routes of one version. */
export class WeightedRoundRobin {
  private readonly currentWeightsByRoute = new Map<string, number[]>()

  /**
   * @param route the request's route
   * @returns the service that this request goes to
   */
  choose (route: RoutePolicy): string {
    if (route.parts.length === 1) return route.parts[0]!.service
    const currentWeights = this.getCurrentWeights(route)
    let bestIndex = 0
    let totalWeight = 0
    for (const [index, part] of route.parts.entries()) {
      totalWeight += part.weight
      currentWeights[index]! += part.weight
      if (currentWeights[index]! > currentWeights[bestIndex]!) bestIndex = index
    }
    currentWeights[bestIndex]! -= totalWeight
    return route.parts[bestIndex]!.service
  }

  private getCurrentWeights (route: RoutePolicy): number[] {
    let currentWeights = this.currentWeightsByRoute.get(route.name)
    if (currentWeights === undefined) {
      currentWeights = route.parts.map(() => 0)
      this.currentWeightsByRoute.set(route.name, currentWeights)
    }
    return currentWeights
  }
}
