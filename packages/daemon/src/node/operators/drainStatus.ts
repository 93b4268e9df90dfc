/** Progress of the configured drains, as seen by this node. */
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import { findRegion } from '@umberspar/steering/common/configuration/findRegion'
import type { PlaceDirectory } from '../places/placeDirectory.js'
import type { PlanFollower } from '../places/planFollower.js'

/** What is drained. */
export enum DrainKind {
  FailureDomain = 'failure-domain',
  Region = 'region',
  Place = 'place'
}

/** Progress of one drain on one node. */
export interface DrainStatus {
  readonly kind: DrainKind
  /** The failure domain, the region, or `service/failure-domain`. */
  readonly target: string
  /** Mean share of the client regions' traffic still planned there, 0 to 1. For a drain of several places, the highest of their shares. */
  readonly weight: number
  /** Number of this node's requests there that have not ended. */
  readonly inFlight: number
  /** This node sends nothing there any more. */
  readonly isSafeToStop: boolean
}

/** Whether a service's place in a failure domain is part of a drain. */
type PlacePredicate = (service: string, failureDomain: string) => boolean

/**
 * @param configuration the configuration in force
 * @param places this node's places
 * @param plans the weights that this node's plans assign
 * @returns the progress of every configured drain
 */
export function listDrains (configuration: SteeringConfiguration, places: PlaceDirectory, plans: PlanFollower): DrainStatus[] {
  const { failureDomains, regions, places: placeDrains } = configuration.drains
  const buildFor = (kind: DrainKind, target: string, isIncluded: PlacePredicate): DrainStatus => buildStatus(kind, target, isIncluded, places, plans)
  return [
    ...failureDomains.map((name) => buildFor(DrainKind.FailureDomain, name, (_, domain) => domain === name)),
    ...regions.map((name) => buildFor(DrainKind.Region, name, (_, domain) => findRegion(configuration, domain) === name)),
    ...placeDrains.map((drain) => buildFor(DrainKind.Place, `${drain.service}/${drain.failureDomain}`,
      (service, domain) => service === drain.service && domain === drain.failureDomain))
  ]
}

function buildStatus (kind: DrainKind, target: string, isIncluded: PlacePredicate, places: PlaceDirectory, plans: PlanFollower): DrainStatus {
  const pools = places.list().filter((pool) => isIncluded(pool.key.service, pool.key.failureDomain))
  const weights = pools.map((pool) => plans.computeMeanWeight(pool.key.service, pool.key.failureDomain))
  const weight = Math.max(0, ...weights)
  const inFlight = pools.reduce((sum, pool) => sum + pool.inFlight + pool.waiting, 0)
  return { kind, target, weight, inFlight, isSafeToStop: weight === 0 && inFlight === 0 }
}
