/** The conditions of a transaction: every target and result of the published API. */
import { Compare_CompareResult as CompareResult, Compare_CompareTarget as CompareTarget } from '@umberspar/adapters/node/generated/etcd/rpc'
import type { Compare, KeyValue } from '@umberspar/adapters/node/generated/etcd/rpc'

/** Below zero, zero or above zero, as the stored side is less than, equal to or greater than the given one. */
type Ordering = number
type TargetHandler = (stored: KeyValue | undefined, compare: Compare) => Ordering | undefined

function compareNumbers (stored: bigint, given: bigint | undefined): Ordering {
  const other = given ?? 0n
  if (stored === other) return 0
  return stored < other ? -1 : 1
}

const HANDLER_BY_TARGET: Readonly<Record<CompareTarget, TargetHandler>> = {
  [CompareTarget.VERSION]: (stored, compare) => compareNumbers(stored?.version ?? 0n, compare.version),
  [CompareTarget.CREATE]: (stored, compare) => compareNumbers(stored?.createRevision ?? 0n, compare.createRevision),
  [CompareTarget.MOD]: (stored, compare) => compareNumbers(stored?.modRevision ?? 0n, compare.modRevision),
  [CompareTarget.LEASE]: (stored, compare) => compareNumbers(stored?.lease ?? 0n, compare.lease),
  // A key that does not exist has no value: no comparison with it holds.
  [CompareTarget.VALUE]: (stored, compare) => stored === undefined ? undefined : Buffer.compare(stored.value, compare.value ?? Buffer.alloc(0)),
  [CompareTarget.UNRECOGNIZED]: () => undefined
}

const HANDLER_BY_RESULT: Readonly<Record<CompareResult, (ordering: Ordering) => boolean>> = {
  [CompareResult.EQUAL]: (ordering) => ordering === 0,
  [CompareResult.GREATER]: (ordering) => ordering > 0,
  [CompareResult.LESS]: (ordering) => ordering < 0,
  [CompareResult.NOT_EQUAL]: (ordering) => ordering !== 0,
  [CompareResult.UNRECOGNIZED]: () => false
}

/**
 * @param compare one condition
 * @param stored the key's present state, undefined if it does not exist
 * @returns whether the condition holds
 */
export function isConditionMet (compare: Compare, stored: KeyValue | undefined): boolean {
  const ordering = HANDLER_BY_TARGET[compare.target](stored, compare)
  if (ordering === undefined) return false
  return HANDLER_BY_RESULT[compare.result](ordering)
}
