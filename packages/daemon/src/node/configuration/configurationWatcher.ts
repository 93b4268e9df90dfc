/**
 * Follows the head in the store. Two nodes of each region watch it. The others are
 * updated by peers and read the store only if no node has confirmed their version for
 * a long time. Every interrupted watch is followed by a read, so that the newest
 * version is never missed.
 */
import type { IClock, ITimer, Instant } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline, hasPassed } from '@umberspar/base/common/deadline'
import { runDetached } from '@umberspar/base/common/detached'
import type { StepError } from '@umberspar/base/common/errors'
import { type ILogger, logError, LogLevel } from '@umberspar/base/common/logger'
import type { IRandomSource } from '@umberspar/base/common/random'
import type { IKeyValueStore, IStoreWatch } from '@umberspar/steering/common/ports/keyValueStore'
import type { NodeLocation } from '@umberspar/steering/common/gossip/nodeLocation'
import { computeNextStoreRead } from '@umberspar/steering/common/gossip/storeReads'
import { isWatcher } from '@umberspar/steering/common/gossip/watchers'
import type { MemberDirectory } from '../members/memberDirectory.js'
import { type ConfigurationManager, ConfigurationSource } from './configurationManager.js'
import type { ConfigurationStore, StoredHead } from './configurationStore.js'

const READ_TIMEOUT_MS = 2000
/** A starting node skips reading the store if any node confirmed its version within this time. */
const MAX_CONFIRMATION_AGE_MS = 10_000
const WRITE_BACK_TIMEOUT_MS = 4000
const WRITE_BACK_NOTE = 'written back: the store had reverted to an older version'

/** The services that the watcher uses. */
export interface ConfigurationWatcherDependencies {
  readonly store: IKeyValueStore
  readonly configurations: ConfigurationStore
  readonly configurationManager: ConfigurationManager
  readonly members: MemberDirectory
  readonly self: NodeLocation
  readonly clock: IClock
  readonly random: IRandomSource
  readonly logger: ILogger
}

/** Status of following the store, for operators. */
export interface StoreFollowStatus {
  /** Whether this node is one of its region's two watchers. */
  readonly isWatching: boolean
  /** The version last read from the store; undefined before the first read. */
  readonly storeVersion: number | undefined
  /** The store has an older version than the one in force, because it was restored from a backup. */
  readonly isStoreBehind: boolean
  /** Milliseconds since any node's read of the store confirmed the version in force. */
  readonly confirmedAgeMs: number | undefined
}

/** Updates the {@link ConfigurationManager} from the store. */
export class ConfigurationWatcher implements IClosable {
  private readonly dependencies: ConfigurationWatcherDependencies
  private watch: IStoreWatch | undefined
  private timer: ITimer | undefined
  private subscription: IClosable | undefined
  private isWatching = false
  private isReading = false
  private isReadPending = false
  private isClosed = false
  private lastReadAt: Instant
  private lastFailure: StepError | undefined
  private storeVersion: number | undefined

  constructor (parts: ConfigurationWatcherDependencies) {
    this.dependencies = parts
    this.lastReadAt = parts.clock.now()
  }

  /**
   * Reads the current head, unless a peer has recently confirmed the store's version,
   * and starts following it.
   */
  async start (): Promise<void> {
    const { configurationManager, clock, members } = this.dependencies
    const isFresh = configurationManager.confirmedAt !== undefined && !hasPassed(createDeadline(configurationManager.confirmedAt, MAX_CONFIRMATION_AGE_MS), clock.now())
    if (configurationManager.current === undefined || !isFresh) await this.readOnce()
    if (this.isClosed) return
    this.subscription = members.onDidChange(() => this.updateRole())
    this.updateRole()
    this.scheduleRead()
  }

  /** Reads the head now, or again after the read in progress. */
  async update (): Promise<void> {
    if (this.isReading) {
      this.isReadPending = true
      return
    }
    await this.readOnce()
  }

  /** @returns the status of following the store */
  getStatus (): StoreFollowStatus {
    const { configurationManager, clock } = this.dependencies
    return {
      isWatching: this.isWatching,
      storeVersion: this.storeVersion,
      isStoreBehind: this.storeVersion !== undefined && this.storeVersion < configurationManager.version && this.watch !== undefined,
      confirmedAgeMs: configurationManager.confirmedAt === undefined ? undefined : Math.round(clock.now() - configurationManager.confirmedAt)
    }
  }

  /** @returns the reason why there is no configuration, for operators */
  getFailureReason (): string {
    if (this.lastFailure !== undefined) return `the store does not answer (${this.lastFailure.message}) and no peer has one`
    return this.storeVersion === 0 ? 'neither the store nor any peer has one' : 'waiting for the store and the peers'
  }

  /** Closes the watch and all timers. */
  close (): void {
    this.isClosed = true
    this.subscription?.close()
    this.timer?.close()
    this.watch?.close()
  }

  private updateRole (): void {
    const { members, self } = this.dependencies
    const isChosen = isWatcher(members.listActive(), self)
    if (isChosen === this.isWatching || this.isClosed) return
    this.isWatching = isChosen
    if (isChosen) {
      runDetached(() => this.update(), this.dependencies.logger, 'read-head')
      return
    }
    this.watch?.close()
    this.watch = undefined
  }

  private async readOnce (): Promise<void> {
    this.isReading = true
    this.lastReadAt = this.dependencies.clock.now()
    this.lastFailure = await this.readHeadAndBody()
    this.isReading = false
    if (this.isClosed) return
    if (this.lastFailure !== undefined) logError(this.dependencies.logger, LogLevel.Warn, this.lastFailure)
    this.scheduleRead()
    if (this.isReadPending) {
      this.isReadPending = false
      runDetached(() => this.readOnce(), this.dependencies.logger, 'read-head')
    }
  }

  /** @returns the failure, if any */
  private async readHeadAndBody (): Promise<StepError | undefined> {
    const { clock, configurations, configurationManager } = this.dependencies
    const askedAt = clock.now()
    const deadline = createDeadline(askedAt, READ_TIMEOUT_MS)
    const stored = await configurations.readHead(deadline)
    if (!stored.ok) return stored.val
    const version = stored.val?.head.version ?? 0
    this.storeVersion = version
    if (this.isWatching) this.startWatch((stored.val?.modRevision ?? 0) + 1)
    if (version < configurationManager.version) return await this.writeBack(stored.val)
    if (stored.val !== undefined && version > configurationManager.version) {
      const body = await configurations.readBody(stored.val.head, deadline)
      if (!body.ok) return body.val
      configurationManager.apply(body.val, 'store', { source: ConfigurationSource.Store })
    }
    configurationManager.recordConfirmed(version, askedAt)
    return undefined
  }

  /**
   * Handles a store that was restored from a backup: its head is older than the version
   * in force, and the next patch would reuse a version number. The version in force
   * is kept, and a watching node writes it back. The write is conditional on the head
   * that was read, so that only one of several watching nodes succeeds, and one whose
   * read was merely outdated by a patch changes nothing.
   */
  private async writeBack (base: StoredHead | undefined): Promise<StepError | undefined> {
    const { clock, configurations, configurationManager, logger } = this.dependencies
    const next = configurationManager.currentText
    if (!this.isWatching || next === undefined) return undefined
    const change = { base, next, note: WRITE_BACK_NOTE, atWallMs: clock.getWallTime() }
    const written = await configurations.write(change, createDeadline(clock.now(), WRITE_BACK_TIMEOUT_MS))
    if (!written.ok) return written.val
    if (!written.val) return undefined
    this.storeVersion = next.head.version
    logger.log(LogLevel.Error, { step: 'write-back', peer: 'store', storeVersion: base?.head.version ?? 0, version: next.head.version }, 'the store had reverted to an older version; the version in force was written back')
    return undefined
  }

  private startWatch (fromRevision: number): void {
    if (this.watch !== undefined || this.isClosed) return
    const { store, configurations, logger } = this.dependencies
    const watch = store.watch(configurations.headKey, fromRevision)
    this.watch = watch
    watch.onDidChange(() => runDetached(() => this.update(), logger, 'read-head'))
    watch.onDidEnd((end) => {
      // An interrupted or compacted watch may have missed changes, so the head is read
      // again. Missed versions don't matter, since only the newest one is used.
      logger.log(LogLevel.Warn, { step: 'watch-head', peer: 'store', end }, 'watch ended')
      watch.close()
      if (this.watch === watch) this.watch = undefined
      this.scheduleRead(true)
    })
  }

  private scheduleRead (isBroken = false): void {
    if (this.isClosed) return
    this.timer?.close()
    this.timer = this.dependencies.clock.schedule(this.computeNextRead(isBroken), () => this.readIfDue())
  }

  private computeNextRead (isBroken: boolean): Instant {
    const { configurationManager, members, random } = this.dependencies
    return computeNextStoreRead({
      isWatcher: this.isWatching,
      nodeCount: members.list().length,
      confirmedAt: configurationManager.confirmedAt,
      lastReadAt: this.lastReadAt,
      hasLastReadFailed: isBroken || this.lastFailure !== undefined,
      hasConfiguration: configurationManager.current !== undefined
    }, random)
  }

  /** Reads the head, unless peers have confirmed the version since the timer was set. */
  private readIfDue (): void {
    const at = this.computeNextRead(this.isWatching && this.watch === undefined)
    if (!this.isWatching && !hasPassed(at, this.dependencies.clock.now())) {
      this.scheduleRead()
      return
    }
    runDetached(() => this.update(), this.dependencies.logger, 'read-head')
  }
}
