/** Daemons in processes of their own, their platform, the links between regions, and the flow of patches. */
import { CloseStack, type IClosable } from '@umberspar/base/common/closing'
import type { IClock, Instant } from '@umberspar/base/common/clock'
import { createDeadline } from '@umberspar/base/common/deadline'
import { LogLevel } from '@umberspar/base/common/logger'
import type { DaemonSettings } from '@umberspar/adapters/node/settings/daemonSettings'
import { addPlatform, loadDeploymentFiles } from '../deployment/deploymentFiles.js'
import { OperatorCalls } from '../deployment/operatorCalls.js'
import { RegionalNetwork } from '../deployment/regionalNetwork.js'
import { waitForCondition } from '../load/polling.js'
import { buildEntryVm } from '../standIns/entrySettings.js'
import { PlatformStandIns } from '../standIns/platformStandIns.js'
import { waitUntil } from '../waiting.js'
import { ChildDaemon } from './childDaemon.js'
import type { MeasureOptions } from './measurement.js'
import { VersionObserver } from './versionObserver.js'

const ENTRIES = 12
const READY_WITHIN_MS = 60_000
const POLL_MS = 50
const PATCH_WITHIN_MS = 60_000
const RETRY_AFTER_MS = 200
const BASE_CACHE_MS = 1000
const ACCEPTED_STATUS = 200

/** A change that an operator had accepted. */
export interface AcceptedPatch {
  readonly version: number
  /** When the attempt that was accepted was sent. */
  readonly sentAt: Instant
  readonly attempts: number
}

/** The fleet of a control measurement. */
export class ControlFleet implements IClosable {
  readonly observer: VersionObserver
  private readonly daemons = new Map<string, ChildDaemon>()
  private readonly held = new Set<string>()
  private readonly operators = new OperatorCalls()
  private changes = 0

  private constructor (
    readonly platform: PlatformStandIns,
    readonly network: RegionalNetwork,
    private readonly clock: IClock,
    private readonly closing: CloseStack
  ) {
    this.observer = closing.add(new VersionObserver(clock))
    closing.add(this.operators)
  }

  /**
   * @param options which deployment
   * @param clock the source of time
   * @returns the fleet, once all daemons are ready and see each other
   */
  static async start (options: MeasureOptions, clock: IClock): Promise<ControlFleet> {
    const closing = new CloseStack()
    const files = await loadDeploymentFiles(options.deployment, ENTRIES, LogLevel.Error)
    const keyPrefix = files.settings[0]?.store.keyPrefix ?? ''
    const platform = closing.add(await PlatformStandIns.start({ configurationInput: files.configurationInput, keyPrefix, entryVms: files.settings.map(buildEntryVm), seed: options.seed }))
    const settings = files.settings.map((each) => addPlatform(each, platform.addresses))
    const network = closing.add(await RegionalNetwork.start(settings, platform.addresses.store))
    const fleet = new ControlFleet(platform, network, clock, closing)
    try {
      await Promise.all(network.settings.map((each) => fleet.startDaemon(each.nodeId)))
      for (const each of network.settings) fleet.observer.start(each.nodeId, each.operators.address)
      await fleet.waitUntilReady()
      return fleet
    } catch (failure) {
      await fleet.close()
      throw failure
    }
  }

  /** @returns the ids of all daemons, running or not */
  listNodeIds (region?: string): string[] {
    return this.network.settings.filter((each) => region === undefined || each.region === region).map((each) => each.nodeId)
  }

  /** @returns the regions */
  listRegions (): string[] {
    return [...new Set(this.network.settings.map((each) => each.region))]
  }

  /** Starts a daemon that does not run. */
  async startDaemon (nodeId: string): Promise<void> {
    this.daemons.set(nodeId, await ChildDaemon.spawn(this.findSettings(nodeId)))
  }

  /** Kills a daemon's process. */
  async cancelDaemon (nodeId: string): Promise<void> {
    const daemon = this.daemons.get(nodeId)
    this.daemons.delete(nodeId)
    await daemon?.program.stopAtOnce()
    await daemon?.close()
  }

  /** Pauses a daemon's process. */
  holdDaemon (nodeId: string): void {
    this.daemons.get(nodeId)?.program.hold()
    this.held.add(nodeId)
  }

  /** Lets a paused process go on. */
  releaseDaemon (nodeId: string): void {
    this.daemons.get(nodeId)?.program.release()
    this.held.delete(nodeId)
  }

  /** @returns when a daemon says that it is ready */
  async waitUntilDaemonReady (nodeId: string): Promise<void> {
    await this.daemons.get(nodeId)?.waitUntilReady(this.clock)
  }

  /** @returns the processor time that all daemons have taken so far, in seconds */
  async readCpuSeconds (): Promise<number> {
    const each = await Promise.all([...this.daemons.values()].map((daemon) => daemon.program.readCpuSeconds()))
    return each.reduce((sum, seconds) => sum + seconds, 0)
  }

  /**
   * Has one change accepted, as an operator's client does: the same change id is
   * sent again after a lost answer or a refusal for lack of the store.
   * @param nodeIds the daemons that the operator may ask
   * @returns the change; undefined if it was not accepted in time
   */
  async patch (nodeIds: readonly string[]): Promise<AcceptedPatch | undefined> {
    const changeId = `control-${this.changes++}`
    const deadline = createDeadline(this.clock.now(), PATCH_WITHIN_MS)
    for (let attempt = 1; this.clock.now() < deadline; attempt++) {
      const address = this.findSettings(nodeIds[attempt % nodeIds.length] ?? '').operators.address
      const sentAt = this.clock.now()
      const version = await this.sendPatch(address, changeId)
      if (version !== undefined) return { version, sentAt, attempts: attempt }
      await waitUntil(this.clock, this.clock.now() + RETRY_AFTER_MS)
    }
    return undefined
  }

  /**
   * @param version a version
   * @param nodeIds daemons
   * @param spanMs how long to wait at most
   * @returns when the last of them had it in force; undefined if one has it not
   */
  async waitUntilInForce (version: number, nodeIds: readonly string[], spanMs: number): Promise<Instant | undefined> {
    const listSeen = (): Array<Instant | undefined> => nodeIds.map((nodeId) => this.observer.getSeenAt(nodeId, version))
    const isDone = await waitForCondition(this.clock, createDeadline(this.clock.now(), spanMs), POLL_MS, () => listSeen().every((at) => at !== undefined))
    return isDone ? Math.max(...listSeen().map((at) => at ?? 0)) : undefined
  }

  async close (): Promise<void> {
    for (const nodeId of [...this.held]) this.releaseDaemon(nodeId)
    await Promise.all([...this.daemons.values()].map((daemon) => daemon.program.stopAtOnce().then(() => daemon.close())))
    await this.closing.close()
  }

  private async waitUntilReady (): Promise<void> {
    for (const nodeId of this.listNodeIds()) await this.waitUntilDaemonReady(nodeId)
    const isWhole = async (): Promise<boolean> => {
      const counts = await Promise.all(this.network.settings.map((each) => this.operators.countLive(each.operators.address)))
      return counts.every((count) => count === ENTRIES)
    }
    if (!await waitForCondition(this.clock, createDeadline(this.clock.now(), READY_WITHIN_MS), POLL_MS, isWhole)) throw new Error('the daemons do not see each other')
  }

  private async sendPatch (address: string, changeId: string): Promise<number | undefined> {
    try {
      const baseVersion = await this.operators.readVersion(address)
      const patch = { lookupCacheMs: BASE_CACHE_MS + this.changes }
      const answer = await this.operators.patch(address, { baseVersion, changeId, patch, note: 'measure' })
      return answer.status === ACCEPTED_STATUS ? answer.version : undefined
    } catch {
      return undefined
    }
  }

  private findSettings (nodeId: string): DaemonSettings {
    const found = this.network.settings.find((each) => each.nodeId === nodeId)
    if (found === undefined) throw new Error(`no daemon ${nodeId}`)
    return found
  }
}
