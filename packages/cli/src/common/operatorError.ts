/** Errors of the client: failed calls to a daemon, and invalid command lines. */
import { StepError } from '@umberspar/base/common/errors'
import type { StepErrorDetails } from '@umberspar/base/common/errors'
import type { OperatorProblem } from './operatorMessages.js'

/** A failed call to a daemon, with the problem document that the daemon returned, if any. */
export class OperatorError extends StepError {
  readonly problem: OperatorProblem | undefined

  constructor (details: StepErrorDetails, problem?: OperatorProblem) {
    super(details)
    this.name = 'OperatorError'
    this.problem = problem
  }
}

/** An invalid command line; nothing was sent. */
export class UsageError extends Error {
  constructor (message: string) {
    super(message)
    this.name = 'UsageError'
  }
}
