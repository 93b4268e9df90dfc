/** `umberspar status`: shows the fleet as one daemon sees it. */
import type { Argv } from 'yargs'
import { Ok } from '@umberspar/base/common/result'
import { ExitCode } from '../../common/exitCode.js'
import { formatFleet } from '../../common/fleetFormat.js'
import { printResult } from '../commandContext.js'
import type { CommandHandler, RegisterCommand } from '../commandContext.js'

const runStatus: CommandHandler = async (context) => {
  const fleet = await context.client.listFleet()
  if (!fleet.ok) return fleet
  printResult(context, { nodes: fleet.val }, () => formatFleet(fleet.val))
  return Ok(ExitCode.Ok)
}

/**
 * @param parser the parser to extend
 * @param register records the chosen command
 */
export function addStatusCommand (parser: Argv, register: RegisterCommand): void {
  parser.command(
    'status',
    'Show the entry VMs of the fleet',
    (builder) => builder
      .example('umberspar status --daemon 10.0.0.1:9100', 'Ask one daemon')
      .example('umberspar status --json', 'The same for scripts'),
    (args) => register(args, runStatus)
  )
}
