/** Submits a change exactly once and finds out what became of it. */
import type { IClock } from '@umberspar/base/common/clock'
import { createDeadline, hasPassed } from '@umberspar/base/common/deadline'
import { ErrorCode } from '@umberspar/base/common/errors'
import { Err, Ok } from '@umberspar/base/common/result'
import type { Result } from '@umberspar/base/common/result'
import type { JsonObject } from '../common/jsonValue.js'
import { OperatorError } from '../common/operatorError.js'
import { decideSettlement, Settlement } from '../common/patchSettlement.js'
import type { SettledPatch } from '../common/patchSettlement.js'
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
export interface PatchOrder {
  readonly baseVersion: number
  readonly patch: JsonObject
  readonly note: string
}

const SETTLE_STEP = 'settle-patch'

/**
 * @param clock the source of time
 * @param spanMs how long to wait
 * @returns settled when the span has passed
 */
export async function waitFor (clock: IClock, spanMs: number): Promise<void> {
  await new Promise<void>((resolve) => {
    clock.schedule(createDeadline(clock.now(), spanMs), resolve)
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
   * @param order what to change, against which version
   * @returns the version made; `Conflict` if another change came first; `EffectUnknown` if the deadline came before a verdict
   */
  async send (order: PatchOrder): Promise<Result<AppliedPatch, OperatorError>> {
    const request: PatchRequest = { ...order, changeId: this.io.createChangeId() }
    const answer = await this.client.sendPatch(request)
    if (answer.ok) {
      return Ok({ version: answer.val.version, changeId: request.changeId, isSettledLater: false })
    }
    if (answer.val.code !== ErrorCode.EffectUnknown) return Err(answer.val)
    this.io.terminal.printError(`umberspar: the answer to change ${request.changeId} was lost (peer ${answer.val.peer}: ${answer.val.message}); asking whether it took effect`)
    return await this.settle(request, answer.val)
  }

  private async settle (request: PatchRequest, lost: OperatorError): Promise<Result<AppliedPatch, OperatorError>> {
    while (!hasPassed(this.client.deadline, this.io.clock.now())) {
      const verdict = await this.readVerdict(request)
      if (verdict?.settlement === Settlement.Applied) {
        return Ok({ version: verdict.version, changeId: request.changeId, isSettledLater: true })
      }
      if (verdict?.settlement === Settlement.NotApplied) return Err(this.buildConflict(request, lost.peer, verdict.version))
      await waitFor(this.io.clock, this.io.pollSpanMs)
    }
    const message = `change ${request.changeId} against version ${request.baseVersion} may or may not have taken effect; look for this id by 'umberspar config history' before trying again (${lost.message})`
    return Err(new OperatorError({ code: ErrorCode.EffectUnknown, step: SETTLE_STEP, peer: lost.peer, message, cause: lost }))
  }

  private async readVerdict (request: PatchRequest): Promise<SettledPatch | undefined> {
    const present = await this.client.readConfiguration()
    if (!present.ok) return undefined
    const history = await this.client.listHistory()
    const entries = history.ok ? history.val : []
    return decideSettlement(request.changeId, request.baseVersion, present.val.head, entries)
  }

  private buildConflict (request: PatchRequest, peer: string, currentVersion: number): OperatorError {
    const message = `change ${request.changeId} did not take effect: another change became version ${request.baseVersion + 1}`
    const problem = { title: 'stale version', detail: message, baseVersion: request.baseVersion, currentVersion, conflictingPaths: [], problems: [] }
    return new OperatorError({ code: ErrorCode.Conflict, step: SETTLE_STEP, peer, message }, problem)
  }
}
