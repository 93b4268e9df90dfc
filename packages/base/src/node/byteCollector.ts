/**
 * Collects the chunks of a message in memory in proportion to their length. A chunk that a parser
 * reports refers to the whole block that was read from a socket, and takes some 100 bytes as an
 * object, so that a body of single bytes would take a hundred times its length.
 */

/** Shorter chunks are copied. */
const MIN_REFERENCED_BYTES = 1_024
/** Size of the blocks that short chunks are copied into. */
const BLOCK_BYTES = 4_096
const NO_BLOCK = Buffer.alloc(0)

/** Collects the chunks of one message. */
export class ByteCollector {
  private parts: Buffer[] = []
  /** Takes short chunks; of length 0 while there is none. */
  private block = NO_BLOCK
  private usedBytes = 0
  private totalBytes = 0

  /** @returns the length of all chunks, in bytes */
  get length (): number {
    return this.totalBytes
  }

  /** @param chunk the next bytes of the message; must not be changed later */
  add (chunk: Buffer): void {
    const isFirst = this.totalBytes === 0
    this.totalBytes += chunk.length
    // Most messages consist of one chunk, which is not copied.
    if (isFirst || chunk.length >= MIN_REFERENCED_BYTES) {
      this.flush()
      this.parts.push(chunk)
      return
    }
    if (this.usedBytes + chunk.length > this.block.length) {
      this.flush()
      this.block = Buffer.allocUnsafeSlow(BLOCK_BYTES)
    }
    this.usedBytes += chunk.copy(this.block, this.usedBytes)
  }

  /** @returns the chunks in their order, which no longer belong to the collector */
  take (): Buffer[] {
    this.flush()
    const { parts } = this
    this.parts = []
    this.block = NO_BLOCK
    this.totalBytes = 0
    return parts
  }

  /** Adds what was copied since the last time, and keeps the rest of the block. */
  private flush (): void {
    if (this.usedBytes === 0) return
    this.parts.push(this.block.subarray(0, this.usedBytes))
    this.block = this.block.subarray(this.usedBytes)
    this.usedBytes = 0
  }
}
