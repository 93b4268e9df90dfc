/** The order in which the members of the store are tried. */
import type { IClosable } from '@umberspar/base/common/closing'
import type { ChannelSecurityFactory } from '../grpc/grpcCalls.js'
import { EtcdEndpoint } from './etcdEndpoint.js'

/** Rotates through all members of the store: the preferred one is tried first, and the next becomes preferred when it fails. */
export class EndpointRotation implements IClosable {
  private readonly endpoints: readonly EtcdEndpoint[]
  private preferredIndex = 0

  constructor (addresses: readonly string[], createSecurity: ChannelSecurityFactory) {
    if (addresses.length === 0) throw new RangeError('the store adapter needs at least one endpoint')
    this.endpoints = addresses.map((address) => new EtcdEndpoint(address, createSecurity))
  }

  /** @returns all endpoints, in the order in which to try them */
  list (): EtcdEndpoint[] {
    return [...this.endpoints.slice(this.preferredIndex), ...this.endpoints.slice(0, this.preferredIndex)]
  }

  /** @param endpoint the endpoint that failed; if it is the preferred one, the next takes its place */
  markFailed (endpoint: EtcdEndpoint): void {
    if (this.endpoints[this.preferredIndex] === endpoint) this.preferredIndex = (this.preferredIndex + 1) % this.endpoints.length
  }

  close (): void {
    for (const endpoint of this.endpoints) endpoint.close()
  }
}
