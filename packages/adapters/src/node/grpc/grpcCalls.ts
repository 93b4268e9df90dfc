/**
 * What the gRPC adapters share: channels without hidden repeats, a check that a
 * channel is connected before a call is made, and what a failed call means.
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

/** A list of keys or a document comes in one message or a few; more than this is a fault. */
const MAX_RECEIVED_MESSAGE_BYTES = 67_108_864

const CHANNEL_OPTIONS: ChannelOptions = {
  // A write must not be sent twice behind the back of its owner.
  'grpc.enable_retries': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.enable_http_proxy': 0,
  'grpc.use_local_subchannel_pool': 1,
  'grpc.max_receive_message_length': MAX_RECEIVED_MESSAGE_BYTES,
  // A partition that drops packets sends no reset: an open watch would hear nothing
  // and never end. Pings find it within 13 s; servers refuse more than one in 5 s.
  'grpc.keepalive_time_ms': 10_000,
  'grpc.keepalive_timeout_ms': 3_000,
  'grpc.keepalive_permit_without_calls': 0,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000
}

/** Whether a call without an answer may have changed something. */
export enum CallEffect {
  /** Reads only: without an answer nothing has happened. */
  None = 'none',
  /** Writes: without an answer it may have happened. */
  Write = 'write'
}

/** Where a call is made, for its errors. */
export interface CallContext {
  readonly step: string
  readonly peer: string
  readonly effect: CallEffect
}

/** The statuses by which a server says that it did not run a call. */
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

/** The statuses after which another endpoint may do better. */
const ENDPOINT_FAILURE_STATUSES: ReadonlySet<status> = new Set([status.UNAVAILABLE, status.DEADLINE_EXCEEDED, status.CANCELLED, status.UNKNOWN, status.INTERNAL])

/** How one channel is secured. */
export interface ChannelSecurity {
  readonly credentials: ChannelCredentials
  readonly options: ChannelOptions
}

/** Gives the security of the channel to an address. */
export type ChannelSecurityFactory = (address: string) => ChannelSecurity

/** Plain text. */
export const INSECURE_CHANNELS: ChannelSecurityFactory = () => ({ credentials: credentials.createInsecure(), options: {} })

/**
 * @param address `host:port`
 * @param security of the connection
 * @returns a channel whose owner closes it
 */
export function createChannel (address: string, security: ChannelSecurity): Channel {
  return new Channel(address, security.credentials, { ...CHANNEL_OPTIONS, ...security.options })
}

/**
 * @param clock of the deadline
 * @param deadline by when the call must have ended
 * @returns the options that carry it to the server
 */
export function createCallOptions (clock: IClock, deadline: Deadline): Partial<CallOptions> {
  return { deadline: clock.getWallTime() + getRemainingMs(deadline, clock.now()) }
}

/**
 * Waits for a connection, so that a call that fails before is known to be unsent.
 * @param channel the channel, which starts to connect
 * @param clock of the deadline
 * @param deadline how long to wait at most
 * @returns whether it is connected; false at once after a failed attempt
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

/** A unary method of a generated client, bound to it. */
export type UnaryMethod<TRequest, TResponse> = (
  request: TRequest,
  metadata: Metadata,
  options: Partial<CallOptions>,
  callback: (error: ServiceError | null, response: TResponse) => void
) => ClientUnaryCall

/**
 * @param method the bound method
 * @param request what to send
 * @param options with the deadline
 * @returns the answer, or the status as gRPC reports it
 */
export function callUnary<TRequest, TResponse> (method: UnaryMethod<TRequest, TResponse>, request: TRequest, options: Partial<CallOptions>): Promise<Result<TResponse, ServiceError>> {
  return new Promise((resolve) => {
    method(request, new EmptyMetadata(), options, (error, response) => {
      resolve(error === null ? Ok(response) : Err(error))
    })
  })
}

/**
 * @param error a failed call's status
 * @returns whether the endpoint, not the call, is at fault
 */
export function isEndpointFailure (error: ServiceError): boolean {
  return ENDPOINT_FAILURE_STATUSES.has(error.code)
}

/**
 * Says what a failed call means. The call may have been sent.
 * @param error gRPC's status
 * @param context where the call was made
 * @returns `EffectUnknown` for a write unless the server itself refused it
 */
export function toCallError (error: ServiceError, context: CallContext): StepError {
  const codeWithoutResponse = CODE_WITHOUT_RESPONSE[context.effect]
  // A stream that was reset gets a status made up on this side, RESOURCE_EXHAUSTED
  // among them; that is not the server's word that it did nothing.
  const code = isStreamReset(error) ? codeWithoutResponse : CODE_BY_STATUS[error.code] ?? codeWithoutResponse
  return new StepError({ code, step: context.step, peer: context.peer, message: error.message, cause: error })
}

function isStreamReset (error: ServiceError): boolean {
  const resetCode: unknown = Reflect.get(error, 'rstCode')
  return typeof resetCode === 'number' && resetCode !== 0
}

/**
 * @param context where the call would have been made
 * @param isDeadlinePassed whether its deadline has passed
 * @returns the error of a call that was not made
 */
export function createUnsentError (context: CallContext, isDeadlinePassed: boolean): StepError {
  const code = isDeadlinePassed ? ErrorCode.DeadlinePassed : ErrorCode.Unavailable
  const message = isDeadlinePassed ? 'the deadline passed before the call' : 'no connection'
  return new StepError({ code, step: context.step, peer: context.peer, message })
}
