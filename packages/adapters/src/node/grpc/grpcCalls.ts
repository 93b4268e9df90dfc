/**
 * Helpers shared by the gRPC adapters: channels without transparent retries, a check
 * that a channel is connected before a call, and the mapping of gRPC statuses to errors.
 */
import { connectivityState, Channel, credentials, status } from '@grpc/grpc-js'
import type { CallOptions, ChannelCredentials, ChannelOptions, ClientUnaryCall, Metadata, ServiceError } from '@grpc/grpc-js'
import { Metadata as EmptyMetadata } from '@grpc/grpc-js'
import type { IClock } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import { getRemainingMs, hasPassed } from '@umberspar/base/common/deadline'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import type { Result } from '@umberspar/base/common/result'
import { Err, Ok } from '@umberspar/base/common/result'

/** Key lists and documents arrive in one or a few messages; a larger message is rejected as faulty. */
const MAX_RECEIVED_MESSAGE_BYTES = 67_108_864

const CHANNEL_OPTIONS: ChannelOptions = {
  // gRPC must not retry a write on its own: the caller decides whether to send it again.
  'grpc.enable_retries': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.enable_http_proxy': 0,
  'grpc.use_local_subchannel_pool': 1,
  'grpc.max_receive_message_length': MAX_RECEIVED_MESSAGE_BYTES,
  // A partition that drops packets sends no reset, so an open watch would stay open
  // without receiving anything. Keepalive pings detect this within 13 s. Servers
  // reject pings that are less than 5 s apart.
  'grpc.keepalive_time_ms': 10_000,
  'grpc.keepalive_timeout_ms': 3_000,
  'grpc.keepalive_permit_without_calls': 0,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000
}

/** Whether a call that got no response may have changed something. */
export enum CallEffect {
  /** Read only: without a response, nothing has changed. */
  None = 'none',
  /** Writes: without a response, the write may still have been applied. */
  Write = 'write'
}

/** Identifies a call in its errors. */
export interface CallContext {
  readonly step: string
  readonly peer: string
  readonly effect: CallEffect
}

/** The statuses with which a server reports that it did not execute a call. */
const CODE_BY_STATUS: Readonly<Partial<Record<status, ErrorCode>>> = {
  [status.INVALID_ARGUMENT]: ErrorCode.Invalid,
  [status.NOT_FOUND]: ErrorCode.NotFound,
  [status.ALREADY_EXISTS]: ErrorCode.Conflict,
  [status.OUT_OF_RANGE]: ErrorCode.Conflict,
  [status.RESOURCE_EXHAUSTED]: ErrorCode.Exhausted,
  [status.FAILED_PRECONDITION]: ErrorCode.Refused,
  [status.PERMISSION_DENIED]: ErrorCode.Refused,
  [status.UNAUTHENTICATED]: ErrorCode.Refused,
  [status.UNIMPLEMENTED]: ErrorCode.Refused
}

const CODE_WITHOUT_RESPONSE: Readonly<Record<CallEffect, ErrorCode>> = {
  [CallEffect.None]: ErrorCode.Unavailable,
  [CallEffect.Write]: ErrorCode.EffectUnknown
}

/** The statuses after which the call may succeed at another endpoint. */
const ENDPOINT_FAILURE_STATUSES: ReadonlySet<status> = new Set([status.UNAVAILABLE, status.DEADLINE_EXCEEDED, status.CANCELLED, status.UNKNOWN, status.INTERNAL])

/** How one channel is secured. */
export interface ChannelSecurity {
  readonly credentials: ChannelCredentials
  readonly options: ChannelOptions
}

/** Returns the security settings of the channel to an address. */
export type ChannelSecurityFactory = (address: string) => ChannelSecurity

/** Channels without TLS. */
export const INSECURE_CHANNELS: ChannelSecurityFactory = () => ({ credentials: credentials.createInsecure(), options: {} })

/**
 * @param address `host:port`
 * @param security how the connection is secured
 * @returns a channel; the caller must close it
 */
export function createChannel (address: string, security: ChannelSecurity): Channel {
  return new Channel(address, security.credentials, { ...CHANNEL_OPTIONS, ...security.options })
}

/**
 * @param clock the clock that `deadline` refers to
 * @param deadline when the call must have ended
 * @returns call options that pass the deadline on to the server
 */
export function createCallOptions (clock: IClock, deadline: Deadline): Partial<CallOptions> {
  return { deadline: clock.getWallTime() + getRemainingMs(deadline, clock.now()) }
}

/**
 * Waits until a channel is connected. If it returns false, the call is known not to have been sent.
 * @param channel the channel, which starts to connect if it is idle
 * @param clock the clock that `deadline` refers to
 * @param deadline when to stop waiting
 * @returns whether the channel is connected; false immediately after a failed connection attempt
 */
export async function waitForChannel (channel: Channel, clock: IClock, deadline: Deadline): Promise<boolean> {
  let state = channel.getConnectivityState(true)
  while (state === connectivityState.IDLE || state === connectivityState.CONNECTING) {
    if (hasPassed(deadline, clock.now())) return false
    await waitForStateChange(channel, state, clock.getWallTime() + getRemainingMs(deadline, clock.now()))
    state = channel.getConnectivityState(true)
  }
  return state === connectivityState.READY
}

function waitForStateChange (channel: Channel, state: connectivityState, wallDeadline: number): Promise<void> {
  return new Promise((resolve) => {
    channel.watchConnectivityState(state, wallDeadline, () => resolve())
  })
}

/** A unary method of a generated client, bound to that client. */
export type UnaryMethod<TRequest, TResponse> = (
  request: TRequest,
  metadata: Metadata,
  options: Partial<CallOptions>,
  callback: (error: ServiceError | null, response: TResponse) => void
) => ClientUnaryCall

/**
 * @param method the bound method
 * @param request the request message
 * @param options call options, with the deadline
 * @returns the response, or the gRPC status of the failed call
 */
export function callUnary<TRequest, TResponse> (method: UnaryMethod<TRequest, TResponse>, request: TRequest, options: Partial<CallOptions>): Promise<Result<TResponse, ServiceError>> {
  return new Promise((resolve) => {
    method(request, new EmptyMetadata(), options, (error, response) => {
      resolve(error === null ? Ok(response) : Err(error))
    })
  })
}

/**
 * @param error the status of a failed call
 * @returns whether the endpoint failed, rather than the call itself being invalid
 */
export function isEndpointFailure (error: ServiceError): boolean {
  return ENDPOINT_FAILURE_STATUSES.has(error.code)
}

/**
 * Converts the status of a failed call, which may have been sent, to an error.
 * @param error the gRPC status
 * @param context identifies the call
 * @returns the error; `EffectUnknown` for a write unless the server itself refused it
 */
export function toCallError (error: ServiceError, context: CallContext): StepError {
  const codeWithoutResponse = CODE_WITHOUT_RESPONSE[context.effect]
  // When a stream is reset, the client library makes up the status, which may be
  // RESOURCE_EXHAUSTED. It does not mean that the server did not execute the call.
  const code = isStreamReset(error) ? codeWithoutResponse : CODE_BY_STATUS[error.code] ?? codeWithoutResponse
  return new StepError({ code, step: context.step, peer: context.peer, message: error.message, cause: error })
}

function isStreamReset (error: ServiceError): boolean {
  const resetCode: unknown = Reflect.get(error, 'rstCode')
  return typeof resetCode === 'number' && resetCode !== 0
}

/**
 * @param context identifies the call
 * @param isDeadlinePassed whether the call was not sent because its deadline had passed
 * @returns the error of a call that was not sent
 */
export function createUnsentError (context: CallContext, isDeadlinePassed: boolean): StepError {
  const code = isDeadlinePassed ? ErrorCode.DeadlinePassed : ErrorCode.Unavailable
  const message = isDeadlinePassed ? 'the deadline passed before the call was sent' : 'the endpoint is not connected'
  return new StepError({ code, step: context.step, peer: context.peer, message })
}
