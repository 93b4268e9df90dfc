/** Validates a complete configuration without a daemon. */
import { validateConfiguration } from '@umberspar/steering/common/configuration/validateConfiguration'
import type { ValidationResult } from './operatorMessages.js'

/**
 * @param value the parsed file
 * @returns whether it is valid, and the invalid fields, in the form of a daemon's answer
 */
export function checkWholeConfiguration (value: unknown): ValidationResult {
  const result = validateConfiguration(value)
  return result.ok ? { valid: true, problems: [] } : { valid: false, problems: result.val }
}
