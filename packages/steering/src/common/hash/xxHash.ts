/**
 * xxHash by library. The WebAssembly module is compiled once, while this module
 * is being imported, so that every function here is synchronous.
 */
import loadXxHash from 'xxhash-wasm'

const api = await loadXxHash()

/**
 * xxHash32, for ranking: well mixed, but not proof against an adversary.
 * @param text what to hash
 * @returns an unsigned 32-bit number
 */
export function computeHash32 (text: string): number {
  return api.h32(text) >>> 0
}

/**
 * xxHash64, for comparing documents.
 * @param text what to hash
 * @returns 16 hexadecimal digits
 */
export function computeHash64 (text: string): string {
  return api.h64ToString(text)
}
