/** Starts the listeners of an entry process for everything but callers: readiness, look-ups, other entry VMs and metrics. */
import type { CloseStack } from '@umberspar/base/common/closing'
import type { ConnectionResources } from '@umberspar/base/node/http/connectionResources'
import { chooseEntryVms } from '@umberspar/steering/common/entry/chooseEntryVms'
import type { ICallerProtocol } from '@umberspar/steering/common/ports/callerProtocol'
import type { EntrySettings } from '../../common/entrySettings.js'
import { RECORDS_PATH } from '../../common/recordLines.js'
import { RELAY_PATH } from '../../common/relayFields.js'
import { computeMaxEndpointConnections } from '../front/connectionShares.js'
import type { RecordPublisher } from '../peers/recordPublisher.js'
import { QUOTA_PATH } from '../quota/quotaMessages.js'
import type { RelayServer } from '../relay/relayServer.js'
import type { EntryTelemetry } from '../telemetry/entryTelemetry.js'
import { ReadinessRecorder } from '../telemetry/readinessRecorder.js'
import { createLookupHandler, EndpointServer, METRICS_CONTENT_TYPE, NOT_READY_RESPONSE, type PathHandler, READY_RESPONSE } from './endpointServer.js'
import { Readiness, type ServingNodes } from './servingNodes.js'

/** What answers at the endpoints. */
export interface EntryEndpointsOptions {
  readonly settings: EntrySettings
  readonly protocol: ICallerProtocol
  readonly regionByDomain: ReadonlyMap<string, string>
  readonly servingNodes: ServingNodes
  readonly quotaHandler: PathHandler
  readonly relayServer: RelayServer
  readonly publisher: RecordPublisher
  readonly telemetry: EntryTelemetry
  /** What all connections of the process share. */
  readonly connectionResources: ConnectionResources
  /** @returns the metrics in the Prometheus text format */
  readMetrics(): Promise<string>
}

/** How long callers may cache a look-up unless the settings allow less: a VM that drains is still used for that time. */
const MAX_LOOKUP_CACHE_MS = 2_000
const METRICS_PATH = '/metrics'

/**
 * @param options what answers at the endpoints
 * @param closeStack closes the listeners
 * @returns resolved when all listen
 */
export async function listenForEndpoints (options: EntryEndpointsOptions, closeStack: CloseStack): Promise<void> {
  const { settings, settings: { listen }, protocol, quotaHandler, relayServer, publisher, connectionResources, readMetrics } = options
  const limit = connectionResources.createLimit(computeMaxEndpointConnections(settings))
  const endpoints: ReadonlyArray<{ readonly address: string, readonly path: string, readonly handler: PathHandler }> = [
    { address: listen.readiness, path: protocol.readinessPath, handler: buildReadinessHandler(options) },
    { address: listen.lookups, path: protocol.lookupPath, handler: buildLookupHandler(options) },
    { address: listen.peers, path: QUOTA_PATH, handler: quotaHandler },
    { address: listen.metrics, path: METRICS_PATH, handler: async () => ({ status: 200, contentType: METRICS_CONTENT_TYPE, body: await readMetrics() }) }
  ]
  // Several may share an address.
  for (const address of new Set([listen.lookups, listen.readiness, listen.peers, listen.metrics])) {
    const server = closeStack.add(new EndpointServer(connectionResources, limit))
    for (const endpoint of endpoints) {
      if (endpoint.address === address) server.register(endpoint.path, endpoint.handler)
    }
    if (listen.peers === address) {
      server.registerRaw(RELAY_PATH, (request, response) => { relayServer.accept(request, response) })
      server.registerStream(RECORDS_PATH, (query, response) => { publisher.accept(query, response) })
    }
    await server.listen(address)
  }
}

function buildReadinessHandler ({ servingNodes, telemetry: { logger, metrics } }: EntryEndpointsOptions): PathHandler {
  const recorder = new ReadinessRecorder(logger, metrics)
  return () => {
    const readiness = servingNodes.getReadiness()
    recorder.record(readiness)
    return readiness === Readiness.Ready ? READY_RESPONSE : NOT_READY_RESPONSE
  }
}

function buildLookupHandler ({ protocol, settings, servingNodes, regionByDomain, telemetry }: EntryEndpointsOptions): PathHandler {
  const cacheMs = Math.min(MAX_LOOKUP_CACHE_MS, settings.longestLookupCache)
  return createLookupHandler(protocol, (region, domain) => {
    return { addresses: chooseEntryVms(servingNodes.list(), { region, domain }, regionByDomain), cacheMs }
  }, (hasAddresses) => { telemetry.metrics.countLookup(hasAddresses ? 'named' : 'none') })
}
