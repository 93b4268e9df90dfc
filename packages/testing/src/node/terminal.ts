/** The only module of the test tools that writes to the terminal. */

/**
 * Writes one line for programs to standard output.
 * @param text the line without its newline
 */
export function writeLine (text: string): void {
  console.log(text)
}

/**
 * Prints one line for people to standard error, so that standard output stays parseable.
 * @param text the line without its newline
 */
export function printLine (text: string): void {
  console.error(text)
}
