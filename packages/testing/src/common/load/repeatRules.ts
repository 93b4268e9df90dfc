/** What a caller may do after an attempt, by how the attempt ended. */
import { AnswerKind } from '../history/historyEvent.js'

/** What follows an attempt. */
export enum NextStep {
  /** The operation has ended. */
  Stop = 'stop',
  /** Send again, after the pause that the answer asks for. */
  SendAgain = 'send-again'
}

interface RepeatChoice {
  readonly idempotent: NextStep
  readonly notIdempotent: NextStep
}

const NEVER: RepeatChoice = { idempotent: NextStep.Stop, notIdempotent: NextStep.Stop }
const ALWAYS: RepeatChoice = { idempotent: NextStep.SendAgain, notIdempotent: NextStep.SendAgain }
const IF_IDEMPOTENT: RepeatChoice = { idempotent: NextStep.SendAgain, notIdempotent: NextStep.Stop }

/**
 * A non-idempotent request is sent again only when it certainly did not run.
 * Truncated and crossed answers end the operation: a repeat would hide them.
 */
const CHOICE_BY_ANSWER: Readonly<Record<AnswerKind, RepeatChoice>> = {
  [AnswerKind.Whole]: NEVER,
  [AnswerKind.NotRun]: ALWAYS,
  [AnswerKind.NotSent]: ALWAYS,
  [AnswerKind.Unknown]: IF_IDEMPOTENT,
  [AnswerKind.Failed]: IF_IDEMPOTENT,
  [AnswerKind.Truncated]: NEVER,
  [AnswerKind.Crossed]: NEVER
}

/**
 * @param answer how the attempt ended
 * @param isIdempotent whether the request may run twice
 * @returns whether the caller may send it again
 */
export function decideNextStep (answer: AnswerKind, isIdempotent: boolean): NextStep {
  const choice = CHOICE_BY_ANSWER[answer]
  return isIdempotent ? choice.idempotent : choice.notIdempotent
}
