/** Reading of JSON that another process wrote: nothing is taken for granted. */

/** A JSON object. */
export type JsonObject = Readonly<Record<string, unknown>>

/**
 * @param value any value
 * @returns whether it is a JSON object, neither null nor an array
 */
export function isJsonObject (value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

/**
 * @param value any value
 * @returns the value if it is text
 */
export function toText (value: unknown): string | undefined {
  return typeof value === 'string' ? value : undefined
}

/**
 * @param value any value
 * @returns the value if it is a finite number
 */
export function toNumber (value: unknown): number | undefined {
  return typeof value === 'number' && Number.isFinite(value) ? value : undefined
}

/**
 * @param value any value
 * @returns its texts if it is an array, otherwise none
 */
export function toTexts (value: unknown): readonly string[] {
  return Array.isArray(value) ? value.filter((item): item is string => typeof item === 'string') : []
}

/**
 * Decodes an array, all or nothing.
 * @param value any value
 * @param decodeItem decodes one element; undefined refuses it
 * @returns the elements, or undefined if the value is no array or an element was refused
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
