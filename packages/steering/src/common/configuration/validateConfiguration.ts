/** Validates a configuration against the schema and then the rules across fields. */
import type { z } from 'zod'
import { Err, Ok } from '@umberspar/base/common/result'
import type { Result } from '@umberspar/base/common/result'
import type { ConfigurationProblem } from './configurationProblem.js'
import type { SteeringConfiguration } from './configurationSchema.js'
import { configurationSchema } from './configurationSchema.js'
import { listRuleProblems } from './configurationRules.js'

type SchemaIssue = z.core.$ZodIssue

function formatPath (path: readonly PropertyKey[]): string {
  return path.map(String).join('.')
}

function formatBound (issue: { readonly inclusive?: boolean }, inclusiveWord: string, exclusiveWord: string): string {
  return issue.inclusive === false ? exclusiveWord : inclusiveWord
}

/** Describes the expected value, by the code of the schema's issue. */
const EXPECTATION_BY_ISSUE: { readonly [Code in SchemaIssue['code']]?: (issue: Extract<SchemaIssue, { code: Code }>) => string } = {
  invalid_type: (issue) => issue.expected,
  invalid_value: (issue) => `one of ${issue.values.map((value) => JSON.stringify(value)).join(', ')}`,
  too_small: (issue) => `${formatBound(issue, 'at least', 'more than')} ${issue.minimum} (${issue.origin})`,
  too_big: (issue) => `${formatBound(issue, 'at most', 'less than')} ${issue.maximum} (${issue.origin})`,
  invalid_key: (issue) => issue.issues.map((inner) => formatExpected(inner)).join('; ')
}

/** Matches the messages `expected …` that the schema defines where the issue code is not specific enough. */
const EXPECTED_MESSAGE = /^expected (.+)$/

function formatExpected (issue: SchemaIssue): string {
  const match = EXPECTED_MESSAGE.exec(issue.message)
  if (match !== null) return match[1] ?? ''
  const formatIssue = EXPECTATION_BY_ISSUE[issue.code] as ((issue: SchemaIssue) => string) | undefined
  return formatIssue?.(issue) ?? issue.message
}

function formatReceived (issue: SchemaIssue): string {
  const isMissing = issue.code === 'invalid_type' && issue.input === undefined
  return isMissing ? ', but the field is missing' : ''
}

function toProblems (issue: SchemaIssue): ConfigurationProblem[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({
      path: formatPath([...issue.path, key]),
      expected: 'no field of this name',
      message: `unknown field '${key}'`
    }))
  }
  const expected = formatExpected(issue)
  return [{ path: formatPath(issue.path), expected, message: `expected ${expected}${formatReceived(issue)}` }]
}

/**
 * Validates a configuration against the schema and, if it conforms, against the rules across fields.
 * @param input a parsed JSON document
 * @returns the configuration with all defaults filled in, or all errors that were found
 */
export function validateConfiguration (input: unknown): Result<SteeringConfiguration, ConfigurationProblem[]> {
  const parsed = configurationSchema.safeParse(input, { reportInput: true })
  if (!parsed.success) return Err(parsed.error.issues.flatMap(toProblems))
  const problems = listRuleProblems(parsed.data)
  return problems.length > 0 ? Err(problems) : Ok(parsed.data)
}
