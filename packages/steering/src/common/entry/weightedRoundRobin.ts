/**
 * Distributes a route's requests over its services in proportion to their weights, by smooth
 * weighted round robin. After any number of requests, each service is within one request of
 * its share; random choice would deviate by the square root of the number of requests.
 */
import type { RoutePolicy } from './steeringDocument.js'

/** The distribution for the routes of one version of the configuration. */
export class WeightedRoundRobin {
  private readonly currentWeightsByRoute = new Map<string, number[]>()

  /**
   * @param route the request's route
   * @returns the service that gets this request
   */
  chooseService (route: RoutePolicy): string {
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
