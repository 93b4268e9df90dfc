/** Checks a whole configuration without a daemon, in the shape of a daemon's opinion. */
import { validateConfiguration } from '@umberspar/steering/common/configuration/validateConfiguration'
import type { ValidationAnswer } from './operatorMessages.js'

/**
 * @param value the parsed file
 * @returns whether it is valid, and every field that is not
 */
export function checkWholeConfiguration (value: unknown): ValidationAnswer {
  const checked = validateConfiguration(value)
  return checked.ok ? { valid: true, problems: [] } : { valid: false, problems: checked.val }
}
