/** Changes `drains` against the present version, again if another change came first. */
import { hasPassed } from '@umberspar/base/common/deadline'
import { ErrorCode } from '@umberspar/base/common/errors'
import { Ok } from '@umberspar/base/common/result'
import type { Result } from '@umberspar/base/common/result'
import { buildDrainPatch } from '../common/drainTarget.js'
import type { DrainPrediction } from '../common/drainPrediction.js'
import type { DrainDirection, DrainTarget } from '../common/drainTarget.js'
import type { JsonObject } from '../common/jsonValue.js'
import type { OperatorError } from '../common/operatorError.js'
import type { ConfigurationResponse, ValidationResult } from '../common/operatorMessages.js'
import type { CliIo } from './cliIo.js'
import type { OperatorClient } from './operatorClient.js'
import { PatchSubmitter, waitFor } from './patchSubmitter.js'

/** What to drain or undrain. */
export interface DrainRequest {
  readonly target: DrainTarget
  readonly direction: DrainDirection
  readonly note: string
}

/** What became of it. */
export interface DrainResult {
  readonly version: number
  /** False: the configuration already said so. */
  readonly isChanged: boolean
  readonly changeId?: string
  readonly isSettledLater?: boolean
}

/** What a daemon says beforehand. */
export interface CheckedDrain {
  readonly baseVersion: number
  readonly isChanged: boolean
  readonly patch?: JsonObject
  readonly isValid: boolean
  readonly problems: ValidationResult['problems']
  /** Steps, headroom and time; undefined if the patch is not valid by itself or the daemon can't tell. */
  readonly prediction?: DrainPrediction
}

/** Attempts against fresh versions before the conflict is reported. */
const MAX_ATTEMPTS = 5

/**
 * Reads until the daemon shows a version; after a conflict the daemon that
 * answers may not have adopted the winner's version yet, and a patch against
 * its old one would only be refused again.
 */
async function readConfigurationAtLeast (client: OperatorClient, io: CliIo, minVersion: number): Promise<Result<ConfigurationResponse, OperatorError>> {
  let answer = await client.readConfiguration()
  while (answer.ok && answer.val.head.version < minVersion && !hasPassed(client.deadline, io.clock.now())) {
    await waitFor(io.clock, io.pollSpanMs)
    answer = await client.readConfiguration()
  }
  return answer
}

/**
 * Adds or removes one element. The attempt is repeated after a conflict, since
 * adding an element commutes with every other change; each attempt is a new
 * change only after the one before was certainly refused.
 * @param client the daemons
 * @param io the surroundings
 * @param drainRequest what to drain or undrain
 * @returns the version that holds it
 */
export async function applyDrain (client: OperatorClient, io: CliIo, drainRequest: DrainRequest): Promise<Result<DrainResult, OperatorError>> {
  const submitter = new PatchSubmitter(client, io)
  let minVersion = 0
  for (let attempt = 1; ; attempt++) {
    const current = await readConfigurationAtLeast(client, io, minVersion)
    if (!current.ok) return current
    const { head, body } = current.val
    const patch = buildDrainPatch(body, drainRequest.target, drainRequest.direction)
    if (patch === undefined) return Ok({ version: head.version, isChanged: false })
    const applied = await submitter.send({ baseVersion: head.version, patch, note: drainRequest.note })
    if (applied.ok) return Ok({ isChanged: true, ...applied.val })
    if (applied.val.code !== ErrorCode.Conflict || attempt === MAX_ATTEMPTS) return applied
    minVersion = applied.val.problem?.currentVersion ?? head.version + 1
  }
}

/**
 * @param client the daemons
 * @param drainRequest what to drain or undrain
 * @returns the patch and a daemon's opinion of it; nothing is changed
 */
export async function checkDrain (client: OperatorClient, drainRequest: DrainRequest): Promise<Result<CheckedDrain, OperatorError>> {
  const current = await client.readConfiguration()
  if (!current.ok) return current
  const { head, body } = current.val
  const patch = buildDrainPatch(body, drainRequest.target, drainRequest.direction)
  if (patch === undefined) return Ok({ baseVersion: head.version, isChanged: false, isValid: true, problems: [] })
  const validation = await client.validatePatch({ baseVersion: head.version, patch })
  if (!validation.ok) return validation
  const predicted = await client.predictDrain({ baseVersion: head.version, patch })
  const prediction = predicted.ok ? predicted.val : undefined
  return Ok({ baseVersion: head.version, isChanged: true, patch, isValid: validation.val.valid, problems: validation.val.problems, prediction })
}
