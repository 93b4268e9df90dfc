/** What the key-value service refuses in a transaction before it looks at any key. */
import type { PutRequest, RequestOp, TxnRequest } from '@umberspar/adapters/node/generated/etcd/rpc'
import type { CallRefusal } from './callRefusal.js'
import { createInvalid } from './callRefusal.js'
import { buildKeyRange, isInRange, toKeyName } from './keyRange.js'

/** Sizes above which a transaction is refused. */
export interface TransactionLimits {
  /** Bytes of one value. */
  readonly maxValueBytes: number
  /** Bytes of all keys and values of one transaction. */
  readonly maxRequestBytes: number
  /** Conditions, and operations of each branch. */
  readonly maxOperations: number
}

/** The limits of the platform's service: values up to a megabyte. */
export const DEFAULT_TRANSACTION_LIMITS: TransactionLimits = {
  maxValueBytes: 1_048_576,
  maxRequestBytes: 1_572_864,
  maxOperations: 128
}

function listPuts (operations: readonly RequestOp[]): PutRequest[] {
  return operations.flatMap((operation) => operation.requestPut === undefined ? [] : [operation.requestPut])
}

function checkBranch (operations: readonly RequestOp[], limits: TransactionLimits): CallRefusal | undefined {
  const puts = listPuts(operations)
  const names = new Set(puts.map((put) => toKeyName(put.key)))
  if (names.size < puts.length) return createInvalid('duplicate key given in transaction')
  if (names.has('')) return createInvalid('key is not provided')
  if (puts.some((put) => put.value.length > limits.maxValueBytes)) return createInvalid('value is too large')
  for (const operation of operations) {
    const removal = operation.requestDeleteRange
    if (removal === undefined) continue
    const range = buildKeyRange(removal.key, removal.rangeEnd)
    if ([...names].some((keyName) => isInRange(range, keyName))) return createInvalid('duplicate key given in transaction')
  }
  return undefined
}

function measureBranch (operations: readonly RequestOp[]): number {
  return listPuts(operations).reduce((sum, put) => sum + put.key.length + put.value.length, 0)
}

/**
 * @param request the transaction
 * @param limits sizes above which it is refused
 * @returns why it is refused, undefined if it is well formed
 */
export function checkTransaction (request: TxnRequest, limits: TransactionLimits): CallRefusal | undefined {
  const longest = Math.max(request.compare.length, request.success.length, request.failure.length)
  if (longest > limits.maxOperations) return createInvalid('too many operations in transaction')
  const size = measureBranch(request.success) + measureBranch(request.failure)
  const refusal = checkBranch(request.success, limits) ?? checkBranch(request.failure, limits)
  if (refusal !== undefined) return refusal
  return size > limits.maxRequestBytes ? createInvalid('request is too large') : undefined
}
