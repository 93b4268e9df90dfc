/** The end of a program that has printed its result. */

/**
 * Ends the process once its output is written. Guards against programs that print their result
 * and never end: Node.js waits at its end for each connection that it could not close.
 */
export function endAfterOutput (): void {
  process.stdout.write('', () => { process.exit() })
}
