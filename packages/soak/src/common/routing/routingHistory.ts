/**
 * The versions of a routing configuration, when the store acknowledged each of
 * them, and which outcomes of a request they allow.
 */
import type { Instant } from '@umberspar/base/common/clock'

/** A route of a configuration version. */
export interface VersionRoute {
  readonly prefix: string
  readonly service: string
  /** The only regions that may serve the route; empty if all may. */
  readonly homeRegions: readonly string[]
}

/** A version of the routing configuration. */
export interface RoutingVersion {
  readonly version: number
  readonly ackedAt: Instant
  readonly routes: readonly VersionRoute[]
}

/** The service and region that ran a request, or the status with which it was denied. */
export type RoutingOutcome =
  | { readonly ran: { readonly service: string, readonly region: string } }
  | { readonly denied: number }

/** A request with a known outcome. */
export interface RoutedRequest {
  readonly path: string
  readonly sentAt: Instant
  readonly endedAt: Instant
  readonly outcome: RoutingOutcome
}

/** How an outcome contradicts the configuration. */
export enum RoutingBreach {
  /** Only a replaced version allows the service that ran the request, or the denial. */
  ReplacedVersion = 'old-version',
  /** The request ran in a region that is not a home region in any version that may be in effect. */
  OutsideHomeRegions = 'outside-home'
}

const DENIED_STATUS = 404

/** @returns the route with the longest prefix that matches the path */
function findRoute ({ routes }: RoutingVersion, path: string): VersionRoute | undefined {
  let longest: VersionRoute | undefined
  for (const route of routes) {
    if (path.startsWith(route.prefix) && route.prefix.length > (longest?.prefix.length ?? 0)) longest = route
  }
  return longest
}

function isAllowedBy (version: RoutingVersion, path: string, outcome: RoutingOutcome): boolean {
  const route = findRoute(version, path)
  if ('denied' in outcome) return route === undefined && outcome.denied === DENIED_STATUS
  return route?.service === outcome.ran.service
}

function isHomeRegionOf (version: RoutingVersion, path: string, region: string): boolean {
  const homeRegions = findRoute(version, path)?.homeRegions ?? []
  return homeRegions.length === 0 || homeRegions.includes(region)
}

/** The configuration versions of one run. */
export class RoutingHistory {
  private readonly versions: RoutingVersion[] = []

  /** @param maxApplyMs how long after its acknowledgement a version must be in effect everywhere, in milliseconds */
  constructor (private readonly maxApplyMs: number) {}

  /** @returns the newest version; undefined if there is none yet */
  get newest (): RoutingVersion | undefined {
    return this.versions.at(-1)
  }

  /** Adds a version after the store has acknowledged it. */
  add (version: RoutingVersion): void {
    this.versions.push(version)
  }

  /** @returns how the outcome of a request contradicts all versions that may have been in effect */
  listBreaches ({ path, sentAt, endedAt, outcome }: RoutedRequest): RoutingBreach[] {
    const versions = this.listVersionsInEffect(sentAt, endedAt)
    if (versions.length === 0) return []
    const breaches: RoutingBreach[] = []
    if (!versions.some((version) => isAllowedBy(version, path, outcome))) breaches.push(RoutingBreach.ReplacedVersion)
    if ('ran' in outcome && !versions.some((version) => isHomeRegionOf(version, path, outcome.ran.region))) breaches.push(RoutingBreach.OutsideHomeRegions)
    return breaches
  }

  /** Lists the versions that may be in effect at some time during a request. A replaced version may stay in effect until the limit after its successor's acknowledgement. */
  private listVersionsInEffect (sentAt: Instant, endedAt: Instant): RoutingVersion[] {
    return this.versions.filter(({ ackedAt }, index) => {
      const next = this.versions[index + 1]
      return ackedAt <= endedAt && (next === undefined || sentAt <= next.ackedAt + this.maxApplyMs)
    })
  }
}
