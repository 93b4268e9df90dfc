/** A failed call to a daemon, with what the daemon said about it. */
import { StepError } from '@umberspar/base/common/errors'
import type { StepErrorDetails } from '@umberspar/base/common/errors'
import type { OperatorProblem } from './operatorMessages.js'

/** A StepError that carries the daemon's problem document, if there was one. */
export class OperatorError extends StepError {
  readonly problem: OperatorProblem | undefined

  constructor (details: StepErrorDetails, problem?: OperatorProblem) {
    super(details)
    this.name = 'OperatorError'
    this.problem = problem
  }
}

/** A command line that can't be carried out; nothing was sent. */
export class UsageError extends Error {
  constructor (message: string) {
    super(message)
    this.name = 'UsageError'
  }
}
