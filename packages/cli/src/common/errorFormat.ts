/** Formats errors as text for operators and as JSON for scripts. */
import type { StepError } from '@umberspar/base/common/errors'
import type { ExitCode } from './exitCode.js'
import { OperatorError } from './operatorError.js'
import type { FieldProblem, OperatorProblem } from './operatorMessages.js'

/** The code of a usage error in the JSON error document. */
export const USAGE_CODE = 'usage'

/** The `error` member of the JSON error document. */
export interface ErrorDocument {
  /** One of the error codes in the base package, or `usage`. */
  readonly code: string
  readonly exitCode: ExitCode
  readonly step: string
  readonly peer: string
  readonly message: string
  /** The version that the refused patch was made against. This and the next two are present only if that version was stale. */
  readonly baseVersion?: number
  readonly currentVersion?: number
  readonly conflictingPaths?: readonly string[]
  /** Present only if a configuration is invalid. */
  readonly problems?: readonly FieldProblem[]
}

/**
 * @param problems invalid fields
 * @returns one line for each
 */
export function formatProblems (problems: readonly FieldProblem[]): readonly string[] {
  return problems.map((problem) => {
    const path = problem.path === '' ? '(whole document)' : problem.path
    // Most messages already contain the expectation word for word; don't repeat it.
    const expected = problem.message.includes(problem.expected) ? '' : ` (expected ${problem.expected})`
    return `  ${path}: ${problem.message}${expected}`
  })
}

function getProblem (error: StepError): OperatorProblem | undefined {
  return error instanceof OperatorError ? error.problem : undefined
}

function formatVersions (problem: OperatorProblem): readonly string[] {
  if (problem.currentVersion === undefined) return []
  const lines = [`  made against version: ${problem.baseVersion ?? 'not stated'}`, `  current version:      ${problem.currentVersion}`]
  if (problem.conflictingPaths.length === 0) return lines
  return [...lines, `  conflicting paths:    ${problem.conflictingPaths.join(', ')}`]
}

/**
 * @param error the error to print
 * @returns lines for standard error
 */
export function formatError (error: StepError): string {
  const summary = `umberspar: ${error.message} (step ${error.step}, peer ${error.peer})`
  const problem = getProblem(error)
  if (problem === undefined) return summary
  return [summary, ...formatVersions(problem), ...formatProblems(problem.problems)].join('\n')
}

/**
 * @param error the error to print
 * @param exitCode the exit code of the process
 * @returns the `error` member of the JSON error document
 */
export function buildErrorDocument (error: StepError, exitCode: ExitCode): ErrorDocument {
  const problem = getProblem(error)
  const { code, step, peer, message } = error
  const base = { code, exitCode, step, peer, message }
  if (problem === undefined) return base
  return {
    ...base,
    ...(problem.currentVersion === undefined
      ? {}
      : { baseVersion: problem.baseVersion, currentVersion: problem.currentVersion, conflictingPaths: problem.conflictingPaths }),
    ...(problem.problems.length === 0 ? {} : { problems: problem.problems })
  }
}
