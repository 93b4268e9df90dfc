/**
 * A stand-in for the platform's key-value service: etcd's published v3 protocol
 * over gRPC, in memory, with calls counted, rates capped and faults to switch on.
 */
import type { sendUnaryData, ServerDuplexStream, ServerUnaryCall } from '@grpc/grpc-js'
import { Server, ServerCredentials } from '@grpc/grpc-js'
import type { IClosable } from '@umberspar/base/common/closing'
import type { IClock } from '@umberspar/base/common/clock'
import type { IRandomSource } from '@umberspar/base/common/random'
import { SeededRandom } from '@umberspar/base/common/random'
import type { Result } from '@umberspar/base/common/result'
import { Ok } from '@umberspar/base/common/result'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { KVService, LeaseService, WatchService } from '@umberspar/adapters/node/generated/etcd/rpc'
import type { KVServer, LeaseGrantRequest, LeaseGrantResponse, LeaseKeepAliveRequest, LeaseKeepAliveResponse, LeaseRevokeRequest, LeaseRevokeResponse, LeaseServer, WatchServer } from '@umberspar/adapters/node/generated/etcd/rpc'
import { TokenBucket } from '../tokenBucket.js'
import { waitUntil } from '../waiting.js'
import type { CallRefusal } from './keyValue/callRefusal.js'
import { RATE_EXCEEDED, toServiceError, UNAVAILABLE } from './keyValue/callRefusal.js'
import type { CallCounts } from './keyValue/callCounts.js'
import { CallCounter, CallKind, IS_WRITE_BY_KIND } from './keyValue/callCounts.js'
import type { KeyValueFaults } from './keyValue/keyValueFaults.js'
import { KeyValueFaultSwitch, NO_KEY_VALUE_FAULTS } from './keyValue/keyValueFaults.js'
import type { SavedKeys } from './keyValue/keyValueState.js'
import { KeyValueState } from './keyValue/keyValueState.js'
import type { LeaseRecord } from './keyValue/leaseTable.js'
import { LeaseTable } from './keyValue/leaseTable.js'
import type { TransactionLimits } from './keyValue/transactionCheck.js'
import { DEFAULT_TRANSACTION_LIMITS } from './keyValue/transactionCheck.js'
import type { WatchCall } from './keyValue/watchStream.js'
import { WatchStream } from './keyValue/watchStream.js'

/** How a KeyValueStandIn behaves without faults. */
export interface KeyValueStandInOptions {
  readonly clock: IClock
  readonly random: IRandomSource
  readonly limits: TransactionLimits
  readonly readsPerSecond: number
  readonly writesPerSecond: number
  /** Commits kept for watches before the oldest are compacted. */
  readonly maxHistory: number
}

/** Everything stored, for a restore from an old state. */
export interface SavedStore {
  readonly keys: SavedKeys
  readonly leases: readonly LeaseRecord[]
}

const DEFAULT_SEED = 1
const DEFAULT_READS_PER_SECOND = 2000
const DEFAULT_WRITES_PER_SECOND = 500
const DEFAULT_MAX_HISTORY = 10_000
const MAX_MESSAGE_BYTES = 16_777_216
const LOOPBACK_ANY_PORT = '127.0.0.1:0'

/** The stand-in for the key-value service. */
export class KeyValueStandIn implements IClosable {
  /** Direct access for tests and tools; not counted, not capped, no faults. */
  readonly state: KeyValueState
  private readonly options: KeyValueStandInOptions
  private readonly leases: LeaseTable
  private readonly faults: KeyValueFaultSwitch
  private readonly reads: TokenBucket
  private readonly writes: TokenBucket
  private readonly streams = new Set<WatchStream>()
  private readonly keepAlives = new Set<ServerDuplexStream<LeaseKeepAliveRequest, LeaseKeepAliveResponse>>()
  private readonly counter = new CallCounter()
  private server: Server | undefined

  /** @param options what differs from the platform's usual behaviour */
  constructor (options: Partial<KeyValueStandInOptions> = {}) {
    this.options = {
      clock: new SystemClock(),
      random: new SeededRandom(DEFAULT_SEED),
      limits: DEFAULT_TRANSACTION_LIMITS,
      readsPerSecond: DEFAULT_READS_PER_SECOND,
      writesPerSecond: DEFAULT_WRITES_PER_SECOND,
      maxHistory: DEFAULT_MAX_HISTORY,
      ...options
    }
    const { clock, random, limits, maxHistory } = this.options
    this.leases = new LeaseTable(clock, (leaseId) => this.state.deleteLeaseKeys(leaseId))
    this.state = new KeyValueState({ limits, maxHistory, hasLease: (leaseId) => this.leases.has(leaseId) })
    this.faults = new KeyValueFaultSwitch(random)
    this.reads = new TokenBucket(clock, this.options.readsPerSecond)
    this.writes = new TokenBucket(clock, this.options.writesPerSecond)
    this.state.onDidCommit((commit) => {
      for (const stream of this.streams) stream.publishCommit(commit)
    })
  }

  /**
   * @param address where to listen; a free port of the loopback interface if left out
   * @returns `host:port`
   */
  start (address = LOOPBACK_ANY_PORT): Promise<string> {
    const server = new Server({ 'grpc.max_receive_message_length': MAX_MESSAGE_BYTES })
    server.addService(KVService, this.buildKeyValueHandlers())
    server.addService(LeaseService, this.buildLeaseHandlers())
    server.addService(WatchService, this.buildWatchHandlers())
    this.server = server
    return new Promise((resolve, reject) => {
      server.bindAsync(address, ServerCredentials.createInsecure(), (failure, port) => {
        if (failure === null) resolve(`${address.slice(0, address.lastIndexOf(':'))}:${port}`)
        else reject(failure)
      })
    })
  }

  /** @param changes the faults to switch on or off; others stay as they are */
  setFault (changes: Partial<KeyValueFaults>): void {
    this.faults.set(changes)
    if (changes.areLeasesPaused !== undefined) this.leases.setPaused(changes.areLeasesPaused)
    if (changes.isDown === true) this.closeStreams()
  }

  /** Switches every fault off. */
  clearFaults (): void {
    this.setFault(NO_KEY_VALUE_FAULTS)
  }

  /** @returns the faults in force */
  getFaults (): KeyValueFaults {
    return this.faults.get()
  }

  /** Breaks every open watch stream; new ones are accepted. */
  closeWatches (): void {
    for (const stream of [...this.streams]) stream.closeWith(UNAVAILABLE)
    this.streams.clear()
  }

  /**
   * Compacts: forgets the history before a revision.
   * @param revision the oldest revision that stays readable; the present one if left out
   * @returns an error for a future or already compacted revision
   */
  deleteHistory (revision = this.state.buildHeader().revision): Result<void, CallRefusal> {
    return this.state.deleteHistory(revision)
  }

  /** Ends every lease now, as if its holder had been paused beyond the deadline. */
  closeLeases (): void {
    this.leases.deleteAll()
  }

  /** @returns the leases that have not ended */
  listLeases (): readonly LeaseRecord[] {
    return this.leases.list()
  }

  /** @returns a copy of everything stored */
  saveState (): SavedStore {
    return { keys: this.state.save(), leases: this.leases.list() }
  }

  /**
   * Goes back to an older state, as after a restore from a backup; watches break.
   * @param saved what `saveState` returned
   */
  loadState (saved: SavedStore): void {
    this.closeStreams()
    this.state.load(saved.keys)
    this.leases.load(saved.leases)
  }

  /** @returns the calls received so far */
  getCallCounts (): CallCounts {
    const waitingWatches = [...this.streams].reduce((sum, stream) => sum + stream.countWatches(), 0)
    return this.counter.get(waitingWatches)
  }

  /** Begins counting anew. */
  clearCallCounts (): void {
    this.counter.clear()
  }

  /** Stops listening and breaks what is open. */
  close (): void {
    this.closeStreams()
    this.server?.forceShutdown()
    this.server = undefined
    this.leases.close()
    this.state.close()
  }

  private closeStreams (): void {
    this.closeWatches()
    for (const call of [...this.keepAlives]) call.emit('error', toServiceError(UNAVAILABLE))
    this.keepAlives.clear()
  }

  private buildKeyValueHandlers (): KVServer {
    return {
      range: (call, callback) => { this.answerUnary(CallKind.Range, call, callback, (request) => this.state.readRange(request)) },
      txn: (call, callback) => { this.answerUnary(CallKind.Transaction, call, callback, (request) => this.state.transact(request)) }
    }
  }

  private buildLeaseHandlers (): LeaseServer {
    return {
      leaseGrant: (call, callback) => { this.answerUnary(CallKind.LeaseGrant, call, callback, (request) => this.openLease(request)) },
      leaseRevoke: (call, callback) => { this.answerUnary(CallKind.LeaseRevoke, call, callback, (request) => this.deleteLease(request)) },
      leaseKeepAlive: (call) => this.acceptKeepAlives(call)
    }
  }

  private buildWatchHandlers (): WatchServer {
    return { watch: (call) => this.acceptWatches(call) }
  }

  /** Counts a call and decides whether it goes on. */
  private admitCall (kind: CallKind): CallRefusal | undefined {
    this.counter.record(kind)
    if (this.faults.get().isDown || this.faults.takeRequestDrop()) return UNAVAILABLE
    const bucket = IS_WRITE_BY_KIND[kind] ? this.writes : this.reads
    if (bucket.take()) return undefined
    this.counter.recordOverRate()
    return RATE_EXCEEDED
  }

  private async answerUnary<Request, Response> (
    kind: CallKind,
    call: ServerUnaryCall<Request, Response>,
    callback: sendUnaryData<Response>,
    run: (request: Request) => Result<Response, CallRefusal>
  ): Promise<void> {
    const refusal = this.admitCall(kind)
    if (refusal !== undefined) return callback(toServiceError(refusal))
    // A client that gives up during this wait does not stop its write: it takes effect late, as on a slow server.
    await waitUntil(this.options.clock, this.options.clock.now() + this.faults.get().slowSpanMs)
    if (this.faults.get().isDown) return callback(toServiceError(UNAVAILABLE))
    const result = run(call.request)
    await waitUntil(this.options.clock, this.options.clock.now() + this.faults.get().lateAnswerSpanMs)
    if (result.err) return callback(toServiceError(result.val))
    const isLost = IS_WRITE_BY_KIND[kind] && this.faults.takeAnswerLoss()
    if (isLost || this.faults.get().isDown) return callback(toServiceError(UNAVAILABLE))
    callback(null, result.val)
  }

  private openLease (request: LeaseGrantRequest): Result<LeaseGrantResponse, CallRefusal> {
    return this.leases.open(request.ID, request.TTL).map((lease) => {
      return { header: this.state.buildHeader(), ID: lease.leaseId, TTL: lease.grantedSeconds, error: '' }
    })
  }

  private deleteLease (request: LeaseRevokeRequest): Result<LeaseRevokeResponse, CallRefusal> {
    const ended = this.leases.delete(request.ID)
    return ended.err ? ended : Ok({ header: this.state.buildHeader() })
  }

  private acceptKeepAlives (call: ServerDuplexStream<LeaseKeepAliveRequest, LeaseKeepAliveResponse>): void {
    this.keepAlives.add(call)
    const leave = (): void => { this.keepAlives.delete(call) }
    call.on('data', (request: LeaseKeepAliveRequest) => { this.answerKeepAlive(call, request) })
    call.on('end', () => { leave(); call.end() })
    call.on('cancelled', leave)
    call.on('error', leave)
  }

  private async answerKeepAlive (call: ServerDuplexStream<LeaseKeepAliveRequest, LeaseKeepAliveResponse>, request: LeaseKeepAliveRequest): Promise<void> {
    const refusal = this.admitCall(CallKind.LeaseKeepAlive)
    if (refusal !== undefined) {
      call.emit('error', toServiceError(refusal))
      return
    }
    await waitUntil(this.options.clock, this.options.clock.now() + this.faults.get().slowSpanMs)
    if (!this.keepAlives.has(call)) return
    const lease = this.leases.renew(request.ID)
    if (this.faults.takeAnswerLoss()) {
      call.emit('error', toServiceError(UNAVAILABLE))
      return
    }
    // A lease that has ended is reported by zero seconds, not by an error.
    call.write({ header: this.state.buildHeader(), ID: request.ID, TTL: lease?.grantedSeconds ?? 0n })
  }

  private acceptWatches (call: WatchCall): void {
    const { clock } = this.options
    const getLag = (): number => this.faults.get().watchLagSpanMs + this.faults.get().slowSpanMs
    const stream = new WatchStream(call, { clock, state: this.state, getLag, admit: () => this.admitCall(CallKind.Watch) })
    this.streams.add(stream)
    const leave = (): void => {
      this.streams.delete(stream)
      stream.close()
    }
    call.on('data', (request) => stream.handleRequest(request))
    call.on('end', () => { leave(); call.end() })
    call.on('cancelled', leave)
    call.on('error', leave)
  }
}
