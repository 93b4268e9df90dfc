/** Writes the first configuration into the key-value stand-in, as the first accepted patch would. */
import { computeDigest, encodeCanonical } from '@umberspar/steering/common/configuration/canonicalJson'
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import type { ConfigurationHead } from '@umberspar/steering/common/configuration/versionedConfiguration'
import { Compare_CompareResult as CompareResult, Compare_CompareTarget as CompareTarget } from '@umberspar/adapters/node/generated/etcd/rpc'
import type { RequestOp } from '@umberspar/adapters/node/generated/etcd/rpc'
import type { KeyValueState } from './keyValue/keyValueState.js'

const CHUNK_BYTES = 524_288
const FIRST_VERSION = 1
const VERSION_DIGITS = 12
const FIRST_CHANGE_ID = 'initial'

/** What to write and where. */
export interface InitialConfiguration {
  /** Ends in `/`. */
  readonly keyPrefix: string
  readonly body: SteeringConfiguration
  readonly atWallMs: number
}

function buildPut (key: string, value: Uint8Array | string): RequestOp {
  return { requestPut: { key: Buffer.from(key), value: Buffer.from(value), lease: 0n, prevKv: false } }
}

/**
 * Writes head, body and history if the store has no head yet.
 * @param state the store
 * @param initial what to write
 * @returns whether it was written; false if there was a head
 */
export function writeInitialConfiguration (state: KeyValueState, initial: InitialConfiguration): boolean {
  const { keyPrefix, body, atWallMs } = initial
  const text = encodeCanonical(body)
  const bytes = Buffer.from(text)
  const chunks = Math.max(1, Math.ceil(bytes.length / CHUNK_BYTES))
  const head: ConfigurationHead = { version: FIRST_VERSION, changeId: FIRST_CHANGE_ID, digest: computeDigest(text) }
  const headKey = `${keyPrefix}config/head`
  const bodyPrefix = `${keyPrefix}config/body/${FIRST_VERSION}/${FIRST_CHANGE_ID}/`
  const historyKey = `${keyPrefix}config/history/${String(FIRST_VERSION).padStart(VERSION_DIGITS, '0')}`
  const entry = { ...head, baseVersion: 0, note: 'initial configuration', atWallMs, chunks }
  for (let index = 0; index < chunks; index++) {
    const part = bytes.subarray(index * CHUNK_BYTES, (index + 1) * CHUNK_BYTES)
    state.transact({ compare: [], success: [buildPut(`${bodyPrefix}${index}`, part)], failure: [] }).unwrap()
  }
  const isAbsent = { key: Buffer.from(headKey), target: CompareTarget.MOD, result: CompareResult.EQUAL, modRevision: 0n }
  const success = [buildPut(headKey, JSON.stringify(head)), buildPut(historyKey, JSON.stringify(entry))]
  return state.transact({ compare: [isAbsent], success, failure: [] }).unwrap().succeeded
}
