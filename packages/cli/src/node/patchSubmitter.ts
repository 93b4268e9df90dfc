/** Submits a change exactly once and finds out what became of it. */
import type { IClock } from '@umberspar/base/common/clock'
import { createDeadline, hasPassed } from '@umberspar/base/common/deadline'
import { ErrorCode } from '@umberspar/base/common/errors'
import { Err, Ok } from '@umberspar/base/common/result'
import type { Result } from '@umberspar/base/common/result'
import type { JsonObject } from '../common/jsonValue.js'
import { OperatorError } from '../common/operatorError.js'
import { decidePatchOutcome, PatchOutcome } from '../common/patchSettlement.js'
import type { ResolvedPatch } from '../common/patchSettlement.js'
import type { CliIo } from './cliIo.js'
import type { OperatorClient, PatchRequest } from './operatorClient.js'

/** A change that took effect. */
export interface AppliedPatch {
  readonly version: number
  readonly changeId: string
  /** Whether the answer was lost and the effect was found out by asking again. */
  readonly isSettledLater: boolean
}

/** A change to make. */
export interface PatchSubmission {
  readonly baseVersion: number
  readonly patch: JsonObject
  readonly note: string
}

const SETTLE_STEP = 'settle-patch'

/**
 * @param clock the source of time
 * @param durationMs how long to wait
 * @returns settled when the span has passed
 */
export async function waitFor (clock: IClock, durationMs: number): Promise<void> {
  await new Promise<void>((resolve) => {
    clock.schedule(createDeadline(clock.now(), durationMs), resolve)
  })
}

/** Sends patches and settles lost answers. */
export class PatchSubmitter {
  constructor (
    private readonly client: OperatorClient,
    private readonly io: CliIo
  ) {}

  /**
   * Sends one change under one new changeId. A lost answer (the connection
   * broke, or time ran out after sending) shows as `EffectUnknown`; then the
   * head and the history say whose change became the next version. The change
   * is never sent again under another id, so it can't take effect twice.
   * @param submission what to change, against which version
   * @returns the version made; `Conflict` if another change came first; `EffectUnknown` if the deadline came before a verdict
   */
  async send (submission: PatchSubmission): Promise<Result<AppliedPatch, OperatorError>> {
    const request: PatchRequest = { ...submission, changeId: this.io.createChangeId() }
    const answer = await this.client.sendPatch(request)
    if (answer.ok) {
      return Ok({ version: answer.val.version, changeId: request.changeId, isSettledLater: false })
    }
    if (answer.val.code !== ErrorCode.EffectUnknown) return Err(answer.val)
    this.io.terminal.printError(`umberspar: the answer to change ${request.changeId} was lost (peer ${answer.val.peer}: ${answer.val.message}); asking whether it took effect`)
    return await this.settle(request, answer.val)
  }

  private async settle (request: PatchRequest, lostAnswer: OperatorError): Promise<Result<AppliedPatch, OperatorError>> {
    while (!hasPassed(this.client.deadline, this.io.clock.now())) {
      const resolved = await this.readOutcome(request)
      if (resolved?.outcome === PatchOutcome.Applied) {
        return Ok({ version: resolved.version, changeId: request.changeId, isSettledLater: true })
      }
      if (resolved?.outcome === PatchOutcome.NotApplied) return Err(this.buildConflict(request, lostAnswer.peer, resolved.version))
      await waitFor(this.io.clock, this.io.pollSpanMs)
    }
    const message = `change ${request.changeId} against version ${request.baseVersion} may or may not have taken effect; look for this id by 'umberspar config history' before trying again (${lostAnswer.message})`
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
