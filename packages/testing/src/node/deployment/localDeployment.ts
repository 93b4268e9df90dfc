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
import type { DaemonSettings } from '@umberspar/platform/node/settings/daemonSettings'
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import { HistoryRecorder } from '../../common/history/historyEvent.js'
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

  private constructor (
    readonly platform: PlatformStandIns,
    readonly clock: IClock
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
    const deployment = new LocalDeployment(platform, clock)
    try {
      deployment.recordWorkers()
      await deployment.startDaemons(files.settings, options)
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

  private async startDaemons (settings: readonly DaemonSettings[], options: LocalDeploymentOptions): Promise<void> {
    const logger = options.logger ?? NULL_LOGGER
    for (const [index, each] of settings.entries()) {
      const random = new SeededRandom(options.seed + index)
      const complete = addPlatform(each, this.platform.addresses)
      const daemon = this.closing.add(createDaemon(complete, { logger, clock: this.clock, random }))
      this.entries.push({ settings: complete, daemon })
    }
    const started = await Promise.all(this.entries.map(({ daemon }) => daemon.start()))
    const failed = started.find((result) => !result.ok)
    if (failed !== undefined && !failed.ok) throw failed.val
  }
}
