/**
 * Deals a number of requests among entry VMs one by one, in an order that all VMs compute alike for the
 * same key. Adding VMs to the list never increases the part of another one. Therefore the parts of
 * VMs whose lists differ add up to no more than the total, as long as each list contains all VMs that send.
 */
import { computePairHash } from '../../lookup/rendezvous.js'

/** Requests of a part in a window. */
const MIN_USABLE_PART = 4
/** If one of them fails, another one goes on. */
const MIN_RECIPIENTS = 2

/**
 * @param key the key to rank the names for
 * @param names the names of VMs
 * @param name one of them
 * @returns how many of the names rank before it
 */
export function findRank (key: string, names: readonly string[], name: string): number {
  const hash = computePairHash(key, name)
  let rank = 0
  for (const other of names) {
    const otherHash = computePairHash(key, other)
    if (otherHash > hash || (otherHash === hash && other < name)) rank++
  }
  return rank
}

/**
 * @param total the number of requests
 * @param rank the VM's rank, from 0
 * @param count the number of VMs
 * @returns the VM's part
 */
export function computeDealtPart (total: number, rank: number, count: number): number {
  return rank >= total ? 0 : Math.ceil((total - rank) / count)
}

/**
 * Deals among the VMs that rank first, so that each part is large enough to be used up: requests come at
 * random, and a VM with a part of one request waits for it in vain for much of the window.
 * @param total the number of requests
 * @param rank the VM's rank, from 0
 * @param count the number of VMs
 * @returns the VM's part
 */
export function computeUsablePart (total: number, rank: number, count: number): number {
  const recipients = Math.min(count, Math.max(MIN_RECIPIENTS, Math.floor(total / MIN_USABLE_PART)))
  return rank >= recipients ? 0 : computeDealtPart(total, rank, recipients)
}
