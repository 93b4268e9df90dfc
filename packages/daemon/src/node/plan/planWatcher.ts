/**
 * Reads the plans at the start, and watches them where this node is one of its
 * region's watchers; all others learn of new versions from their peers. Store
 * calls grow with regions, not with nodes.
 */
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline } from '@umberspar/base/common/deadline'
import { runDetached } from '@umberspar/base/common/detached'
import { type ILogger, logError, LogLevel } from '@umberspar/base/common/logger'
import { addJitter, type IRandomSource } from '@umberspar/base/common/random'
import { rankByRendezvous } from '@umberspar/steering/common/lookup/rendezvous'
import type { IKeyValueStore, IStoreWatch } from '@umberspar/steering/common/ports/keyValueStore'
import type { MemberDirectory } from '../members/memberDirectory.js'
import type { PlanKeeper } from '../places/planKeeper.js'
import { decodePlan, type PlanStore } from './planStore.js'

const WATCHERS_PER_REGION = 2
const CHECK_SPAN_MS = 2000
const CHECK_JITTER = 0.3
const READ_SPAN_MS = 2000

/** Whose plans are watched, and by whom. */
export interface PlanWatcherIdentity {
  readonly nodeId: string
  readonly region: string
}

/** Keeps the keeper up to date from the store. */
export class PlanWatcher implements IClosable {
  private watch: IStoreWatch | undefined
  private timer: ITimer | undefined
  private isClosed = false

  constructor (
    private readonly identity: PlanWatcherIdentity,
    private readonly store: IKeyValueStore,
    private readonly plans: PlanStore,
    private readonly keeper: PlanKeeper,
    private readonly members: MemberDirectory,
    private readonly clock: IClock,
    private readonly random: IRandomSource,
    private readonly logger: ILogger
  ) {}

  /** Reads all plans once, before this node serves anybody, then watches if it is its part. */
  async start (): Promise<void> {
    await this.readAll()
    this.scheduleCheck()
  }

  close (): void {
    this.isClosed = true
    this.timer?.close()
    this.watch?.close()
  }

  private async readAll (): Promise<number | undefined> {
    const listed = await this.plans.list(createDeadline(this.clock.now(), READ_SPAN_MS))
    if (!listed.ok) {
      logError(this.logger, LogLevel.Warn, listed.val)
      return undefined
    }
    for (const { document } of listed.val.plans) this.keeper.accept(document)
    return listed.val.revision
  }

  private isWatcher (): boolean {
    const now = this.clock.now()
    const own = this.members.list().filter((member) => member.vm.region === this.identity.region && this.members.canServe(member, now))
    const ranked = rankByRendezvous(`plan-watcher/${this.identity.region}`, own.map((member) => member.vm.vmId))
    return ranked.slice(0, WATCHERS_PER_REGION).includes(this.identity.nodeId)
  }

  private async check (): Promise<void> {
    if (!this.isWatcher()) {
      this.watch?.close()
      this.watch = undefined
      return
    }
    if (this.watch !== undefined) return
    // A watch that was cut may have missed versions: read first, then watch on from there.
    const revision = await this.readAll()
    if (revision === undefined || this.isClosed) return
    this.startWatch(revision + 1)
  }

  private startWatch (fromRevision: number): void {
    const watch = this.store.watch(this.plans.planPrefix, fromRevision)
    this.watch = watch
    watch.onDidChange(({ key, value, modRevision }) => {
      const plan = value === undefined ? undefined : decodePlan({ key, value, modRevision })
      if (plan !== undefined) this.keeper.accept(plan.document)
    })
    watch.onDidEnd((end) => {
      this.logger.log(LogLevel.Warn, { step: 'watch-plans', peer: 'store', end }, 'watch ended')
      watch.close()
      if (this.watch === watch) this.watch = undefined
    })
  }

  private scheduleCheck (): void {
    if (this.isClosed) return
    const at = createDeadline(this.clock.now(), addJitter(this.random, CHECK_SPAN_MS, CHECK_JITTER))
    this.timer = this.clock.schedule(at, () => {
      runDetached(() => this.check().finally(() => this.scheduleCheck()), this.logger, 'watch-plans')
    })
  }
}
