/** Converts between the types of the key-value port and etcd's wire messages. */
import type { StoreChange, StoreCondition, StoredValue, StoreTransaction, StoreWrite } from '@umberspar/steering/common/ports/keyValueStore'
import type { Compare, Event as WireEvent, KeyValue, RangeRequest, RequestOp, TxnRequest, WatchRequest } from '../generated/etcd/rpc.js'
import { Compare_CompareResult as CompareResult, Compare_CompareTarget as CompareTarget, Event_EventType as EventType } from '../generated/etcd/rpc.js'

const MAX_BYTE_VALUE = 0xff
/** As a range end, etcd reads it as "all keys from the start key on". */
const UNBOUNDED_RANGE_END = Buffer.from([0])
const SINGLE_KEY_RANGE_END = Buffer.alloc(0)

/**
 * @param prefix the common prefix of the keys
 * @returns the smallest key greater than all keys with that prefix; a single zero byte if there is none
 */
export function computeRangeEnd (prefix: Uint8Array): Buffer {
  const rangeEnd = Buffer.from(prefix)
  for (let index = rangeEnd.length - 1; index >= 0; index--) {
    const byte = rangeEnd[index] ?? MAX_BYTE_VALUE
    if (byte === MAX_BYTE_VALUE) continue
    rangeEnd[index] = byte + 1
    return rangeEnd.subarray(0, index + 1)
  }
  return UNBOUNDED_RANGE_END
}

function createRangeRequest (key: Buffer, rangeEnd: Buffer): RangeRequest {
  return { key, rangeEnd, limit: 0n, revision: 0n, serializable: false, keysOnly: false, countOnly: false }
}

/** @returns a request that reads one key */
export function encodeGet (key: string): RangeRequest {
  return createRangeRequest(Buffer.from(key), SINGLE_KEY_RANGE_END)
}

/** An empty prefix selects all keys; etcd expects a zero byte as the start key for that. */
function encodePrefix (prefix: string): Buffer {
  return prefix === '' ? Buffer.from([0]) : Buffer.from(prefix)
}

/** @returns a request that reads all keys with a prefix */
export function encodeList (prefix: string): RangeRequest {
  return createRangeRequest(encodePrefix(prefix), computeRangeEnd(Buffer.from(prefix)))
}

/** @returns a request that watches all keys with a prefix, from `fromRevision` on */
export function encodeWatch (prefix: string, fromRevision: number): WatchRequest {
  return {
    createRequest: {
      key: encodePrefix(prefix),
      rangeEnd: computeRangeEnd(Buffer.from(prefix)),
      startRevision: BigInt(fromRevision),
      progressNotify: false,
      prevKv: false,
      watchId: 0n
    }
  }
}

function encodeCondition (condition: StoreCondition): Compare {
  return {
    result: CompareResult.EQUAL,
    target: CompareTarget.MOD,
    key: Buffer.from(condition.key),
    modRevision: BigInt(condition.modRevision)
  }
}

type WriteEncoders = { readonly [K in StoreWrite['kind']]: (write: Extract<StoreWrite, { kind: K }>) => RequestOp }

const ENCODER_BY_KIND: WriteEncoders = {
  put: (write) => ({
    requestPut: { key: Buffer.from(write.key), value: Buffer.from(write.value), lease: BigInt(write.leaseId ?? 0), prevKv: false }
  }),
  delete: (write) => ({ requestDeleteRange: { key: Buffer.from(write.key), rangeEnd: SINGLE_KEY_RANGE_END, prevKv: false } })
}

function encodeWrite (write: StoreWrite): RequestOp {
  const encode = ENCODER_BY_KIND[write.kind] as (write: StoreWrite) => RequestOp
  return encode(write)
}

/** @returns the request of a transaction that writes nothing unless all its conditions hold */
export function encodeTransaction (transaction: StoreTransaction): TxnRequest {
  return {
    compare: transaction.conditions.map(encodeCondition),
    success: transaction.writes.map(encodeWrite),
    failure: []
  }
}

/** @returns the value of a key that was read */
export function decodeValue (pair: KeyValue): StoredValue {
  return { key: pair.key.toString('utf8'), value: pair.value, modRevision: Number(pair.modRevision) }
}

/** @returns the change that a watch event reports; undefined if the event has no key */
export function decodeChange (event: WireEvent): StoreChange | undefined {
  if (event.kv === undefined) return undefined
  const { key, value, modRevision } = decodeValue(event.kv)
  return { key, value: event.type === EventType.PUT ? value : undefined, modRevision }
}
