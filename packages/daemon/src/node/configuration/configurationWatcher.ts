/**
 * Follows the head in the store. Two nodes of each region watch it; the others
 * learn from peers and read the store themselves only when nobody has confirmed
 * their version for long. Every broken watch is followed by a read, so that no
 * version is missed: only the newest one counts.
 */
import type { IClock, ITimer, Instant } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline, hasPassed } from '@umberspar/base/common/deadline'
import { runDetached } from '@umberspar/base/common/detached'
import type { StepError } from '@umberspar/base/common/errors'
import { type ILogger, logError, LogLevel } from '@umberspar/base/common/logger'
import type { IRandomSource } from '@umberspar/base/common/random'
import type { IKeyValueStore, IStoreWatch } from '@umberspar/steering/common/ports/keyValueStore'
import type { SpreadNode } from '@umberspar/steering/common/spread/spreadNode'
import { computeNextStoreRead } from '@umberspar/steering/common/spread/storeReads'
import { isWatcher } from '@umberspar/steering/common/spread/watchers'
import type { MemberDirectory } from '../members/memberDirectory.js'
import { type ConfigurationKeeper, LearnSource } from './configurationKeeper.js'
import type { ConfigurationStore, StoredHead } from './configurationStore.js'

const READ_SPAN_MS = 2000
/** The store's version was confirmed so lately, by whichever node, that a starting node need not read it. */
const FRESH_SPAN_MS = 10_000
const WRITE_BACK_SPAN_MS = 4000
const WRITE_BACK_NOTE = 'written back: the store had gone back to an older version'

/** What the watcher works with. */
export interface ConfigurationWatcherParts {
  readonly store: IKeyValueStore
  readonly configurations: ConfigurationStore
  readonly keeper: ConfigurationKeeper
  readonly members: MemberDirectory
  readonly self: SpreadNode
  readonly clock: IClock
  readonly random: IRandomSource
  readonly logger: ILogger
}

/** What operators are shown of the store's side. */
export interface StoreFollowStatus {
  /** Whether this node is one of its region's two watchers. */
  readonly isWatching: boolean
  /** The version that the store showed last; undefined before the first answer. */
  readonly storeVersion: number | undefined
  /** The store shows an older version than the one in force: it was restored from an old state. */
  readonly isStoreBehind: boolean
  /** Milliseconds since a read of the store, by whichever node, confirmed the version in force. */
  readonly confirmedAgeMs: number | undefined
}

/** Keeps the keeper up to date from the store. */
export class ConfigurationWatcher implements IClosable {
  private readonly parts: ConfigurationWatcherParts
  private watch: IStoreWatch | undefined
  private timer: ITimer | undefined
  private subscription: IClosable | undefined
  private isWatching = false
  private isReading = false
  private isReadWanted = false
  private isClosed = false
  private lastReadAt: Instant
  private lastFailure: StepError | undefined
  private storeVersion: number | undefined

  constructor (parts: ConfigurationWatcherParts) {
    this.parts = parts
    this.lastReadAt = parts.clock.now()
  }

  /**
   * Reads the present head, unless a peer has just shown that its version is the
   * store's, and begins to follow it.
   */
  async start (): Promise<void> {
    const { keeper, clock, members } = this.parts
    const isFresh = keeper.confirmedAt !== undefined && !hasPassed(createDeadline(keeper.confirmedAt, FRESH_SPAN_MS), clock.now())
    if (keeper.current === undefined || !isFresh) await this.readOnce()
    if (this.isClosed) return
    this.subscription = members.onDidChange(() => this.updateRole())
    this.updateRole()
    this.scheduleRead()
  }

  /** Reads the head now, or once more after the read that is running. */
  async update (): Promise<void> {
    if (this.isReading) {
      this.isReadWanted = true
      return
    }
    await this.readOnce()
  }

  /** @returns what operators are shown of the store's side */
  getStatus (): StoreFollowStatus {
    const { keeper, clock } = this.parts
    return {
      isWatching: this.isWatching,
      storeVersion: this.storeVersion,
      isStoreBehind: this.storeVersion !== undefined && this.storeVersion < keeper.version && this.watch !== undefined,
      confirmedAgeMs: keeper.confirmedAt === undefined ? undefined : Math.round(clock.now() - keeper.confirmedAt)
    }
  }

  /** @returns why there is no configuration, for operators */
  getFailureReason (): string {
    if (this.lastFailure !== undefined) return `the store does not answer (${this.lastFailure.message}) and no peer has one`
    return this.storeVersion === 0 ? 'the store holds none and no peer has one' : 'the store and the peers are being asked'
  }

  /** Ends the watch and all timers. */
  close (): void {
    this.isClosed = true
    this.subscription?.close()
    this.timer?.close()
    this.watch?.close()
  }

  private updateRole (): void {
    const { members, self } = this.parts
    const isChosen = isWatcher(members.listActive(), self)
    if (isChosen === this.isWatching || this.isClosed) return
    this.isWatching = isChosen
    if (isChosen) {
      runDetached(() => this.update(), this.parts.logger, 'read-head')
      return
    }
    this.watch?.close()
    this.watch = undefined
  }

  private async readOnce (): Promise<void> {
    this.isReading = true
    this.lastReadAt = this.parts.clock.now()
    this.lastFailure = await this.readHeadAndBody()
    this.isReading = false
    if (this.isClosed) return
    if (this.lastFailure !== undefined) logError(this.parts.logger, LogLevel.Warn, this.lastFailure)
    this.scheduleRead()
    if (this.isReadWanted) {
      this.isReadWanted = false
      runDetached(() => this.readOnce(), this.parts.logger, 'read-head')
    }
  }

  /** @returns what went wrong, or undefined */
  private async readHeadAndBody (): Promise<StepError | undefined> {
    const { clock, configurations, keeper } = this.parts
    const askedAt = clock.now()
    const deadline = createDeadline(askedAt, READ_SPAN_MS)
    const stored = await configurations.readHead(deadline)
    if (!stored.ok) return stored.val
    const version = stored.val?.head.version ?? 0
    this.storeVersion = version
    if (this.isWatching) this.startWatch((stored.val?.modRevision ?? 0) + 1)
    if (version < keeper.version) return await this.writeBack(stored.val)
    if (stored.val !== undefined && version > keeper.version) {
      const body = await configurations.readBody(stored.val.head, deadline)
      if (!body.ok) return body.val
      keeper.apply(body.val, 'store', { source: LearnSource.Store })
    }
    keeper.recordConfirmed(version, askedAt)
    return undefined
  }

  /**
   * The store was restored from an old state: its head is older than what is in
   * force, and the next patch would bear a number that was used already. The
   * version in force stays; a watcher writes it back. The write is conditional on
   * the head that was read, so that of several watchers one does it, and one whose
   * read was merely overtaken by a patch does nothing.
   */
  private async writeBack (base: StoredHead | undefined): Promise<StepError | undefined> {
    const { clock, configurations, keeper, logger } = this.parts
    const next = keeper.currentText
    if (!this.isWatching || next === undefined) return undefined
    const change = { base, next, note: WRITE_BACK_NOTE, atWallMs: clock.getWallTime() }
    const written = await configurations.write(change, createDeadline(clock.now(), WRITE_BACK_SPAN_MS))
    if (!written.ok) return written.val
    if (!written.val) return undefined
    this.storeVersion = next.head.version
    logger.log(LogLevel.Error, { step: 'write-back', peer: 'store', storeVersion: base?.head.version ?? 0, version: next.head.version }, 'the store had gone back to an older version; the one in force was written back')
    return undefined
  }

  private startWatch (fromRevision: number): void {
    if (this.watch !== undefined || this.isClosed) return
    const { store, configurations, logger } = this.parts
    const watch = store.watch(configurations.headKey, fromRevision)
    this.watch = watch
    watch.onDidChange(() => runDetached(() => this.update(), logger, 'read-head'))
    watch.onDidEnd((end) => {
      // A cut or compacted watch may have missed changes: the head is read anew
      // and tells all that matters, since only the newest version counts.
      logger.log(LogLevel.Warn, { step: 'watch-head', peer: 'store', end }, 'watch ended')
      watch.close()
      if (this.watch === watch) this.watch = undefined
      this.scheduleRead(true)
    })
  }

  private scheduleRead (isBroken = false): void {
    if (this.isClosed) return
    this.timer?.close()
    this.timer = this.parts.clock.schedule(this.computeNextRead(isBroken), () => this.readIfDue())
  }

  private computeNextRead (isBroken: boolean): Instant {
    const { keeper, members, random } = this.parts
    return computeNextStoreRead({
      isWatcher: this.isWatching,
      nodeCount: members.list().length,
      confirmedAt: keeper.confirmedAt,
      lastReadAt: this.lastReadAt,
      hasLastReadFailed: isBroken || this.lastFailure !== undefined,
      hasConfiguration: keeper.current !== undefined
    }, random)
  }

  /** Peers may have confirmed the version since the timer was set. */
  private readIfDue (): void {
    const at = this.computeNextRead(this.isWatching && this.watch === undefined)
    if (!this.isWatching && !hasPassed(at, this.parts.clock.now())) {
      this.scheduleRead()
      return
    }
    runDetached(() => this.update(), this.parts.logger, 'read-head')
  }
}
