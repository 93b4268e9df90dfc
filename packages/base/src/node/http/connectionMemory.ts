/**
 * Limits what all connections of a process hold in memory together: bytes that wait to be parsed,
 * heads of requests in flight, and responses that their clients have not read. What can wait is
 * left in the sockets; beyond that, the connection that holds most is closed, so that the clients
 * that hold little are served.
 */

/** A connection that holds memory. */
export interface MemoryHolder {
  /** Closes the connection, as it holds more than any other. */
  closeForMemory(): void
  /** Called when memory was released after {@link ConnectionMemory.mayAdd} returned false. */
  handleMemoryReleased(): void
}

/** One head may take this part of the free memory, so that many small ones fit beside a few large ones. */
const MAX_PART_OF_FREE = 0.125

/** The memory that the connections of one process may hold. */
export class ConnectionMemory {
  private readonly bytesByHolder = new Map<MemoryHolder, number>()
  private readonly waiting = new Set<MemoryHolder>()
  private totalBytes = 0
  private isReporting = false

  /** @param maxBytes limit on what all hold together */
  constructor (private readonly maxBytes: number) {}

  /** @returns what all hold together, in bytes */
  get heldBytes (): number {
    return this.totalBytes
  }

  /**
   * @param holder asked again when memory has been released, if there is not enough now
   * @param bytes what it would hold in addition
   * @returns whether it may
   */
  mayAdd (holder: MemoryHolder, bytes: number): boolean {
    if (bytes <= (this.maxBytes - this.totalBytes) * MAX_PART_OF_FREE) return true
    this.waiting.add(holder)
    return false
  }

  /**
   * Records what a connection holds, and closes connections while all hold too much.
   * @param holder the connection
   * @param bytes what it holds now; 0 once it has closed
   */
  update (holder: MemoryHolder, bytes: number): void {
    const before = this.bytesByHolder.get(holder) ?? 0
    if (bytes === 0) this.bytesByHolder.delete(holder)
    else this.bytesByHolder.set(holder, bytes)
    this.totalBytes += bytes - before
    if (bytes < before) this.reportReleased()
    while (this.totalBytes > this.maxBytes) this.evictLargest()
  }

  /** Forgets a connection that has closed. */
  remove (holder: MemoryHolder): void {
    this.waiting.delete(holder)
    this.update(holder, 0)
  }

  private evictLargest (): void {
    let largest: MemoryHolder | undefined
    let most = 0
    for (const [holder, bytes] of this.bytesByHolder) {
      if (bytes <= most) continue
      largest = holder
      most = bytes
    }
    if (largest === undefined) return
    this.remove(largest)
    largest.closeForMemory()
  }

  private reportReleased (): void {
    if (this.waiting.size === 0 || this.isReporting) return
    this.isReporting = true
    const holders = [...this.waiting]
    this.waiting.clear()
    for (const holder of holders) holder.handleMemoryReleased()
    this.isReporting = false
  }
}
