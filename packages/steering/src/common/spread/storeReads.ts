/**
 * When a node reads the store by itself. A watcher does so now and then, beside
 * its watch. Any other node does so only when nothing has confirmed its version
 * for long; the spans grow with the fleet, so that after an outage thousands of
 * nodes do not read at once.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline } from '@umberspar/base/common/deadline'
import { computeRoundSpan } from './neighbours.js'
import { addJitter, type IRandomSource } from '@umberspar/base/common/random'

/** A watch whose stream hangs without an error shows no change; this read does. */
const WATCHER_READ_SPAN_MS = 10_000
/** A node to which nobody has confirmed its version for so long reads by itself. */
const SILENCE_SPAN_MS = 15_000
/** Reads a second that all nodes together may add to the store. */
const FLEET_READS_PER_SECOND = 20
/** A confirmation reaches all of a region within so many rounds. */
const ROUNDS_TO_ALL = 6
const MS_PER_SECOND = 1000
/** A node without any configuration, and a watcher whose read failed, ask again after so long. */
const RETRY_SPAN_MS = 1000
const JITTER = 0.3

/** What the decision goes by. */
export interface StoreReadInput {
  readonly isWatcher: boolean
  readonly nodeCount: number
  /** When a read of the store, by whichever node, last confirmed the highest version known here; undefined for never. */
  readonly confirmedAt: Instant | undefined
  /** When this node last read, whether it was answered or not. */
  readonly lastReadAt: Instant
  readonly hasLastReadFailed: boolean
  /** Whether any configuration is in force. */
  readonly hasConfiguration: boolean
}

/**
 * @param input what is known
 * @param random the source of jitter
 * @returns when to read the store
 */
export function computeNextStoreRead (input: StoreReadInput, random: IRandomSource): Deadline {
  const { lastReadAt, nodeCount } = input
  const shareMs = MS_PER_SECOND * nodeCount / FLEET_READS_PER_SECOND
  if (input.isWatcher) {
    const spanMs = input.hasLastReadFailed ? RETRY_SPAN_MS : WATCHER_READ_SPAN_MS
    return createDeadline(lastReadAt, addJitter(random, spanMs, JITTER))
  }
  if (!input.hasConfiguration) return createDeadline(lastReadAt, addJitter(random, Math.max(RETRY_SPAN_MS, shareMs), JITTER))
  const roundsMs = ROUNDS_TO_ALL * computeRoundSpan(nodeCount)
  const spanMs = addJitter(random, Math.max(SILENCE_SPAN_MS, shareMs, roundsMs), JITTER)
  return createDeadline(Math.max(input.confirmedAt ?? lastReadAt, lastReadAt), spanMs)
}
