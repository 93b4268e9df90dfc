/** Parses and runs one command line. */
import createParser from 'yargs'
import type { Argv, Arguments } from 'yargs'
import { createDeadline } from '@umberspar/base/common/deadline'
import { StepError, toStepError } from '@umberspar/base/common/errors'
import { ExitCode, getExitCode } from '../common/exitCode.js'
import { buildErrorDocument, formatError, USAGE_CODE } from '../common/errorFormat.js'
import { UsageError } from '../common/operatorError.js'
import { addConfigCommands } from './commands/config.js'
import { addDrainCommands } from './commands/drain.js'
import { addExplainCommand } from './commands/explain.js'
import { addLookupCommand } from './commands/lookup.js'
import { addReportCommands } from './commands/report.js'
import { addStatusCommand } from './commands/status.js'
import { addGlobalOptions, DAEMONS_VARIABLE, readGlobalOptions } from './commandArguments.js'
import type { GlobalOptions } from './commandArguments.js'
import type { CliIo } from './cliIo.js'
import { loadClientTls } from './clientTls.js'
import type { CommandHandler, CommandSettings, RegisterCommand } from './commandContext.js'
import { OperatorClient } from './operatorClient.js'

/** The version that `--version` prints. */
const CLIENT_VERSION = '0.1.0'
const HELP_WIDTH_COLUMNS = 100
const DEFAULT_TIMEOUT_SECONDS = 10
const DEFAULT_WAIT_TIMEOUT_SECONDS = 600
const MS_PER_SECOND = 1000

/** The command that the arguments select. */
interface ChosenCommand {
  readonly run: CommandHandler
  readonly settings: CommandSettings
  readonly options: GlobalOptions
}

/** The result of parsing: a command, or text to print (help, version, completion script). */
interface ParsedCommandLine {
  readonly chosen: ChosenCommand | undefined
  readonly output: string
}

function buildParser (argv: readonly string[], register: RegisterCommand): Argv {
  const parser = addGlobalOptions(createParser(argv))
    .scriptName('umberspar')
    .usage('umberspar COMMAND\n\nOperates a fleet of umberspard daemons.')
    // Option names contain hyphens and JSON paths contain dots; yargs must not rewrite or split them.
    .parserConfiguration({ 'camel-case-expansion': false, 'dot-notation': false, 'parse-positional-numbers': false })
    .detectLocale(false)
    .wrap(HELP_WIDTH_COLUMNS)
    .exitProcess(false)
    .fail(false)
    .strict()
    .help()
    .version(CLIENT_VERSION)
    .demandCommand(1, 'expected a command')
    .completion('completion', 'Print a completion script for the shell')
    .example('umberspar status --daemon 10.0.0.1:9100', 'Show the fleet')
    .example('umberspar completion >> ~/.bashrc', 'Complete commands with the Tab key')
  addConfigCommands(parser, register)
  addDrainCommands(parser, register)
  addStatusCommand(parser, register)
  addLookupCommand(parser, register)
  addReportCommands(parser, register)
  addExplainCommand(parser, register)
  return parser
}

async function parseCommandLine (argv: readonly string[], io: CliIo): Promise<ParsedCommandLine> {
  let chosen: ChosenCommand | undefined
  let output = ''
  const register: RegisterCommand = (args: Arguments, run, settings = {}) => {
    chosen = { run, settings, options: readGlobalOptions(args, io.environment) }
  }
  let failure: Error | null = null
  // For completions, yargs calls back once for each level of commands; the last call has the text.
  await buildParser(argv, register).parse(argv, {}, (error, _args, text) => {
    failure = error ?? null
    output = text
  })
  if (failure !== null) throw failure
  return { chosen, output }
}

function computeTimeoutSeconds (chosen: ChosenCommand): number {
  const defaultSeconds = chosen.settings.isWaiting === true ? DEFAULT_WAIT_TIMEOUT_SECONDS : DEFAULT_TIMEOUT_SECONDS
  return chosen.options.timeoutSeconds ?? defaultSeconds
}

function printFailure (io: CliIo, isJson: boolean, error: StepError): ExitCode {
  const exitCode = getExitCode(error.code)
  io.terminal.printError(isJson ? JSON.stringify({ error: buildErrorDocument(error, exitCode) }, null, 2) : formatError(error))
  return exitCode
}

function printUsageError (io: CliIo, isJson: boolean, message: string): ExitCode {
  const error = { code: USAGE_CODE, exitCode: ExitCode.Usage, step: 'parse-arguments', peer: 'local', message }
  const text = `umberspar: ${message} (step ${error.step}, peer ${error.peer})\nSee: umberspar --help`
  io.terminal.printError(isJson ? JSON.stringify({ error }, null, 2) : text)
  return ExitCode.Usage
}

async function runCommand (chosen: ChosenCommand, io: CliIo): Promise<ExitCode> {
  const { daemons, isJson } = chosen.options
  if (daemons.length === 0 && chosen.settings.needsDaemon !== false) {
    return printUsageError(io, isJson, `no daemon given: use --daemon host:port or set ${DAEMONS_VARIABLE}`)
  }
  const tls = await loadClientTls(chosen.options.tls, io.clock)
  if (!tls.ok) return printFailure(io, isJson, tls.val)
  const deadline = createDeadline(io.clock.now(), computeTimeoutSeconds(chosen) * MS_PER_SECOND)
  const client = new OperatorClient(daemons, io.clock, deadline, tls.val)
  try {
    const result = await chosen.run({ io, isJson, client })
    return result.ok ? result.val : printFailure(io, isJson, result.val)
  } catch (thrown) {
    if (thrown instanceof UsageError) return printUsageError(io, isJson, thrown.message)
    return printFailure(io, isJson, toStepError(thrown, 'run-command', 'local'))
  } finally {
    await client.close()
  }
}

/**
 * Runs one command line in this process.
 * @param argv the arguments after the program's name
 * @param io the environment of the run
 * @returns the exit code for the process
 */
export async function runCli (argv: readonly string[], io: CliIo): Promise<ExitCode> {
  let parsed: ParsedCommandLine
  try {
    parsed = await parseCommandLine(argv, io)
  } catch (thrown) {
    return printUsageError(io, argv.includes('--json'), thrown instanceof Error ? thrown.message : String(thrown))
  }
  if (parsed.chosen !== undefined) return await runCommand(parsed.chosen, io)
  if (parsed.output !== '') io.terminal.print(parsed.output)
  return ExitCode.Ok
}
