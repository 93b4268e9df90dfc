/** The whole check of a configuration: the schema, then the rules between fields. */
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

/** What was expected, by the kind of the schema's issue. */
const EXPECTATIONS: { readonly [Code in SchemaIssue['code']]?: (issue: Extract<SchemaIssue, { code: Code }>) => string } = {
  invalid_type: (issue) => issue.expected,
  invalid_value: (issue) => `one of ${issue.values.map((value) => JSON.stringify(value)).join(', ')}`,
  too_small: (issue) => `${formatBound(issue, 'at least', 'more than')} ${issue.minimum} (${issue.origin})`,
  too_big: (issue) => `${formatBound(issue, 'at most', 'less than')} ${issue.maximum} (${issue.origin})`,
  invalid_key: (issue) => issue.issues.map((inner) => formatExpected(inner)).join('; ')
}

/** The schema's own messages say `expected …` where its kinds of issue do not tell enough. */
const OWN_MESSAGE = /^expected (.+)$/

function formatExpected (issue: SchemaIssue): string {
  const own = OWN_MESSAGE.exec(issue.message)
  if (own !== null) return own[1] ?? ''
  const formatIssue = EXPECTATIONS[issue.code] as ((issue: SchemaIssue) => string) | undefined
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
 * Checks a configuration by the schema and, if it passes, by the rules between fields.
 * @param input a parsed JSON document
 * @returns the configuration with all defaults filled in, or every fault found
 */
export function validateConfiguration (input: unknown): Result<SteeringConfiguration, ConfigurationProblem[]> {
  const parsed = configurationSchema.safeParse(input, { reportInput: true })
  if (!parsed.success) return Err(parsed.error.issues.flatMap(toProblems))
  const problems = listRuleProblems(parsed.data)
  return problems.length > 0 ? Err(problems) : Ok(parsed.data)
}
