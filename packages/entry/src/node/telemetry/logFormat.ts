/** Formats values for log lines. */

/** @returns a number rounded to tenths */
export function toTenths (value: number): number {
  return Math.round(value * 10) / 10
}

/** @returns a number rounded to thousandths */
export function toThousandths (value: number): number {
  return Math.round(value * 1_000) / 1_000
}

/** @returns the values by region, such as `north=3.5 south=2`; undefined if there are none */
export function formatByRegion (values: ReadonlyMap<string, number> | undefined): string | undefined {
  return values === undefined ? undefined : [...values].map(([region, value]) => `${region}=${toThousandths(value)}`).join(' ')
}

/** @returns a number rounded to hundredths */
export function toHundredths (value: number): number {
  return Math.round(value * 100) / 100
}
