/** `umberspar config`: reads and changes the steering configuration. */
import type { Argv, Arguments } from 'yargs'
import { createDeadline } from '@umberspar/base/common/deadline'
import { Ok } from '@umberspar/base/common/result'
import { buildConfigurationStatus, formatConfigurationStatus, formatHistory } from '../../common/configFormat.js'
import { ExitCode } from '../../common/exitCode.js'
import { getOptionalVersion } from '../commandArguments.js'
import { printNote, printResult } from '../commandContext.js'
import type { CommandHandler, RegisterCommand } from '../commandContext.js'
import { askEachNode } from '../fleetQuery.js'
import { addPatchCommand, addValidateCommand } from './configChange.js'
import { addRollbackCommand } from './configRollback.js'

/** How long one node may take to answer. */
const NODE_TIMEOUT_MS = 3000

function buildGet (args: Arguments): CommandHandler {
  const version = getOptionalVersion(args, 'version')
  return async (context) => {
    const answer = version === undefined
      ? await context.client.readConfiguration()
      : await context.client.readConfigurationVersion(version)
    if (!answer.ok) return answer
    const { head, body } = answer.val
    printNote(context, `version ${head.version}, change ${head.changeId}, digest ${head.digest}`)
    printResult(context, { head, body }, () => JSON.stringify(body, null, 2))
    return Ok(ExitCode.Ok)
  }
}

const runHistory: CommandHandler = async (context) => {
  const history = await context.client.listHistory()
  if (!history.ok) return history
  const entries = history.val.toSorted((left, right) => right.version - left.version)
  printResult(context, { entries }, () => formatHistory(entries))
  return Ok(ExitCode.Ok)
}

const runStatus: CommandHandler = async (context) => {
  const { client } = context
  const fleet = await client.listFleet()
  if (!fleet.ok) return fleet
  const deadline = createDeadline(client.getNow(), NODE_TIMEOUT_MS)
  const answers = await askEachNode(fleet.val, async (node) => {
    const version = await client.readVersionInForce(node.operatorAddress, deadline)
    return version.ok ? version.val : undefined
  })
  const status = buildConfigurationStatus(answers.map(({ node, answer }) => ({ node, version: answer })))
  printResult(context, status, () => formatConfigurationStatus(status))
  return Ok(ExitCode.Ok)
}

/**
 * @param parser the parser to extend
 * @param register records the chosen command
 */
export function addConfigCommands (parser: Argv, register: RegisterCommand): void {
  parser.command('config', 'Read and change the steering configuration', (builder) => {
    builder
      .command('get', 'Print the configuration in force, or an earlier one', (getBuilder) => getBuilder
        // Here --version is an option of this command, so yargs must not print the client's version.
        .version(false)
        .option('version', { type: 'number', nargs: 1, describe: 'An earlier version that the history still contains' })
        .example('umberspar config get > configuration.json', 'Save the configuration in force')
        .example('umberspar config get --version 41', 'Print version 41'), (args) => register(args, buildGet(args)))
      .command('history', 'List accepted changes, newest first', (historyBuilder) => historyBuilder
        .example('umberspar config history --json', 'For scripts'), (args) => register(args, runHistory))
      .command('status', 'Show the version in force at every node', (statusBuilder) => statusBuilder
        .example('umberspar config status', 'Ask every node of the fleet'), (args) => register(args, runStatus))
    addValidateCommand(builder, register)
    addPatchCommand(builder, register)
    addRollbackCommand(builder, register)
    return builder
      .demandCommand(1, 'expected get, validate, patch, rollback, history or status')
      .example('umberspar config get', 'Print the configuration in force')
      .example('umberspar config patch --base 41 --set lookupCacheMs=3000', 'Change one field')
  })
}
