/** Patches the configuration's `drains` against its current version, and retries if another change was accepted first. */
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

/** The result of draining or undraining. */
export interface DrainResult {
  /** The version that contains the drain, or no longer contains it. */
  readonly version: number
  /** False if the target was already drained or undrained as wanted. */
  readonly isChanged: boolean
  readonly changeId?: string
  /** Whether the answer was lost, and the effect was determined by later reads. */
  readonly isSettledLater?: boolean
}

/** The result of a dry run. */
export interface CheckedDrain {
  readonly baseVersion: number
  readonly isChanged: boolean
  readonly patch?: JsonObject
  readonly isValid: boolean
  readonly problems: ValidationResult['problems']
  /** Undefined if the patch is invalid, or the daemon can't predict its effect. */
  readonly prediction?: DrainPrediction
}

/** Attempts, each against the then current version, before the conflict is reported. */
const MAX_ATTEMPTS = 5

/**
 * Reads the configuration until it has at least a given version. After a conflict, the
 * daemon that answers may not have adopted the version of the conflicting change yet, and
 * a patch against the older version would be refused again.
 */
async function readConfigurationAtLeast (client: OperatorClient, io: CliIo, minVersion: number): Promise<Result<ConfigurationResponse, OperatorError>> {
  let answer = await client.readConfiguration()
  while (answer.ok && answer.val.head.version < minVersion && !hasPassed(client.deadline, io.clock.now())) {
    await waitFor(io.clock, io.pollIntervalMs)
    answer = await client.readConfiguration()
  }
  return answer
}

/**
 * Adds a target to `drains` or removes it. Retries after a conflict, since adding or removing
 * an element commutes with every other change. Each retry is sent as a new change, which is
 * safe because a conflict means that the previous one was refused.
 * @param client the client of the daemons
 * @param io the environment of the run
 * @param drainRequest what to drain or undrain
 * @returns the version that contains the result; `Conflict` after too many attempts
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
 * Validates the patch at a daemon and predicts its effect, without changing anything.
 * @param client the client of the daemons
 * @param drainRequest what to drain or undrain
 * @returns the patch, whether it is valid, and its predicted effect
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
