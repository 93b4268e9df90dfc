/** Removes expired crash reports and quarantines from the store. They stand under no lease, which could lapse in an outage. */
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { runDetached } from '@umberspar/base/common/detached'
import { ErrorCode } from '@umberspar/base/common/errors'
import { type ILogger, logError, LogLevel } from '@umberspar/base/common/logger'
import type { EntryView } from '@umberspar/steering/common/entry/entryView'
import { rankByRendezvous } from '@umberspar/steering/common/lookup/rendezvous'
import type { IRecordWriter } from '@umberspar/steering/common/ports/steeringSource'

const SWEEP_INTERVAL_MS = 60_000
/** The wall clocks of VMs differ; an expired record does no harm. */
const CLOCK_TOLERANCE_MS = 30_000

/** What it is built from. */
export interface SweeperParts {
  readonly clock: IClock
  readonly logger: ILogger
  readonly view: EntryView
  readonly writer: IRecordWriter
  /** This VM's name. */
  readonly node: string
}

/** The sweeper of one VM; of all VMs, the one that ranks first removes records. */
export class RecordSweeper implements IClosable {
  private timer: ITimer | undefined
  private isClosed = false

  /** @param parts what it is built from */
  constructor (private readonly parts: SweeperParts) {}

  /** Looks for expired records after a while, for as long as there are any records. */
  schedule (): void {
    const { clock, logger } = this.parts
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
    const { view, writer, logger, node, clock } = this.parts
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
