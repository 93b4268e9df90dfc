/** A request as the run carries it: read whole, with its route and its time. */
import type { IncomingMessage } from 'node:http'
import type { Instant } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import type { RoutePolicy } from '@umberspar/steering/common/entry/steeringDocument'
import type { RequestBody } from './bodyReader.js'

/** A request that was read whole. */
export interface ReadRequest {
  readonly message: IncomingMessage
  readonly requestId: string | undefined
  readonly route: RoutePolicy
  readonly body: RequestBody
  /** When its head had been read. */
  readonly arrivedAt: Instant
  /** When the caller gives up. */
  readonly patienceUntil: Deadline
}
