/** Finds the route of a request by its host, then by the longest prefix of its path. */
import type { RoutePolicy, SteeringDocument } from './steeringDocument.js'

function comparePrefixLength (left: RoutePolicy, right: RoutePolicy): number {
  return right.prefix.length - left.prefix.length
}

/** The routes of one version of the configuration, indexed for lookups. */
export class RouteTable {
  private readonly routesByHost = new Map<string, RoutePolicy[]>()

  /** @param document the configuration */
  constructor (document: SteeringDocument) {
    for (const route of document.routes) {
      const host = route.host.toLowerCase()
      const routes = this.routesByHost.get(host)
      if (routes === undefined) this.routesByHost.set(host, [route])
      else routes.push(route)
    }
    for (const routes of this.routesByHost.values()) routes.sort(comparePrefixLength)
  }

  /**
   * @param host the `Host` header, with or without port, in any case
   * @param target the request target; its query is ignored
   * @returns the route with the longest matching prefix
   */
  find (host: string, target: string): RoutePolicy | undefined {
    const routes = this.routesByHost.get(host.split(':', 1)[0]!.toLowerCase())
    if (routes === undefined) return undefined
    const path = target.split('?', 1)[0]!
    return routes.find((route) => path.startsWith(route.prefix))
  }
}
