/**
 * Content-defined chunking (Xia et al., FastCDC, USENIX ATC 2016): a chunk boundary
 * depends only on the text just before it, so a change affects the chunks around it
 * and leaves the others, and their names, unchanged.
 */
import { computeHash32 } from '../hash/xxHash.js'

/** Sizes of chunks in UTF-16 code units; for canonical JSON, which is mostly ASCII, about the number of bytes. */
export interface ChunkSizes {
  readonly minLength: number
  /** Approximate mean length beyond {@link ChunkSizes.minLength}; a power of two. */
  readonly targetLength: number
  readonly maxLength: number
}

const GEAR_TABLE_SIZE = 256
const LOW_BYTE_MASK = GEAR_TABLE_SIZE - 1
/** The hash has 32 bits and is shifted by one bit per code unit, so it depends on the last 32 code units. */
const HASH_BITS = 32
/** A pseudorandom number for each value of a code unit's low byte, the same on every node. */
const GEAR_TABLE = Int32Array.from({ length: GEAR_TABLE_SIZE }, (_, value) => computeHash32(`gear ${value}`) | 0)

/** Selects the highest bits of the hash: these depend on all 32 code units, whereas the lowest bit depends only on the last one. */
function computeBoundaryMask (targetLength: number): number {
  return ~(2 ** (HASH_BITS - Math.round(Math.log2(targetLength))) - 1)
}

function findChunkEnd (text: string, start: number, sizes: ChunkSizes, mask: number): number {
  const maxEnd = Math.min(text.length, start + sizes.maxLength)
  const minEnd = start + sizes.minLength
  let hash = 0
  for (let index = Math.max(start, minEnd - HASH_BITS); index < maxEnd; index++) {
    hash = ((hash << 1) + (GEAR_TABLE[text.charCodeAt(index) & LOW_BYTE_MASK] as number)) | 0
    if (index >= minEnd && (hash & mask) === 0) return index + 1
  }
  return maxEnd
}

/**
 * Splits a text into chunks, which result in the text again when they are joined.
 * @param text any text
 * @param sizes the limits for the length of a chunk; only the last chunk may be shorter
 * @returns the chunks in order; none for an empty text
 */
export function splitContent (text: string, sizes: ChunkSizes): string[] {
  const mask = computeBoundaryMask(sizes.targetLength)
  const chunks: string[] = []
  for (let from = 0; from < text.length;) {
    const to = findChunkEnd(text, from, sizes, mask)
    chunks.push(text.slice(from, to))
    from = to
  }
  return chunks
}
