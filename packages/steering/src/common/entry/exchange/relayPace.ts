/** How often a relay sends, and how much at once, so that its cost stays bounded in a large fleet. */
import { ExchangeScope, type ExchangeRow, SCOPE_BY_TOPIC } from './exchangeRow.js'

/** How often a VM without new rows shows that it is running. */
export const HEARTBEAT_MS = 500
/** A relay sends at most this many datagrams a second to each kind of destination; with more destinations, its intervals are longer. */
const MAX_DATAGRAMS_PER_SECOND = 300
const MS_PER_SECOND = 1_000

/**
 * @param datagrams a number of datagrams
 * @returns the time in which a relay may send them, in milliseconds
 */
export function computePaceMs (datagrams: number): number {
  return datagrams * MS_PER_SECOND / MAX_DATAGRAMS_PER_SECOND
}

/**
 * A message must not take longer than the heartbeat interval, as its sender would pass for silent.
 * @param destinations the number of destinations that each get the message
 * @returns the datagrams that a message may consist of, at least one
 */
export function computeMaxDatagrams (destinations: number): number {
  return Math.max(1, Math.floor(HEARTBEAT_MS / computePaceMs(Math.max(1, destinations))))
}

/**
 * Sorts the rows of a message, of which the last ones may be left out: first those that all VMs
 * or the relays need, each of them in front in turn, then those about workers.
 * @param rows the rows, the newest of a topic first
 * @param round the number of the message to its destination
 * @returns the rows in the order in which they are sent
 */
export function sortRows (rows: readonly ExchangeRow[], round: number): ExchangeRow[] {
  const isForUsers = ({ topic }: ExchangeRow): boolean => SCOPE_BY_TOPIC[topic] === ExchangeScope.Users
  const general = rows.filter((row) => !isForUsers(row))
  const start = general.length === 0 ? 0 : round % general.length
  return [...general.slice(start), ...general.slice(0, start), ...rows.filter(isForUsers)]
}
