/** Keeps this VM among the members of the fleet, and removes VMs that are gone for good; see {@link Membership}. */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { runDetached } from '@umberspar/base/common/detached'
import type { ElapsedClock } from '@umberspar/base/common/elapsedClock'
import { ErrorCode, type StepError } from '@umberspar/base/common/errors'
import { type ILogger, logError, LogLevel } from '@umberspar/base/common/logger'
import { addJitter, type IRandomSource } from '@umberspar/base/common/random'
import type { Result } from '@umberspar/base/common/result'
import type { EntryView } from '@umberspar/steering/common/entry/entryView'
import type { FleetMember } from '@umberspar/steering/common/entry/records'
import { Membership } from '@umberspar/steering/common/entry/sharing/membership'
import type { IRecordWriter } from '@umberspar/steering/common/ports/steeringSource'

const UPDATE_INTERVAL_MS = 1_000
/** Spreads the entries of VMs that started together. */
const INTERVAL_JITTER_RATIO = 0.3

/** Dependencies of a {@link MembershipKeeper}. */
export interface MembershipKeeperDependencies {
  readonly clock: IClock
  readonly elapsed: ElapsedClock
  readonly random: IRandomSource
  readonly logger: ILogger
  readonly view: EntryView
  readonly self: FleetMember
  readonly writer: IRecordWriter
  /** When the process started, on the clock. */
  readonly startedAt: Instant
  /** @returns time since the records were last known to be current, in milliseconds */
  getRecordsAgeMs(): number
  isLeaving(): boolean
}

/** The membership of one process's VM. */
export class MembershipKeeper implements IClosable {
  private readonly membership: Membership
  private timer: ITimer | undefined
  private isWriting = false
  /** Whether this VM has to enter itself again although its entry is known. */
  private mustWriteAgain = false

  constructor (private readonly dependencies: MembershipKeeperDependencies) {
    const { view, self, elapsed, clock, startedAt } = dependencies
    this.membership = new Membership(self.name, { nodes: view.nodes, members: view.sharers.members }, elapsed.now() - (clock.now() - startedAt), () => elapsed.now())
  }

  /**
   * @param windowMs length of the window in which a limit is counted, in milliseconds
   * @returns whether this VM may spend its part of the limit now
   */
  mayShare (windowMs: number): boolean {
    return this.membership.mayShare(windowMs)
  }

  /** Begins to update the membership. */
  start (): void {
    this.schedule()
  }

  /** Enters this VM again if it was a member, as the store may have lost the entry. */
  handleEraStart (): void {
    this.mustWriteAgain = this.membership.isMember
  }

  close (): void {
    this.timer?.close()
  }

  private schedule (): void {
    const { clock, random } = this.dependencies
    this.timer = clock.schedule(clock.now() + addJitter(random, UPDATE_INTERVAL_MS, INTERVAL_JITTER_RATIO), () => {
      this.update()
      this.schedule()
    })
  }

  private update (): void {
    const { getRecordsAgeMs, isLeaving, logger, writer, self } = this.dependencies
    const { mustJoin, absent } = this.membership.update(getRecordsAgeMs())
    if (this.isWriting || isLeaving()) return
    const writes = [
      ...(mustJoin || this.mustWriteAgain ? [async () => await this.join()] : []),
      ...absent.map((record) => async () => {
        logger.log(LogLevel.Info, { step: 'remove-member', node: self.name, peer: record.value.name }, 'removed a VM without a registration from the members')
        return await writer.remove(record)
      })
    ]
    if (writes.length > 0) runDetached(() => this.writeAll(writes), logger, 'keep-members')
  }

  private async join (): Promise<Result<number, StepError>> {
    const { writer, self, logger } = this.dependencies
    const written = await writer.putMember(self, 0)
    if (!written.ok && written.val.code !== ErrorCode.Conflict) return written
    this.mustWriteAgain = false
    if (written.ok) logger.log(LogLevel.Info, { step: 'join-members', node: self.name, revision: written.val }, 'this VM is a member among which limits are divided')
    return written
  }

  private async writeAll (writes: ReadonlyArray<() => Promise<Result<number, StepError>>>): Promise<void> {
    this.isWriting = true
    for (const write of writes) {
      const written = await write()
      if (!written.ok && written.val.code !== ErrorCode.Conflict) logError(this.dependencies.logger, LogLevel.Warn, written.val)
    }
    this.isWriting = false
  }
}
