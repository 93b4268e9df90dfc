/** Spans of time as settings and configurations write them: a number with its unit. */

const SPAN = /^(\d+(?:\.\d+)?)(ms|s)$/
const MS_BY_UNIT: Readonly<Record<string, number>> = { ms: 1, s: 1_000 }

/**
 * @param text for example `250ms` or `2.5s`
 * @returns milliseconds, or undefined if the text is no span
 */
export function parseSpan (text: string): number | undefined {
  const match = SPAN.exec(text)
  return match === null ? undefined : Number(match[1]) * MS_BY_UNIT[match[2]!]!
}
