/**
 * Hash functions of the xxHash library. Its WebAssembly module is compiled while this
 * module is imported, so that all functions are synchronous.
 */
import loadXxHash from 'xxhash-wasm'

const api = await loadXxHash()

/**
 * Computes xxHash32, for ranking. The values are evenly distributed, but not secure against deliberate collisions.
 * @param text the text to hash
 * @returns an unsigned 32-bit number
 */
export function computeHash32 (text: string): number {
  return api.h32(text) >>> 0
}

/**
 * Computes xxHash64, for comparing documents.
 * @param text the text to hash
 * @returns 16 hexadecimal digits
 */
export function computeHash64 (text: string): string {
  return api.h64ToString(text)
}
