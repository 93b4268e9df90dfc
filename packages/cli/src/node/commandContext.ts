/** What a running command works with, and how commands are registered. */
import type { Arguments } from 'yargs'
import type { StepError } from '@umberspar/base/common/errors'
import type { Result } from '@umberspar/base/common/result'
import type { ExitCode } from '../common/exitCode.js'
import type { CliIo } from './cliIo.js'
import type { OperatorClient } from './operatorClient.js'

/** A running command's means. */
export interface CommandContext {
  readonly io: CliIo
  readonly isJson: boolean
  readonly client: OperatorClient
}

/** Carries a command out; an error is printed by the caller. */
export type CommandHandler = (context: CommandContext) => Promise<Result<ExitCode, StepError>>

/** How a command is prepared. */
export interface CommandSettings {
  /** False for a command that asks no daemon. */
  readonly needsDaemon?: boolean
  /** Whether it waits for the fleet, and so gets more time by default. */
  readonly isWaiting?: boolean
}

/** Notes which command the arguments chose; it runs after all were parsed. */
export type RegisterCommand = (args: Arguments, run: CommandHandler, settings?: CommandSettings) => void

/**
 * Prints a command's result: as one JSON document with --json, otherwise as text.
 * @param context the running command
 * @param document the JSON document
 * @param formatText makes the text, called only if needed
 */
export function printResult (context: CommandContext, document: object, formatText: () => string): void {
  context.io.terminal.print(context.isJson ? JSON.stringify(document, null, 2) : formatText())
}

/**
 * Prints something on the side for a person; scripts don't get it.
 * @param context the running command
 * @param text one line
 */
export function printNote (context: CommandContext, text: string): void {
  if (!context.isJson) context.io.terminal.printError(text)
}
