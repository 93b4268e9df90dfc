/** Decimal numbers in header fields. */

/** Without exponent or sign; the number of decimal places depends on the sender's formatting. */
const DECIMAL_NUMBER = /^\d{1,9}(\.\d+)?$/

/**
 * @param text a header field's value
 * @returns the number; undefined if the text is not a plain decimal number of at most nine integer digits
 */
export function parseDecimalNumber (text: string): number | undefined {
  const trimmed = text.trim()
  return DECIMAL_NUMBER.test(trimmed) ? Number(trimmed) : undefined
}
