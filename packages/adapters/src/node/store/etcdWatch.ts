/** A watch: a stream of changes that ends when the stream is interrupted or the watch is closed. */
import type { ClientDuplexStream } from '@grpc/grpc-js'
import { Emitter } from '@umberspar/base/common/event'
import type { IStoreWatch, StoreChange } from '@umberspar/steering/common/ports/keyValueStore'
import { WatchEndReason } from '@umberspar/steering/common/ports/keyValueStore'
import type { WatchRequest, WatchResponse } from '../generated/etcd/rpc.js'
import { decodeChange, encodeWatch } from './etcdMessages.js'

/** The gRPC stream of a watch. */
export type WatchStream = ClientDuplexStream<WatchRequest, WatchResponse>

/** Implements {@link IStoreWatch} over one gRPC stream. */
export class EtcdWatch implements IStoreWatch {
  private readonly changeEmitter = new Emitter<StoreChange>()
  private readonly endEmitter = new Emitter<WatchEndReason>()
  private hasEnded = false
  readonly onDidChange = this.changeEmitter.event
  readonly onDidEnd = this.endEmitter.event

  /**
   * @param stream a new stream, which the watch takes ownership of
   * @param prefix the common prefix of the watched keys
   * @param fromRevision the first revision to report
   * @param onEnd called once, with true if the stream was interrupted and false if the watch was closed or its revisions were compacted
   */
  constructor (
    private readonly stream: WatchStream,
    prefix: string,
    fromRevision: number,
    private readonly onEnd: (isBroken: boolean) => void
  ) {
    stream.on('data', (response: WatchResponse) => { this.handleResponse(response) })
    // A server that shuts down ends the stream cleanly, a lost connection is an error.
    // In both cases later changes may be missed, so both end the watch.
    stream.on('error', () => { this.endWatch(WatchEndReason.Disconnected) })
    stream.on('end', () => { this.endWatch(WatchEndReason.Disconnected) })
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
    if (response.canceled) this.endWatch(response.compactRevision > 0n ? WatchEndReason.Compacted : WatchEndReason.Disconnected)
  }

  private endWatch (reason: WatchEndReason): void {
    if (this.hasEnded) return
    this.hasEnded = true
    this.onEnd(reason === WatchEndReason.Disconnected)
    this.endEmitter.fire(reason)
    this.stopStream()
  }

  private stopStream (): void {
    this.stream.cancel()
    this.changeEmitter.close()
    this.endEmitter.close()
  }
}
