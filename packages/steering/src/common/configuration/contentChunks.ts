/**
 * Content-defined chunking (Xia et al., FastCDC, USENIX ATC 2016): the places to
 * cut depend only on the text just before them, so a change moves the chunks
 * around it and leaves the others, and their names, as they are.
 */
import { computeHash32 } from '../hash/xxHash.js'

/** Sizes of chunks in UTF-16 code units; canonical JSON is mostly ASCII, so about bytes. */
export interface ChunkSizes {
  readonly least: number
  /** About the mean of what is beyond `least`; a power of two. */
  readonly usual: number
  readonly most: number
}

const GEAR_VALUES = 256
const GEAR_MASK = GEAR_VALUES - 1
/** The hash is 32 bits wide and moves by one bit for each code unit, so it knows the last 32. */
const HASH_BITS = 32
/** A random number for each value of a code unit's low byte; the same on every node. */
const GEAR = Int32Array.from({ length: GEAR_VALUES }, (_, value) => computeHash32(`gear ${value}`) | 0)

/** The highest bits depend on all 32 code units, the lowest on the last one only. */
function computeCutMask (usual: number): number {
  return ~(2 ** (HASH_BITS - Math.round(Math.log2(usual))) - 1)
}

function findCut (text: string, from: number, sizes: ChunkSizes, mask: number): number {
  const end = Math.min(text.length, from + sizes.most)
  const least = from + sizes.least
  let hash = 0
  for (let index = Math.max(from, least - HASH_BITS); index < end; index++) {
    hash = ((hash << 1) + (GEAR[text.charCodeAt(index) & GEAR_MASK] as number)) | 0
    if (index >= least && (hash & mask) === 0) return index + 1
  }
  return end
}

/**
 * Cuts a text into chunks; put together again they give the text.
 * @param text any text
 * @param sizes the bounds of a chunk; only the last one may be smaller
 * @returns the chunks in their order; none for an empty text
 */
export function splitContent (text: string, sizes: ChunkSizes): string[] {
  const mask = computeCutMask(sizes.usual)
  const chunks: string[] = []
  for (let from = 0; from < text.length;) {
    const to = findCut(text, from, sizes, mask)
    chunks.push(text.slice(from, to))
    from = to
  }
  return chunks
}
