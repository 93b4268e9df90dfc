/** `--set path=json`: a JSON Merge Patch written on the command line. */
import { UsageError } from './operatorError.js'
import { isJsonObject } from './jsonValue.js'
import type { JsonObject } from './jsonValue.js'

/** Keys by which a path could reach an object's prototype instead of a field. */
const FORBIDDEN_KEYS: ReadonlySet<string> = new Set(['__proto__', 'constructor', 'prototype'])

type MutableJsonObject = Record<string, unknown>

function parsePath (text: string): readonly string[] {
  const keys = text.split('.')
  if (keys.some((key) => key === '' || FORBIDDEN_KEYS.has(key))) {
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
 * @param options each `path=json`; `null` removes the field
 * @returns the patch that sets them all
 * @throws UsageError if an option can't be read
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
