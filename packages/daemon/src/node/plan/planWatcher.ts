/**
 * Reads the plans at the start, and watches them if this node is one of its
 * region's watchers. All other nodes receive new versions from their peers, so
 * that the number of store calls grows with regions, not with nodes.
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
import type { PlanFollower } from '../places/planFollower.js'
import { decodePlan, type PlanStore } from './planStore.js'

const WATCHERS_PER_REGION = 2
const CHECK_INTERVAL_MS = 2000
const CHECK_JITTER_RATIO = 0.3
const READ_TIMEOUT_MS = 2000

/** This node's id and region, by which watchers are chosen. */
export interface PlanWatcherIdentity {
  readonly nodeId: string
  readonly region: string
}

/** Passes plans from the store to the {@link PlanFollower}. */
export class PlanWatcher implements IClosable {
  private watch: IStoreWatch | undefined
  private timer: ITimer | undefined
  private isClosed = false

  constructor (
    private readonly identity: PlanWatcherIdentity,
    private readonly store: IKeyValueStore,
    private readonly planStore: PlanStore,
    private readonly plans: PlanFollower,
    private readonly members: MemberDirectory,
    private readonly clock: IClock,
    private readonly random: IRandomSource,
    private readonly logger: ILogger
  ) {}

  /** Reads all plans once, before this node serves requests, then watches them if this node is a watcher. */
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
    const listed = await this.planStore.list(createDeadline(this.clock.now(), READ_TIMEOUT_MS))
    if (!listed.ok) {
      logError(this.logger, LogLevel.Warn, listed.val)
      return undefined
    }
    for (const { document } of listed.val.plans) this.plans.accept(document)
    return listed.val.revision
  }

  private isWatcher (): boolean {
    const now = this.clock.now()
    const regionMembers = this.members.list().filter((member) => member.vm.region === this.identity.region && this.members.canServe(member, now))
    const ranked = rankByRendezvous(`plan-watcher/${this.identity.region}`, regionMembers.map((member) => member.vm.vmId))
    return ranked.slice(0, WATCHERS_PER_REGION).includes(this.identity.nodeId)
  }

  private async check (): Promise<void> {
    if (!this.isWatcher()) {
      this.watch?.close()
      this.watch = undefined
      return
    }
    if (this.watch !== undefined) return
    // An interrupted watch may have missed versions: read all plans first, then watch from that revision on.
    const revision = await this.readAll()
    if (revision === undefined || this.isClosed) return
    this.startWatch(revision + 1)
  }

  private startWatch (fromRevision: number): void {
    const watch = this.store.watch(this.planStore.planPrefix, fromRevision)
    this.watch = watch
    watch.onDidChange(({ key, value, modRevision }) => {
      const plan = value === undefined ? undefined : decodePlan({ key, value, modRevision })
      if (plan !== undefined) this.plans.accept(plan.document)
    })
    watch.onDidEnd((end) => {
      this.logger.log(LogLevel.Warn, { step: 'watch-plans', peer: 'store', end }, 'the watch on plans has ended and will be started again')
      watch.close()
      if (this.watch === watch) this.watch = undefined
    })
  }

  private scheduleCheck (): void {
    if (this.isClosed) return
    const at = createDeadline(this.clock.now(), addJitter(this.random, CHECK_INTERVAL_MS, CHECK_JITTER_RATIO))
    this.timer = this.clock.schedule(at, () => {
      runDetached(() => this.check().finally(() => this.scheduleCheck()), this.logger, 'watch-plans')
    })
  }
}
