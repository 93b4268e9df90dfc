/** States, events and effects of the request flow; `requestFlow.ts` decides between them. */
import type { Instant } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import type { Outcome } from '../state/outcome.js'

/** How far one attempt has come. */
export enum AttemptState {
  /** Waits for a slot. */
  Acquiring = 'acquiring',
  /** Handed to the transport. */
  Sent = 'sent',
  /** Its answer is the one that the caller gets. */
  Answering = 'answering',
  /** Ended without an answer. */
  Failed = 'failed',
  /** Given up for another's answer, or with the request. */
  Cancelled = 'cancelled'
}

/** Why an attempt is made. */
export enum AttemptPurpose {
  First = 'first',
  Retry = 'retry',
  Hedge = 'hedge'
}

/** One attempt of a request; its id is its index. */
export interface FlowAttempt {
  readonly purpose: AttemptPurpose
  readonly state: AttemptState
  readonly workerId?: string
  readonly failureDomain?: string
  /** What this attempt says of the request, once it has ended without an answer. */
  readonly outcome?: Outcome
}

/** Whether the request can still get an answer. */
export enum FlowPhase {
  Running = 'running',
  Answered = 'answered',
  Refused = 'refused'
}

/** What is allowed to a request; fixed at its start. */
export interface FlowPolicy {
  readonly isIdempotent: boolean
  /** Attempts that may be sent, the first included. */
  readonly maxAttempts: number
  readonly deadline: Deadline
}

/** Timers of a flow, each pending at most once. */
export enum FlowTimer {
  Retry = 'retry',
  Hedge = 'hedge'
}

/** One request. */
export interface FlowState {
  readonly phase: FlowPhase
  readonly policy: FlowPolicy
  readonly attempts: readonly FlowAttempt[]
  /** The last back-off drawn, in milliseconds; the next one is drawn from it. */
  readonly backOffSpan: number
  /** When the next retry is due; undefined if none is planned. */
  readonly retryAt: Instant | undefined
}

/** What the flow may look at besides its state, read anew for every step. */
export interface FlowView {
  readonly now: Instant
  /** Drawn from 0 (included) to 1 (excluded). */
  readonly jitter: number
  /** Whether the service's retry budget has a token. */
  readonly hasToken: boolean
  /** Milliseconds after which a hedge is worth sending; undefined if unknown. */
  readonly hedgeSpan: number | undefined
  /** The body is still whole for another attempt after the present one ended. */
  readonly isBodyWhole: boolean
  /** The body is in memory, so that two attempts may send it at once. */
  readonly isBodyShared: boolean
}

/** What happened. */
export enum FlowEventKind {
  Started = 'started',
  SlotGranted = 'slot-granted',
  SlotRefused = 'slot-refused',
  AttemptFailed = 'attempt-failed',
  AnswerBegan = 'answer-began',
  TimerDue = 'timer-due',
  CallerLeft = 'caller-left'
}

/** What happened, with its details. */
export type FlowEvent =
  | { readonly kind: FlowEventKind.Started }
  | { readonly kind: FlowEventKind.SlotGranted, readonly attemptId: number, readonly workerId: string, readonly failureDomain: string }
  | { readonly kind: FlowEventKind.SlotRefused, readonly attemptId: number }
  | { readonly kind: FlowEventKind.AttemptFailed, readonly attemptId: number, readonly outcome: Outcome }
  | { readonly kind: FlowEventKind.AnswerBegan, readonly attemptId: number }
  | { readonly kind: FlowEventKind.TimerDue, readonly timer: FlowTimer }
  | { readonly kind: FlowEventKind.CallerLeft }

/** What is to be done. */
export enum FlowEffectKind {
  AcquireSlot = 'acquire-slot',
  /** Give back a slot on which nothing was sent. */
  ReleaseSlot = 'release-slot',
  Send = 'send',
  /** Give up an attempt, whether it waits, was sent or answers already. */
  CancelAttempt = 'cancel-attempt',
  StartTimer = 'start-timer',
  StopTimer = 'stop-timer',
  RecordFirst = 'record-first',
  SpendToken = 'spend-token',
  /** Pass an attempt's answer to the caller. */
  Answer = 'answer',
  /** End the request without an upstream's answer, at once. */
  Refuse = 'refuse'
}

/** Where an attempt should go. */
export interface PlaceWish {
  /** The first choice; undefined for the plan's. */
  readonly preferred: string | undefined
  /** Taken only if no other has room. */
  readonly avoided: ReadonlySet<string>
  readonly excludedWorkers: ReadonlySet<string>
}

/** What is to be done, with its details. */
export type FlowEffect =
  | { readonly kind: FlowEffectKind.AcquireSlot, readonly attemptId: number, readonly purpose: AttemptPurpose, readonly wish: PlaceWish }
  | { readonly kind: FlowEffectKind.ReleaseSlot | FlowEffectKind.Send | FlowEffectKind.CancelAttempt | FlowEffectKind.Answer, readonly attemptId: number }
  | { readonly kind: FlowEffectKind.StartTimer, readonly timer: FlowTimer, readonly at: Instant }
  | { readonly kind: FlowEffectKind.StopTimer, readonly timer: FlowTimer }
  | { readonly kind: FlowEffectKind.RecordFirst | FlowEffectKind.SpendToken }
  | { readonly kind: FlowEffectKind.Refuse, readonly outcome: Outcome.NotRun | Outcome.Unknown }

/** A new state and what follows from it, in order. */
export interface FlowStep {
  readonly state: FlowState
  readonly effects: readonly FlowEffect[]
}
