/** The context of a running command, and the types for registering commands. */
import type { Arguments } from 'yargs'
import type { StepError } from '@umberspar/base/common/errors'
import type { Result } from '@umberspar/base/common/result'
import type { ExitCode } from '../common/exitCode.js'
import type { CliIo } from './cliIo.js'
import type { OperatorClient } from './operatorClient.js'

/** What a running command can use. */
export interface CommandContext {
  readonly io: CliIo
  readonly isJson: boolean
  readonly client: OperatorClient
}

/** Runs a command. The caller prints the error, if any. */
export type CommandHandler = (context: CommandContext) => Promise<Result<ExitCode, StepError>>

/** How to prepare for running a command. */
export interface CommandSettings {
  /** False for a command that sends nothing to a daemon; true by default. */
  readonly needsDaemon?: boolean
  /** Whether the command waits for the fleet, and therefore has a longer default time limit. */
  readonly isWaiting?: boolean
}

/** Records the command that the arguments chose; it runs after parsing is complete. */
export type RegisterCommand = (args: Arguments, run: CommandHandler, settings?: CommandSettings) => void

/**
 * Prints a command's result: as one JSON document with --json, otherwise as text.
 * @param context the context of the running command
 * @param document the JSON document
 * @param formatText formats the text; not called with --json
 */
export function printResult (context: CommandContext, document: object, formatText: () => string): void {
  context.io.terminal.print(context.isJson ? JSON.stringify(document, null, 2) : formatText())
}

/**
 * Prints additional information to standard error; omitted with --json.
 * @param context the context of the running command
 * @param text one line
 */
export function printNote (context: CommandContext, text: string): void {
  if (!context.isJson) context.io.terminal.printError(text)
}
