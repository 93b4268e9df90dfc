/** JSON Merge Patch (RFC 7396) against a numbered version of the configuration. */
import jsonMergePatch from 'json-merge-patch'
import type { Result } from '@umberspar/base/common/result'
import { Err } from '@umberspar/base/common/result'
import { encodeCanonical } from './canonicalJson.js'
import type { SteeringConfiguration } from './configurationSchema.js'
import { isReservedName } from './reservedNames.js'
import type { ConfigurationProblem } from './configurationProblem.js'
import { validateConfiguration } from './validateConfiguration.js'
import type { VersionedConfiguration } from './versionedConfiguration.js'

/** Why a patch was refused. */
export enum PatchRefusalKind {
  /** The patch was made against another version than the one in force. */
  StaleBase = 'stale-base',
  /** The patched configuration breaks a rule. */
  InvalidResult = 'invalid-result',
  /** The patch is no JSON object, or uses a name that cannot be patched. */
  MalformedPatch = 'malformed-patch'
}

/** A refused patch. */
export interface PatchRefusal {
  readonly kind: PatchRefusalKind
  readonly message: string
  readonly baseVersion: number
  readonly currentVersion: number
  /** Stale base: paths that the patch writes and that changed since the base; all its paths if the base is unknown. */
  readonly conflictingPaths: readonly string[]
  /** Invalid result or malformed patch: every fault found. */
  readonly problems: readonly ConfigurationProblem[]
}

/** A patch as an operator sends it. */
export interface PatchRequest {
  /** The version that the operator looked at. */
  readonly baseVersion: number
  /** A JSON Merge Patch. */
  readonly patch: unknown
}

type JsonObject = Readonly<Record<string, unknown>>

function isObject (value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function formatPath (path: readonly string[]): string {
  return path.join('.')
}

/** Paths of all values that a patch sets or removes; objects without fields count as values. */
function listLeafPaths (patch: unknown, path: readonly string[] = []): string[][] {
  if (!isObject(patch)) return [[...path]]
  const keys = Object.keys(patch)
  if (keys.length === 0) return [[...path]]
  return keys.flatMap((key) => listLeafPaths(patch[key], [...path, key]))
}

/**
 * Finds keys that the library skips together with every key behind them, or on
 * which it throws; part of the patch would be lost without a word.
 */
function listReservedPaths (patch: unknown): string[] {
  const paths = listLeafPaths(patch).filter((path) => path.some(isReservedName))
  return paths.map(formatPath)
}

/** What stands at a path, and how much of the path exists. */
interface PathValue {
  readonly depth: number
  readonly text: string | undefined
}

function readPath (body: unknown, path: readonly string[]): PathValue {
  let value = body
  for (const [depth, key] of path.entries()) {
    if (!isObject(value) || !Object.hasOwn(value, key)) return { depth, text: undefined }
    value = value[key]
  }
  return { depth: path.length, text: encodeCanonical(value) }
}

/** A path also counts as changed if the object that the patch writes into came or went. */
function hasChanged (base: unknown, current: unknown, path: readonly string[]): boolean {
  const before = readPath(base, path)
  const after = readPath(current, path)
  return before.depth !== after.depth || before.text !== after.text
}

/**
 * Copies the objects that a patch reaches into; the rest is shared. The library
 * writes into its target, which is the configuration in force.
 */
function createPatchTarget (target: unknown, patch: unknown): unknown {
  if (!isObject(target) || !isObject(patch)) return target
  const copy: Record<string, unknown> = { ...target }
  for (const key of Object.keys(patch)) {
    if (Object.hasOwn(copy, key)) copy[key] = createPatchTarget(copy[key], patch[key])
  }
  return copy
}

function createMalformed (current: VersionedConfiguration, baseVersion: number, problems: ConfigurationProblem[]): PatchRefusal {
  return {
    kind: PatchRefusalKind.MalformedPatch,
    message: 'the patch cannot be applied',
    baseVersion,
    currentVersion: current.head.version,
    conflictingPaths: [],
    problems
  }
}

function listPatchProblems (patch: unknown): ConfigurationProblem[] {
  if (!isObject(patch)) {
    const expected = 'a JSON object (RFC 7396)'
    return [{ path: '', expected, message: `expected ${expected}` }]
  }
  return listReservedPaths(patch).map((path) => {
    const expected = 'no name that JavaScript objects have by themselves'
    return { path, expected, message: `expected ${expected}` }
  })
}

function createStale (
  current: VersionedConfiguration, baseBody: SteeringConfiguration | undefined, request: PatchRequest
): PatchRefusal {
  const written = listLeafPaths(request.patch)
  const conflicting = baseBody === undefined
    ? written
    : written.filter((path) => hasChanged(baseBody, current.body, path))
  return {
    kind: PatchRefusalKind.StaleBase,
    message: `the patch was made against version ${request.baseVersion}, version ${current.head.version} is in force`,
    baseVersion: request.baseVersion,
    currentVersion: current.head.version,
    conflictingPaths: conflicting.map(formatPath),
    problems: []
  }
}

/**
 * Applies a patch to the configuration in force; neither is changed. A stale
 * patch is refused also if nothing it writes has changed: the operator decided
 * on a state that is no longer there.
 * @param current the configuration in force
 * @param baseBody the body of the base version, if it is still known
 * @param request the patch and its base version
 * @returns the whole new configuration, or why there is none
 */
export function applyPatch (
  current: VersionedConfiguration, baseBody: SteeringConfiguration | undefined, request: PatchRequest
): Result<SteeringConfiguration, PatchRefusal> {
  const malformed = listPatchProblems(request.patch)
  if (malformed.length > 0) return Err(createMalformed(current, request.baseVersion, malformed))
  if (request.baseVersion !== current.head.version) return Err(createStale(current, baseBody, request))
  const patched = jsonMergePatch.apply(createPatchTarget(current.body, request.patch), request.patch)
  return validateConfiguration(patched).mapErr((problems): PatchRefusal => ({
    kind: PatchRefusalKind.InvalidResult,
    message: 'the patched configuration is not valid',
    baseVersion: request.baseVersion,
    currentVersion: current.head.version,
    conflictingPaths: [],
    problems
  }))
}
