/**
 * Advances the plans while this node holds their lease: acquires and renews the
 * lease, passes events to the planner, and executes the planner's effects.
 */
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import { runDetached } from '@umberspar/base/common/detached'
import { type ILogger, logError, LogLevel } from '@umberspar/base/common/logger'
import { addJitter, type IRandomSource } from '@umberspar/base/common/random'
import { rankByRendezvous } from '@umberspar/steering/common/lookup/rendezvous'
import type { PlanDocument } from '@umberspar/steering/common/plan/planDocument'
import { stepPlanner } from '@umberspar/steering/common/plan/planner'
import { INITIAL_PLANNER_STATE, type PlannerEffect, PlannerEffectKind, type PlannerEvent, PlannerEventKind, type PlannerState } from '@umberspar/steering/common/plan/plannerState'
import { findNextSettleTime, isAwaitingMeasurements } from '@umberspar/steering/common/plan/stepTiming'
import type { ConfigurationManager } from '../configuration/configurationManager.js'
import type { PlanFollower } from '../places/planFollower.js'
import type { MeasurementCollector } from './measurementCollector.js'
import type { PlanLease, PlanStore } from './planStore.js'

/** Number of nodes that try to acquire the lease; more would only add useless reads of the store. */
const MAX_CANDIDATES = 3
const ACQUIRE_INTERVAL_MS = 1000
const ACQUIRE_JITTER_RATIO = 0.3
const LEASE_TTL_SECONDS = 5
/** Three renewals may fail before the lease expires. */
const RENEW_INTERVAL_MS = 1200
const STORE_TIMEOUT_MS = 1000
/** The planner runs at least this often; it also runs when a settle time ends and when an awaited report arrives. */
const MAX_ROUND_INTERVAL_MS = 100
const PLACES_INTERVAL_MS = 250
/** Peers are asked for measurements at most this often. */
const MIN_MEASURE_INTERVAL_MS = 100
const STORE_RETRY_DELAY_MS = 500

/** Dependencies of the holder. */
export interface PlanHolderDependencies {
  readonly nodeId: string
  readonly store: PlanStore
  readonly plans: PlanFollower
  readonly collector: MeasurementCollector
  readonly configurationManager: ConfigurationManager
  readonly clock: IClock
  readonly random: IRandomSource
  readonly logger: ILogger
  /** Whether this node serves requests; a node that is leaving gives up the lease. */
  readonly isLive: () => boolean
  /** Requests measurements from all peers. */
  readonly askForMeasurements: () => Promise<void>
  /** Pushes a service's newest plan to all peers. */
  readonly push: (service: string) => Promise<void>
}

type EffectHandler = (effect: PlannerEffect) => Promise<void>

/** Acquires the plan's lease and advances the plans while this node holds it. */
export class PlanHolder implements IClosable {
  private state: PlannerState = INITIAL_PLANNER_STATE
  private planLease: PlanLease | undefined
  /** Revisions of the plans' keys, for compare-and-swap. */
  private readonly revisions = new Map<string, { readonly version: number, readonly modRevision: number }>()
  private timer: ITimer | undefined
  private readonly subscriptions: IClosable[] = []
  private isRunning = false
  private isRunPending = false
  private nextRenewalAt: Deadline = 0
  private nextPlacesUpdateAt: Deadline = 0
  private nextMeasurementAt: Deadline = 0
  private storeRetryAt: Deadline | undefined
  private isClosed = false

  constructor (private readonly dependencies: PlanHolderDependencies) {}

  /** @returns the epoch if this node holds the plan's lease */
  get epoch (): number | undefined {
    return this.planLease?.epoch
  }

  /** Starts trying to acquire the lease while this node is a candidate. */
  start (): void {
    this.subscriptions.push(
      this.dependencies.configurationManager.onDidAdopt(() => this.runWithoutDelay()),
      this.dependencies.collector.onDidReceive(() => this.runIfAwaitingReports())
    )
    this.schedule(ACQUIRE_INTERVAL_MS * this.dependencies.random.next())
  }

  async close (): Promise<void> {
    this.isClosed = true
    for (const subscription of this.subscriptions) subscription.close()
    this.timer?.close()
    await this.release()
  }

  private schedule (delayMs: number): void {
    if (this.isClosed) return
    this.timer = this.dependencies.clock.schedule(createDeadline(this.dependencies.clock.now(), delayMs), () => {
      this.isRunning = true
      runDetached(() => this.runRound().finally(() => this.finishRound()), this.dependencies.logger, 'hold-plan')
    })
  }

  private finishRound (): void {
    this.isRunning = false
    this.scheduleNext()
    if (this.isRunPending) this.runWithoutDelay()
  }

  /** Runs a round without waiting for the next one, so that a drain begins immediately. */
  private runWithoutDelay (): void {
    this.isRunPending = this.planLease !== undefined && this.isRunning
    if (this.planLease === undefined || this.isRunning) return
    this.timer?.close()
    this.schedule(0)
  }

  /** Runs a round only if a report may allow a step; none does while all moving services are still settling. */
  private runIfAwaitingReports (): void {
    if (isAwaitingMeasurements(this.state, this.dependencies.clock.now())) this.runWithoutDelay()
  }

  private scheduleNext (): void {
    if (this.planLease === undefined) this.schedule(addJitter(this.dependencies.random, ACQUIRE_INTERVAL_MS, ACQUIRE_JITTER_RATIO))
    else {
      const now = this.dependencies.clock.now()
      this.schedule(Math.min(MAX_ROUND_INTERVAL_MS, (findNextSettleTime(this.state, now) ?? Infinity) - now))
    }
  }

  private async runRound (): Promise<void> {
    if (!this.dependencies.isLive()) await this.release()
    else if (this.planLease === undefined) await this.acquire()
    else await this.runHolder(this.planLease)
  }

  private isCandidate (): boolean {
    const liveNodeIds = this.dependencies.collector.listMembers().filter((member) => member.isLive).map((member) => member.nodeId)
    return rankByRendezvous('plan-holder', liveNodeIds).slice(0, MAX_CANDIDATES).includes(this.dependencies.nodeId)
  }

  private async acquire (): Promise<void> {
    const { store, nodeId, logger, clock } = this.dependencies
    if (!this.isCandidate() || this.dependencies.configurationManager.current === undefined) return
    const holder = await store.readHolder(this.createStoreDeadline())
    if (!holder.ok || holder.val !== 0) return
    const acquired = await store.acquire(nodeId, LEASE_TTL_SECONDS, this.createStoreDeadline())
    if (!acquired.ok) logError(logger, LogLevel.Warn, acquired.val)
    if (!acquired.ok || acquired.val === undefined) return
    const listed = await store.list(this.createStoreDeadline())
    if (!listed.ok || this.isClosed) {
      await store.release(acquired.val, this.createStoreDeadline())
      return
    }
    this.planLease = acquired.val
    this.nextRenewalAt = createDeadline(clock.now(), RENEW_INTERVAL_MS)
    const documents = listed.val.plans.map((plan) => plan.document)
    for (const { document, modRevision } of listed.val.plans) this.recordRevision(document, modRevision)
    for (const document of documents) this.dependencies.plans.accept(document)
    logger.log(LogLevel.Info, { step: 'hold-plan', epoch: acquired.val.epoch }, 'acquired the lease of the plan')
    const wallOffsetMs = clock.getWallTime() - clock.now()
    this.applyEvent({ kind: PlannerEventKind.LeaseGained, epoch: acquired.val.epoch, deadline: acquired.val.lease.deadline, documents, wallOffsetMs })
  }

  private async release (): Promise<void> {
    const planLease = this.planLease
    if (planLease === undefined) return
    this.clearPlanLease('released by this node')
    await this.dependencies.store.release(planLease, this.createStoreDeadline())
  }

  private clearPlanLease (reason: string): void {
    this.dependencies.logger.log(LogLevel.Info, { step: 'hold-plan', epoch: this.planLease?.epoch }, `the lease of the plan has ended: ${reason}`)
    this.planLease = undefined
    this.storeRetryAt = undefined
    this.applyEvent({ kind: PlannerEventKind.LeaseLost })
  }

  private async runHolder (planLease: PlanLease): Promise<void> {
    const now = this.dependencies.clock.now()
    if (hasPassed(planLease.lease.deadline, now)) {
      this.clearPlanLease('expired')
      return
    }
    if (hasPassed(this.nextRenewalAt, now)) {
      this.nextRenewalAt = createDeadline(now, RENEW_INTERVAL_MS)
      runDetached(() => this.renew(planLease), this.dependencies.logger, 'renew-plan-lease')
    }
    if (this.storeRetryAt !== undefined && hasPassed(this.storeRetryAt, now)) {
      this.storeRetryAt = undefined
      this.applyEvent({ kind: PlannerEventKind.StoreUp })
    }
    this.updatePlanner(now)
    this.applyEvent({ kind: PlannerEventKind.Tick })
  }

  private async renew (planLease: PlanLease): Promise<void> {
    const renewed = await this.dependencies.store.renew(planLease, this.createStoreDeadline())
    if (this.planLease?.epoch !== planLease.epoch) return
    if (!renewed.ok) logError(this.dependencies.logger, LogLevel.Warn, renewed.val)
    else if (renewed.val === undefined) this.clearPlanLease('expired')
    else {
      this.planLease = { ...this.planLease, lease: renewed.val }
      this.applyEvent({ kind: PlannerEventKind.LeaseRenewed, deadline: renewed.val.deadline })
    }
  }

  /** Passes the current configuration, members, measurements and places to the planner. */
  private updatePlanner (now: number): void {
    const { collector, configurationManager } = this.dependencies
    const current = configurationManager.current
    if (current !== undefined && current.head.version !== this.state.configuration?.version) {
      this.applyEvent({ kind: PlannerEventKind.Configuration, version: current.head.version, body: current.body })
    }
    collector.update()
    this.applyEvent({ kind: PlannerEventKind.Members, members: collector.measurements.members })
    for (const measurement of collector.measurements.byNode.values()) this.applyEvent({ kind: PlannerEventKind.Measured, measurement })
    if (!hasPassed(this.nextPlacesUpdateAt, now)) return
    this.nextPlacesUpdateAt = createDeadline(now, PLACES_INTERVAL_MS)
    this.applyEvent({ kind: PlannerEventKind.Places, places: collector.places })
  }

  private applyEvent (event: PlannerEvent): void {
    const { state, effects } = stepPlanner(this.state, event, this.dependencies.clock.now())
    this.state = state
    for (const effect of effects) {
      const handle = this.handlers[effect.kind]
      runDetached(() => handle(effect), this.dependencies.logger, effect.kind)
    }
  }

  private readonly handlers: Readonly<Record<PlannerEffectKind, EffectHandler>> = {
    [PlannerEffectKind.WritePlan]: (effect) => effect.kind === PlannerEffectKind.WritePlan ? this.writePlan(effect.document) : Promise.resolve(),
    [PlannerEffectKind.ReadPlan]: (effect) => effect.kind === PlannerEffectKind.ReadPlan ? this.readPlan(effect.service) : Promise.resolve(),
    [PlannerEffectKind.AskForMeasurements]: () => this.askForMeasurements()
  }

  private async writePlan (document: PlanDocument): Promise<void> {
    const { store, logger, plans } = this.dependencies
    const planLease = this.planLease
    if (planLease === undefined) return
    const { service, version } = document
    const lastRevision = this.revisions.get(service)
    const baseRevision = lastRevision?.version === version - 1 ? lastRevision.modRevision : 0
    const written = await store.write(document, baseRevision, planLease, this.createStoreDeadline())
    if (written.ok && written.val !== undefined) {
      this.recordRevision(document, written.val)
      logger.log(LogLevel.Info, { step: 'write-plan', service, version, epoch: document.epoch }, 'wrote a new version of the plan')
      this.applyEvent({ kind: PlannerEventKind.PlanSeen, document })
      plans.accept(document)
      await this.dependencies.push(service)
      return
    }
    if (!written.ok) logError(logger, LogLevel.Warn, written.val)
    else await this.checkHolder(planLease)
    if (this.planLease?.epoch === planLease.epoch) this.applyEvent({ kind: PlannerEventKind.WriteFailed, service })
  }

  /** A rejected write may mean that another node holds the lease now. */
  private async checkHolder (planLease: PlanLease): Promise<void> {
    const holder = await this.dependencies.store.readHolder(this.createStoreDeadline())
    if (holder.ok && holder.val !== planLease.holderRevision && this.planLease?.epoch === planLease.epoch) this.clearPlanLease('acquired by another node')
  }

  private async readPlan (service: string): Promise<void> {
    const read = await this.dependencies.store.read(service, this.createStoreDeadline())
    if (!read.ok) {
      logError(this.dependencies.logger, LogLevel.Warn, read.val)
      this.storeRetryAt = createDeadline(this.dependencies.clock.now(), STORE_RETRY_DELAY_MS)
      this.applyEvent({ kind: PlannerEventKind.StoreDown })
      return
    }
    if (read.val === undefined) {
      // The write of the first version had no effect; the planner decides again.
      this.state = { ...this.state, pending: new Map([...this.state.pending].filter(([name]) => name !== service)) }
      return
    }
    const { document, modRevision } = read.val
    this.recordRevision(document, modRevision)
    this.applyEvent({ kind: PlannerEventKind.PlanSeen, document })
    this.dependencies.plans.accept(document)
  }

  private async askForMeasurements (): Promise<void> {
    if (!hasPassed(this.nextMeasurementAt, this.dependencies.clock.now())) return
    this.nextMeasurementAt = createDeadline(this.dependencies.clock.now(), MIN_MEASURE_INTERVAL_MS)
    // A new exchange may start while this one still waits for a peer that doesn't answer.
    await this.dependencies.askForMeasurements()
  }

  private recordRevision (document: PlanDocument, modRevision: number): void {
    this.revisions.set(document.service, { version: document.version, modRevision })
  }

  private createStoreDeadline (): Deadline {
    return createDeadline(this.dependencies.clock.now(), STORE_TIMEOUT_MS)
  }
}
