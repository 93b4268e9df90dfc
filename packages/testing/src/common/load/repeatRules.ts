/** What a caller may do after an attempt, by how the attempt ended. */
import { AnswerKind } from '../history/historyEvent.js'

/** What follows an attempt. */
export enum NextStep {
  /** The operation has ended. */
  Stop = 'stop',
  /** Send again, after the pause that the answer asks for. */
  SendAgain = 'send-again'
}

/** What a request's caller may rely on when it repeats. */
export enum RepeatSafety {
  /** Running twice does no harm. */
  Idempotent = 'idempotent',
  /** Its service runs an Idempotency-Key once. */
  Keyed = 'keyed',
  /** Nothing. */
  None = 'none'
}

type RepeatChoice = Readonly<Record<RepeatSafety, NextStep>>

const NEVER: RepeatChoice = { [RepeatSafety.Idempotent]: NextStep.Stop, [RepeatSafety.Keyed]: NextStep.Stop, [RepeatSafety.None]: NextStep.Stop }
const ALWAYS: RepeatChoice = { [RepeatSafety.Idempotent]: NextStep.SendAgain, [RepeatSafety.Keyed]: NextStep.SendAgain, [RepeatSafety.None]: NextStep.SendAgain }
const IF_IDEMPOTENT: RepeatChoice = { ...NEVER, [RepeatSafety.Idempotent]: NextStep.SendAgain }
const IF_SAFE: RepeatChoice = { ...ALWAYS, [RepeatSafety.None]: NextStep.Stop }

/**
 * A non-idempotent request is sent again only when it certainly did not run, or
 * with its key to ask what became of an attempt whose answer was lost.
 * Truncated and crossed answers end the operation: a repeat would hide them.
 */
const CHOICE_BY_ANSWER: Readonly<Record<AnswerKind, RepeatChoice>> = {
  [AnswerKind.Whole]: NEVER,
  [AnswerKind.NotRun]: ALWAYS,
  [AnswerKind.NotSent]: ALWAYS,
  [AnswerKind.Unknown]: IF_IDEMPOTENT,
  [AnswerKind.Failed]: IF_SAFE,
  [AnswerKind.AlreadyRan]: NEVER,
  [AnswerKind.Truncated]: NEVER,
  [AnswerKind.Crossed]: NEVER
}

/**
 * @param answer how the attempt ended
 * @param safety what the caller relies on
 * @param isAskedBack whether the answer names a time to come back
 * @returns whether the caller may send it again
 */
export function decideNextStep (answer: AnswerKind, safety: RepeatSafety, isAskedBack: boolean): NextStep {
  // With a key, `unknown` with a Retry-After says that the first attempt still runs;
  // without one, that nobody will learn more.
  if (answer === AnswerKind.Unknown && isAskedBack) return IF_SAFE[safety]
  return CHOICE_BY_ANSWER[answer][safety]
}

/**
 * @param isIdempotent whether the request may run twice
 * @param key its Idempotency-Key; only services that deduplicate are sent one
 * @returns what its caller may rely on
 */
export function findRepeatSafety (isIdempotent: boolean, key: string | undefined): RepeatSafety {
  if (isIdempotent) return RepeatSafety.Idempotent
  return key === undefined ? RepeatSafety.None : RepeatSafety.Keyed
}
