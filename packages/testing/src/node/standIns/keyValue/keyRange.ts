/** Key ranges of the published API: one key, an interval, a prefix, or everything from a key on. */

/** A range over key names; names compare in the byte order of the keys. */
export interface KeyRange {
  readonly from: string
  /** First name beyond the range; undefined for no end. */
  readonly to: string | undefined
  readonly isSingle: boolean
}

/**
 * @param key the bytes of a key
 * @returns a string that has one character a byte, so that it sorts like the bytes
 */
export function toKeyName (key: Uint8Array): string {
  return Buffer.from(key.buffer, key.byteOffset, key.byteLength).toString('latin1')
}

/**
 * @param key the first key
 * @param rangeEnd empty for the one key, a zero byte for all keys from the first on, else the first key beyond
 * @returns the range that the two stand for
 */
export function buildKeyRange (key: Uint8Array, rangeEnd: Uint8Array): KeyRange {
  const from = toKeyName(key)
  if (rangeEnd.length === 0) return { from, to: undefined, isSingle: true }
  const isOpen = rangeEnd.length === 1 && rangeEnd[0] === 0
  return { from, to: isOpen ? undefined : toKeyName(rangeEnd), isSingle: false }
}

/**
 * @param range the range
 * @param keyName a key's name
 * @returns whether the key lies in the range
 */
export function isInRange (range: KeyRange, keyName: string): boolean {
  if (range.isSingle) return keyName === range.from
  return keyName >= range.from && (range.to === undefined || keyName < range.to)
}
