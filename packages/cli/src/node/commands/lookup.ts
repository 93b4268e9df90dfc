/** `umberspar lookup`: shows the answer to a caller's look-up. */
import type { Argv, Arguments } from 'yargs'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { Err, Ok } from '@umberspar/base/common/result'
import type { Result } from '@umberspar/base/common/result'
import { ExitCode } from '../../common/exitCode.js'
import { formatLookup } from '../../common/fleetFormat.js'
import { getOptionalIpAddress, getOptionalText, getText, parseAddress } from '../commandArguments.js'
import { printResult } from '../commandContext.js'
import type { CommandContext, CommandHandler, RegisterCommand } from '../commandContext.js'

const LIVE_STATE = 'live'

async function findCallersAddress (context: CommandContext): Promise<Result<string, StepError>> {
  const fleet = await context.client.listFleet()
  if (!fleet.ok) return fleet
  const candidates = fleet.val.filter((node) => node.callersAddress !== '')
  const chosen = candidates.find((node) => node.state === LIVE_STATE) ?? candidates[0]
  if (chosen !== undefined) return Ok(chosen.callersAddress)
  const message = 'no node of the fleet has a callers\' listener; use --address'
  return Err(new StepError({ code: ErrorCode.Unavailable, step: 'choose-entry', peer: 'local', message }))
}

function buildLookup (args: Arguments): CommandHandler {
  const service = getText(args, 'service')
  const given = getOptionalText(args, 'address')
  const address = given === undefined ? undefined : parseAddress(given)
  const clientAddress = getOptionalIpAddress(args, 'client-address')
  return async (context) => {
    const peer: Result<string, StepError> = address === undefined ? await findCallersAddress(context) : Ok(address)
    if (!peer.ok) return peer
    const answer = await context.client.lookUp(peer.val, service, clientAddress)
    if (!answer.ok) return answer
    printResult(context, answer.val, () => formatLookup(answer.val))
    return Ok(ExitCode.Ok)
  }
}

/**
 * @param parser the parser to extend
 * @param register records the chosen command
 */
export function addLookupCommand (parser: Argv, register: RegisterCommand): void {
  parser.command(
    'lookup',
    'Show which entry VMs a caller of a service is told to use',
    (builder) => builder
      .option('service', { type: 'string', demandOption: true, nargs: 1, describe: 'The service' })
      .option('address', { type: 'string', nargs: 1, describe: 'host:port of a callers\' listener; by default one of the fleet' })
      .option('client-address', { type: 'string', nargs: 1, describe: 'Look up on behalf of this IP address; ignored unless the daemon trusts this machine as a forwarder' })
      .example('umberspar lookup --service billing-svc', 'Ask an entry VM of the fleet')
      .example('umberspar lookup --service billing-svc --address 10.0.0.1:8080 --client-address 198.51.100.7', 'Ask one entry VM for one client'),
    (args) => register(args, buildLookup(args), { needsDaemon: getOptionalText(args, 'address') === undefined })
  )
}
