/** Checks a whole configuration without a daemon, in the shape of a daemon's opinion. */
import { validateConfiguration } from '@umberspar/steering/common/configuration/validateConfiguration'
import type { ValidationResult } from './operatorMessages.js'

/**
 * @param value the parsed file
 * @returns whether it is valid, and every field that is not
 */
export function checkWholeConfiguration (value: unknown): ValidationResult {
  const result = validateConfiguration(value)
  return result.ok ? { valid: true, problems: [] } : { valid: false, problems: result.val }
}
