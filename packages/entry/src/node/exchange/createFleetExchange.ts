/** Creates the exchange of one process. */
import type { IClock } from '@umberspar/base/common/clock'
import type { EntryView } from '@umberspar/steering/common/entry/entryView'
import type { EntryTelemetry } from '../telemetry/entryTelemetry.js'
import { DatagramSocket } from './datagramSocket.js'
import { FleetExchange, type FleetExchangeOptions } from './fleetExchange.js'

/** What the exchange is created from. */
export interface CreateExchangeOptions extends Pick<FleetExchangeOptions, 'self' | 'regionByDomain' | 'roundTrips' | 'isLate'> {
  readonly clock: IClock
  readonly view: EntryView
  readonly telemetry: EntryTelemetry
}

/**
 * @param options what it is created from
 * @returns the exchange, not started yet
 */
export function createFleetExchange ({ view, telemetry, ...options }: CreateExchangeOptions): FleetExchange {
  return new FleetExchange({
    ...options,
    socket: new DatagramSocket(),
    listNodes: () => view.nodes.values(),
    findSubjectDomain: ({ key }) => view.findUpstream(key)?.registration.domain,
    onError: (error) => { telemetry.logExchangeError(error) }
  })
}
