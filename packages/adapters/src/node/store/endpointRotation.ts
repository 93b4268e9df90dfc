/** The members of the store, and which of them to ask first. */
import type { IClosable } from '@umberspar/base/common/closing'
import type { ChannelSecurityFactory } from '../grpc/grpcCalls.js'
import { EtcdEndpoint } from './etcdEndpoint.js'

/** All members; the one that answered last is asked first. */
export class EndpointRotation implements IClosable {
  private readonly endpoints: readonly EtcdEndpoint[]
  private preferredIndex = 0

  constructor (addresses: readonly string[], createSecurity: ChannelSecurityFactory) {
    if (addresses.length === 0) throw new RangeError('the store needs at least one endpoint')
    this.endpoints = addresses.map((address) => new EtcdEndpoint(address, createSecurity))
  }

  /** @returns all endpoints in the order in which to ask them */
  list (): EtcdEndpoint[] {
    return [...this.endpoints.slice(this.preferredIndex), ...this.endpoints.slice(0, this.preferredIndex)]
  }

  /** @param endpoint the one that failed; the next becomes the first if this was it */
  markFailed (endpoint: EtcdEndpoint): void {
    if (this.endpoints[this.preferredIndex] === endpoint) this.preferredIndex = (this.preferredIndex + 1) % this.endpoints.length
  }

  close (): void {
    for (const endpoint of this.endpoints) endpoint.close()
  }
}
