/**
 * Rebuilds the table of client blocks when the configuration changes. Building
 * 150,000 blocks takes 100 ms or more and would delay every open request if done
 * synchronously. So it runs in slices that yield to the event loop, and the
 * previous table stays in use until the new one is complete.
 */
import type { IClock } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline, hasPassed } from '@umberspar/base/common/deadline'
import { runDetached } from '@umberspar/base/common/detached'
import type { ILogger } from '@umberspar/base/common/logger'
import type { ClientBlockGroup } from '@umberspar/steering/common/lookup/clientBlocks'
import { ClientBlockTable } from '@umberspar/steering/common/lookup/clientBlocks'
import { setImmediate as yieldToLoop } from 'node:timers/promises'

/** How long a build may block the event loop. The last slice is finished, which takes up to about 1 ms more. */
const MAX_BLOCKING_MS = 3

/** Builds tables in the background, always ending with the most recent groups. */
export class ClientBlockBuilder implements IClosable {
  private current = ClientBlockTable.build([])
  private pendingGroups: readonly ClientBlockGroup[] | undefined
  private isBuilding = false
  private isClosed = false

  /**
   * @param clock measures how long the event loop is blocked
   * @param logger logs failed builds
   * @param waitForEventLoop yields to the event loop; resolves when other tasks have run
   */
  constructor (
    private readonly clock: IClock,
    private readonly logger: ILogger,
    private readonly waitForEventLoop: () => Promise<unknown> = yieldToLoop
  ) {}

  /** @returns the table in use, empty before the first build */
  get table (): ClientBlockTable {
    return this.current
  }

  /** @returns whether the table in use was built from the most recent groups */
  get isCurrent (): boolean {
    return !this.isBuilding && this.pendingGroups === undefined
  }

  /**
   * Rebuilds the table from new groups. A small table is built before this returns.
   * A build in progress is finished first: if each change aborted it, changes that
   * come faster than a build takes would keep an old table in use indefinitely.
   * @param groups all groups with their prefixes
   */
  update (groups: readonly ClientBlockGroup[]): void {
    this.pendingGroups = groups
    if (this.isBuilding) return
    this.isBuilding = true
    runDetached(() => this.buildPending(), this.logger, 'build-client-blocks')
  }

  close (): void {
    this.isClosed = true
  }

  private async buildPending (): Promise<void> {
    try {
      for (let groups = this.pendingGroups; groups !== undefined && !this.isClosed; groups = this.pendingGroups) {
        this.pendingGroups = undefined
        const work = ClientBlockTable.buildInSlices(groups, this.current)
        while (!this.runSlices(work)) {
          await this.waitForEventLoop()
          if (this.isClosed) return
        }
      }
    } finally {
      this.isBuilding = false
    }
  }

  /** Runs slices until the time limit; returns whether the table is complete and in use. */
  private runSlices (work: Generator<void, ClientBlockTable>): boolean {
    const deadline = createDeadline(this.clock.now(), MAX_BLOCKING_MS)
    do {
      const next = work.next()
      if (next.done === true) {
        this.current = next.value
        return true
      }
    } while (!hasPassed(deadline, this.clock.now()))
    return false
  }
}
