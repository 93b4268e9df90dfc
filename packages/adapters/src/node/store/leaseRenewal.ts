/** Renews a lease once, over a stream of its own. */
import type { CallOptions, ServiceError } from '@grpc/grpc-js'
import { status } from '@grpc/grpc-js'
import type { Result } from '@umberspar/base/common/result'
import { Err, Ok } from '@umberspar/base/common/result'
import type { LeaseClient, LeaseKeepAliveResponse } from '../generated/etcd/rpc.js'

function createServiceError (code: status, message: string): ServiceError {
  return Object.assign(new Error(message), { code, details: message, metadata: undefined as never })
}

/**
 * Sends one keep-alive request on a new stream. A long-lived stream would save two frames
 * per renewal, but a failed renewal would then take the next one with it, and responses
 * would have to be matched to requests to know when the new lifetime starts.
 * @param client the endpoint's lease client
 * @param leaseId the lease
 * @param options call options, with the deadline
 * @returns the response; `NOT_FOUND` if the lease has expired
 */
export function renewLeaseOnce (client: LeaseClient, leaseId: bigint, options: Partial<CallOptions>): Promise<Result<LeaseKeepAliveResponse, ServiceError>> {
  return new Promise((resolve) => {
    const stream = client.leaseKeepAlive(options)
    stream.on('data', (response: LeaseKeepAliveResponse) => {
      const hasExpired = response.TTL <= 0n
      resolve(hasExpired ? Err(createServiceError(status.NOT_FOUND, 'the lease has expired')) : Ok(response))
      stream.cancel()
    })
    stream.on('error', (error: ServiceError) => { resolve(Err(error)) })
    stream.on('end', () => { resolve(Err(createServiceError(status.UNKNOWN, 'the stream ended without a response'))) })
    stream.write({ ID: leaseId })
  })
}
