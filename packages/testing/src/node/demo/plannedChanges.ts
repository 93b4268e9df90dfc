/** What operators do during the demo: patches, a worker that leaves, the drain of a failure domain. */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline } from '@umberspar/base/common/deadline'
import { HistoryEventKind } from '../../common/history/historyEvent.js'
import type { PlannedEvent } from '../../common/history/historyEvent.js'
import type { LocalDeployment } from '../deployment/localDeployment.js'
import { waitForCondition } from '../load/polling.js'
import type { FleetWorker } from '../standIns/upstreamFleetStandIn.js'
import { waitUntil } from '../waiting.js'

/** What the planned changes showed. */
export interface ChangeTimes {
  /** From the patch's call until it was in force at every entry VM, in milliseconds. */
  readonly inForceMs: number
  readonly version: number
}

/** How the drain of a failure domain went. */
export interface DrainTimes {
  /** From the patch's call until every entry VM said that the domain is safe to stop, in milliseconds. */
  readonly drainMs: number
  readonly workers: number
}

/** Seldom enough that the questions do not delay the callers of a run in one process. */
const POLL_MS = 50
const IN_FORCE_WITHIN_MS = 16_000
const DRAIN_WITHIN_MS = 40_000
/** How long a worker that leaves stays away; longer than the grace in which it may still get work. */
const WORKER_LEAVE_MS = 4000
const CONFLICT_STATUS = 409

/** Carries out the planned changes of one run; each rejects with the reason if it fails. */
export class PlannedChanges {
  private changes = 0

  /**
   * @param deployment what is changed
   * @param seed makes the ids of changes repeatable
   */
  constructor (
    private readonly deployment: LocalDeployment,
    private readonly seed: number
  ) {}

  /**
   * Patches the configuration at one entry VM.
   * @param patch JSON Merge Patch
   * @param note why
   * @returns when every entry VM has the new version in force, how long it took
   */
  async patch (patch: object, note: string): Promise<ChangeTimes> {
    const { clock, operators } = this.deployment
    const addresses = this.deployment.listOperatorAddresses()
    const [first = ''] = addresses
    const startedAt = clock.now()
    const baseVersion = await operators.readVersion(first)
    const answer = await operators.patch(first, { baseVersion, changeId: this.createChangeId(), patch, note })
    const { version } = answer
    if (version === undefined) throw new Error(`the patch '${note}' was refused with ${answer.status}: ${answer.text}`)
    // A version never goes back, so an entry VM that has it need not be asked again.
    const behind = new Set(addresses)
    const isInForce = async (): Promise<boolean> => {
      await Promise.all([...behind].map(async (address) => {
        if (await operators.readVersion(address) >= version) behind.delete(address)
      }))
      return behind.size === 0
    }
    const isDone = await waitForCondition(clock, createDeadline(startedAt, IN_FORCE_WITHIN_MS), POLL_MS, isInForce)
    if (!isDone) throw new Error(`version ${version} is not in force everywhere within ${IN_FORCE_WITHIN_MS} ms`)
    return { inForceMs: clock.now() - startedAt, version }
  }

  /**
   * Sends a patch against a version that is no longer in force.
   * @param baseVersion the stale version
   */
  async checkStalePatch (baseVersion: number): Promise<void> {
    const address = this.deployment.listOperatorAddresses().at(-1) ?? ''
    const call = { baseVersion, changeId: this.createChangeId(), patch: { lookupCacheMs: 1 }, note: 'stale' }
    const { status, text } = await this.deployment.operators.patch(address, call)
    if (status !== CONFLICT_STATUS) throw new Error(`a patch against stale version ${baseVersion} was answered with ${status}: ${text}`)
  }

  /**
   * One worker announces by itself that it leaves, and comes back some seconds later.
   * @param failureDomain where
   * @returns the worker's id, after it is back
   */
  async drainWorker (failureDomain: string): Promise<string> {
    const { clock, platform } = this.deployment
    const [member] = platform.fleet.listDomain(failureDomain)
    if (member === undefined) throw new Error(`no worker in ${failureDomain}`)
    this.record(HistoryEventKind.DrainAnnounced, [member.workerId])
    member.worker.startDrain()
    await waitUntil(clock, clock.now() + WORKER_LEAVE_MS)
    this.record(HistoryEventKind.DrainWithdrawn, [member.workerId])
    member.worker.stopDrain()
    return member.workerId
  }

  /**
   * Drains a failure domain and then stops its workers.
   * @param failureDomain which
   * @returns how long it took until the domain was safe to stop
   */
  async drainDomain (failureDomain: string): Promise<DrainTimes> {
    const { clock, platform } = this.deployment
    const startedAt = clock.now()
    await this.patch({ drains: { failureDomains: [failureDomain] } }, `drain ${failureDomain}`)
    const isSafe = (): Promise<boolean> => this.isSafeEverywhere(failureDomain)
    if (!await waitForCondition(clock, createDeadline(startedAt, DRAIN_WITHIN_MS), POLL_MS, isSafe)) {
      throw new Error(`${failureDomain} is not safe to stop within ${DRAIN_WITHIN_MS} ms`)
    }
    const drainMs = clock.now() - startedAt
    const members = platform.fleet.listDomain(failureDomain)
    await this.stopWorkers(members)
    return { drainMs, workers: members.length }
  }

  private async stopWorkers (members: readonly FleetWorker[]): Promise<void> {
    const workerIds = members.map(({ workerId }) => workerId)
    this.record(HistoryEventKind.SafeToStop, workerIds)
    this.record(HistoryEventKind.StopStarted, workerIds)
    await Promise.all(members.map(({ worker }) => worker.close()))
    this.record(HistoryEventKind.StopEnded, workerIds)
  }

  private async isSafeEverywhere (failureDomain: string): Promise<boolean> {
    const { operators } = this.deployment
    const views = await Promise.all(this.deployment.listOperatorAddresses().map((address) => operators.listDrains(address)))
    return views.every((drains) => drains.some(({ target, isSafeToStop }) => target === failureDomain && isSafeToStop))
  }

  private record (kind: PlannedEvent['kind'], targets: readonly string[]): void {
    const at: Instant = this.deployment.clock.now()
    this.deployment.history.record({ kind, at, targets })
  }

  private createChangeId (): string {
    this.changes += 1
    return `demo-${this.seed}-${this.changes}`
  }
}
