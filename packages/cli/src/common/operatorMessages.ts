/**
 * Types and decoders for the answers of a daemon's operators' listener. A decoder returns
 * undefined if a field that the commands need is missing. It ignores unknown fields, so
 * that an older client works with a newer daemon.
 */
import type { ConfigurationHead } from '@umberspar/steering/common/configuration/versionedConfiguration'
import type { LookupAnswer, LookupEntry } from '@umberspar/steering/common/lookup/decideLookup'
import { decodeItems, isJsonObject, toNumber, toText, toTexts } from './jsonValue.js'
import type { JsonObject } from './jsonValue.js'

/** One version of the configuration; the body is the JSON that the daemon sent. */
export interface ConfigurationResponse {
  readonly head: ConfigurationHead
  readonly body: JsonObject
}

/** An accepted change of the configuration. */
export interface HistoryEntry {
  readonly version: number
  readonly changeId: string
  readonly baseVersion: number
  readonly note: string
  /** Milliseconds since 1970, by the clock of the daemon that accepted the change. */
  readonly atWallMs: number
}

/** An invalid field of a configuration. */
export interface FieldProblem {
  readonly path: string
  readonly expected: string
  readonly message: string
}

/** The result of validating a patch or a configuration. */
export interface ValidationResult {
  readonly valid: boolean
  readonly problems: readonly FieldProblem[]
}

/** An entry VM, as seen by the daemon that answered. */
export interface FleetNode {
  readonly nodeId: string
  readonly region: string
  readonly failureDomain: string
  readonly state: string
  readonly callersAddress: string
  readonly operatorAddress: string
  readonly configurationVersion: number
}

/** One node's progress with one drain. */
export interface NodeDrain {
  readonly target: string
  readonly kind: string
  /** The share of traffic that this node still plans to send to the target, 0 to 1. */
  readonly weight: number
  /** Requests in flight from this node to the target. */
  readonly inFlight: number
  readonly isSafeToStop: boolean
}

/** A daemon's error: an RFC 9457 problem document with additional members. */
export interface OperatorProblem {
  readonly title: string
  readonly detail: string
  readonly step?: string
  readonly peer?: string
  /** Whether the request took effect: `not-run` if it certainly did not, otherwise `unknown`. */
  readonly outcome?: string
  readonly baseVersion?: number
  readonly currentVersion?: number
  readonly conflictingPaths: readonly string[]
  readonly problems: readonly FieldProblem[]
}

function decodeHead (value: unknown): ConfigurationHead | undefined {
  if (!isJsonObject(value)) return undefined
  const version = toNumber(value.version)
  const changeId = toText(value.changeId)
  const digest = toText(value.digest)
  if (version === undefined || changeId === undefined || digest === undefined) return undefined
  return { version, changeId, digest }
}

/** Decodes the answer to a patch. */
export function decodePatchAnswer (value: unknown): ConfigurationHead | undefined {
  return isJsonObject(value) ? decodeHead(value.head) : undefined
}

/** Decodes one version of the configuration. */
export function decodeConfiguration (value: unknown): ConfigurationResponse | undefined {
  if (!isJsonObject(value) || !isJsonObject(value.body)) return undefined
  const head = decodeHead(value.head)
  return head === undefined ? undefined : { head, body: value.body }
}

function decodeHistoryEntry (value: unknown): HistoryEntry | undefined {
  if (!isJsonObject(value)) return undefined
  const version = toNumber(value.version)
  const changeId = toText(value.changeId)
  if (version === undefined || changeId === undefined) return undefined
  return {
    version,
    changeId,
    baseVersion: toNumber(value.baseVersion) ?? version - 1,
    note: toText(value.note) ?? '',
    atWallMs: toNumber(value.atWallMs) ?? 0
  }
}

/** Decodes the list of accepted changes. */
export function decodeHistory (value: unknown): readonly HistoryEntry[] | undefined {
  return isJsonObject(value) ? decodeItems(value.entries, decodeHistoryEntry) : undefined
}

function decodeFieldProblem (value: unknown): FieldProblem | undefined {
  if (!isJsonObject(value)) return undefined
  return {
    path: toText(value.path) ?? '',
    expected: toText(value.expected) ?? '',
    message: toText(value.message) ?? ''
  }
}

/** Decodes the result of validating a patch. */
export function decodeValidation (value: unknown): ValidationResult | undefined {
  if (!isJsonObject(value) || typeof value.valid !== 'boolean') return undefined
  return { valid: value.valid, problems: decodeItems(value.problems, decodeFieldProblem) ?? [] }
}

function decodeFleetNode (value: unknown): FleetNode | undefined {
  if (!isJsonObject(value)) return undefined
  const nodeId = toText(value.nodeId)
  const operatorAddress = toText(value.operatorAddress)
  if (nodeId === undefined || operatorAddress === undefined) return undefined
  return {
    nodeId,
    operatorAddress,
    region: toText(value.region) ?? '',
    failureDomain: toText(value.failureDomain) ?? '',
    state: toText(value.state) ?? '',
    callersAddress: toText(value.callersAddress) ?? '',
    configurationVersion: toNumber(value.configurationVersion) ?? 0
  }
}

/** Decodes the list of the fleet's nodes. */
export function decodeFleet (value: unknown): readonly FleetNode[] | undefined {
  return isJsonObject(value) ? decodeItems(value.nodes, decodeFleetNode) : undefined
}

/** Decodes the configuration version in force at a node. */
export function decodeVersionInForce (value: unknown): number | undefined {
  return isJsonObject(value) ? toNumber(value.configurationVersion) : undefined
}

function decodeDrain (value: unknown): NodeDrain | undefined {
  if (!isJsonObject(value)) return undefined
  const target = toText(value.target)
  const kind = toText(value.kind)
  const weight = toNumber(value.weight)
  const inFlight = toNumber(value.inFlight)
  const isSafeToStop = value.isSafeToStop
  if (target === undefined || kind === undefined || typeof isSafeToStop !== 'boolean') return undefined
  if (weight === undefined || inFlight === undefined) return undefined
  return { target, kind, weight, inFlight, isSafeToStop }
}

/** Decodes a node's progress with all drains. */
export function decodeDrains (value: unknown): readonly NodeDrain[] | undefined {
  return isJsonObject(value) ? decodeItems(value.drains, decodeDrain) : undefined
}

function decodeLookupEntry (value: unknown): LookupEntry | undefined {
  if (!isJsonObject(value)) return undefined
  const nodeId = toText(value.nodeId)
  const address = toText(value.address)
  const weight = toNumber(value.weight)
  if (nodeId === undefined || address === undefined || weight === undefined) return undefined
  return { nodeId, address, weight }
}

/** Decodes the answer to a look-up. */
export function decodeLookup (value: unknown): LookupAnswer | undefined {
  if (!isJsonObject(value)) return undefined
  const service = toText(value.service)
  const configurationVersion = toNumber(value.configurationVersion)
  const cacheForMs = toNumber(value.cacheForMs)
  const entries = decodeItems(value.entries, decodeLookupEntry)
  if (service === undefined || configurationVersion === undefined) return undefined
  if (cacheForMs === undefined || entries === undefined) return undefined
  return { service, region: toText(value.region) ?? '', configurationVersion, cacheForMs, entries }
}

/** Decodes a daemon's error; missing members become empty or undefined. */
export function decodeProblem (value: unknown): OperatorProblem | undefined {
  if (!isJsonObject(value)) return undefined
  return {
    title: toText(value.title) ?? '',
    detail: toText(value.detail) ?? '',
    step: toText(value.step),
    peer: toText(value.peer),
    outcome: toText(value.outcome),
    baseVersion: toNumber(value.baseVersion),
    currentVersion: toNumber(value.currentVersion),
    conflictingPaths: toTexts(value.conflictingPaths),
    problems: decodeItems(value.problems, decodeFieldProblem) ?? []
  }
}
