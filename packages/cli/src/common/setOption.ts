/** Parses `--set path=json` options into a JSON Merge Patch. */
import { UsageError } from './operatorError.js'
import { isJsonObject } from './jsonValue.js'
import type { JsonObject } from './jsonValue.js'

/** Keys that could reach an object's prototype instead of a field. */
const FORBIDDEN_KEYS: ReadonlySet<string> = new Set(['__proto__', 'constructor', 'prototype'])

type MutableJsonObject = Record<string, unknown>

function parsePath (text: string): readonly string[] {
  const keys = text.split('.')
  if (keys.some((key) => key === '' || FORBIDDEN_KEYS.has(key))) {
    throw new UsageError(`--set: '${text}' is not a path of field names separated by dots`)
  }
  return keys
}

function parseJson (path: string, text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    throw new UsageError(`--set ${path}: expected JSON after '=' (strings in double quotes), got ${text}`)
  }
}

function setField (patch: MutableJsonObject, keys: readonly string[], value: unknown): void {
  const [key = '', ...rest] = keys
  if (rest.length === 0) {
    patch[key] = value
    return
  }
  const existing = patch[key]
  const child: MutableJsonObject = isJsonObject(existing) ? { ...existing } : {}
  setField(child, rest, value)
  patch[key] = child
}

/**
 * @param options the values of the options, each `path=json`; `null` removes the field
 * @returns the patch that sets all fields
 * @throws UsageError if an option can't be parsed
 */
export function parseSetOptions (options: readonly string[]): JsonObject {
  const patch: MutableJsonObject = {}
  for (const option of options) {
    const separatorIndex = option.indexOf('=')
    if (separatorIndex <= 0) throw new UsageError(`--set: expected path=json, got ${option}`)
    const path = option.slice(0, separatorIndex)
    setField(patch, parsePath(path), parseJson(path, option.slice(separatorIndex + 1)))
  }
  return patch
}
