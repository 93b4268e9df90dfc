/** Limits what responses that are being collected take of the memory, all together. */
import { computeClientMemory } from './bodyReader.js'

/** The share of the memory for clients that responses may take while they are collected. */
const RESPONSE_MEMORY_RATIO = 0.2

/** The memory of all responses that are being collected. */
export class ResponseMemory {
  private usedBytes = 0

  /**
   * @param memoryMb the memory of the process, in megabytes
   * @returns the limit for its responses
   */
  static create (memoryMb: number): ResponseMemory {
    return new ResponseMemory(computeClientMemory(memoryMb) * RESPONSE_MEMORY_RATIO)
  }

  /** @param maxBytes the limit on the total size */
  constructor (private readonly maxBytes: number) {}

  /**
   * Counts bytes that are kept, within the limit or beyond it.
   * @returns whether all responses together are within the limit
   */
  add (bytes: number): boolean {
    this.usedBytes += bytes
    return this.usedBytes <= this.maxBytes
  }

  /** @param bytes number of bytes that were added earlier */
  remove (bytes: number): void {
    this.usedBytes -= bytes
  }
}
