/** The connection to one member of the store. */
import type { Channel } from '@grpc/grpc-js'
import type { IClosable } from '@umberspar/base/common/closing'
import { createChannel, type ChannelSecurityFactory } from '../grpc/grpcCalls.js'
import { KVClient, LeaseClient, WatchClient } from '../generated/etcd/rpc.js'

/** The channel to a member and the clients that share it. */
export class EtcdEndpoint implements IClosable {
  readonly channel: Channel
  readonly keyValues: KVClient
  readonly leases: LeaseClient
  readonly watches: WatchClient

  constructor (readonly address: string, createSecurity: ChannelSecurityFactory) {
    const security = createSecurity(address)
    const { credentials } = security
    this.channel = createChannel(address, security)
    const options = { channelOverride: this.channel }
    this.keyValues = new KVClient(address, credentials, options)
    this.leases = new LeaseClient(address, credentials, options)
    this.watches = new WatchClient(address, credentials, options)
  }

  close (): void {
    this.channel.close()
  }
}
