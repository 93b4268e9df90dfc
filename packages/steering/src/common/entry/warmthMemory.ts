/**
 * Which objects this entry VM has lately had handled by which worker. Workers keep
 * a few dozen objects; what this VM sent long ago may have been pushed out by
 * others, so an entry is believed for a while only.
 */
import type { Instant } from '@umberspar/base/common/clock'

/** How long a worker is believed to keep an object, in milliseconds. */
const KEPT_MS = 12_000
/** Objects remembered at most; the oldest go first. About 150 bytes each. */
const MOST_OBJECTS = 20_000

/** The memory of one service. */
export class WarmthMemory {
  private readonly usesByKey = new Map<string, Map<string, Instant>>()

  /**
   * @param key the object
   * @param workerId the worker that answered for it
   * @param now the present
   */
  record (key: string, workerId: string, now: Instant): void {
    let uses = this.usesByKey.get(key)
    if (uses === undefined) {
      uses = new Map()
      this.usesByKey.set(key, uses)
      if (this.usesByKey.size > MOST_OBJECTS) this.usesByKey.delete(this.usesByKey.keys().next().value as string)
    }
    uses.set(workerId, now)
    for (const [id, at] of uses) {
      if (now - at > KEPT_MS) uses.delete(id)
    }
  }

  /**
   * @param key the object
   * @param workerId a worker
   * @param now the present
   * @returns whether the worker is believed to have the object at hand
   */
  has (key: string, workerId: string, now: Instant): boolean {
    const at = this.usesByKey.get(key)?.get(workerId)
    return at !== undefined && now - at <= KEPT_MS
  }

  /** @param workerId a worker that has left, or lost what it kept */
  removeWorker (workerId: string): void {
    for (const uses of this.usesByKey.values()) uses.delete(workerId)
  }
}
