/** Checks faults that come in as JSON against the shape of a stand-in's faults. */
import type { Result } from '@umberspar/base/common/result'
import { Err, Ok } from '@umberspar/base/common/result'

/** Fields whose absence of a fault is undefined have no type to check against. */
function isOfSameType (value: unknown, template: unknown): boolean {
  if (template === undefined) return value === null || typeof value === 'string' || typeof value === 'number'
  if (Array.isArray(template) || Array.isArray(value)) return Array.isArray(template) && Array.isArray(value)
  return value !== null && typeof value === typeof template
}

/**
 * @param input a parsed JSON document
 * @param template the faults when all are off, which names every field
 * @returns the fields given, or what is wrong with them
 */
export function parseFaults<Faults extends object> (input: unknown, template: Faults): Result<Partial<Faults>, string> {
  if (typeof input !== 'object' || input === null || Array.isArray(input)) return Err('fault: expected an object')
  const fields: Record<string, unknown> = {}
  for (const [key, value] of Object.entries(input)) {
    if (!Object.hasOwn(template, key)) return Err(`fault.${key}: unknown; expected one of ${Object.keys(template).join(', ')}`)
    const expected: unknown = template[key as keyof Faults]
    if (!isOfSameType(value, expected)) return Err(`fault.${key}: expected ${Array.isArray(expected) ? 'array' : typeof expected}`)
    fields[key] = value ?? undefined
  }
  return Ok(fields as Partial<Faults>)
}
