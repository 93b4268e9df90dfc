/** `umberspar drain` and `umberspar undrain`: change the configuration's `drains`. */
import type { Argv, Arguments } from 'yargs'
import type { StepError } from '@umberspar/base/common/errors'
import { Ok } from '@umberspar/base/common/result'
import type { Result } from '@umberspar/base/common/result'
import { ExitCode } from '../../common/exitCode.js'
import { DrainDirection, DrainKind, getTargetName } from '../../common/drainTarget.js'
import type { DrainTarget } from '../../common/drainTarget.js'
import type { DrainProgress, DrainWaitOptions } from '../../common/drainProgress.js'
import { type DrainPrediction, formatPrediction } from '../../common/drainPrediction.js'
import { formatProblems } from '../../common/errorFormat.js'
import type { FieldProblem } from '../../common/operatorMessages.js'
import { getOptionalText, getText, isSet } from '../commandArguments.js'
import { printNote, printResult } from '../commandContext.js'
import type { CommandContext, CommandHandler, RegisterCommand } from '../commandContext.js'
import { checkDrain, applyDrain } from '../drainSubmitter.js'
import type { DrainRequest, DrainResult } from '../drainSubmitter.js'
import { DrainWatcher } from '../drainWatcher.js'

/** The JSON document of `drain` and `undrain`. */
interface DrainDocument {
  readonly direction: DrainDirection
  readonly kind: DrainKind
  readonly target: string
  /** The version that contains the drain, or no longer contains it. */
  readonly version: number
  /** False if the target was already drained or undrained as wanted. */
  readonly isChanged: boolean
  readonly changeId?: string
  /** Whether the answer was lost, and the effect was determined by later reads. */
  readonly isSettledLater?: boolean
  /** Only with --wait. */
  readonly progress?: DrainProgress
}

/** The JSON document of `drain --dry-run`. */
interface DryRunDocument {
  readonly isDryRun: true
  readonly baseVersion: number
  readonly isChanged: boolean
  readonly patch?: object
  readonly isValid: boolean
  readonly problems: readonly FieldProblem[]
  readonly prediction?: DrainPrediction
}

const DONE_TEXT: Readonly<Record<DrainDirection, string>> = {
  [DrainDirection.Drain]: 'no traffic is planned or in flight there: it is safe to stop the machines',
  [DrainDirection.Undrain]: 'every node has removed the drain; traffic returns in limited steps'
}

const BUILD_TARGET: Readonly<Record<DrainKind, (args: Arguments) => DrainTarget>> = {
  [DrainKind.FailureDomain]: (args) => ({ kind: DrainKind.FailureDomain, name: getText(args, 'name') }),
  [DrainKind.Region]: (args) => ({ kind: DrainKind.Region, name: getText(args, 'name') }),
  [DrainKind.Place]: (args) => ({ kind: DrainKind.Place, service: getText(args, 'service'), failureDomain: getText(args, 'failure-domain') })
}

function formatDrain (document: DrainDocument): string {
  const subject = `${document.direction} ${document.kind} ${document.target}`
  if (!document.isChanged) return `${subject}: already in effect in version ${document.version}, nothing changed`
  const note = document.isSettledLater === true ? ' (the answer was lost, but the change took effect)' : ''
  return `${subject}: accepted as version ${document.version}${note}`
}

function formatDryRun (document: DryRunDocument): string {
  if (!document.isChanged) return `already in effect in version ${document.baseVersion}, nothing would change`
  const summary = document.isValid ? 'the daemon would accept it' : 'the daemon would refuse it:'
  const patch = JSON.stringify(document.patch)
  const prediction = document.prediction === undefined ? [] : [formatPrediction(document.prediction)]
  return [`patch against version ${document.baseVersion}: ${patch}`, summary, ...formatProblems(document.problems), ...prediction].join('\n')
}

async function runDryRun (context: CommandContext, drainRequest: DrainRequest): Promise<Result<ExitCode, StepError>> {
  const check = await checkDrain(context.client, drainRequest)
  if (!check.ok) return check
  const document: DryRunDocument = { isDryRun: true, ...check.val }
  printResult(context, document, () => formatDryRun(document))
  return Ok(document.isValid ? ExitCode.Ok : ExitCode.Refused)
}

function buildDocument (drainRequest: DrainRequest, result: DrainResult): DrainDocument {
  const { direction, target } = drainRequest
  return { direction, kind: target.kind, target: getTargetName(target), ...result }
}

async function runWait (context: CommandContext, options: DrainWaitOptions, document: DrainDocument): Promise<Result<ExitCode, StepError>> {
  printNote(context, formatDrain(document))
  const watcher = new DrainWatcher(context.client, context.io, (line) => printNote(context, line))
  const progress = await watcher.waitUntilDone(options)
  if (!progress.ok) return progress
  const fullDocument = { ...document, progress: progress.val }
  printResult(context, fullDocument, () => `${document.kind} ${document.target}: ${DONE_TEXT[options.direction]}`)
  return Ok(ExitCode.Ok)
}

function buildRun (direction: DrainDirection, kind: DrainKind, args: Arguments): CommandHandler {
  const target = BUILD_TARGET[kind](args)
  const note = getOptionalText(args, 'note') ?? `${direction} ${kind} ${getTargetName(target)}`
  const drainRequest: DrainRequest = { target, direction, note }
  const isDryRun = isSet(args, 'dry-run')
  const isWaiting = isSet(args, 'wait')
  const isUnreachableAllowed = isSet(args, 'allow-unreachable')
  return async (context) => {
    if (isDryRun) return await runDryRun(context, drainRequest)
    const result = await applyDrain(context.client, context.io, drainRequest)
    if (!result.ok) return result
    const document = buildDocument(drainRequest, result.val)
    if (isWaiting) return await runWait(context, { target, direction, isUnreachableAllowed }, document)
    printResult(context, document, () => formatDrain(document))
    return Ok(ExitCode.Ok)
  }
}

function addTargetCommands (parser: Argv, direction: DrainDirection, register: RegisterCommand): Argv {
  const handle = (kind: DrainKind) => (args: Arguments): void => {
    register(args, buildRun(direction, kind, args), { isWaiting: isSet(args, 'wait') })
  }
  const commandLine = `umberspar ${direction}`
  return parser
    .option('wait', { type: 'boolean', describe: 'Show progress and wait until every node has completed the change' })
    .option('allow-unreachable', { type: 'boolean', describe: 'With --wait: do not wait for nodes that do not answer; use it only if they are known to be stopped' })
    .option('dry-run', { type: 'boolean', conflicts: 'wait', describe: 'Validate the change at a daemon without changing anything' })
    .option('note', { type: 'string', nargs: 1, describe: 'A note to keep in the history' })
    .command('failure-domain <name>', `${direction} a failure domain`, (builder) => builder
      .positional('name', { type: 'string', describe: 'The failure domain' })
      .example(`${commandLine} failure-domain klang-a --wait`, 'Wait until it is done'), handle(DrainKind.FailureDomain))
    .command('region <name>', `${direction} a region`, (builder) => builder
      .positional('name', { type: 'string', describe: 'The region' })
      .example(`${commandLine} region klang --dry-run`, 'Validate without changing anything'), handle(DrainKind.Region))
    .command('place <service> <failure-domain>', `${direction} one service in one failure domain`, (builder) => builder
      .positional('service', { type: 'string', describe: 'The service' })
      .positional('failure-domain', { type: 'string', describe: 'The failure domain' })
      .example(`${commandLine} place billing-svc klang-a`, 'Only this service in this failure domain'), handle(DrainKind.Place))
    .demandCommand(1, 'expected failure-domain, region or place')
    .example(`${commandLine} failure-domain klang-a --wait`, 'Wait until it is done')
    .example(`${commandLine} place billing-svc klang-a --json`, 'For scripts')
}

/**
 * @param parser the parser to extend
 * @param register records the chosen command
 */
export function addDrainCommands (parser: Argv, register: RegisterCommand): void {
  parser.command('drain', 'Move traffic away from a failure domain, a region, or one service in a failure domain', (builder) => addTargetCommands(builder, DrainDirection.Drain, register))
  parser.command('undrain', 'Let traffic return to a drained target', (builder) => addTargetCommands(builder, DrainDirection.Undrain, register))
}
