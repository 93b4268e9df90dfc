/**
 * This node's shares of all limits: follows the configuration and the VM list,
 * announces to peers which division it has acknowledged, and lends and borrows
 * idle slots.
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
import { type LimitUsage, DivisionTracker } from '@umberspar/steering/common/limits/divisionTracker'
import { Roster } from '@umberspar/steering/common/limits/roster'
import { StartBarrier } from '@umberspar/steering/common/limits/startBarrier'
import { findPlaceKey } from '@umberspar/steering/common/limits/slotKey'
import type { DocumentVersion } from '@umberspar/steering/common/membership/memberFacts'
import type { Heartbeat, IPeerClient, LoanAnswer, LoanRequest, LoanReturn } from '@umberspar/steering/common/ports/peers'
import type { ConfigurationManager } from '../configuration/configurationManager.js'
import type { VmListReading, MemberDirectory } from '../members/memberDirectory.js'
import type { ShareSource, PlaceDirectory } from '../places/placeDirectory.js'
import type { PlacePool } from '../places/placePool.js'
import type { WorkerProber } from '../places/workerProber.js'
import { buildLimitDocuments, findPeerLimitState, findFingerprint } from './limitDocuments.js'
import { LenderDirectory } from './lenderDirectory.js'
import { lendIdleSlots } from './lendIdleSlots.js'
import { LoanBorrower } from './loanBorrower.js'

const STEP_INTERVAL_MS = 200
const STEP_JITTER_RATIO = 0.2
const CALL_TIMEOUT_MS = 1000
/** Readiness waits at most this long for the node's shares; after that, slots may still be borrowed from peers. */
const MAX_READINESS_DELAY_MS = 5000
const NO_SHARE: SlotShare = { slots: 0, connections: 0 }

/** Dependencies of the {@link LimitManager}. */
export interface LimitManagerDependencies {
  readonly selfId: string
  readonly region: string
  readonly places: PlaceDirectory
  readonly members: MemberDirectory
  readonly configurationManager: ConfigurationManager
  readonly client: IPeerClient
  readonly transport: UndiciTransport
  readonly prober: WorkerProber
  readonly clock: IClock
  readonly random: IRandomSource
  readonly logger: ILogger
}

/** Manages this node's shares, acknowledgements and loans. */
export class LimitManager implements IClosable, ShareSource {
  private readonly roster: Roster
  private readonly divisionTracker: DivisionTracker
  private readonly loanBorrower: LoanBorrower
  private readonly lenders: LenderDirectory
  private readonly startedAt: Instant
  private readonly startBarrier: StartBarrier
  private wasListed = false
  private viewKey = ''
  /** Whether shares may have changed since they were last applied to the places. */
  private hasShareChanged = false
  private isLeaving = false
  private isClosed = false
  private timer: ITimer | undefined
  private buildDigest: ((peerId: string) => Heartbeat) | undefined

  constructor (private readonly dependencies: LimitManagerDependencies) {
    const { selfId, client, clock, random, logger, members, places } = dependencies
    this.roster = new Roster()
    this.divisionTracker = new DivisionTracker(selfId)
    this.startedAt = clock.now()
    this.startBarrier = new StartBarrier(this.startedAt)
    this.lenders = new LenderDirectory(selfId, members, dependencies.configurationManager)
    this.loanBorrower = new LoanBorrower({ selfId, client, clock, random, logger, listLenders: (pool) => this.lenders.list(pool.key), applyChange: (pool) => this.applyLoans(pool) })
    members.onDidRead((reading) => this.updateRoster(reading))
    places.onDidRunOut((pool) => this.loanBorrower.borrow(pool))
  }

  /** @returns whether this node has its shares, or has waited for them for the maximum time */
  get isReady (): boolean {
    return this.divisionTracker.isSettled || hasPassed(createDeadline(this.startedAt, MAX_READINESS_DELAY_MS), this.dependencies.clock.now())
  }

  /**
   * Starts exchanging acknowledgements.
   * @param buildDigest builds this node's heartbeat for a peer
   */
  start (buildDigest: (peerId: string) => Heartbeat): void {
    this.buildDigest = buildDigest
    this.scheduleStep()
  }

  /** Applies the configuration in force and the current VM list. */
  update (): void {
    this.lenders.clear()
    this.updateView()
    this.applyShares()
    if (this.buildDigest !== undefined) this.exchangeWithPending()
  }

  /** Lends all idle slots from now on and borrows none. */
  leave (): void {
    this.isLeaving = true
    this.loanBorrower.leave()
  }

  /** @inheritdoc */
  getShare (slotKey: string): SlotShare {
    return this.mayUseShares() ? this.divisionTracker.getShare(slotKey) : NO_SHARE
  }

  /** @inheritdoc */
  getPlaceShare (placeKey: string): number {
    return this.mayUseShares() ? this.divisionTracker.getPlaceShare(placeKey) : 0
  }

  /** @returns what peers are told: the acknowledged division, the lenders of this node's loans, and recently removed VMs */
  listDocuments (): DocumentVersion[] {
    // Slots lent by an earlier process of this node count as used until it is certain that no peer holds them.
    const acknowledgedView = this.startBarrier.isOpen ? this.divisionTracker.findAcknowledgedView(this.computeUsage()) : undefined
    const lenderIds = this.dependencies.places.list().flatMap((pool) => pool.ledger.listBorrowed().map((loan) => loan.lenderId))
    return buildLimitDocuments({ acknowledgedView, lenderIds, listVersion: this.roster.listVersion, removed: this.roster.listRemoved() })
  }

  /**
   * Records a peer's heartbeat.
   * @param digest the heartbeat
   * @param isAnswer whether it answers a message of this process
   */
  observe (digest: Heartbeat, isAnswer: boolean): void {
    const { nodeId, incarnation } = digest
    this.divisionTracker.recordProcess({ nodeId, incarnation })
    if (!isAnswer) return
    this.recordPeerState(digest)
    const fingerprint = findFingerprint(digest.documents)
    if (fingerprint !== undefined && this.divisionTracker.recordAcknowledgement({ nodeId, incarnation }, fingerprint)) this.applyShares()
  }

  /**
   * @param request a peer's request
   * @returns the loan from this node's idle shares
   */
  lend (request: LoanRequest): LoanAnswer {
    const now = this.dependencies.clock.now()
    const pool = this.findPool(request.workerId)
    if (pool === undefined || request.borrowerId === this.dependencies.selfId) return { loanId: request.loanId, slots: 0, connections: 0, deadline: now }
    return lendIdleSlots(pool, request, now, this.isLeaving)
  }

  /** @param loan a loan that the borrower returns early */
  settleReturn (loan: LoanReturn): void {
    const now = this.dependencies.clock.now()
    for (const pool of this.dependencies.places.list()) {
      pool.ledger.settleReturn(loan, now)
      pool.applyLedger()
    }
  }

  close (): void {
    this.isClosed = true
    this.timer?.close()
    this.loanBorrower.close()
  }

  private recordPeerState ({ nodeId, documents }: Heartbeat): void {
    const { holdsLoan, listVersion, removed } = findPeerLimitState(documents, this.dependencies.selfId)
    this.startBarrier.observe({ nodeId, holdsLoan, listVersion })
    if (!this.startBarrier.isOpen) this.roster.addRemoved(removed, this.dependencies.clock.now())
  }

  private mayUseShares (): boolean {
    return this.startBarrier.isOpen && this.roster.mayUseShares(this.dependencies.selfId, this.dependencies.clock.now())
  }

  private updateRoster (reading: VmListReading): void {
    this.roster.observeList(reading.snapshot, reading.requestedAt, this.dependencies.clock.now())
    this.update()
  }

  private updateView (): void {
    const current = this.dependencies.configurationManager.current
    this.roster.step(this.dependencies.clock.now())
    if (current === undefined || !this.startBarrier.isOpen) return
    const { selfId, region } = this.dependencies
    const { listVersion } = this.roster
    const { version, digest } = current.head
    const members = this.roster.listMembers(region)
    // Dividing computes a hash for each pair of worker and entry VM, so it's done only after a change.
    const key = JSON.stringify([version, digest, listVersion, members])
    if (key === this.viewKey) return
    this.viewKey = key
    const input = { selfId, region, configuration: current.body, configurationVersion: version, configurationDigest: digest, listVersion, members }
    const view: DivisionView = buildDivisionView(input)
    if (this.divisionTracker.applyView(view)) {
      this.hasShareChanged = true
      this.dependencies.logger.log(LogLevel.Debug, { step: 'divide-limits', listVersion, version, members: view.members.length }, 'divided the limits among the entry VMs')
    }
  }

  private step (): void {
    const now = this.dependencies.clock.now()
    this.updateStartBarrier(now)
    this.updateView()
    this.logListing(this.roster.mayUseShares(this.dependencies.selfId, now))
    if (this.hasShareChanged) this.applyShares()
    else this.applyExpiredLoans(now)
    this.loanBorrower.step(this.dependencies.places.list())
    this.exchangeWithPending()
  }

  private logListing (isListed: boolean): void {
    if (isListed === this.wasListed) return
    this.wasListed = isListed
    this.hasShareChanged = true
    const text = isListed ? 'the VM list contains this node' : 'the VM list is too old or no longer contains this node: no request starts on its own shares'
    this.dependencies.logger.log(isListed ? LogLevel.Info : LogLevel.Warn, { step: 'divide-limits' }, text)
  }

  private updateStartBarrier (now: Instant): void {
    const listedIds = this.dependencies.members.listPeers().map(({ vm }) => vm.vmId)
    const peers = [...listedIds, ...this.roster.listRemoved().map(({ nodeId }) => nodeId)].filter((nodeId) => nodeId !== this.dependencies.selfId)
    this.startBarrier.step(this.roster.listVersion, peers, now, this.roster.policy.removalGraceMs)
  }

  private applyExpiredLoans (now: Instant): void {
    for (const pool of this.dependencies.places.list()) {
      if (pool.ledger.removeExpired(now)) this.applyLoans(pool)
    }
  }

  private applyShares (): void {
    this.hasShareChanged = false
    this.dependencies.places.applyShares(this)
    this.applyConnections()
  }

  private applyLoans (pool: PlacePool): void {
    pool.applyLedger()
    this.applyConnections()
  }

  private applyConnections (): void {
    const { places, prober, transport } = this.dependencies
    transport.setWorkers(places.listConnections((address) => prober.isProber(address)))
  }

  private computeUsage (): LimitUsage {
    const slots = new Map<string, number>()
    const places = new Map<string, number>()
    for (const pool of this.dependencies.places.listWithRemoved()) {
      for (const [slotKey, count] of pool.ledger.listUsage()) {
        const placeKey = findPlaceKey(slotKey)
        slots.set(slotKey, count)
        places.set(placeKey, (places.get(placeKey) ?? 0) + count)
      }
    }
    return { slots, places }
  }

  private findPool (slotKey: string): PlacePool | undefined {
    const [service = '', failureDomain = ''] = findPlaceKey(slotKey).split('/')
    return this.dependencies.places.find(service, failureDomain)
  }

  /** Requests outstanding acknowledgements directly, as heartbeats reach only neighbours. */
  private exchangeWithPending (): void {
    const { buildDigest } = this
    if (this.isClosed || buildDigest === undefined) return
    const pendingIds = new Set(this.divisionTracker.listPendingMembers())
    const peers = this.dependencies.members.listPeers().filter(({ vm }) => pendingIds.has(vm.vmId) || this.startBarrier.isWaitingFor(vm.vmId))
    for (const { vm: { vmId, peerAddress } } of peers) {
      if (peerAddress !== undefined) runDetached(() => this.exchange(peerAddress, buildDigest(vmId)), this.dependencies.logger, 'exchange-acknowledgements')
    }
  }

  private async exchange (address: string, digest: Heartbeat): Promise<void> {
    const answer = await this.dependencies.client.exchange(address, digest, createDeadline(this.dependencies.clock.now(), CALL_TIMEOUT_MS))
    if (answer.ok && !this.isClosed) this.observe(answer.val, true)
  }

  private scheduleStep (): void {
    if (this.isClosed) return
    const at = createDeadline(this.dependencies.clock.now(), addJitter(this.dependencies.random, STEP_INTERVAL_MS, STEP_JITTER_RATIO))
    this.timer = this.dependencies.clock.schedule(at, () => {
      this.step()
      this.scheduleStep()
    })
  }
}
