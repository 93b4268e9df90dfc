/**
 * Finds out whether a head's swap took effect when its answer was lost, and makes
 * sure that one which did not can't do so later.
 */
import type { IClock } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import { ErrorCode, type StepError } from '@umberspar/base/common/errors'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import type { ConfigurationHead } from '@umberspar/steering/common/configuration/versionedConfiguration'
import type { ConfigurationStore, StoredHead } from './configurationStore.js'

const SETTLE_SPAN_MS = 6000
const PAUSE_SPAN_MS = 200

/** Settles lost answers. */
export class PatchSettler {
  constructor (
    private readonly configurations: ConfigurationStore,
    private readonly clock: IClock
  ) {}

  /**
   * The operator would see an error for a change that is in force. The change's
   * id in the history says whether it is, since the history entry is written in
   * the head's own transaction. If it is not there, the write may still be under
   * way; rewriting the head gives it a new revision, and the late write, whose
   * condition names the old one, is refused by the store.
   * @param lost the failure of the swap
   * @param head what the swap would have made
   * @param base the head that the swap was to replace
   * @returns whether it took effect; the failure itself if that can't be found out
   */
  async settle (lost: StepError, head: ConfigurationHead, base: StoredHead | undefined): Promise<Result<boolean, StepError>> {
    if (lost.code !== ErrorCode.EffectUnknown) return new Err(lost)
    const deadline = createDeadline(this.clock.now(), SETTLE_SPAN_MS)
    while (!hasPassed(deadline, this.clock.now())) {
      const verdict = await this.findVerdict(head, base, deadline)
      if (verdict !== undefined) return new Ok(verdict)
      await this.waitPause(deadline)
    }
    return new Err(lost)
  }

  /** @returns undefined while the store does not say */
  private async findVerdict (head: ConfigurationHead, base: StoredHead | undefined, deadline: Deadline): Promise<boolean | undefined> {
    const found = await this.configurations.findChange(head.changeId, deadline)
    if (!found.ok) return undefined
    if (found.val !== undefined) return true
    const isClosed = base === undefined ? await this.hasHead(deadline) : await this.refuseLateSwap(base, deadline)
    if (!isClosed) return undefined
    // The swap may have landed between the two steps above; now it can't any more.
    const last = await this.configurations.findChange(head.changeId, deadline)
    return last.ok ? last.val !== undefined : undefined
  }

  /** Whether the head was rewritten now or changed by somebody else; the old revision is gone in both cases. */
  private async refuseLateSwap (base: StoredHead, deadline: Deadline): Promise<boolean> {
    const rewritten = await this.configurations.updateHeadRevision(base, deadline)
    return rewritten.ok
  }

  /** The very first head can't be rewritten; once there is one, no other first can be written. */
  private async hasHead (deadline: Deadline): Promise<boolean> {
    const stored = await this.configurations.readHead(deadline)
    return stored.ok && stored.val !== undefined
  }

  private async waitPause (deadline: Deadline): Promise<void> {
    const at = Math.min(deadline, createDeadline(this.clock.now(), PAUSE_SPAN_MS))
    await new Promise<void>((resolve) => { this.clock.schedule(at, resolve) })
  }
}
