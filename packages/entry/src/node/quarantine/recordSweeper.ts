/** Removes expired crash reports and quarantines from the store. They have no lease, because a lease could expire in an outage. */
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { runDetached } from '@umberspar/base/common/detached'
import { ErrorCode } from '@umberspar/base/common/errors'
import { type ILogger, logError, LogLevel } from '@umberspar/base/common/logger'
import type { EntryView } from '@umberspar/steering/common/entry/entryView'
import { rankByRendezvous } from '@umberspar/steering/common/lookup/rendezvous'
import type { IRecordWriter } from '@umberspar/steering/common/ports/steeringSource'

const SWEEP_INTERVAL_MS = 60_000
/** Allows for different wall clocks of VMs. An expired record does no harm until it is removed. */
const CLOCK_TOLERANCE_MS = 30_000

/** Dependencies of a {@link RecordSweeper}. */
export interface RecordSweeperDependencies {
  readonly clock: IClock
  readonly logger: ILogger
  readonly view: EntryView
  readonly writer: IRecordWriter
  /** This VM's name. */
  readonly node: string
}

/** The sweeper of one VM. Only the VM that ranks first by rendezvous hashing removes records. */
export class RecordSweeper implements IClosable {
  private timer: ITimer | undefined
  private isClosed = false

  constructor (private readonly dependencies: RecordSweeperDependencies) {}

  /** Schedules a sweep, which repeats as long as there are any records. */
  schedule (): void {
    const { clock, logger } = this.dependencies
    if (this.isClosed) return
    this.timer ??= clock.schedule(clock.now() + SWEEP_INTERVAL_MS, () => {
      this.timer = undefined
      runDetached(() => this.removeExpired(), logger, 'sweep-records')
    })
  }

  close (): void {
    this.isClosed = true
    this.timer?.close()
  }

  private async removeExpired (): Promise<void> {
    const { view, writer, logger, node, clock } = this.dependencies
    const records = [...view.crashReports.values(), ...view.quarantines.values()]
    const nodes = [...new Set([node, ...view.nodes.keys()])]
    const isFirst = rankByRendezvous('sweep', nodes)[0] === node
    const expired = records.filter(({ value }) => value.expiresAt + CLOCK_TOLERANCE_MS < clock.getWallTime())
    for (const record of isFirst ? expired : []) {
      const removed = await writer.remove(record)
      if (!removed.ok && removed.val.code !== ErrorCode.Conflict) logError(logger, LogLevel.Warn, removed.val)
    }
    if (records.length > 0) this.schedule()
  }
}
