/** Type-checked access to JSON values from other processes. */

/** A JSON object. */
export type JsonObject = Readonly<Record<string, unknown>>

/**
 * @param value any value
 * @returns whether it is a JSON object (and not null or an array)
 */
export function isJsonObject (value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

/**
 * @param value any value
 * @returns the value if it is a string, otherwise undefined
 */
export function toText (value: unknown): string | undefined {
  return typeof value === 'string' ? value : undefined
}

/**
 * @param value any value
 * @returns the value if it is a finite number, otherwise undefined
 */
export function toNumber (value: unknown): number | undefined {
  return typeof value === 'number' && Number.isFinite(value) ? value : undefined
}

/**
 * @param value any value
 * @returns the strings among its elements if it is an array, otherwise an empty array
 */
export function toTexts (value: unknown): readonly string[] {
  return Array.isArray(value) ? value.filter((item): item is string => typeof item === 'string') : []
}

/**
 * Decodes an array. Fails as a whole if any element can't be decoded.
 * @param value any value
 * @param decodeItem decodes one element; returns undefined if it can't
 * @returns the decoded elements, or undefined if the value is not an array or any element can't be decoded
 */
export function decodeItems<T> (value: unknown, decodeItem: (item: unknown) => T | undefined): readonly T[] | undefined {
  if (!Array.isArray(value)) return undefined
  const decodedItems: T[] = []
  for (const item of value) {
    const decodedItem = decodeItem(item)
    if (decodedItem === undefined) return undefined
    decodedItems.push(decodedItem)
  }
  return decodedItems
}
