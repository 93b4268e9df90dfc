/** `umberspar config validate` and `umberspar config patch`. */
import type { Argv, Arguments } from 'yargs'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { Err, Ok } from '@umberspar/base/common/result'
import type { Result } from '@umberspar/base/common/result'
import { ExitCode } from '../../common/exitCode.js'
import { formatProblems } from '../../common/errorFormat.js'
import { isJsonObject } from '../../common/jsonValue.js'
import type { JsonObject } from '../../common/jsonValue.js'
import { checkWholeConfiguration } from '../../common/localValidation.js'
import type { ValidationResult } from '../../common/operatorMessages.js'
import { UsageError } from '../../common/operatorError.js'
import { parseSetOptions } from '../../common/setOption.js'
import { getOptionalText, getOptionalVersion, getText, isSet, listTexts } from '../commandArguments.js'
import { printResult } from '../commandContext.js'
import type { CommandContext, CommandHandler, RegisterCommand } from '../commandContext.js'
import { readJsonFile } from '../jsonFile.js'
import { PatchSubmitter } from '../patchSubmitter.js'
import type { AppliedPatch } from '../patchSubmitter.js'

/** Reads the patch when the command runs, not when its arguments are parsed. */
type ReadPatch = () => Promise<Result<JsonObject, StepError>>

async function readPatchFile (path: string): Promise<Result<JsonObject, StepError>> {
  const value = await readJsonFile(path)
  if (!value.ok) return value
  if (isJsonObject(value.val)) return Ok(value.val)
  return Err(new StepError({ code: ErrorCode.Invalid, step: 'read-file', peer: path, message: 'a configuration patch must be a JSON object' }))
}

async function readBaseVersion (context: CommandContext, given: number | undefined): Promise<Result<number, StepError>> {
  if (given !== undefined) return Ok(given)
  const current = await context.client.readConfiguration()
  return current.ok ? Ok(current.val.head.version) : current
}

function printValidation (context: CommandContext, answer: ValidationResult): Result<ExitCode, StepError> {
  printResult(context, answer, () => answer.valid ? 'valid' : ['not valid:', ...formatProblems(answer.problems)].join('\n'))
  return Ok(answer.valid ? ExitCode.Ok : ExitCode.Refused)
}

function buildValidate (args: Arguments): CommandHandler {
  const file = getText(args, 'file')
  const baseVersion = getOptionalVersion(args, 'base')
  const isPatch = isSet(args, 'patch')
  if (baseVersion !== undefined && !isPatch) throw new UsageError('--base can only be used with --patch')
  return async (context) => {
    if (!isPatch) {
      const configuration = await readJsonFile(file)
      return configuration.ok ? printValidation(context, checkWholeConfiguration(configuration.val)) : configuration
    }
    const patch = await readPatchFile(file)
    if (!patch.ok) return patch
    const base = await readBaseVersion(context, baseVersion)
    if (!base.ok) return base
    const answer = await context.client.validatePatch({ baseVersion: base.val, patch: patch.val })
    return answer.ok ? printValidation(context, answer.val) : answer
  }
}

function createReadPatch (args: Arguments): ReadPatch {
  const file = getOptionalText(args, 'file')
  const settings = listTexts(args, 'set')
  if ((file === undefined) === (settings.length === 0)) throw new UsageError('expected either --file or --set')
  if (file !== undefined) return async () => await readPatchFile(file)
  const patch = parseSetOptions(settings)
  return async () => Ok(patch)
}

function formatApplied (applied: AppliedPatch): string {
  const note = applied.isSettledLater ? ' (the answer was lost, but the change took effect)' : ''
  return `accepted as version ${applied.version}, change ${applied.changeId}${note}`
}

function buildPatch (args: Arguments): CommandHandler {
  const baseVersion = getOptionalVersion(args, 'base')
  if (baseVersion === undefined) throw new UsageError('--base: expected the version that the patch is made against')
  const note = getOptionalText(args, 'note') ?? ''
  const readPatch = createReadPatch(args)
  return async (context) => {
    const patch = await readPatch()
    if (!patch.ok) return patch
    const applied = await new PatchSubmitter(context.client, context.io).send({ baseVersion, patch: patch.val, note })
    if (!applied.ok) return applied
    printResult(context, applied.val, () => formatApplied(applied.val))
    return Ok(ExitCode.Ok)
  }
}

/**
 * @param parser the parser of `config`
 * @param register notes the chosen command
 */
export function addValidateCommand (parser: Argv, register: RegisterCommand): void {
  parser.command('validate', 'Validate a complete configuration locally, or a patch at a daemon', (builder) => builder
    .option('file', { type: 'string', demandOption: true, nargs: 1, describe: 'The JSON file' })
    .option('patch', { type: 'boolean', describe: 'The file is a JSON Merge Patch, to be validated by a daemon' })
    .option('base', { type: 'number', nargs: 1, describe: 'With --patch: the version that the patch is made against; the current one by default' })
    .example('umberspar config validate --file configuration.json', 'Validate a complete configuration without a daemon')
    .example('umberspar config validate --file change.json --patch', 'Validate a patch at a daemon'),
  (args) => register(args, buildValidate(args), { needsDaemon: isSet(args, 'patch') }))
}

/**
 * @param parser the parser of `config`
 * @param register notes the chosen command
 */
export function addPatchCommand (parser: Argv, register: RegisterCommand): void {
  parser.command('patch', 'Change the configuration, based on a given version', (builder) => builder
    .option('base', { type: 'number', demandOption: true, nargs: 1, describe: 'The version that the patch is made against; refused if it is not the current one' })
    .option('file', { type: 'string', nargs: 1, conflicts: 'set', describe: 'A JSON Merge Patch (RFC 7396)' })
    .option('set', { type: 'string', array: true, nargs: 1, describe: 'path=json; may be repeated; null removes the field' })
    .option('note', { type: 'string', nargs: 1, describe: 'A note to keep in the history' })
    .example('umberspar config patch --base 41 --file change.json --note "new workers"', 'Apply a file')
    .example('umberspar config patch --base 41 --set shiftCaps.planned=0.1 --set lookupCacheMs=3000', 'Set two fields'),
  (args) => register(args, buildPatch(args)))
}
