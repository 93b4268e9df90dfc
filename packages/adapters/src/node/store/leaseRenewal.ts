/** One renewal of a lease over its own short stream. */
import type { CallOptions, ServiceError } from '@grpc/grpc-js'
import { status } from '@grpc/grpc-js'
import type { Result } from '@umberspar/base/common/result'
import { Err, Ok } from '@umberspar/base/common/result'
import type { LeaseClient, LeaseKeepAliveResponse } from '../generated/etcd/rpc.js'

function createServiceError (code: status, message: string): ServiceError {
  return Object.assign(new Error(message), { code, details: message, metadata: undefined as never })
}

/**
 * Sends one keep-alive. A kept stream was the other way; it saves two frames per
 * renewal, but a renewal then shares the fate of the one before it, and an answer
 * has to be matched to its request to know from when its span counts.
 * @param client of the endpoint
 * @param leaseId the lease
 * @param options with the deadline
 * @returns the answer; `NOT_FOUND` if the lease has lapsed
 */
export function renewLeaseOnce (client: LeaseClient, leaseId: bigint, options: Partial<CallOptions>): Promise<Result<LeaseKeepAliveResponse, ServiceError>> {
  return new Promise((resolve) => {
    const stream = client.leaseKeepAlive(options)
    stream.on('data', (response: LeaseKeepAliveResponse) => {
      const hasExpired = response.TTL <= 0n
      resolve(hasExpired ? Err(createServiceError(status.NOT_FOUND, 'the lease has lapsed')) : Ok(response))
      stream.cancel()
    })
    stream.on('error', (error: ServiceError) => { resolve(Err(error)) })
    stream.on('end', () => { resolve(Err(createServiceError(status.UNKNOWN, 'the stream ended without an answer'))) })
    stream.write({ ID: leaseId })
  })
}
