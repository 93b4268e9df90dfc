/**
 * Client of the platform's key-value service, which has etcd's v3 API.
 *
 * A write is sent once, to a connected endpoint, and never retried here. If no endpoint
 * is connected, it fails as `Unavailable`. Once it has been sent, only a refusal by the
 * server itself means that it had no effect; every other failure is `EffectUnknown`.
 * Reads try one endpoint after another. The remaining time is divided equally among the
 * endpoints not tried yet, so that one that does not respond leaves time for the others.
 */
import type { CallOptions, ServiceError } from '@grpc/grpc-js'
import type { IClock } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import { createDeadline, getRemainingMs, hasPassed } from '@umberspar/base/common/deadline'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import type { ILogger } from '@umberspar/base/common/logger'
import { LogLevel, logError } from '@umberspar/base/common/logger'
import type { IMetrics } from '@umberspar/base/common/metrics'
import { NULL_METRICS } from '@umberspar/base/common/metrics'
import type { Result } from '@umberspar/base/common/result'
import { Err, Ok } from '@umberspar/base/common/result'
import type { GrantedLease, IKeyValueStore, IStoreWatch, StoredValue, StoreSnapshot, StoreTransaction, TransactionResult } from '@umberspar/steering/common/ports/keyValueStore'
import type { CallContext, ChannelSecurityFactory } from '../grpc/grpcCalls.js'
import { CallEffect, callUnary, createCallOptions, createUnsentError, INSECURE_CHANNELS, isEndpointFailure, toCallError, waitForChannel } from '../grpc/grpcCalls.js'
import type { LeaseGrantResponse, RangeRequest, RangeResponse } from '../generated/etcd/rpc.js'
import type { EtcdEndpoint } from './etcdEndpoint.js'
import { EndpointRotation } from './endpointRotation.js'
import { decodeValue, encodeGet, encodeList, encodeTransaction } from './etcdMessages.js'
import { EtcdWatch } from './etcdWatch.js'
import { renewLeaseOnce } from './leaseRenewal.js'

const MS_PER_SECOND = 1000
const UNSPECIFIED_ENDPOINT = 'store'
const CALLS_METRIC = 'store.calls'
const FAILURES_METRIC = 'store.failures'

/** The kinds of calls, as they appear in errors, logs and metrics. */
enum StoreCall {
  Get = 'store-get',
  List = 'store-list',
  Transact = 'store-transact',
  OpenLease = 'store-open-lease',
  RenewLease = 'store-renew-lease',
  CloseLease = 'store-close-lease',
  Watch = 'store-watch'
}

/** Options of {@link EtcdStore}. */
export interface EtcdStoreOptions {
  /** `host:port` of each member. */
  readonly endpoints: readonly string[]
  readonly clock: IClock
  readonly logger: ILogger
  /** How connections are secured; without it they are plain text. */
  readonly security?: ChannelSecurityFactory | undefined
  /** Counts calls as `store.calls` and failures as `store.failures`, by `kind`. */
  readonly metrics?: IMetrics
}

type EndpointInvocation<TResponse> = (endpoint: EtcdEndpoint, options: Partial<CallOptions>) => Promise<Result<TResponse, ServiceError>>

/** A response and the instant just before its request was sent. */
interface TimedResponse<TResponse> {
  readonly response: TResponse
  readonly sentAt: number
}

/** Implements {@link IKeyValueStore} over gRPC. */
export class EtcdStore implements IKeyValueStore {
  private readonly endpoints: EndpointRotation
  private readonly clock: IClock
  private readonly logger: ILogger
  private readonly metrics: IMetrics
  private readonly watches = new Set<EtcdWatch>()
  private isClosed = false

  constructor (options: EtcdStoreOptions) {
    this.endpoints = new EndpointRotation(options.endpoints, options.security ?? INSECURE_CHANNELS)
    this.clock = options.clock
    this.logger = options.logger
    this.metrics = options.metrics ?? NULL_METRICS
  }

  async get (key: string, deadline: Deadline): Promise<Result<StoredValue | undefined, StepError>> {
    const read = await this.callRange(StoreCall.Get, encodeGet(key), deadline)
    return read.map((response) => response.kvs.map(decodeValue)[0])
  }

  async list (prefix: string, deadline: Deadline): Promise<Result<StoreSnapshot, StepError>> {
    const read = await this.callRange(StoreCall.List, encodeList(prefix), deadline)
    return read.map((response) => ({
      values: response.kvs.map(decodeValue),
      revision: Number(response.header?.revision ?? 0n)
    }))
  }

  async transact (transaction: StoreTransaction, deadline: Deadline): Promise<Result<TransactionResult, StepError>> {
    const request = encodeTransaction(transaction)
    const written = await this.callWrite(StoreCall.Transact, deadline, (endpoint, options) =>
      callUnary(endpoint.keyValues.txn.bind(endpoint.keyValues), request, options))
    return written.map(({ response }) => ({ isApplied: response.succeeded, revision: Number(response.header?.revision ?? 0n) }))
  }

  async acquireLease (ttlSeconds: number, deadline: Deadline): Promise<Result<GrantedLease, StepError>> {
    const request = { TTL: BigInt(ttlSeconds), ID: 0n }
    const granted = await this.callWrite(StoreCall.OpenLease, deadline, (endpoint, options) =>
      callUnary(endpoint.leases.leaseGrant.bind(endpoint.leases), request, options))
    return granted.andThen((timed) => this.checkLease(timed))
  }

  async renewLease (leaseId: string, deadline: Deadline): Promise<Result<GrantedLease, StepError>> {
    const renewed = await this.callWrite(StoreCall.RenewLease, deadline, (endpoint, options) =>
      renewLeaseOnce(endpoint.leases, BigInt(leaseId), options))
    return renewed.map(buildLease)
  }

  async releaseLease (leaseId: string, deadline: Deadline): Promise<Result<void, StepError>> {
    const request = { ID: BigInt(leaseId) }
    const revoked = await this.callWrite(StoreCall.CloseLease, deadline, (endpoint, options) =>
      callUnary(endpoint.leases.leaseRevoke.bind(endpoint.leases), request, options))
    return revoked.map(() => undefined)
  }

  watch (prefix: string, fromRevision: number): IStoreWatch {
    const endpoint = this.endpoints.list()[0]
    if (this.isClosed || endpoint === undefined) throw this.createClosedError(StoreCall.Watch)
    this.metrics.count(CALLS_METRIC, 1, { kind: StoreCall.Watch })
    const watch: EtcdWatch = new EtcdWatch(endpoint.watches.watch(), prefix, fromRevision, (isBroken) => {
      this.watches.delete(watch)
      if (isBroken) this.reportBrokenWatch(endpoint)
    })
    this.watches.add(watch)
    return watch
  }

  close (): void {
    if (this.isClosed) return
    this.isClosed = true
    for (const watch of [...this.watches]) watch.close()
    this.endpoints.close()
  }

  /** Rejects lease id 0: etcd reads it as "no lease", so keys bound to it would never expire. */
  private checkLease (granted: TimedResponse<LeaseGrantResponse>): Result<GrantedLease, StepError> {
    const { ID, error } = granted.response
    if (ID !== 0n && error === '') return Ok(buildLease(granted))
    return Err(new StepError({ code: ErrorCode.Refused, step: StoreCall.OpenLease, peer: UNSPECIFIED_ENDPOINT, message: error || 'the store granted no lease' }))
  }

  private callRange (call: StoreCall, request: RangeRequest, deadline: Deadline): Promise<Result<RangeResponse, StepError>> {
    return this.callRead(call, deadline, (endpoint, options) =>
      callUnary(endpoint.keyValues.range.bind(endpoint.keyValues), request, options))
  }

  private async callRead<TResponse> (call: StoreCall, deadline: Deadline, invoke: EndpointInvocation<TResponse>): Promise<Result<TResponse, StepError>> {
    if (this.isClosed) return Err(this.createClosedError(call))
    const endpoints = this.endpoints.list()
    let failure = createUnsentError({ step: call, peer: UNSPECIFIED_ENDPOINT, effect: CallEffect.None }, true)
    for (const [index, endpoint] of endpoints.entries()) {
      if (hasPassed(deadline, this.clock.now())) break
      const context = { step: call, peer: endpoint.address, effect: CallEffect.None }
      const endpointDeadline = this.computeEndpointDeadline(deadline, endpoints.length - index)
      if (!await waitForChannel(endpoint.channel, this.clock, endpointDeadline)) {
        failure = this.reportFailure(endpoint, createUnsentError(context, false))
        continue
      }
      const result = await this.callOnce(call, endpoint, endpointDeadline, invoke)
      if (result.ok) return result
      failure = toCallError(result.val, context)
      if (!isEndpointFailure(result.val)) return Err(failure)
      this.reportFailure(endpoint, failure)
    }
    return Err(failure)
  }

  private async callWrite<TResponse> (call: StoreCall, deadline: Deadline, invoke: EndpointInvocation<TResponse>): Promise<Result<TimedResponse<TResponse>, StepError>> {
    if (this.isClosed) return Err(this.createClosedError(call))
    const endpoint = await this.findConnectedEndpoint(call, deadline)
    const context: CallContext = { step: call, peer: endpoint?.address ?? UNSPECIFIED_ENDPOINT, effect: CallEffect.Write }
    const isDeadlinePassed = hasPassed(deadline, this.clock.now())
    if (endpoint === undefined || isDeadlinePassed) return Err(createUnsentError(context, isDeadlinePassed))
    const sentAt = this.clock.now()
    const result = await this.callOnce(call, endpoint, deadline, invoke)
    if (result.ok) return Ok({ response: result.val, sentAt })
    const failure = toCallError(result.val, context)
    if (isEndpointFailure(result.val)) this.reportFailure(endpoint, failure)
    return Err(failure)
  }

  private callOnce<TResponse> (call: StoreCall, endpoint: EtcdEndpoint, deadline: Deadline, invoke: EndpointInvocation<TResponse>): Promise<Result<TResponse, ServiceError>> {
    this.metrics.count(CALLS_METRIC, 1, { kind: call })
    return invoke(endpoint, createCallOptions(this.clock, deadline))
  }

  /** Finds an endpoint that is connected, so that a write is sent only where it can be received. */
  private async findConnectedEndpoint (call: StoreCall, deadline: Deadline): Promise<EtcdEndpoint | undefined> {
    const endpoints = this.endpoints.list()
    for (const [index, endpoint] of endpoints.entries()) {
      const endpointDeadline = this.computeEndpointDeadline(deadline, endpoints.length - index)
      if (await waitForChannel(endpoint.channel, this.clock, endpointDeadline)) return endpoint
      this.reportFailure(endpoint, createUnsentError({ step: call, peer: endpoint.address, effect: CallEffect.Write }, false))
    }
    return undefined
  }

  private computeEndpointDeadline (deadline: Deadline, endpointsLeft: number): Deadline {
    const now = this.clock.now()
    return createDeadline(now, getRemainingMs(deadline, now) / endpointsLeft)
  }

  private reportFailure (endpoint: EtcdEndpoint, failure: StepError): StepError {
    this.endpoints.markFailed(endpoint)
    this.metrics.count(FAILURES_METRIC, 1, { kind: failure.step })
    logError(this.logger, LogLevel.Warn, failure)
    return failure
  }

  private reportBrokenWatch (endpoint: EtcdEndpoint): void {
    const context = { step: StoreCall.Watch, peer: endpoint.address, effect: CallEffect.None }
    this.reportFailure(endpoint, new StepError({ code: ErrorCode.Unavailable, step: context.step, peer: context.peer, message: 'the watch stream was interrupted' }))
  }

  private createClosedError (call: StoreCall): StepError {
    return new StepError({ code: ErrorCode.Cancelled, step: call, peer: UNSPECIFIED_ENDPOINT, message: 'the store adapter has been closed' })
  }
}

function buildLease ({ response, sentAt }: TimedResponse<{ ID: bigint, TTL: bigint }>): GrantedLease {
  return { leaseId: response.ID.toString(), deadline: createDeadline(sentAt, Number(response.TTL) * MS_PER_SECOND) }
}

/**
 * @param options endpoints, clock and other options
 * @returns a store adapter that connects on its first call; the caller must close it
 */
export function createEtcdStore (options: EtcdStoreOptions): IKeyValueStore {
  return new EtcdStore(options)
}
