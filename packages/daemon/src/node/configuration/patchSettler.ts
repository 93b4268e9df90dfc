/**
 * Finds out whether a compare-and-swap of the head was applied when its response was
 * lost, and ensures that one that was not applied can't be applied later.
 */
import type { IClock } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import { ErrorCode, type StepError } from '@umberspar/base/common/errors'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import type { ConfigurationHead } from '@umberspar/steering/common/configuration/versionedConfiguration'
import type { ConfigurationStore, StoredHead } from './configurationStore.js'

const SETTLE_TIMEOUT_MS = 6000
const RETRY_DELAY_MS = 200

/** Resolves swaps whose response was lost. */
export class PatchSettler {
  constructor (
    private readonly configurations: ConfigurationStore,
    private readonly clock: IClock
  ) {}

  /**
   * Determines whether a swap was applied, so that the operator doesn't receive an error
   * for a change that is in force. The history entry is written in the same transaction
   * as the head, so a change id in the history proves that the swap was applied. If it
   * is missing, the write may still be in transit. Rewriting the head increases its
   * revision, so that the store refuses the delayed write, which is conditional on the
   * old revision.
   * @param failure the failure of the swap
   * @param head the head that the swap was to write
   * @param base the head that the swap was to replace
   * @returns whether the swap was applied; the failure itself if that can't be determined
   */
  async settle (failure: StepError, head: ConfigurationHead, base: StoredHead | undefined): Promise<Result<boolean, StepError>> {
    if (failure.code !== ErrorCode.EffectUnknown) return new Err(failure)
    const deadline = createDeadline(this.clock.now(), SETTLE_TIMEOUT_MS)
    while (!hasPassed(deadline, this.clock.now())) {
      const isApplied = await this.findOutcome(head, base, deadline)
      if (isApplied !== undefined) return new Ok(isApplied)
      await this.waitBeforeRetry(deadline)
    }
    return new Err(failure)
  }

  /** @returns whether the swap was applied, or undefined while that is unknown */
  private async findOutcome (head: ConfigurationHead, base: StoredHead | undefined, deadline: Deadline): Promise<boolean | undefined> {
    const found = await this.configurations.findChange(head.changeId, deadline)
    if (!found.ok) return undefined
    if (found.val !== undefined) return true
    const isLateSwapPrevented = base === undefined ? await this.hasHead(deadline) : await this.cancelLateSwap(base, deadline)
    if (!isLateSwapPrevented) return undefined
    // The swap may have been applied between the two steps above; from now on it can't be.
    const last = await this.configurations.findChange(head.changeId, deadline)
    return last.ok ? last.val !== undefined : undefined
  }

  /** Rewrites the head, unless another writer has changed it. The old revision is replaced in both cases. */
  private async cancelLateSwap (base: StoredHead, deadline: Deadline): Promise<boolean> {
    const rewritten = await this.configurations.updateHeadRevision(base, deadline)
    return rewritten.ok
  }

  /** There is no head to rewrite before the first change. Once there is a head, no other first change can be applied. */
  private async hasHead (deadline: Deadline): Promise<boolean> {
    const stored = await this.configurations.readHead(deadline)
    return stored.ok && stored.val !== undefined
  }

  private async waitBeforeRetry (deadline: Deadline): Promise<void> {
    const at = Math.min(deadline, createDeadline(this.clock.now(), RETRY_DELAY_MS))
    await new Promise<void>((resolve) => { this.clock.schedule(at, resolve) })
  }
}
