/** One watch: a stream of changes until it breaks or its owner closes it. */
import type { ClientDuplexStream } from '@grpc/grpc-js'
import { Emitter } from '@umberspar/base/common/event'
import type { IStoreWatch, StoreChange } from '@umberspar/steering/common/ports/keyValueStore'
import { WatchEnd } from '@umberspar/steering/common/ports/keyValueStore'
import type { WatchRequest, WatchResponse } from '../generated/etcd/rpc.js'
import { decodeChange, encodeWatch } from './etcdMessages.js'

/** The stream a watch runs on. */
export type WatchStream = ClientDuplexStream<WatchRequest, WatchResponse>

/** An IStoreWatch over one gRPC stream. */
export class EtcdWatch implements IStoreWatch {
  private readonly changeEmitter = new Emitter<StoreChange>()
  private readonly endEmitter = new Emitter<WatchEnd>()
  private hasEnded = false
  readonly onDidChange = this.changeEmitter.event
  readonly onDidEnd = this.endEmitter.event

  /**
   * @param stream a new stream, owned by the watch from now on
   * @param prefix what the watched keys begin with
   * @param fromRevision the first revision of interest
   * @param onEnd called once, when the stream has broken (true) or its owner closed it (false)
   */
  constructor (
    private readonly stream: WatchStream,
    prefix: string,
    fromRevision: number,
    private readonly onEnd: (isBroken: boolean) => void
  ) {
    stream.on('data', (response: WatchResponse) => { this.handleResponse(response) })
    // A server that stops ends the stream cleanly; a lost connection is an error.
    // Either way changes may be missed from here on, so both end the watch.
    stream.on('error', () => { this.endWatch(WatchEnd.Cut) })
    stream.on('end', () => { this.endWatch(WatchEnd.Cut) })
    stream.write(encodeWatch(prefix, fromRevision))
  }

  close (): void {
    if (this.hasEnded) return
    this.hasEnded = true
    this.stopStream()
    this.onEnd(false)
  }

  private handleResponse (response: WatchResponse): void {
    if (this.hasEnded) return
    for (const event of response.events) {
      const change = decodeChange(event)
      if (change !== undefined) this.changeEmitter.fire(change)
    }
    if (response.canceled) this.endWatch(response.compactRevision > 0n ? WatchEnd.Compacted : WatchEnd.Cut)
  }

  private endWatch (reason: WatchEnd): void {
    if (this.hasEnded) return
    this.hasEnded = true
    this.onEnd(reason === WatchEnd.Cut)
    this.endEmitter.fire(reason)
    this.stopStream()
  }

  private stopStream (): void {
    this.stream.cancel()
    this.changeEmitter.close()
    this.endEmitter.close()
  }
}
