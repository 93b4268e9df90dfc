/** One watch stream of a client, which carries any number of watches. */
import type { ServerDuplexStream } from '@grpc/grpc-js'
import type { IClosable } from '@umberspar/base/common/closing'
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { Event, WatchCreateRequest, WatchRequest, WatchResponse } from '@umberspar/adapters/node/generated/etcd/rpc'
import type { CallRefusal } from './callRefusal.js'
import { toServiceError } from './callRefusal.js'
import type { KeyRange } from './keyRange.js'
import { buildKeyRange, isInRange, toKeyName } from './keyRange.js'
import type { Commit, KeyValueState } from './keyValueState.js'

/** The server's side of a watch stream. */
export type WatchCall = ServerDuplexStream<WatchRequest, WatchResponse>

/** What a stream needs of its server. */
export interface WatchStreamOwner {
  readonly clock: IClock
  readonly state: KeyValueState
  /** @returns how long answers are held back at present, in milliseconds */
  readonly getLag: () => number
  /** Counts a new watch and says whether it is refused. */
  readonly admit: () => CallRefusal | undefined
}

interface Watcher {
  readonly range: KeyRange
  readonly wantsPrevious: boolean
  readonly fromRevision: bigint
}

interface QueuedResponse {
  readonly at: Instant
  readonly response: WatchResponse
}

/** Answers the watches of one stream. */
export class WatchStream implements IClosable {
  private readonly watchers = new Map<bigint, Watcher>()
  private readonly queue: QueuedResponse[] = []
  private timer: ITimer | undefined
  private nextWatchId = 1n
  private isOver = false

  constructor (private readonly call: WatchCall, private readonly owner: WatchStreamOwner) {}

  /** @returns how many watches wait on this stream */
  countWatches (): number {
    return this.watchers.size
  }

  /**
   * @param request a message of the client
   */
  handleRequest (request: WatchRequest): void {
    if (this.isOver) return
    if (request.createRequest !== undefined) this.createWatch(request.createRequest)
    if (request.cancelRequest !== undefined) this.cancelWatch(request.cancelRequest.watchId, 0n, '')
  }

  /**
   * Sends a new revision to the watches it concerns; all its events go in one message.
   * @param commit the revision
   */
  publishCommit (commit: Commit): void {
    for (const [watchId, watcher] of this.watchers) this.publishTo(watchId, watcher, commit)
  }

  /**
   * Breaks the stream; what is still held back is lost.
   * @param refusal the status that the client sees
   */
  closeWith (refusal: CallRefusal): void {
    if (this.isOver) return
    this.close()
    this.call.emit('error', toServiceError(refusal))
  }

  /** Stops answering. */
  close (): void {
    this.isOver = true
    this.timer?.close()
    this.queue.length = 0
    this.watchers.clear()
  }

  private createWatch (request: WatchCreateRequest): void {
    const refusal = this.owner.admit()
    if (refusal !== undefined) return this.closeWith(refusal)
    const watchId = request.watchId === 0n ? this.nextWatchId++ : request.watchId
    if (this.watchers.has(watchId)) {
      this.send({ watchId, created: true, canceled: true, cancelReason: 'duplicate watch id' })
      return
    }
    const range = buildKeyRange(request.key, request.rangeEnd)
    const watcher: Watcher = { range, wantsPrevious: request.prevKv, fromRevision: request.startRevision }
    this.watchers.set(watchId, watcher)
    this.send({ watchId, created: true })
    if (request.startRevision > 0n) this.pushHistory(watchId, watcher)
  }

  /** Sends what happened since the revision asked for, or ends the watch if that is no longer known. */
  private pushHistory (watchId: bigint, watcher: Watcher): void {
    const compacted = this.owner.state.getCompactedRevision()
    if (watcher.fromRevision < compacted) {
      this.cancelWatch(watchId, compacted, 'required revision has been compacted')
      return
    }
    for (const commit of this.owner.state.listCommits(watcher.fromRevision)) this.publishTo(watchId, watcher, commit)
  }

  private cancelWatch (watchId: bigint, compactRevision: bigint, cancelReason: string): void {
    if (!this.watchers.delete(watchId)) return
    this.send({ watchId, canceled: true, compactRevision, cancelReason })
  }

  private publishTo (watchId: bigint, watcher: Watcher, commit: Commit): void {
    if (commit.revision < watcher.fromRevision) return
    const events = commit.events.filter((event) => isInRange(watcher.range, toKeyName(event.kv?.key ?? Buffer.alloc(0))))
    if (events.length === 0) return
    const shown = watcher.wantsPrevious ? events : events.map((event): Event => ({ ...event, prevKv: undefined }))
    this.send({ watchId, events: shown })
  }

  private send (part: Partial<WatchResponse>): void {
    const response: WatchResponse = {
      header: this.owner.state.buildHeader(),
      watchId: 0n,
      created: false,
      canceled: false,
      compactRevision: 0n,
      cancelReason: '',
      events: [],
      ...part
    }
    // The lag may shrink while earlier answers wait: none may overtake them.
    const lastAt = this.queue.at(-1)?.at ?? 0
    this.queue.push({ at: Math.max(lastAt, this.owner.clock.now() + this.owner.getLag()), response })
    if (this.queue.length === 1) this.flush()
  }

  private flush (): void {
    this.timer?.close()
    let first = this.queue[0]
    while (first !== undefined && first.at <= this.owner.clock.now()) {
      this.queue.shift()
      this.call.write(first.response)
      first = this.queue[0]
    }
    if (first !== undefined) this.timer = this.owner.clock.schedule(first.at, () => this.flush())
  }
}
