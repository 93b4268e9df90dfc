/**
 * Keeps the table of client blocks in line with the configuration. A build of
 * 150,000 blocks takes a tenth of a second and more; done at one go it would
 * hold up every open request, so it runs in slices with the loop in between,
 * and the table before serves until the new one is whole.
 */
import type { IClock } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline, hasPassed } from '@umberspar/base/common/deadline'
import { runDetached } from '@umberspar/base/common/detached'
import type { ILogger } from '@umberspar/base/common/logger'
import type { ClientBlockGroup } from '@umberspar/steering/common/lookup/clientBlocks'
import { ClientBlockTable } from '@umberspar/steering/common/lookup/clientBlocks'
import { setImmediate as yieldToLoop } from 'node:timers/promises'

/** How long a build may hold the loop at a stretch; a slice that is begun is finished, about 1 ms more. */
const STRETCH_SPAN_MS = 3

/** Builds tables, the newest wanted one last. */
export class ClientBlockBuilder implements IClosable {
  private current = ClientBlockTable.build([])
  private wanted: readonly ClientBlockGroup[] | undefined
  private isBuilding = false
  private isClosed = false

  /**
   * @param clock measures the stretches
   * @param logger for a build that fails
   * @param waitForLoop lets other work of the loop run; resolves when it has
   */
  constructor (
    private readonly clock: IClock,
    private readonly logger: ILogger,
    private readonly waitForLoop: () => Promise<unknown> = yieldToLoop
  ) {}

  /** @returns the table in use; empty before the first build */
  get table (): ClientBlockTable {
    return this.current
  }

  /** @returns whether the table in use is that of the groups set last */
  get isCurrent (): boolean {
    return !this.isBuilding && this.wanted === undefined
  }

  /**
   * Sets what the table is to be built from. Few blocks are built before this
   * returns. A build that runs is finished first: were it given up for each newer
   * one, changes that come faster than builds end would keep the oldest table in use.
   * @param groups all groups with their prefixes
   */
  update (groups: readonly ClientBlockGroup[]): void {
    this.wanted = groups
    if (this.isBuilding) return
    this.isBuilding = true
    runDetached(() => this.buildWanted(), this.logger, 'build-client-blocks')
  }

  close (): void {
    this.isClosed = true
  }

  private async buildWanted (): Promise<void> {
    try {
      for (let groups = this.wanted; groups !== undefined && !this.isClosed; groups = this.wanted) {
        this.wanted = undefined
        const work = ClientBlockTable.buildInSlices(groups, this.current)
        while (!this.runStretch(work)) {
          await this.waitForLoop()
          if (this.isClosed) return
        }
      }
    } finally {
      this.isBuilding = false
    }
  }

  /** Runs slices for a while; returns whether the table is done and in use. */
  private runStretch (work: Generator<void, ClientBlockTable>): boolean {
    const end = createDeadline(this.clock.now(), STRETCH_SPAN_MS)
    do {
      const next = work.next()
      if (next.done === true) {
        this.current = next.value
        return true
      }
    } while (!hasPassed(end, this.clock.now()))
    return false
  }
}
