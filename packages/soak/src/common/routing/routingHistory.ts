/**
 * The versions of a routing configuration with the instants at which the store
 * acknowledged them, and what they allow of a request.
 */
import type { Instant } from '@umberspar/base/common/clock'

/** One route of a version. */
export interface VersionRoute {
  readonly prefix: string
  readonly service: string
  /** The regions that alone may serve it; empty if all may. */
  readonly homes: readonly string[]
}

/** One version. */
export interface RoutingVersion {
  readonly version: number
  readonly ackedAt: Instant
  readonly routes: readonly VersionRoute[]
}

/** Where a request ran, or with which status it was denied. */
export type RoutingOutcome =
  | { readonly ran: { readonly service: string, readonly region: string } }
  | { readonly denied: number }

/** A request whose outcome is known. */
export interface RoutedRequest {
  readonly path: string
  readonly sentAt: Instant
  readonly endedAt: Instant
  readonly outcome: RoutingOutcome
}

/** What an outcome breaks. */
export enum RoutingBreach {
  /** It ran on a service, or was denied, as only a replaced version allows. */
  OldVersion = 'old-version',
  /** It ran in a region that is no home by any version that may be in force. */
  OutsideHome = 'outside-home'
}

const DENIED_STATUS = 404

/** @returns the route with the longest prefix that begins the path */
function findRoute ({ routes }: RoutingVersion, path: string): VersionRoute | undefined {
  let found: VersionRoute | undefined
  for (const route of routes) {
    if (path.startsWith(route.prefix) && route.prefix.length > (found?.prefix.length ?? 0)) found = route
  }
  return found
}

function isAllowedBy (version: RoutingVersion, path: string, outcome: RoutingOutcome): boolean {
  const route = findRoute(version, path)
  if ('denied' in outcome) return route === undefined && outcome.denied === DENIED_STATUS
  return route?.service === outcome.ran.service
}

function isHomeBy (version: RoutingVersion, path: string, region: string): boolean {
  const homes = findRoute(version, path)?.homes ?? []
  return homes.length === 0 || homes.includes(region)
}

/** All versions of one run. */
export class RoutingHistory {
  private readonly versions: RoutingVersion[] = []

  /** @param applyMs within which a version must be in force after its acknowledgement, in milliseconds */
  constructor (private readonly applyMs: number) {}

  /** @returns the newest version; undefined before the first */
  get newest (): RoutingVersion | undefined {
    return this.versions.at(-1)
  }

  /** Adds a version that the store has acknowledged. */
  add (version: RoutingVersion): void {
    this.versions.push(version)
  }

  /** @returns what a request's outcome breaks */
  listBreaches ({ path, sentAt, endedAt, outcome }: RoutedRequest): RoutingBreach[] {
    const inForce = this.listInForce(sentAt, endedAt)
    if (inForce.length === 0) return []
    const breaches: RoutingBreach[] = []
    if (!inForce.some((version) => isAllowedBy(version, path, outcome))) breaches.push(RoutingBreach.OldVersion)
    if ('ran' in outcome && !inForce.some((version) => isHomeBy(version, path, outcome.ran.region))) breaches.push(RoutingBreach.OutsideHome)
    return breaches
  }

  /** Versions that may be in force at some moment of a request: replaced ones until the bound after their successor. */
  private listInForce (sentAt: Instant, endedAt: Instant): RoutingVersion[] {
    return this.versions.filter(({ ackedAt }, index) => {
      const next = this.versions[index + 1]
      return ackedAt <= endedAt && (next === undefined || sentAt <= next.ackedAt + this.applyMs)
    })
  }
}
