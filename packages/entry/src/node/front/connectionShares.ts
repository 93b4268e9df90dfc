/** The parts of a machine's memory and descriptors that connections may take. */
import type { IClock } from '@umberspar/base/common/clock'
import { ConnectionResources } from '@umberspar/base/node/http/connectionResources'
import type { EntryView } from '@umberspar/steering/common/entry/entryView'
import type { EntrySettings } from '../../common/entrySettings.js'
import type { EntryMetrics } from '../telemetry/entryMetrics.js'
import { computeClientMemory } from './bodyReader.js'
import type { CallerLimits } from './callerConnection.js'

/** Of the memory beside the runtime: for what waits to be parsed, heads of requests in flight and unsent responses; bodies have a budget of their own. */
const CONNECTION_MEMORY_RATIO = 0.1
/** The rest is for workers, other entry VMs, the store and files. */
const CALLER_CONNECTION_RATIO = 0.6
const ENDPOINT_CONNECTION_RATIO = 0.15

/** Limit on the length of a head while no configuration states one; Node.js itself rejects longer ones. */
export const MAX_HEADER_BYTES = 65_536
/** What a head may have beyond the configured limit, which counts neither its line ends nor the version, to be refused by its fields. */
const HEADER_MARGIN_BYTES = 256
/** Limit on the time that a head may take while no configuration states one. */
const MAX_HEADER_MS = 10_000

/** @returns what the connections of a process share */
export function createConnectionResources ({ memoryMb }: EntrySettings, clock: IClock, metrics: EntryMetrics): ConnectionResources {
  return new ConnectionResources({
    clock,
    maxBytes: computeClientMemory(memoryMb) * CONNECTION_MEMORY_RATIO,
    onClose: (reason) => { metrics.countClosedConnection(reason) }
  })
}

/**
 * @param settings the settings of the process
 * @param resources what all connections share
 * @param view names the configured limits
 * @returns the limits on the connections of callers
 */
export function createCallerLimits ({ maxDescriptors }: EntrySettings, resources: ConnectionResources, view: EntryView): CallerLimits {
  return {
    resources,
    limit: resources.createLimit(Math.floor(maxDescriptors * CALLER_CONNECTION_RATIO)),
    getMaxHeadBytes: () => Math.min(MAX_HEADER_BYTES, (view.newestDocument?.limits.headerBytes ?? MAX_HEADER_BYTES) + HEADER_MARGIN_BYTES),
    getHeadTimeoutMs: () => view.newestDocument?.limits.headerMs ?? MAX_HEADER_MS
  }
}

/** @returns limit on the connections for look-ups, readiness checks, metrics and other entry VMs together */
export function computeMaxEndpointConnections ({ maxDescriptors }: EntrySettings): number {
  return Math.floor(maxDescriptors * ENDPOINT_CONNECTION_RATIO)
}
