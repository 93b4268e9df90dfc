/** `umberspar config rollback`: restores an earlier configuration as a new version. */
import type { Argv, Arguments } from 'yargs'
import { Ok } from '@umberspar/base/common/result'
import { computeRollbackPatch } from '@umberspar/steering/common/configuration/rollbackPatch'
import { ExitCode } from '../../common/exitCode.js'
import type { JsonObject } from '../../common/jsonValue.js'
import { UsageError } from '../../common/operatorError.js'
import { getOptionalText, getOptionalVersion, isSet } from '../commandArguments.js'
import { printResult } from '../commandContext.js'
import type { CommandHandler, RegisterCommand } from '../commandContext.js'
import { PatchSubmitter } from '../patchSubmitter.js'

function buildRollback (args: Arguments): CommandHandler {
  const target = getOptionalVersion(args, 'to')
  if (target === undefined) throw new UsageError('--to: expected the version to restore')
  const note = getOptionalText(args, 'note') ?? `rollback to version ${target}`
  const isDryRun = isSet(args, 'dry-run')
  return async (context) => {
    const current = await context.client.readConfiguration()
    if (!current.ok) return current
    const earlier = await context.client.readConfigurationVersion(target)
    if (!earlier.ok) return earlier
    const baseVersion = current.val.head.version
    const patch = computeRollbackPatch(current.val.body, earlier.val.body) as JsonObject
    if (isDryRun || Object.keys(patch).length === 0) {
      const title = Object.keys(patch).length === 0 ? `version ${baseVersion} is identical to version ${target}` : `patch against version ${baseVersion}:`
      printResult(context, { baseVersion, target, patch }, () => `${title}\n${JSON.stringify(patch, null, 2)}`)
      return Ok(ExitCode.Ok)
    }
    // The patch names the version that it was computed against. If another change is
    // accepted first, the patch is refused as stale and can't silently undo that change.
    const applied = await new PatchSubmitter(context.client, context.io).send({ baseVersion, patch, note })
    if (!applied.ok) return applied
    printResult(context, { ...applied.val, target }, () => `version ${target} was restored as version ${applied.val.version}, change ${applied.val.changeId}`)
    return Ok(ExitCode.Ok)
  }
}

/**
 * @param parser the parser of `config`
 * @param register records the chosen command
 */
export function addRollbackCommand (parser: Argv, register: RegisterCommand): void {
  parser.command('rollback', 'Restore an earlier version as a new one', (builder) => builder
    .option('to', { type: 'number', demandOption: true, nargs: 1, describe: 'The version to restore; the history must still contain it' })
    .option('dry-run', { type: 'boolean', describe: 'Print the patch without changing anything' })
    .option('note', { type: 'string', nargs: 1, describe: 'A note to keep in the history' })
    .example('umberspar config rollback --to 39 --dry-run', 'See what would change')
    .example('umberspar config rollback --to 39', 'Restore version 39 under a new version number'),
  (args) => register(args, buildRollback(args)))
}
