/** `umberspar report`: prints reports on the whole fleet. */
import type { Argv, Arguments } from 'yargs'
import { createDeadline } from '@umberspar/base/common/deadline'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { Err, Ok } from '@umberspar/base/common/result'
import { buildBurnDocument, decodeNodeBurn, formatBurn } from '../../common/burnFormat.js'
import { ExitCode } from '../../common/exitCode.js'
import { getOptionalText } from '../commandArguments.js'
import { printResult } from '../commandContext.js'
import type { CommandHandler, RegisterCommand } from '../commandContext.js'
import { askEachNode } from '../fleetQuery.js'

/** How long one node may take to answer. */
const NODE_TIMEOUT_MS = 3000
const STEP = 'report-burn'

function buildBurnRun (args: Arguments): CommandHandler {
  const service = getOptionalText(args, 'service')
  return async (context) => {
    const { client } = context
    const fleet = await client.listFleet()
    if (!fleet.ok) return fleet
    const answers = await askEachNode(fleet.val, async (node) => {
      const deadline = createDeadline(client.getNow(), NODE_TIMEOUT_MS)
      const burn = await client.readBurn(node.operatorAddress, deadline, decodeNodeBurn)
      return burn.ok ? burn.val : undefined
    })
    const document = buildBurnDocument(answers.map(({ node, answer }) => ({ nodeId: node.nodeId, burn: answer })), service)
    if (document.nodesAnswered === 0) {
      const message = `none of the ${document.nodesAsked} nodes of the fleet answered`
      return Err(new StepError({ code: ErrorCode.Unavailable, step: STEP, peer: 'fleet', message }))
    }
    if (service !== undefined && document.services[service] === undefined) {
      const message = `no node that answered knows a service '${service}'`
      return Err(new StepError({ code: ErrorCode.NotFound, step: STEP, peer: 'fleet', message }))
    }
    printResult(context, document, () => formatBurn(document))
    return Ok(ExitCode.Ok)
  }
}

/**
 * @param parser the parser to extend
 * @param register records the chosen command
 */
export function addReportCommands (parser: Argv, register: RegisterCommand): void {
  parser.command('report', 'Print reports on the whole fleet', (builder) => builder
    .command('burn', 'Show error rates, burn rates and the remaining error budget of each service', (burnBuilder) => burnBuilder
      .option('service', { type: 'string', nargs: 1, describe: 'Only this service' })
      .example('umberspar report burn', 'All services')
      .example('umberspar report burn --service billing-svc --json', 'One service, for scripts'),
    (args) => register(args, buildBurnRun(args)))
    .demandCommand(1, 'expected burn')
    .example('umberspar report burn', 'All services'))
}
