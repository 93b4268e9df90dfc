/** What workers bear and how near they came to it, as events of the history. */
import type { Instant } from '@umberspar/base/common/clock'
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import { HistoryEventKind } from '../../common/history/historyEvent.js'
import type { ConnectionsCountedEvent, LimitDeclaredEvent } from '../../common/history/historyEvent.js'
import type { WorkerGauges } from '../standIns/upstreamWorkerStandIn.js'

/**
 * @param configuration the configuration in force
 * @param workerId `service/failureDomain/name of the worker`
 * @param at now
 * @returns what the worker bears; undefined if the configuration does not know it
 */
export function buildLimitDeclared (configuration: SteeringConfiguration, workerId: string, at: Instant): LimitDeclaredEvent | undefined {
  const [service = '', failureDomain = '', workerName = ''] = workerId.split('/')
  const worker = configuration.services[service]?.places[failureDomain]?.workers[workerName]
  if (worker === undefined) return undefined
  return { kind: HistoryEventKind.LimitDeclared, at, workerId, slots: worker.slots, connections: worker.connections }
}

/**
 * @param configuration a configuration
 * @returns `service/failureDomain/name of the worker` of each of its workers
 */
export function listWorkerIds (configuration: SteeringConfiguration): string[] {
  return Object.entries(configuration.services).flatMap(([service, { places }]) =>
    Object.entries(places).flatMap(([failureDomain, { workers }]) =>
      Object.keys(workers).map((workerName) => `${service}/${failureDomain}/${workerName}`)))
}

/**
 * A worker stand-in closes connections beyond its limit at once, so its peak
 * never shows the excess: what it turned away while full is added.
 * @param limits what the worker bears
 * @param gauges what the worker counted
 * @param at now
 * @returns the most connections that were asked of it at a time
 */
export function buildConnectionsCounted (limits: LimitDeclaredEvent, gauges: WorkerGauges, at: Instant): ConnectionsCountedEvent {
  const { peakConnections, refusedConnections } = gauges
  const open = peakConnections >= limits.connections ? peakConnections + refusedConnections : peakConnections
  return { kind: HistoryEventKind.ConnectionsCounted, at, workerId: limits.workerId, open }
}
