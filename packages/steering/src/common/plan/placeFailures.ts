/** Tracks failed places. A failure is kept for a while after recovery, so that a flapping place doesn't make traffic oscillate. */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import type { PlaceObservation } from './plannerState.js'

/** A place counts as recovered after it has been healthy for this long. */
export const RECOVERY_DELAY_MS = 10_000

/**
 * @param service the service
 * @param failureDomain the failure domain
 * @returns the key of the place in maps by place
 */
export function getPlaceKey (service: string, failureDomain: string): string {
  return `${service}/${failureDomain}`
}

/**
 * @param known when failed places count as recovered; Infinity while they are failing
 * @param places the current observations
 * @param now the current time
 * @returns the updated map
 */
export function updateFailures (known: ReadonlyMap<string, Deadline>, places: readonly PlaceObservation[], now: Instant): Map<string, Deadline> {
  const next = new Map([...known].filter(([, until]) => !hasPassed(until, now)))
  for (const { service, failureDomain, isFailed } of places) {
    const key = getPlaceKey(service, failureDomain)
    if (isFailed) next.set(key, Infinity)
    else if (next.get(key) === Infinity) next.set(key, createDeadline(now, RECOVERY_DELAY_MS))
  }
  return next
}

/**
 * @param failures the result of {@link updateFailures}
 * @param service the service
 * @returns failure domains where the service is failing now; places that are healthy again but not yet recovered are left out
 */
export function listFailingDomains (failures: ReadonlyMap<string, Deadline>, service: string): Set<string> {
  const prefix = getPlaceKey(service, '')
  return new Set([...failures].filter(([key, until]) => until === Infinity && key.startsWith(prefix)).map(([key]) => key.slice(prefix.length)))
}

/**
 * @param failures the result of {@link updateFailures}
 * @param service the service
 * @param now the current time
 * @returns failure domains that plans must not use: those that are failing and those that are not yet recovered
 */
export function listFailedDomains (failures: ReadonlyMap<string, Deadline>, service: string, now: Instant): Set<string> {
  const prefix = getPlaceKey(service, '')
  const failed = new Set<string>()
  for (const [key, until] of failures) {
    if (key.startsWith(prefix) && !hasPassed(until, now)) failed.add(key.slice(prefix.length))
  }
  return failed
}
