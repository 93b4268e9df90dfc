/** `--set path=json`: a JSON Merge Patch written on the command line. */
import { UsageError } from './operatorError.js'
import { isJsonObject } from './jsonValue.js'
import type { JsonObject } from './jsonValue.js'

/** Keys by which a path could reach an object's prototype instead of a field. */
const REFUSED_KEYS: ReadonlySet<string> = new Set(['__proto__', 'constructor', 'prototype'])

type Mutable = Record<string, unknown>

function parsePath (text: string): readonly string[] {
  const keys = text.split('.')
  if (keys.some((key) => key === '' || REFUSED_KEYS.has(key))) {
    throw new UsageError(`--set: '${text}' is no path of field names joined by dots`)
  }
  return keys
}

function parseJson (path: string, text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    throw new UsageError(`--set ${path}: expected JSON after '=', text within double quotes; got ${text}`)
  }
}

function setField (patch: Mutable, keys: readonly string[], value: unknown): void {
  const [key = '', ...rest] = keys
  if (rest.length === 0) {
    patch[key] = value
    return
  }
  const present = patch[key]
  const child: Mutable = isJsonObject(present) ? { ...present } : {}
  setField(child, rest, value)
  patch[key] = child
}

/**
 * @param options each `path=json`; `null` removes the field
 * @returns the patch that sets them all
 * @throws UsageError if an option can't be read
 */
export function parseSetOptions (options: readonly string[]): JsonObject {
  const patch: Mutable = {}
  for (const option of options) {
    const at = option.indexOf('=')
    if (at <= 0) throw new UsageError(`--set: expected path=json, got ${option}`)
    const path = option.slice(0, at)
    setField(patch, parsePath(path), parseJson(path, option.slice(at + 1)))
  }
  return patch
}
