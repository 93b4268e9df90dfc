/** Submits a change so that it takes effect at most once, and determines its outcome if the answer is lost. */
import type { IClock } from '@umberspar/base/common/clock'
import { createDeadline, hasPassed } from '@umberspar/base/common/deadline'
import { ErrorCode } from '@umberspar/base/common/errors'
import { Err, Ok } from '@umberspar/base/common/result'
import type { Result } from '@umberspar/base/common/result'
import type { JsonObject } from '../common/jsonValue.js'
import { OperatorError } from '../common/operatorError.js'
import { decidePatchOutcome, PatchOutcome } from '../common/patchOutcome.js'
import type { ResolvedPatch } from '../common/patchOutcome.js'
import type { CliIo } from './cliIo.js'
import type { OperatorClient, PatchRequest } from './operatorClient.js'

/** A change that took effect. */
export interface AppliedPatch {
  readonly version: number
  readonly changeId: string
  /** Whether the answer was lost, and the effect was determined by later reads. */
  readonly isSettledLater: boolean
}

/** A change to submit. */
export interface PatchSubmission {
  readonly baseVersion: number
  readonly patch: JsonObject
  readonly note: string
}

const SETTLE_STEP = 'settle-patch'

/**
 * @param clock the source of time
 * @param durationMs how long to wait
 * @returns a promise that resolves when the time has passed
 */
export async function waitFor (clock: IClock, durationMs: number): Promise<void> {
  await new Promise<void>((resolve) => {
    clock.schedule(createDeadline(clock.now(), durationMs), resolve)
  })
}

/** Sends patches, and determines their effect if an answer is lost. */
export class PatchSubmitter {
  constructor (
    private readonly client: OperatorClient,
    private readonly io: CliIo
  ) {}

  /**
   * Sends a change with a new changeId. If the answer is lost (the connection broke, or
   * the call timed out after sending), the call ends with `EffectUnknown`. In that case, the
   * head and the history of the configuration tell which change became the next version.
   * The change is never sent again with another id, so it can't take effect twice.
   * @param submission the patch, and the version that it was made against
   * @returns the new version; `Conflict` if another change was accepted first; `EffectUnknown` if the outcome is still unknown at the deadline
   */
  async send (submission: PatchSubmission): Promise<Result<AppliedPatch, OperatorError>> {
    const request: PatchRequest = { ...submission, changeId: this.io.createChangeId() }
    const answer = await this.client.sendPatch(request)
    if (answer.ok) {
      return Ok({ version: answer.val.version, changeId: request.changeId, isSettledLater: false })
    }
    if (answer.val.code !== ErrorCode.EffectUnknown) return Err(answer.val)
    this.io.terminal.printError(`umberspar: the answer to change ${request.changeId} was lost (peer ${answer.val.peer}: ${answer.val.message}); checking whether it took effect`)
    return await this.waitForOutcome(request, answer.val)
  }

  private async waitForOutcome (request: PatchRequest, lostAnswer: OperatorError): Promise<Result<AppliedPatch, OperatorError>> {
    while (!hasPassed(this.client.deadline, this.io.clock.now())) {
      const resolved = await this.readOutcome(request)
      if (resolved?.outcome === PatchOutcome.Applied) {
        return Ok({ version: resolved.version, changeId: request.changeId, isSettledLater: true })
      }
      if (resolved?.outcome === PatchOutcome.NotApplied) return Err(this.buildConflict(request, lostAnswer.peer, resolved.version))
      await waitFor(this.io.clock, this.io.pollIntervalMs)
    }
    const message = `change ${request.changeId} against version ${request.baseVersion} may or may not have taken effect; look for this id in the output of 'umberspar config history' before you try again (${lostAnswer.message})`
    return Err(new OperatorError({ code: ErrorCode.EffectUnknown, step: SETTLE_STEP, peer: lostAnswer.peer, message, cause: lostAnswer }))
  }

  private async readOutcome (request: PatchRequest): Promise<ResolvedPatch | undefined> {
    const current = await this.client.readConfiguration()
    if (!current.ok) return undefined
    const history = await this.client.listHistory()
    const entries = history.ok ? history.val : []
    return decidePatchOutcome(request.changeId, request.baseVersion, current.val.head, entries)
  }

  private buildConflict (request: PatchRequest, peer: string, currentVersion: number): OperatorError {
    const message = `change ${request.changeId} did not take effect: another change became version ${request.baseVersion + 1}`
    const problem = { title: 'stale version', detail: message, baseVersion: request.baseVersion, currentVersion, conflictingPaths: [], problems: [] }
    return new OperatorError({ code: ErrorCode.Conflict, step: SETTLE_STEP, peer, message }, problem)
  }
}
