/**
 * Follows the head in the store: reads it at start, watches it afterwards, and
 * reads anew whenever the watch breaks, so that no version is missed for long.
 */
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline } from '@umberspar/base/common/deadline'
import { runDetached } from '@umberspar/base/common/detached'
import { type ILogger, logError, LogLevel } from '@umberspar/base/common/logger'
import { addJitter, type IRandomSource } from '@umberspar/base/common/random'
import type { IKeyValueStore, IStoreWatch } from '@umberspar/steering/common/ports/keyValueStore'
import type { ConfigurationKeeper } from './configurationKeeper.js'
import type { ConfigurationStore } from './configurationStore.js'

const READ_SPAN_MS = 2000
const RETRY_SPAN_MS = 1000
const RETRY_JITTER = 0.5

/** Keeps the keeper up to date from the store. */
export class ConfigurationWatcher implements IClosable {
  private watch: IStoreWatch | undefined
  private retry: ITimer | undefined
  private isReading = false
  private isReadWanted = false
  private isClosed = false

  constructor (
    private readonly store: IKeyValueStore,
    private readonly configurations: ConfigurationStore,
    private readonly keeper: ConfigurationKeeper,
    private readonly clock: IClock,
    private readonly random: IRandomSource,
    private readonly logger: ILogger
  ) {}

  /**
   * Reads the present head and begins to watch.
   * @returns whether the store answered
   */
  async start (): Promise<boolean> {
    return await this.readOnce()
  }

  /**
   * Reads the head now, or once more after the read that is running.
   */
  async update (): Promise<void> {
    if (this.isReading) {
      this.isReadWanted = true
      return
    }
    await this.readOnce()
  }

  /** Ends the watch and all timers. */
  close (): void {
    this.isClosed = true
    this.retry?.close()
    this.watch?.close()
  }

  private async readOnce (): Promise<boolean> {
    this.isReading = true
    const isRead = await this.readHeadAndBody()
    this.isReading = false
    if (this.isClosed) return isRead
    if (!isRead) this.scheduleRetry()
    if (this.isReadWanted) {
      this.isReadWanted = false
      runDetached(() => this.readOnce(), this.logger, 'read-head')
    }
    return isRead
  }

  private async readHeadAndBody (): Promise<boolean> {
    const deadline = createDeadline(this.clock.now(), READ_SPAN_MS)
    const stored = await this.configurations.readHead(deadline)
    if (!stored.ok) {
      logError(this.logger, LogLevel.Warn, stored.val)
      return false
    }
    this.startWatch((stored.val?.modRevision ?? 0) + 1)
    if (stored.val === undefined || stored.val.head.version <= this.keeper.version) return true
    const body = await this.configurations.readBody(stored.val.head, deadline)
    if (!body.ok) {
      logError(this.logger, LogLevel.Warn, body.val)
      return false
    }
    this.keeper.apply(body.val, 'store')
    return true
  }

  private startWatch (fromRevision: number): void {
    if (this.watch !== undefined || this.isClosed) return
    const watch = this.store.watch(this.configurations.headKey, fromRevision)
    this.watch = watch
    watch.onDidChange(() => runDetached(() => this.update(), this.logger, 'read-head'))
    watch.onDidEnd((end) => {
      // A cut or compacted watch may have missed changes: the head is read anew
      // and tells all that matters, since only the newest version counts.
      this.logger.log(LogLevel.Warn, { step: 'watch-head', peer: 'store', end }, 'watch ended')
      watch.close()
      if (this.watch === watch) this.watch = undefined
      this.scheduleRetry()
    })
  }

  private scheduleRetry (): void {
    if (this.isClosed) return
    this.retry?.close()
    const at = createDeadline(this.clock.now(), addJitter(this.random, RETRY_SPAN_MS, RETRY_JITTER))
    this.retry = this.clock.schedule(at, () => runDetached(() => this.update(), this.logger, 'read-head'))
  }
}
