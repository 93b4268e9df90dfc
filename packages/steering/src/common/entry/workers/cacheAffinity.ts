/**
 * Remembers which worker recently handled which object for this entry VM.
 *
 * Workers cache a few dozen objects and evict them for those of other VMs' requests, so an
 * entry counts for a short time only.
 */
import type { Instant } from '@umberspar/base/common/clock'

/** How long a worker is assumed to keep an object cached after a request. */
const CACHED_SPAN_MS = 12_000
/** Limit on remembered objects, about 150 bytes each; the oldest are discarded first. */
const MAX_OBJECTS = 20_000

/** The recently handled objects of one service. */
export class CacheAffinity {
  private readonly lastUsesByKey = new Map<string, Map<string, Instant>>()

  /**
   * @param key the object's key
   * @param workerId the worker that answered the request
   * @param now the current time
   */
  record (key: string, workerId: string, now: Instant): void {
    let lastUses = this.lastUsesByKey.get(key)
    if (lastUses === undefined) {
      lastUses = new Map()
      this.lastUsesByKey.set(key, lastUses)
      if (this.lastUsesByKey.size > MAX_OBJECTS) this.lastUsesByKey.delete(this.lastUsesByKey.keys().next().value as string)
    }
    lastUses.set(workerId, now)
    for (const [id, at] of lastUses) {
      if (now - at > CACHED_SPAN_MS) lastUses.delete(id)
    }
  }

  /**
   * @param key the object's key
   * @param workerId a worker
   * @param now the current time
   * @returns whether the worker is assumed to have the object cached
   */
  has (key: string, workerId: string, now: Instant): boolean {
    const at = this.lastUsesByKey.get(key)?.get(workerId)
    return at !== undefined && now - at <= CACHED_SPAN_MS
  }

  /** @param workerId a worker that left or lost its cache */
  removeWorker (workerId: string): void {
    for (const lastUses of this.lastUsesByKey.values()) lastUses.delete(workerId)
  }
}
