/** A whole deployment in one process, on loopback: the platform's stand-ins and the entry daemons. */
import type { IClosable } from '@umberspar/base/common/closing'
import { CloseStack } from '@umberspar/base/common/closing'
import type { IClock } from '@umberspar/base/common/clock'
import { createDeadline } from '@umberspar/base/common/deadline'
import type { ILogger } from '@umberspar/base/common/logger'
import { LogLevel, NULL_LOGGER } from '@umberspar/base/common/logger'
import { SeededRandom } from '@umberspar/base/common/random'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { createDaemon } from '@umberspar/daemon/node/daemon'
import type { Daemon } from '@umberspar/daemon/node/daemon'
import type { DaemonSettings } from '@umberspar/adapters/node/settings/daemonSettings'
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import { HistoryEventKind, HistoryRecorder } from '../../common/history/historyEvent.js'
import type { DeploymentName } from '../../common/load/mixes.js'
import { waitForCondition } from '../load/polling.js'
import { buildEntryVm } from '../standIns/entrySettings.js'
import { PlatformStandIns } from '../standIns/platformStandIns.js'
import { addPlatform, loadDeploymentFiles } from './deploymentFiles.js'
import { ExecutionRecorder } from './executionRecorder.js'
import { OperatorCalls } from './operatorCalls.js'
import { buildConnectionsCounted, buildLimitDeclared } from './workerLimits.js'

/** What to start. */
export interface LocalDeploymentOptions {
  readonly deployment: DeploymentName
  readonly seed: number
  /** Entry VMs; 12 if left out. */
  readonly entries?: number
  readonly clock?: IClock
  readonly logger?: ILogger
  /** How long changes of the VM list take to appear, in milliseconds. */
  readonly vmListLagSpanMs?: number
}

/** One entry VM of the deployment. */
export interface LocalEntry {
  readonly settings: DaemonSettings
  readonly daemon: Daemon
}

const DEFAULT_ENTRIES = 12
const DEFAULT_VM_LIST_LAG_MS = 1000
const POLL_MS = 20

/** The running deployment; owns and closes all of it. */
export class LocalDeployment implements IClosable {
  /** What the workers did since the start, and what callers add. */
  readonly history = new HistoryRecorder()
  readonly operators = new OperatorCalls()
  readonly entries: LocalEntry[] = []
  private readonly closing = new CloseStack()

  private created = 0

  private constructor (
    readonly platform: PlatformStandIns,
    readonly clock: IClock,
    private readonly options: LocalDeploymentOptions
  ) {
    this.closing.add(platform)
    this.closing.add(this.operators)
  }

  /** The configuration as it stood at the start, with the workers' addresses. */
  get configuration (): SteeringConfiguration {
    return this.platform.configuration
  }

  /**
   * Starts stand-ins and daemons.
   * @param options what to start
   * @returns the deployment, once all daemons listen; rejects if one can't
   */
  static async start (options: LocalDeploymentOptions): Promise<LocalDeployment> {
    const clock = options.clock ?? new SystemClock()
    const files = await loadDeploymentFiles(options.deployment, options.entries ?? DEFAULT_ENTRIES, LogLevel.Warn)
    const platform = await PlatformStandIns.start({
      configurationInput: files.configurationInput,
      keyPrefix: files.settings[0]?.store.keyPrefix ?? `/umberspar/${options.deployment}/`,
      entryVms: files.settings.map(buildEntryVm),
      vmListLagSpanMs: options.vmListLagSpanMs ?? DEFAULT_VM_LIST_LAG_MS,
      clock,
      seed: options.seed
    })
    const deployment = new LocalDeployment(platform, clock, options)
    try {
      deployment.recordWorkers()
      await deployment.startDaemons(files.settings)
      return deployment
    } catch (failure) {
      await deployment.close()
      throw failure
    }
  }

  /** @returns `host:port` of every callers' listener */
  listCallerAddresses (): string[] {
    return this.entries.map(({ settings }) => settings.callers.address)
  }

  /** @returns `host:port` of every operators' listener */
  listOperatorAddresses (): string[] {
    return this.entries.map(({ settings }) => settings.operators.address)
  }

  /**
   * @param spanMs how long to wait at most
   * @returns whether every daemon is ready and sees all the others as live
   */
  waitUntilReady (spanMs: number): Promise<boolean> {
    const isReady = async (): Promise<boolean> => {
      if (!this.entries.every(({ daemon }) => daemon.isReady())) return false
      const counts = await Promise.all(this.listOperatorAddresses().map((address) => this.operators.countLive(address)))
      return counts.every((count) => count === this.entries.length)
    }
    return waitForCondition(this.clock, createDeadline(this.clock.now(), spanMs), POLL_MS, isReady)
  }

  /** Adds the peaks of connections to the history, for the check of limits. */
  recordConnectionPeaks (): void {
    const at = this.clock.now()
    for (const { workerId, worker } of this.platform.fleet.listWorkers()) {
      const limits = buildLimitDeclared(this.configuration, workerId, at)
      if (limits !== undefined) this.history.record(buildConnectionsCounted(limits, worker.getGauges(), at))
    }
  }

  /**
   * Stops an entry VM as planned, and says so in the history.
   * @param settings whose
   */
  async stopEntry (settings: DaemonSettings): Promise<void> {
    const targets = [settings.callers.address]
    this.history.record({ kind: HistoryEventKind.StopStarted, at: this.clock.now(), targets })
    await this.entries.find((entry) => entry.settings === settings)?.daemon.stop()
    this.history.record({ kind: HistoryEventKind.StopEnded, at: this.clock.now(), targets })
  }

  /**
   * Starts an entry VM again that was stopped or closed; rejects if it can't.
   * @param settings whose
   */
  async startEntry (settings: DaemonSettings): Promise<void> {
    const index = this.entries.findIndex((entry) => entry.settings === settings)
    const entry = this.createEntry(settings)
    this.entries[index] = entry
    const started = await entry.daemon.start()
    if (!started.ok) throw started.val
  }

  /** Closes daemons and stand-ins, the last started first. */
  async close (): Promise<void> {
    await this.closing.close()
  }

  private recordWorkers (): void {
    const { fleet } = this.platform
    const recorder = new ExecutionRecorder(this.history, (workerId) => fleet.findWorker(workerId)?.service ?? '')
    this.closing.add(fleet.onDidExecute((event) => recorder.handle(event)))
    const at = this.clock.now()
    for (const { workerId } of fleet.listWorkers()) {
      const limits = buildLimitDeclared(this.configuration, workerId, at)
      if (limits !== undefined) this.history.record(limits)
    }
  }

  private async startDaemons (settings: readonly DaemonSettings[]): Promise<void> {
    for (const each of settings) this.entries.push(this.createEntry(addPlatform(each, this.platform.addresses)))
    const started = await Promise.all(this.entries.map(({ daemon }) => daemon.start()))
    const failed = started.find((result) => !result.ok)
    if (failed !== undefined && !failed.ok) throw failed.val
  }

  private createEntry (settings: DaemonSettings): LocalEntry {
    const random = new SeededRandom(this.options.seed + this.created)
    this.created += 1
    const { clock } = this
    const logger = this.options.logger ?? NULL_LOGGER
    return { settings, daemon: this.closing.add(createDaemon(settings, { logger, clock, random })) }
  }
}
