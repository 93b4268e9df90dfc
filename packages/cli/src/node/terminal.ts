/** The operator's terminal: the only module of the client that may use the console. */

/** Where a command's output goes. */
export interface ITerminal {
  /** Writes results, with a newline. */
  print(text: string): void
  /** Writes errors, notes and progress, with a newline. */
  printError(text: string): void
}

/** Standard output and standard error. */
export const PROCESS_TERMINAL: ITerminal = {
  print: (text) => console.log(text),
  printError: (text) => console.error(text)
}
