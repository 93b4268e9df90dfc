/** How far each drain of the configuration has come, as this node sees it. */
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import { findRegion } from '@umberspar/steering/common/configuration/findRegion'
import type { PlaceDirectory } from '../places/placeDirectory.js'
import type { PlanKeeper } from '../places/planKeeper.js'

/** What a drain takes out of use. */
export enum DrainKind {
  FailureDomain = 'failure-domain',
  Region = 'region',
  Place = 'place'
}

/** One drain's progress at one node. */
export interface DrainStatus {
  readonly kind: DrainKind
  /** The failure domain, the region, or `service/failure-domain`. */
  readonly target: string
  /** Mean part of client regions' traffic still planned there, 0 to 1. */
  readonly weight: number
  /** This node's requests there that have not ended. */
  readonly inFlight: number
  /** Nothing of this node goes there any more. */
  readonly isSafeToStop: boolean
}

/** Whether a place belongs to a drain. */
type PlaceTest = (service: string, failureDomain: string) => boolean

/**
 * @param configuration the configuration in force
 * @param places this node's places
 * @param plans this node's weights
 * @returns the progress of every drain asked for
 */
export function listDrains (configuration: SteeringConfiguration, places: PlaceDirectory, plans: PlanKeeper): DrainStatus[] {
  const { failureDomains, regions, places: single } = configuration.drains
  const create = (kind: DrainKind, target: string, isPart: PlaceTest): DrainStatus => buildStatus(kind, target, isPart, places, plans)
  return [
    ...failureDomains.map((name) => create(DrainKind.FailureDomain, name, (_, domain) => domain === name)),
    ...regions.map((name) => create(DrainKind.Region, name, (_, domain) => findRegion(configuration, domain) === name)),
    ...single.map((one) => create(DrainKind.Place, `${one.service}/${one.failureDomain}`,
      (service, domain) => service === one.service && domain === one.failureDomain))
  ]
}

function buildStatus (kind: DrainKind, target: string, isPart: PlaceTest, places: PlaceDirectory, plans: PlanKeeper): DrainStatus {
  const parts = places.list().filter((pool) => isPart(pool.key.service, pool.key.failureDomain))
  const weights = parts.map((pool) => plans.computeWeight(pool.key.service, pool.key.failureDomain))
  const weight = Math.max(0, ...weights)
  const inFlight = parts.reduce((sum, pool) => sum + pool.inFlight + pool.waiting, 0)
  return { kind, target, weight, inFlight, isSafeToStop: weight === 0 && inFlight === 0 }
}
