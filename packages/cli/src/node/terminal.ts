/** The operator's terminal. No other module of the client uses the console. */

/** Where a command's output goes. */
export interface ITerminal {
  /** Writes a result, followed by a newline. */
  print(text: string): void
  /** Writes an error, a note or progress, followed by a newline. */
  printError(text: string): void
}

/** Writes to standard output and standard error. */
export const PROCESS_TERMINAL: ITerminal = {
  print: (text) => console.log(text),
  printError: (text) => console.error(text)
}
