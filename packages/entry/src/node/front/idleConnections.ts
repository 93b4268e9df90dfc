/** Which workers a request can be sent to without opening a connection, while those that are opened fail. */
import type { UpstreamChoice } from '@umberspar/steering/common/entry/workers/chooseUpstream'
import type { EntryContext } from './entryContext.js'

/** @returns whether a worker was chosen that a request can be sent to without opening a connection */
export function hasIdleConnection ({ pools }: EntryContext, choice: UpstreamChoice | undefined): boolean {
  return choice !== undefined && pools.hasIdle(choice.candidate.tracker.registration.id)
}

/** @returns the tried workers, and all of the service's to which a connection would have to be opened */
export function listWithoutIdleConnection ({ view, pools }: EntryContext, service: string, triedWorkers: ReadonlySet<string>): Set<string> {
  const ids = [...view.getPool(service).listTrackers()].map(({ registration }) => registration.id)
  return new Set([...triedWorkers, ...ids.filter((id) => !pools.hasIdle(id))])
}
