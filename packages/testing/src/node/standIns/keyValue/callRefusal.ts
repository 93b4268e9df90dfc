/** Refusals of the key-value stand-in, with the gRPC status that the published server answers. */
import type { ServiceError } from '@grpc/grpc-js'
import { Metadata, status } from '@grpc/grpc-js'

/** Why a call was not answered. */
export interface CallRefusal {
  readonly code: status
  readonly message: string
}

/** The refusal while the service is down, and of calls whose answer is lost. */
export const UNAVAILABLE: CallRefusal = { code: status.UNAVAILABLE, message: 'service unavailable' }
/** The refusal above the rate that the service takes. */
export const RATE_EXCEEDED: CallRefusal = { code: status.RESOURCE_EXHAUSTED, message: 'too many requests' }
/** The refusal of a lease that lapsed, was revoked or never existed. */
export const LEASE_NOT_FOUND: CallRefusal = { code: status.NOT_FOUND, message: 'requested lease not found' }

/**
 * @param message what is wrong with the request
 * @returns a refusal of a malformed request
 */
export function createInvalid (message: string): CallRefusal {
  return { code: status.INVALID_ARGUMENT, message }
}

/**
 * @param refusal why the call is refused
 * @returns the form in which gRPC sends it
 */
export function toServiceError (refusal: CallRefusal): ServiceError {
  const error = new Error(refusal.message)
  return Object.assign(error, { code: refusal.code, details: refusal.message, metadata: new Metadata() })
}
