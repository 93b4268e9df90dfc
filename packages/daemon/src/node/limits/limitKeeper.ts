/**
 * This node's parts of all limits: follows configuration and VM list, tells
 * peers which division it is bound by, and lends and borrows what is idle.
 */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline, hasPassed } from '@umberspar/base/common/deadline'
import { runDetached } from '@umberspar/base/common/detached'
import { type ILogger, LogLevel } from '@umberspar/base/common/logger'
import { addJitter, type IRandomSource } from '@umberspar/base/common/random'
import type { UndiciTransport } from '@umberspar/adapters/node/upstream/upstreamTransport'
import { buildDivisionView, type DivisionView } from '@umberspar/steering/common/limits/divisionView'
import type { SlotShare } from '@umberspar/steering/common/limits/divideSlots'
import { type LimitUse, PartKeeper } from '@umberspar/steering/common/limits/partKeeper'
import { Roster } from '@umberspar/steering/common/limits/roster'
import { StartBarrier } from '@umberspar/steering/common/limits/startBarrier'
import { findPlaceKey } from '@umberspar/steering/common/limits/slotKey'
import type { DocumentVersion } from '@umberspar/steering/common/membership/memberFacts'
import type { Digest, IPeerClient, LoanAnswer, LoanRequest, LoanReturn } from '@umberspar/steering/common/ports/peers'
import type { ConfigurationKeeper } from '../configuration/configurationKeeper.js'
import type { ListReading, MemberDirectory } from '../members/memberDirectory.js'
import type { ShareSource, PlaceDirectory } from '../places/placeDirectory.js'
import type { PlacePool } from '../places/placePool.js'
import type { WorkerProber } from '../places/workerProber.js'
import { buildLimitDocuments, findMemory, findStamp } from './limitDocuments.js'
import { LenderDirectory } from './lenderDirectory.js'
import { lendIdle } from './lendIdle.js'
import { LoanKeeper } from './loanKeeper.js'

const STEP_SPAN_MS = 200
const JITTER = 0.2
const CALL_SPAN_MS = 1000
/** How long readiness waits for parts; later they may come from peers. */
const PARTS_WITHIN_MS = 5000
const NOTHING: SlotShare = { slots: 0, connections: 0 }

/** What the keeper works with. */
export interface LimitKeeperParts {
  readonly selfId: string
  readonly region: string
  readonly places: PlaceDirectory
  readonly members: MemberDirectory
  readonly keeper: ConfigurationKeeper
  readonly client: IPeerClient
  readonly transport: UndiciTransport
  readonly prober: WorkerProber
  readonly clock: IClock
  readonly random: IRandomSource
  readonly logger: ILogger
}

/** Parts, acknowledgements and loans of this node. */
export class LimitKeeper implements IClosable, ShareSource {
  private readonly roster: Roster
  private readonly division: PartKeeper
  private readonly loans: LoanKeeper
  private readonly lenders: LenderDirectory
  private readonly startedAt: Instant
  private readonly barrier: StartBarrier
  private wasConfirmed = false
  private viewKey = ''
  /** Whether parts may have changed since they were handed out. */
  private hasChanged = false
  private isLeaving = false
  private isClosed = false
  private timer: ITimer | undefined
  private buildDigest: ((peerId: string) => Digest) | undefined

  constructor (private readonly parts: LimitKeeperParts) {
    const { selfId, client, clock, random, logger, members, places } = parts
    this.roster = new Roster()
    this.division = new PartKeeper(selfId)
    this.startedAt = clock.now()
    this.barrier = new StartBarrier(this.startedAt)
    this.lenders = new LenderDirectory(selfId, members, parts.keeper)
    this.loans = new LoanKeeper({ selfId, client, clock, random, logger, listLenders: (pool) => this.lenders.list(pool.key), applyChange: (pool) => this.applyLoans(pool) })
    members.onDidRead((reading) => this.observeList(reading))
    places.onDidRunOut((pool) => this.loans.borrow(pool))
  }

  /** @returns whether this node has its parts, or has waited long enough for them */
  get isReady (): boolean {
    return this.division.isSettled || hasPassed(createDeadline(this.startedAt, PARTS_WITHIN_MS), this.parts.clock.now())
  }

  /**
   * Begins to exchange acknowledgements.
   * @param buildDigest this node's heartbeat for a peer
   */
  start (buildDigest: (peerId: string) => Digest): void {
    this.buildDigest = buildDigest
    this.scheduleStep()
  }

  /** Follows the configuration in force. */
  update (): void {
    this.lenders.clear()
    this.updateView()
    this.applyParts()
    if (this.buildDigest !== undefined) this.exchangeWithMissing()
  }

  /** Lends whatever is idle from here on and borrows nothing more. */
  leave (): void {
    this.isLeaving = true
    this.loans.leave()
  }

  /** @inheritdoc */
  getShare (slotKey: string): SlotShare {
    return this.mayUseParts() ? this.division.getPart(slotKey) : NOTHING
  }

  /** @inheritdoc */
  getPlaceShare (placeKey: string): number {
    return this.mayUseParts() ? this.division.getPlacePart(placeKey) : 0
  }

  /** @returns what peers are told: the division that binds this node, whose loans it holds, and who has just left */
  listDocuments (): DocumentVersion[] {
    // Slots that an earlier process lent count as used until it is certain that nobody holds them.
    const bound = this.barrier.isOpen ? this.division.findAcknowledged(this.computeUse()) : undefined
    const lenderIds = this.parts.places.list().flatMap((pool) => pool.ledger.listBorrowed().map((loan) => loan.lenderId))
    return buildLimitDocuments({ bound, lenderIds, listVersion: this.roster.listVersion, gone: this.roster.listGone() })
  }

  /**
   * Takes in a peer's heartbeat.
   * @param digest what the peer said
   * @param isAnswer whether it answers a message of this process
   */
  observe (digest: Digest, isAnswer: boolean): void {
    const { nodeId, incarnation } = digest
    this.division.observeProcess({ nodeId, incarnation })
    if (!isAnswer) return
    this.observeMemory(digest)
    const stamp = findStamp(digest.documents)
    if (stamp !== undefined && this.division.observe({ nodeId, incarnation }, stamp)) this.applyParts()
  }

  /**
   * @param request a peer's wish
   * @returns what this node lends of its idle parts
   */
  lend (request: LoanRequest): LoanAnswer {
    const now = this.parts.clock.now()
    const pool = this.findPool(request.workerId)
    if (pool === undefined || request.borrowerId === this.parts.selfId) return { loanId: request.loanId, slots: 0, connections: 0, deadline: now }
    return lendIdle(pool, request, now, this.isLeaving)
  }

  /** @param loan a loan that comes back early */
  settleReturn (loan: LoanReturn): void {
    const now = this.parts.clock.now()
    for (const pool of this.parts.places.list()) {
      pool.ledger.settleReturn(loan, now)
      pool.applyLedger()
    }
  }

  close (): void {
    this.isClosed = true
    this.timer?.close()
    this.loans.close()
  }

  private observeMemory ({ nodeId, documents }: Digest): void {
    const { holdsLoan, listVersion, gone } = findMemory(documents, this.parts.selfId)
    this.barrier.observe({ nodeId, holdsLoan, listVersion })
    if (!this.barrier.isOpen) this.roster.holdGone(gone, this.parts.clock.now())
  }

  private mayUseParts (): boolean {
    return this.barrier.isOpen && this.roster.mayUseParts(this.parts.selfId, this.parts.clock.now())
  }

  private observeList (reading: ListReading): void {
    this.roster.observeList(reading.snapshot, reading.askedAt, this.parts.clock.now())
    this.update()
  }

  private updateView (): void {
    const current = this.parts.keeper.current
    this.roster.step(this.parts.clock.now())
    if (current === undefined || !this.barrier.isOpen) return
    const { selfId, region } = this.parts
    const { listVersion } = this.roster
    const { version, digest } = current.head
    const members = this.roster.list(region)
    // The division takes a hash for each worker and entry VM: only what changed is worth it.
    const key = JSON.stringify([version, digest, listVersion, members])
    if (key === this.viewKey) return
    this.viewKey = key
    const input = { selfId, region, configuration: current.body, configurationVersion: version, configurationDigest: digest, listVersion, members }
    const view: DivisionView = buildDivisionView(input)
    if (this.division.applyView(view)) {
      this.hasChanged = true
      this.parts.logger.log(LogLevel.Debug, { step: 'divide-limits', listVersion, version, members: view.members.length }, 'limits are divided anew')
    }
  }

  private step (): void {
    const now = this.parts.clock.now()
    this.updateBarrier(now)
    this.updateView()
    this.logConfirmation(this.roster.mayUseParts(this.parts.selfId, now))
    if (this.hasChanged) this.applyParts()
    else this.applyEndedLoans(now)
    this.loans.step(this.parts.places.list())
    this.exchangeWithMissing()
  }

  private logConfirmation (isConfirmed: boolean): void {
    if (isConfirmed === this.wasConfirmed) return
    this.wasConfirmed = isConfirmed
    this.hasChanged = true
    const text = isConfirmed ? 'the VM list names this node' : 'the VM list is too old or has lost this node: no request starts on its own parts'
    this.parts.logger.log(isConfirmed ? LogLevel.Info : LogLevel.Warn, { step: 'divide-limits' }, text)
  }

  private updateBarrier (now: Instant): void {
    const listed = this.parts.members.listPeers().map(({ vm }) => vm.vmId)
    const peers = [...listed, ...this.roster.listGone().map(({ nodeId }) => nodeId)].filter((nodeId) => nodeId !== this.parts.selfId)
    this.barrier.step(this.roster.listVersion, peers, now, this.roster.policy.holdSpanMs)
  }

  private applyEndedLoans (now: Instant): void {
    for (const pool of this.parts.places.list()) {
      if (pool.ledger.removeEnded(now)) this.applyLoans(pool)
    }
  }

  private applyParts (): void {
    this.hasChanged = false
    this.parts.places.applyShares(this)
    this.applyConnections()
  }

  private applyLoans (pool: PlacePool): void {
    pool.applyLedger()
    this.applyConnections()
  }

  private applyConnections (): void {
    const { places, prober, transport } = this.parts
    transport.setWorkers(places.listConnections((address) => prober.isProber(address)))
  }

  private computeUse (): LimitUse {
    const slots = new Map<string, number>()
    const places = new Map<string, number>()
    for (const pool of this.parts.places.listWithRemoved()) {
      for (const [slotKey, count] of pool.ledger.listUse()) {
        const placeKey = findPlaceKey(slotKey)
        slots.set(slotKey, count)
        places.set(placeKey, (places.get(placeKey) ?? 0) + count)
      }
    }
    return { slots, places }
  }

  private findPool (slotKey: string): PlacePool | undefined {
    const [service = '', failureDomain = ''] = findPlaceKey(slotKey).split('/')
    return this.parts.places.find(service, failureDomain)
  }

  /** Heartbeats may take ways of their own; acknowledgements are asked for directly. */
  private exchangeWithMissing (): void {
    const { buildDigest } = this
    if (this.isClosed || buildDigest === undefined) return
    const missing = new Set(this.division.listMissing())
    const peers = this.parts.members.listPeers().filter(({ vm }) => missing.has(vm.vmId) || this.barrier.isWaitingFor(vm.vmId))
    for (const { vm: { vmId, peerAddress } } of peers) {
      if (peerAddress !== undefined) runDetached(() => this.exchange(peerAddress, buildDigest(vmId)), this.parts.logger, 'exchange-acknowledgements')
    }
  }

  private async exchange (address: string, digest: Digest): Promise<void> {
    const answer = await this.parts.client.exchange(address, digest, createDeadline(this.parts.clock.now(), CALL_SPAN_MS))
    if (answer.ok && !this.isClosed) this.observe(answer.val, true)
  }

  private scheduleStep (): void {
    if (this.isClosed) return
    const at = createDeadline(this.parts.clock.now(), addJitter(this.parts.random, STEP_SPAN_MS, JITTER))
    this.timer = this.parts.clock.schedule(at, () => {
      this.step()
      this.scheduleStep()
    })
  }
}
