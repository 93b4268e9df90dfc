/**
 * Which objects this entry VM has lately had handled by which worker. Workers keep
 * a few dozen objects; what this VM sent long ago may have been pushed out by
 * others, so an entry is believed for a while only.
 */
import type { Instant } from '@umberspar/base/common/clock'

/** How long a worker is believed to keep an object, in milliseconds. */
const CACHED_SPAN_MS = 12_000
/** Objects remembered at most; the oldest go first. About 150 bytes each. */
const MAX_OBJECTS = 20_000

/** The memory of one service. */
export class CacheAffinity {
  private readonly lastUsesByKey = new Map<string, Map<string, Instant>>()

  /**
   * @param key the object
   * @param workerId the worker that answered for it
   * @param now the present
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
   * @param key the object
   * @param workerId a worker
   * @param now the present
   * @returns whether the worker is believed to have the object at hand
   */
  has (key: string, workerId: string, now: Instant): boolean {
    const at = this.lastUsesByKey.get(key)?.get(workerId)
    return at !== undefined && now - at <= CACHED_SPAN_MS
  }

  /** @param workerId a worker that has left, or lost what it kept */
  removeWorker (workerId: string): void {
    for (const lastUses of this.lastUsesByKey.values()) lastUses.delete(workerId)
  }
}
