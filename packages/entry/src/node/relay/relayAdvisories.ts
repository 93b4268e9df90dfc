/** What two entry VMs tell each other about workers with a relayed request: each may have heard of a drain or a pause before the other. */
import type { UpstreamTracker } from '@umberspar/steering/common/entry/workers/upstreamTracker'
import type { WorkerAnnouncement } from '../../common/relayFields.js'
import type { EntryContext } from '../front/entryContext.js'

/** @returns the ids of the service's workers that must get no requests now, as far as this VM knows */
export function listExcludedWorkers ({ view, clock }: EntryContext, service: string): string[] {
  const now = clock.now()
  const isExcluded = ({ isDraining, advisory, registration }: UpstreamTracker): boolean => isDraining || advisory.isCoolingDown(now) || view.evacuatedDomains.has(registration.domain)
  return [...view.getPool(service).listTrackers()].filter(isExcluded).map(({ registration }) => registration.id)
}

/** @returns what workers have announced to this VM, of the given ones those that drain or asked for a pause */
export function listAnnouncements ({ view, clock }: EntryContext, service: string, workers: Iterable<string>): WorkerAnnouncement[] {
  const now = clock.now()
  const announcements: WorkerAnnouncement[] = []
  for (const worker of workers) {
    const advisory = view.getPool(service).find(worker)?.advisory
    if (advisory === undefined || (!advisory.isDraining && !advisory.isCoolingDown(now))) continue
    announcements.push({ worker, isDraining: advisory.isDraining, coolDownMs: advisory.isDraining ? 0 : advisory.pausedUntil - now })
  }
  return announcements
}

/** Records what workers have announced to the VM that this one relayed a request to. */
export function recordAnnouncements ({ view, advisoryRecorder }: EntryContext, service: string, announcements: readonly WorkerAnnouncement[]): void {
  for (const { worker, isDraining, coolDownMs } of announcements) {
    const registration = view.getPool(service).find(worker)?.registration
    if (registration !== undefined) advisoryRecorder.record(registration, { isDraining, coolDownMs: coolDownMs > 0 ? coolDownMs : undefined })
  }
}
