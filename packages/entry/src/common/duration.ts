/** Durations as written in settings and configurations: a number with a unit. */

const DURATION_PATTERN = /^(\d+(?:\.\d+)?)(ms|s)$/
const MS_BY_UNIT: Readonly<Record<string, number>> = { ms: 1, s: 1_000 }

/**
 * @param text a duration, for example `250ms` or `2.5s`
 * @returns the duration in milliseconds; undefined if the text is invalid
 */
export function parseDuration (text: string): number | undefined {
  const match = DURATION_PATTERN.exec(text)
  return match === null ? undefined : Number(match[1]) * MS_BY_UNIT[match[2]!]!
}
