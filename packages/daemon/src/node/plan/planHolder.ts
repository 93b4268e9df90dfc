/**
 * Advances the plans while this node holds their lease: gets and renews the
 * lease, feeds the planner, and carries its effects to the store.
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
import { INITIAL_PLANNER, type PlannerEffect, PlannerEffectKind, type PlannerEvent, PlannerEventKind, type PlannerState } from '@umberspar/steering/common/plan/plannerState'
import type { ConfigurationKeeper } from '../configuration/configurationKeeper.js'
import type { PlanKeeper } from '../places/planKeeper.js'
import type { MeasurementBoard } from './measurementBoard.js'
import type { Holding, PlanStore } from './planStore.js'

/** Nodes that ask for the lease; more would only read the store in vain. */
const CANDIDATES = 3
const CANDIDATE_SPAN_MS = 1000
const CANDIDATE_JITTER = 0.3
const LEASE_SECONDS = 5
/** Three renewals may fail before the lease lapses. */
const RENEW_SPAN_MS = 1200
const CALL_SPAN_MS = 1000
/** How often the planner looks while something moves, and otherwise. */
const MOVING_SPAN_MS = 20
const IDLE_SPAN_MS = 100
const PLACES_SPAN_MS = 250
/** Peers are asked for measurements at most this often. */
const MEASURE_SPAN_MS = 100
const STORE_RETRY_SPAN_MS = 500

/** What the holder works with. */
export interface PlanHolderParts {
  readonly nodeId: string
  readonly store: PlanStore
  readonly plans: PlanKeeper
  readonly board: MeasurementBoard
  readonly keeper: ConfigurationKeeper
  readonly clock: IClock
  readonly random: IRandomSource
  readonly logger: ILogger
  /** Whether this node serves; one that leaves gives the lease up. */
  readonly isLive: () => boolean
  /** Asks all peers for their measurements. */
  readonly measure: () => Promise<void>
  /** Hands a service's newest plan to all peers. */
  readonly push: (service: string) => Promise<void>
}

type EffectHandler = (effect: PlannerEffect) => Promise<void>

/** One node's part in holding the plan. */
export class PlanHolder implements IClosable {
  private state: PlannerState = INITIAL_PLANNER
  private holding: Holding | undefined
  /** Revisions of the plans' keys, for compare-and-swap. */
  private readonly revisions = new Map<string, { readonly version: number, readonly modRevision: number }>()
  private timer: ITimer | undefined
  private adoption: IClosable | undefined
  private isRunning = false
  private nextRenewal: Deadline = 0
  private nextPlaces: Deadline = 0
  private nextMeasurement: Deadline = 0
  private retryStoreAt: Deadline | undefined
  private isBusy = false
  private isClosed = false

  constructor (private readonly parts: PlanHolderParts) {}

  /** @returns the epoch if this node holds the plan */
  get epoch (): number | undefined {
    return this.holding?.epoch
  }

  /** Begins to ask for the lease where it is this node's part. */
  start (): void {
    this.adoption = this.parts.keeper.onDidAdopt(() => this.runSoon())
    this.schedule(CANDIDATE_SPAN_MS * this.parts.random.next())
  }

  async close (): Promise<void> {
    this.isClosed = true
    this.adoption?.close()
    this.timer?.close()
    await this.release()
  }

  private schedule (spanMs: number): void {
    if (this.isClosed) return
    this.timer = this.parts.clock.schedule(createDeadline(this.parts.clock.now(), spanMs), () => {
      this.isRunning = true
      runDetached(() => this.runRound().finally(() => this.finishRound()), this.parts.logger, 'hold-plan')
    })
  }

  private finishRound (): void {
    this.isRunning = false
    this.scheduleNext()
  }

  /** A drain begins with its first step, not with the next idle round. */
  private runSoon (): void {
    if (this.holding === undefined || this.isRunning) return
    this.timer?.close()
    this.schedule(0)
  }

  private scheduleNext (): void {
    if (this.holding === undefined) this.schedule(addJitter(this.parts.random, CANDIDATE_SPAN_MS, CANDIDATE_JITTER))
    else this.schedule(this.isBusy ? MOVING_SPAN_MS : IDLE_SPAN_MS)
  }

  private async runRound (): Promise<void> {
    if (!this.parts.isLive()) await this.release()
    else if (this.holding === undefined) await this.acquire()
    else await this.runHolder(this.holding)
  }

  private isCandidate (): boolean {
    const heard = this.parts.board.listMembers().filter((member) => member.isHeard).map((member) => member.nodeId)
    return rankByRendezvous('plan-holder', heard).slice(0, CANDIDATES).includes(this.parts.nodeId)
  }

  private async acquire (): Promise<void> {
    const { store, nodeId, logger, clock } = this.parts
    if (!this.isCandidate() || this.parts.keeper.current === undefined) return
    const holder = await store.readHolder(this.createDeadline())
    if (!holder.ok || holder.val !== 0) return
    const acquired = await store.acquire(nodeId, LEASE_SECONDS, this.createDeadline())
    if (!acquired.ok) logError(logger, LogLevel.Warn, acquired.val)
    if (!acquired.ok || acquired.val === undefined) return
    const listed = await store.list(this.createDeadline())
    if (!listed.ok || this.isClosed) {
      await store.release(acquired.val, this.createDeadline())
      return
    }
    this.holding = acquired.val
    this.nextRenewal = createDeadline(clock.now(), RENEW_SPAN_MS)
    const documents = listed.val.plans.map((plan) => plan.document)
    for (const { document, modRevision } of listed.val.plans) this.recordRevision(document, modRevision)
    for (const document of documents) this.parts.plans.accept(document)
    logger.log(LogLevel.Info, { step: 'hold-plan', epoch: acquired.val.epoch }, 'this node holds the plan')
    const wallOffsetMs = clock.getWallTime() - clock.now()
    this.apply({ kind: PlannerEventKind.LeaseGained, epoch: acquired.val.epoch, deadline: acquired.val.lease.deadline, documents, wallOffsetMs })
  }

  private async release (): Promise<void> {
    const held = this.holding
    if (held === undefined) return
    this.clearHolding('given up')
    await this.parts.store.release(held, this.createDeadline())
  }

  private clearHolding (reason: string): void {
    this.parts.logger.log(LogLevel.Info, { step: 'hold-plan', epoch: this.holding?.epoch }, `the plan's lease: ${reason}`)
    this.holding = undefined
    this.retryStoreAt = undefined
    this.apply({ kind: PlannerEventKind.LeaseLost })
  }

  private async runHolder (holding: Holding): Promise<void> {
    const now = this.parts.clock.now()
    if (hasPassed(holding.lease.deadline, now)) {
      this.clearHolding('lapsed')
      return
    }
    if (hasPassed(this.nextRenewal, now)) {
      this.nextRenewal = createDeadline(now, RENEW_SPAN_MS)
      runDetached(() => this.renew(holding), this.parts.logger, 'renew-plan-lease')
    }
    if (this.retryStoreAt !== undefined && hasPassed(this.retryStoreAt, now)) {
      this.retryStoreAt = undefined
      this.apply({ kind: PlannerEventKind.StoreUp })
    }
    this.observe(now)
    this.apply({ kind: PlannerEventKind.Tick })
  }

  private async renew (holding: Holding): Promise<void> {
    const renewed = await this.parts.store.renew(holding, this.createDeadline())
    if (this.holding?.epoch !== holding.epoch) return
    if (!renewed.ok) logError(this.parts.logger, LogLevel.Warn, renewed.val)
    else if (renewed.val === undefined) this.clearHolding('lapsed')
    else {
      this.holding = { ...this.holding, lease: renewed.val }
      this.apply({ kind: PlannerEventKind.LeaseRenewed, deadline: renewed.val.deadline })
    }
  }

  /** Tells the planner what this node knows now. */
  private observe (now: number): void {
    const { board, keeper } = this.parts
    const current = keeper.current
    if (current !== undefined && current.head.version !== this.state.configuration?.version) {
      this.apply({ kind: PlannerEventKind.Configuration, version: current.head.version, body: current.body })
    }
    board.update()
    this.apply({ kind: PlannerEventKind.Members, members: board.measurements.members })
    for (const measurement of board.measurements.byNode.values()) this.apply({ kind: PlannerEventKind.Measured, measurement })
    if (!hasPassed(this.nextPlaces, now)) return
    this.nextPlaces = createDeadline(now, PLACES_SPAN_MS)
    this.apply({ kind: PlannerEventKind.Places, places: board.places })
  }

  private apply (event: PlannerEvent): void {
    const { state, effects } = stepPlanner(this.state, event, this.parts.clock.now())
    this.state = state
    if (event.kind === PlannerEventKind.Tick) this.isBusy = effects.length > 0 || state.pending.size > 0 || this.isMoving()
    for (const effect of effects) {
      const handle = this.handlers[effect.kind]
      runDetached(() => handle(effect), this.parts.logger, effect.kind)
    }
  }

  private isMoving (): boolean {
    for (const plan of this.state.plans.values()) {
      if (plan.isMoving) return true
    }
    return false
  }

  private readonly handlers: Readonly<Record<PlannerEffectKind, EffectHandler>> = {
    [PlannerEffectKind.WritePlan]: (effect) => effect.kind === PlannerEffectKind.WritePlan ? this.writePlan(effect.document) : Promise.resolve(),
    [PlannerEffectKind.ReadPlan]: (effect) => effect.kind === PlannerEffectKind.ReadPlan ? this.readPlan(effect.service) : Promise.resolve(),
    [PlannerEffectKind.Measure]: () => this.measure()
  }

  private async writePlan (document: PlanDocument): Promise<void> {
    const { store, logger, plans } = this.parts
    const holding = this.holding
    if (holding === undefined) return
    const { service, version } = document
    const known = this.revisions.get(service)
    const base = known?.version === version - 1 ? known.modRevision : 0
    const written = await store.write(document, base, holding, this.createDeadline())
    if (written.ok && written.val !== undefined) {
      this.recordRevision(document, written.val)
      logger.log(LogLevel.Info, { step: 'write-plan', service, version, epoch: document.epoch }, 'the plan took a step')
      this.apply({ kind: PlannerEventKind.PlanSeen, document })
      plans.accept(document)
      await this.parts.push(service)
      return
    }
    if (!written.ok) logError(logger, LogLevel.Warn, written.val)
    else await this.checkHolder(holding)
    if (this.holding?.epoch === holding.epoch) this.apply({ kind: PlannerEventKind.WriteFailed, service })
  }

  /** A refused write may mean that another node holds the plan by now. */
  private async checkHolder (holding: Holding): Promise<void> {
    const holder = await this.parts.store.readHolder(this.createDeadline())
    if (holder.ok && holder.val !== holding.holderRevision && this.holding?.epoch === holding.epoch) this.clearHolding('another node has it')
  }

  private async readPlan (service: string): Promise<void> {
    const read = await this.parts.store.read(service, this.createDeadline())
    if (!read.ok) {
      logError(this.parts.logger, LogLevel.Warn, read.val)
      this.retryStoreAt = createDeadline(this.parts.clock.now(), STORE_RETRY_SPAN_MS)
      this.apply({ kind: PlannerEventKind.StoreDown })
      return
    }
    if (read.val === undefined) {
      // The first version's write had no effect: it is decided anew.
      this.state = { ...this.state, pending: new Map([...this.state.pending].filter(([name]) => name !== service)) }
      return
    }
    const { document, modRevision } = read.val
    this.recordRevision(document, modRevision)
    this.apply({ kind: PlannerEventKind.PlanSeen, document })
    this.parts.plans.accept(document)
  }

  private async measure (): Promise<void> {
    if (!hasPassed(this.nextMeasurement, this.parts.clock.now())) return
    this.nextMeasurement = createDeadline(this.parts.clock.now(), MEASURE_SPAN_MS)
    // A peer that hangs must not keep the others from being asked again.
    await this.parts.measure()
  }

  private recordRevision (document: PlanDocument, modRevision: number): void {
    this.revisions.set(document.service, { version: document.version, modRevision })
  }

  private createDeadline (): Deadline {
    return createDeadline(this.parts.clock.now(), CALL_SPAN_MS)
  }
}
