/** A request with its route and deadline, after its headers and after its body have been read. */
import type { IncomingMessage } from 'node:http'
import type { Instant } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import type { CallerVisit } from '@umberspar/steering/common/entry/admission/callerTimes'
import type { RoutePolicy } from '@umberspar/steering/common/entry/steeringDocument'
import type { RelayOrigin } from '../../common/relayFields.js'
import type { RequestBody } from './bodyReader.js'
import type { RequestDigest } from './requestDigest.js'

/** A request whose headers were read and accepted. */
export interface AcceptedRequest {
  readonly message: IncomingMessage
  readonly route: RoutePolicy
  /** Digest of the caller's key; undefined if it sent no valid one. */
  readonly keyDigest: string | undefined
  /** When its headers had been read. */
  readonly arrivedAt: Instant
  /** When the caller stops waiting. */
  readonly callerDeadline: Deadline
  /** Whether its caller was refused before and has come back; undefined if that can't be told. */
  readonly visit?: CallerVisit | undefined
  /** What the VM that relayed the request tells about it; undefined for requests of callers. */
  readonly relayOrigin?: RelayOrigin | undefined
}

/** A request whose body is completely in memory. */
export interface BufferedRequest extends AcceptedRequest {
  readonly requestId: string | undefined
  readonly body: RequestBody
  /** Identifies the request when the caller sends it again. */
  readonly digest: RequestDigest
}
