/** States, events and effects of the request state machine in `requestFlow.ts`. */
import type { Instant } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import type { Outcome } from '../state/outcome.js'

/** The state of one attempt. */
export enum AttemptState {
  /** Waiting for a slot. */
  Acquiring = 'acquiring',
  /** Passed to the transport. */
  Sent = 'sent',
  /** Its response is being forwarded to the caller. */
  Responding = 'answering',
  /** Ended without a response. */
  Failed = 'failed',
  /** Cancelled because another attempt's response was used or because the request ended. */
  Cancelled = 'cancelled'
}

/** Why an attempt is made. */
export enum AttemptPurpose {
  First = 'first',
  Retry = 'retry',
  Hedge = 'hedge'
}

/** One attempt of a request; its id is its index in {@link FlowState.attempts}. */
export interface FlowAttempt {
  readonly purpose: AttemptPurpose
  readonly state: AttemptState
  readonly workerId?: string
  readonly failureDomain?: string
  /** Whether this attempt ran the request; set once the attempt has ended without a response. */
  readonly outcome?: Outcome
}

/** Whether the request is in progress, and how it ended if not. */
export enum FlowPhase {
  Running = 'running',
  Answered = 'answered',
  Refused = 'refused'
}

/** Limits of a request, fixed when it starts. */
export interface FlowPolicy {
  readonly isIdempotent: boolean
  /** Maximum number of attempts, including the first one. */
  readonly maxAttempts: number
  readonly deadline: Deadline
}

/** Timers of a request; each has at most one pending instance. */
export enum FlowTimer {
  Retry = 'retry',
  Hedge = 'hedge'
}

/** The state of one request. */
export interface FlowState {
  readonly phase: FlowPhase
  readonly policy: FlowPolicy
  readonly attempts: readonly FlowAttempt[]
  /** The previous retry backoff in milliseconds; the range of the next one depends on it. */
  readonly backoffSpan: number
  /** When the next retry is due; undefined if none is scheduled. */
  readonly retryAt: Instant | undefined
}

/** Inputs of a step besides the state and the event, read again for every step. */
export interface FlowContext {
  readonly now: Instant
  /** A random number from 0 (inclusive) to 1 (exclusive). */
  readonly jitter: number
  /** Whether the service's retry budget has a token left. */
  readonly hasRetryToken: boolean
  /** Milliseconds to wait for the first attempt before sending a hedge; undefined if unknown. */
  readonly hedgeDelay: number | undefined
  /** Whether another attempt can send the complete body after the current one has ended. */
  readonly isBodyReplayable: boolean
  /** Whether the body is held in memory, so that two attempts can send it concurrently. */
  readonly isBodyBuffered: boolean
}

/** Kinds of events that advance a request. */
export enum FlowEventKind {
  Started = 'started',
  SlotGranted = 'slot-granted',
  SlotRefused = 'slot-refused',
  AttemptFailed = 'attempt-failed',
  ResponseStarted = 'answer-began',
  TimerDue = 'timer-due',
  CallerLeft = 'caller-left'
}

/** An event that advances a request. */
export type FlowEvent =
  | { readonly kind: FlowEventKind.Started }
  | { readonly kind: FlowEventKind.SlotGranted, readonly attemptId: number, readonly workerId: string, readonly failureDomain: string }
  | { readonly kind: FlowEventKind.SlotRefused, readonly attemptId: number }
  | { readonly kind: FlowEventKind.AttemptFailed, readonly attemptId: number, readonly outcome: Outcome }
  | { readonly kind: FlowEventKind.ResponseStarted, readonly attemptId: number }
  | { readonly kind: FlowEventKind.TimerDue, readonly timer: FlowTimer }
  | { readonly kind: FlowEventKind.CallerLeft }

/** Kinds of actions that the caller of the state machine has to carry out. */
export enum FlowEffectKind {
  AcquireSlot = 'acquire-slot',
  /** Release a slot on which nothing was sent. */
  ReleaseSlot = 'release-slot',
  SendAttempt = 'send',
  /** Cancel an attempt, whether it is waiting for a slot, has been sent or is already responding. */
  CancelAttempt = 'cancel-attempt',
  StartTimer = 'start-timer',
  StopTimer = 'stop-timer',
  RecordFirstAttempt = 'record-first',
  ConsumeRetryToken = 'spend-token',
  /** Forward an attempt's response to the caller. */
  ForwardResponse = 'answer',
  /** End the request immediately with an error instead of an upstream's response. */
  Refuse = 'refuse'
}

/** Which failure domains and workers are preferred for an attempt. */
export interface PlacementPreference {
  /** The failure domain to try first; undefined to follow the traffic plan. */
  readonly preferredDomain: string | undefined
  /** Failure domains that are used only if no other one has a free slot. */
  readonly avoidedDomains: ReadonlySet<string>
  readonly excludedWorkers: ReadonlySet<string>
}

/** An action that the caller of the state machine has to carry out. */
export type FlowEffect =
  | { readonly kind: FlowEffectKind.AcquireSlot, readonly attemptId: number, readonly purpose: AttemptPurpose, readonly preference: PlacementPreference }
  | { readonly kind: FlowEffectKind.ReleaseSlot | FlowEffectKind.SendAttempt | FlowEffectKind.CancelAttempt | FlowEffectKind.ForwardResponse, readonly attemptId: number }
  | { readonly kind: FlowEffectKind.StartTimer, readonly timer: FlowTimer, readonly at: Instant }
  | { readonly kind: FlowEffectKind.StopTimer, readonly timer: FlowTimer }
  | { readonly kind: FlowEffectKind.RecordFirstAttempt | FlowEffectKind.ConsumeRetryToken }
  | { readonly kind: FlowEffectKind.Refuse, readonly outcome: Outcome.NotRun | Outcome.Unknown }

/** The new state and the effects to carry out, in order. */
export interface FlowStep {
  readonly state: FlowState
  readonly effects: readonly FlowEffect[]
}
