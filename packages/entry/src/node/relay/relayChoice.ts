/** What becomes of a request whose service this VM can't open connections to. */
import type { Instant } from '@umberspar/base/common/clock'
import type { EntryNode } from '@umberspar/steering/common/entry/records'
import type { EntryContext } from '../front/entryContext.js'
import { EndReason } from '../telemetry/requestOutcomes.js'

/** VMs to which one request is relayed, one after another. */
const MAX_RELAYS = 2

/** A request that may be relayed. */
export interface RelayQuery {
  readonly service: string
  /** The only regions that may serve the request; empty if all may. */
  readonly homeRegions: readonly string[]
  /** How many VMs it was relayed to by this one. */
  readonly relays: number
  /** Whether another VM relayed it to this one. */
  readonly isRelayed: boolean
}

/**
 * @param context the shared services of the process
 * @param query the request
 * @param now the current time
 * @returns the VM to relay the request to, or the reason to reject it; undefined if this VM may try
 *   its own workers, as other VMs may have lost the same ones, for instance because these have crashed
 */
export function chooseRelayPath ({ relayPeers, location, links }: EntryContext, { service, homeRegions, relays, isRelayed }: RelayQuery, now: Instant): EntryNode | EndReason | undefined {
  if (isRelayed) return EndReason.RelayUnable
  const node = relays < MAX_RELAYS ? relayPeers.choose(service, { ...location, homeRegions }) : undefined
  if (node !== undefined) return node
  return links.mayBeReachable(service, now) ? undefined : EndReason.NoWorker
}
