/** The part of yargs 18 that the client uses; the package brings no types of its own. */
declare module 'yargs' {
  /** Parsed options and positionals by name. */
  export interface ParsedArguments {
    readonly [name: string]: unknown
  }

  /** How an option or a positional is read and described. */
  export interface OptionSettings {
    readonly type?: 'string' | 'number' | 'boolean'
    readonly array?: boolean
    readonly demandOption?: boolean
    readonly describe: string
    readonly global?: boolean
    readonly default?: unknown
    readonly nargs?: number
    readonly requiresArg?: boolean
    readonly choices?: readonly string[]
    readonly conflicts?: string | readonly string[]
  }

  /** A parser under construction; each call returns the parser. */
  export interface ArgumentParser {
    readonly scriptName: (name: string) => ArgumentParser
    readonly usage: (text: string) => ArgumentParser
    readonly command: (
      name: string,
      description: string,
      build: (parser: ArgumentParser) => ArgumentParser,
      handle?: (args: ParsedArguments) => void
    ) => ArgumentParser
    readonly option: (name: string, settings: OptionSettings) => ArgumentParser
    readonly positional: (name: string, settings: OptionSettings) => ArgumentParser
    readonly example: (command: string, description: string) => ArgumentParser
    readonly demandCommand: (atLeast: number, message: string) => ArgumentParser
    readonly strict: () => ArgumentParser
    readonly help: () => ArgumentParser
    readonly version: (version: string | false) => ArgumentParser
    readonly completion: (command: string, description: string) => ArgumentParser
    readonly exitProcess: (isEnabled: boolean) => ArgumentParser
    readonly fail: (handle: false) => ArgumentParser
    readonly detectLocale: (isEnabled: boolean) => ArgumentParser
    readonly wrap: (columns: number) => ArgumentParser
    readonly recommendCommands: () => ArgumentParser
    readonly parserConfiguration: (settings: Readonly<Record<string, boolean>>) => ArgumentParser
    readonly parse: (
      args: readonly string[],
      context: object,
      handle: (error: Error | null | undefined, args: ParsedArguments, output: string) => void
    ) => unknown
  }

  const createParser: (args: readonly string[]) => ArgumentParser
  export default createParser
}
