/**
 * Decides when a node reads the configuration from the store. Watchers do so
 * periodically, in addition to their watch. Any other node does so only if its version
 * has not been confirmed for long. Its delay grows with the fleet, so that thousands of
 * nodes don't read at the same time after an outage.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline } from '@umberspar/base/common/deadline'
import { computeRoundIntervalMs } from './neighbours.js'
import { addJitter, type IRandomSource } from '@umberspar/base/common/random'

/** Periodic reads find changes that a watch misses if its stream hangs without an error. */
const WATCHER_READ_INTERVAL_MS = 10_000
/** A node reads the store if its version has not been confirmed for at least this long. */
const MIN_UNCONFIRMED_READ_DELAY_MS = 15_000
/** Limit for all nodes that are not watchers together, before jitter. */
const MAX_FLEET_READS_PER_SECOND = 20
/** A confirmation reaches all nodes of a region within this many gossip rounds. */
const MAX_CONFIRMATION_ROUNDS = 6
const MS_PER_SECOND = 1000
/** Applies to nodes without a configuration and to watchers whose last read failed. */
const RETRY_DELAY_MS = 1000
const JITTER_RATIO = 0.3

/** Input of {@link computeNextStoreRead}. */
export interface StoreReadInput {
  readonly isWatcher: boolean
  readonly nodeCount: number
  /** When a read of the store by any node last confirmed the highest version known to this node; undefined if none has. */
  readonly confirmedAt: Instant | undefined
  /** When this node last read the store, successfully or not. */
  readonly lastReadAt: Instant
  readonly hasLastReadFailed: boolean
  /** Whether this node has any configuration in force. */
  readonly hasConfiguration: boolean
}

/**
 * Computes when a node is to read the store next.
 * @param input the state of the node
 * @param random source of jitter
 * @returns the time of the next read
 */
export function computeNextStoreRead (input: StoreReadInput, random: IRandomSource): Deadline {
  const { lastReadAt, nodeCount } = input
  const fleetIntervalMs = MS_PER_SECOND * nodeCount / MAX_FLEET_READS_PER_SECOND
  if (input.isWatcher) {
    const intervalMs = input.hasLastReadFailed ? RETRY_DELAY_MS : WATCHER_READ_INTERVAL_MS
    return createDeadline(lastReadAt, addJitter(random, intervalMs, JITTER_RATIO))
  }
  if (!input.hasConfiguration) return createDeadline(lastReadAt, addJitter(random, Math.max(RETRY_DELAY_MS, fleetIntervalMs), JITTER_RATIO))
  const confirmationMs = MAX_CONFIRMATION_ROUNDS * computeRoundIntervalMs(nodeCount)
  const delayMs = addJitter(random, Math.max(MIN_UNCONFIRMED_READ_DELAY_MS, fleetIntervalMs, confirmationMs), JITTER_RATIO)
  return createDeadline(Math.max(input.confirmedAt ?? lastReadAt, lastReadAt), delayMs)
}
