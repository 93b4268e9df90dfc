/** A request as the run carries it: read whole, with its route and its time. */
import type { IncomingMessage } from 'node:http'
import type { Instant } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import type { RoutePolicy } from '@umberspar/steering/common/entry/steeringDocument'
import type { RequestBody } from './bodyReader.js'
import type { RequestDigest } from './requestDigest.js'

/** A request whose head was read and accepted. */
export interface ReadHead {
  readonly message: IncomingMessage
  readonly route: RoutePolicy
  /** Digest of the caller's key; undefined if it sent none that can be read. */
  readonly keyDigest: string | undefined
  /** When its head had been read. */
  readonly arrivedAt: Instant
}

/** A request that was read whole. */
export interface ReadRequest extends ReadHead {
  readonly requestId: string | undefined
  readonly body: RequestBody
  /** Recognizes the request when it is sent again. */
  readonly digest: RequestDigest
  /** When the caller gives up. */
  readonly patienceUntil: Deadline
}
