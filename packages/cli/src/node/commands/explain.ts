/** `umberspar explain`: reconstructs one request's history from the log lines of entry processes. */
import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import type { Readable } from 'node:stream'
import type { Argv } from 'yargs'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { Err, Ok } from '@umberspar/base/common/result'
import { ExitCode } from '../../common/exitCode.js'
import { formatExplanation, RequestExplainer } from '../../common/explainRequest.js'
import { parseLogLine } from '../../common/logLines.js'
import { printResult } from '../commandContext.js'
import type { CommandHandler, RegisterCommand } from '../commandContext.js'

async function readLines (input: Readable, explainer: RequestExplainer): Promise<void> {
  for await (const text of createInterface({ input, crlfDelay: Number.POSITIVE_INFINITY })) {
    const line = parseLogLine(text)
    if (line !== undefined) explainer.add(line)
  }
}

function createExplainRun (requestId: string, files: readonly string[]): CommandHandler {
  return async (context) => {
    const explainer = new RequestExplainer(requestId)
    for (const file of files.length === 0 ? ['-'] : files) {
      try {
        await readLines(file === '-' ? process.stdin : createReadStream(file), explainer)
      } catch (thrown) {
        return Err(new StepError({ code: ErrorCode.NotFound, step: 'read-log', peer: file, message: (thrown as Error).message }))
      }
    }
    const explanation = explainer.explain()
    printResult(context, { ...explanation }, () => formatExplanation(explanation))
    return Ok(explanation.steps.length === 0 ? ExitCode.Refused : ExitCode.Ok)
  }
}

/**
 * @param parser the parser to extend
 * @param register records the chosen command
 */
export function addExplainCommand (parser: Argv, register: RegisterCommand): void {
  parser.command(
    'explain <id> [files..]',
    'Show the history of one request from the log lines of entry processes',
    (builder) => builder
      .positional('id', { type: 'string', demandOption: true, describe: 'The request\'s id' })
      .positional('files', { type: 'string', array: true, describe: 'Log files; standard input if none are given, or for -' })
      .example('umberspar explain 9c41d07be2a35f68 entry-*.log', 'Over the logs of all entry VMs')
      .example('cat entry-*.log | umberspar explain 9c41d07be2a35f68 --json', 'The same for scripts'),
    (args) => register(args, createExplainRun(String(args.id), (args.files as string[] | undefined) ?? []), { needsDaemon: false })
  )
}
