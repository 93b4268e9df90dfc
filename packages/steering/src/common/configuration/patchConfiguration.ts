/** Applies a JSON Merge Patch (RFC 7396) to a specific version of the configuration. */
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
  /** The patch was created for a version that is not the current one. */
  StaleBase = 'stale-base',
  /** The patched configuration is not valid. */
  InvalidResult = 'invalid-result',
  /** The patch is not a JSON object, or contains a reserved name. */
  MalformedPatch = 'malformed-patch'
}

/** Why a patch was refused, with details. */
export interface PatchRefusal {
  readonly kind: PatchRefusalKind
  readonly message: string
  readonly baseVersion: number
  readonly currentVersion: number
  /** For a stale base: paths in the patch that have changed since the base version; all its paths if the base version is not known. */
  readonly conflictingPaths: readonly string[]
  /** For an invalid result or a malformed patch: all errors that were found. */
  readonly problems: readonly ConfigurationProblem[]
}

/** A patch sent by an operator. */
export interface PatchRequest {
  /** The version for which the operator created the patch. */
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

/** Lists the paths of all values that a patch sets or removes; empty objects count as values. */
function listLeafPaths (patch: unknown, path: readonly string[] = []): string[][] {
  if (!isObject(patch)) return [[...path]]
  const keys = Object.keys(patch)
  if (keys.length === 0) return [[...path]]
  return keys.flatMap((key) => listLeafPaths(patch[key], [...path, key]))
}

/**
 * Lists paths with reserved names. The library throws on such a key, or ignores it
 * together with all keys after it, so that a part of the patch would be lost silently.
 */
function listReservedPaths (patch: unknown): string[] {
  const paths = listLeafPaths(patch).filter((path) => path.some(isReservedName))
  return paths.map(formatPath)
}

/** The value at a path. */
interface PathValue {
  /** Number of keys of the path that exist. */
  readonly depth: number
  /** The value as canonical JSON; undefined if the path does not exist. */
  /** The value as canonical JSON; undefined if the path does not exist. */
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

/** A path has also changed if one of the objects that contain it was added or removed. */
function hasChanged (base: unknown, current: unknown, path: readonly string[]): boolean {
  const before = readPath(base, path)
  const after = readPath(current, path)
  return before.depth !== after.depth || before.text !== after.text
}

/**
 * Copies the objects that a patch modifies and shares all others. The library
 * modifies its target, but the current configuration must not change.
 */
function createPatchTarget (target: unknown, patch: unknown): unknown {
  if (!isObject(target) || !isObject(patch)) return target
  const copy: Record<string, unknown> = { ...target }
  for (const key of Object.keys(patch)) {
    if (Object.hasOwn(copy, key)) copy[key] = createPatchTarget(copy[key], patch[key])
  }
  return copy
}

function createMalformedRefusal (current: VersionedConfiguration, baseVersion: number, problems: ConfigurationProblem[]): PatchRefusal {
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
    const expected = 'no name of a built-in property of JavaScript objects'
    return { path, expected, message: `expected ${expected}` }
  })
}

function createStaleRefusal (
  current: VersionedConfiguration, baseBody: SteeringConfiguration | undefined, request: PatchRequest
): PatchRefusal {
  const writtenPaths = listLeafPaths(request.patch)
  const conflictingPaths = baseBody === undefined
    ? writtenPaths
    : writtenPaths.filter((path) => hasChanged(baseBody, current.body, path))
  return {
    kind: PatchRefusalKind.StaleBase,
    message: `the patch was created for version ${request.baseVersion}, but the current version is ${current.head.version}`,
    baseVersion: request.baseVersion,
    currentVersion: current.head.version,
    conflictingPaths: conflictingPaths.map(formatPath),
    problems: []
  }
}

/**
 * Applies a patch to the current configuration without modifying either. A patch
 * for an old version is refused even if none of its paths have changed, as the
 * operator based it on a configuration that is no longer current.
 * @param current the current configuration
 * @param baseBody the body of the base version, if it is still known
 * @param request the patch and its base version
 * @returns the complete new configuration, or why the patch was refused
 */
export function applyPatch (
  current: VersionedConfiguration, baseBody: SteeringConfiguration | undefined, request: PatchRequest
): Result<SteeringConfiguration, PatchRefusal> {
  const patchProblems = listPatchProblems(request.patch)
  if (patchProblems.length > 0) return Err(createMalformedRefusal(current, request.baseVersion, patchProblems))
  if (request.baseVersion !== current.head.version) return Err(createStaleRefusal(current, baseBody, request))
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
