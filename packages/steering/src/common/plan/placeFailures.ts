/** Which places have failed, held for a while so that a place that comes and goes moves no traffic to and fro. */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import type { PlaceObservation } from './plannerState.js'

/** A place counts as recovered only after it has been well for so long. */
export const RECOVERY_SPAN_MS = 10_000

/**
 * @param service the service
 * @param failureDomain where
 * @returns the key of a place in this module's maps
 */
export function getPlaceKey (service: string, failureDomain: string): string {
  return `${service}/${failureDomain}`
}

/**
 * @param known when failed places recover; Infinity while they fail
 * @param places what is observed now
 * @param now the present
 * @returns the same, brought up to date
 */
export function updateFailures (known: ReadonlyMap<string, Deadline>, places: readonly PlaceObservation[], now: Instant): Map<string, Deadline> {
  const next = new Map([...known].filter(([, until]) => !hasPassed(until, now)))
  for (const { service, failureDomain, isFailed } of places) {
    const key = getPlaceKey(service, failureDomain)
    if (isFailed) next.set(key, Infinity)
    else if (next.get(key) === Infinity) next.set(key, createDeadline(now, RECOVERY_SPAN_MS))
  }
  return next
}

/**
 * @param failures from `updateFailures`
 * @param service the service
 * @returns failure domains where it fails now; those that have been well for a moment are left out
 */
export function listFailing (failures: ReadonlyMap<string, Deadline>, service: string): Set<string> {
  const prefix = getPlaceKey(service, '')
  return new Set([...failures].filter(([key, until]) => until === Infinity && key.startsWith(prefix)).map(([key]) => key.slice(prefix.length)))
}

/**
 * @param failures from `updateFailures`
 * @param service the service
 * @param now the present
 * @returns failure domains where the service must not be planned
 */
export function listFailed (failures: ReadonlyMap<string, Deadline>, service: string, now: Instant): Set<string> {
  const prefix = getPlaceKey(service, '')
  const failed = new Set<string>()
  for (const [key, until] of failures) {
    if (key.startsWith(prefix) && !hasPassed(until, now)) failed.add(key.slice(prefix.length))
  }
  return failed
}
