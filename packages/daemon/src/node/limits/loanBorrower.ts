/**
 * Borrows idle slots from peers and returns them when they become idle here.
 * Borrowing follows demand: a request that found no slot, or a place that is nearly
 * full. The frequency of rounds and calls is limited and has jitter, so that a
 * shortage at all nodes does not multiply the messages.
 */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import { runDetached } from '@umberspar/base/common/detached'
import { type ILogger, logError, LogLevel } from '@umberspar/base/common/logger'
import { addJitter, type IRandomSource } from '@umberspar/base/common/random'
import { type BorrowedLoan, CLOCK_DRIFT_MARGIN_RATIO, MAX_LOAN_MS } from '@umberspar/steering/common/limits/loans'
import type { IPeerClient, LoanAnswer, LoanRequest } from '@umberspar/steering/common/ports/peers'
import { randomUUID } from 'node:crypto'
import { BorrowState, type PlacePool } from '../places/placePool.js'
import type { Lender } from './lenderDirectory.js'

/** Dependencies of the borrower. */
export interface LoanBorrowerDependencies {
  readonly selfId: string
  readonly client: IPeerClient
  readonly clock: IClock
  readonly random: IRandomSource
  readonly logger: ILogger
  /** @returns peers that own shares of the place */
  listLenders(pool: PlacePool): readonly Lender[]
  /** Called when slots or connections were added or removed. */
  applyChange(pool: PlacePool): void
}

const CALL_TIMEOUT_MS = 1000
/** Time between two rounds for one place: after at least one loan, and after all lenders refused. */
const ROUND_INTERVAL_MS = 25
const REFUSED_ROUND_INTERVAL_MS = 100
const ROUND_JITTER_RATIO = 0.3
const MAX_WANTED_SLOTS = 8
const MAX_CALLS_PER_ROUND = 6
/** Limit on this node's borrow calls for all places. */
const MAX_CALLS_PER_SECOND = 100
const MS_PER_SECOND = 1000
const CONNECTIONS_PER_SLOT = 2
const MIN_LOAN_MS = 10_000
/** A loan lasts at least this much longer than the requests that need it. */
const LOAN_MARGIN_MS = 1500
const MAX_IDLE_MS = 300
/**
 * No request starts on an older loan. A busy borrower would otherwise keep it while
 * the owner's requests wait; it may borrow again what the owner doesn't use.
 */
const MAX_LOAN_USE_MS = 5000
/** A place with this ratio of its slots in use borrows before it runs out. */
const NEARLY_FULL_RATIO = 0.75

/** The state of borrowing for one place. */
interface BorrowRound {
  isRunning: boolean
  nextAt: Instant
  timer: ITimer | undefined
}

/** One request to one peer. */
interface BorrowCall {
  readonly pool: PlacePool
  readonly lender: Lender
  readonly slotKey: string
  readonly slots: number
}

/** Borrows slots for all places of this node. */
export class LoanBorrower implements IClosable {
  private readonly rounds = new Map<PlacePool, BorrowRound>()
  private readonly lastUsedAt = new Map<string, Instant>()
  private readonly useEndsAt = new Map<string, Deadline>()
  private remainingCalls = MAX_CALLS_PER_SECOND
  private refillAt: Instant = -Infinity
  private isLeaving = false

  constructor (private readonly dependencies: LoanBorrowerDependencies) {}

  /**
   * Starts a round for a place unless one is running or scheduled; a round that
   * would follow the previous one too early is scheduled for later.
   * @param pool the pool of a place that lacks slots
   */
  borrow (pool: PlacePool): void {
    if (this.isLeaving) return
    const round = this.getRound(pool)
    if (round.isRunning || round.timer !== undefined) return
    const now = this.dependencies.clock.now()
    if (hasPassed(round.nextAt, now)) {
      this.startRound(pool, round)
      return
    }
    round.timer = this.dependencies.clock.schedule(round.nextAt, () => {
      round.timer = undefined
      if (pool.waiting > 0 || isNearlyFull(pool)) this.startRound(pool, round)
    })
  }

  /**
   * Returns idle loans, and borrows for places that are nearly full.
   * @param pools the pools of all places
   */
  step (pools: readonly PlacePool[]): void {
    const now = this.dependencies.clock.now()
    for (const pool of pools) {
      if (this.dependencies.listLenders(pool).length === 0) pool.borrowState = BorrowState.Impossible
      else if (pool.borrowState === BorrowState.Impossible) pool.borrowState = BorrowState.Possible
      this.returnIdle(pool, now)
      if (pool.slots > 0 && isNearlyFull(pool)) this.borrow(pool)
    }
  }

  /** Stops borrowing; loans are returned as they become idle. */
  leave (): void {
    this.isLeaving = true
    this.close()
  }

  close (): void {
    for (const round of this.rounds.values()) round.timer?.close()
    this.rounds.clear()
  }

  private getRound (pool: PlacePool): BorrowRound {
    const existing = this.rounds.get(pool)
    if (existing !== undefined) return existing
    const round: BorrowRound = { isRunning: false, nextAt: -Infinity, timer: undefined }
    this.rounds.set(pool, round)
    return round
  }

  private startRound (pool: PlacePool, round: BorrowRound): void {
    const calls = this.planCalls(pool)
    if (calls.length === 0) return
    round.isRunning = true
    runDetached(async () => {
      const granted = await Promise.all(calls.map((call) => this.borrowFrom(call)))
      const hasBorrowed = granted.some((isGranted) => isGranted)
      pool.borrowState = hasBorrowed ? BorrowState.Possible : BorrowState.Refused
      round.isRunning = false
      round.nextAt = createDeadline(this.dependencies.clock.now(), addJitter(this.dependencies.random, hasBorrowed ? ROUND_INTERVAL_MS : REFUSED_ROUND_INTERVAL_MS, ROUND_JITTER_RATIO))
      this.dependencies.clock.schedule(round.nextAt, () => { pool.borrowState = BorrowState.Possible })
    }, this.dependencies.logger, 'borrow-slots')
  }

  private planCalls (pool: PlacePool): BorrowCall[] {
    const { random } = this.dependencies
    const wantedSlots = Math.min(MAX_WANTED_SLOTS, pool.waiting + pool.takeRefusals() + 1)
    const lenders = this.dependencies.listLenders(pool)
    const workers = pool.table.list().filter((worker) => !worker.isDraining)
    const pairs = workers.flatMap((worker) => lenders.map((lender) => ({ lender, slotKey: pool.getSlotKey(worker.workerId), order: random.next() })))
    pairs.sort((one, other) => one.order - other.order)
    const chosen = pairs.slice(0, Math.min(MAX_CALLS_PER_ROUND, wantedSlots, this.takeCallQuota(MAX_CALLS_PER_ROUND)))
    return chosen.map(({ lender, slotKey }) => ({ pool, lender, slotKey, slots: Math.ceil(wantedSlots / chosen.length) }))
  }

  private takeCallQuota (count: number): number {
    const now = this.dependencies.clock.now()
    if (hasPassed(this.refillAt, now)) {
      this.refillAt = createDeadline(now, MS_PER_SECOND)
      this.remainingCalls = MAX_CALLS_PER_SECOND
    }
    const grantedCalls = Math.min(count, this.remainingCalls)
    this.remainingCalls -= grantedCalls
    return grantedCalls
  }

  private async borrowFrom ({ pool, lender, slotKey, slots }: BorrowCall): Promise<boolean> {
    const { clock, client, selfId } = this.dependencies
    const now = clock.now()
    const neededUntil = Math.max(createDeadline(pool.latestDeadline, LOAN_MARGIN_MS), createDeadline(now, MIN_LOAN_MS))
    const deadline = Math.min(neededUntil, createDeadline(now, MAX_LOAN_MS))
    const request: LoanRequest = { borrowerId: selfId, loanId: randomUUID(), workerId: slotKey, slots, connections: slots * CONNECTIONS_PER_SLOT, deadline }
    const answer = await client.borrow(lender.address, request, createDeadline(now, CALL_TIMEOUT_MS))
    if (!answer.ok) {
      logError(this.dependencies.logger, LogLevel.Debug, answer.val)
      // The peer may have lent the slots; unless this return reaches it, they stay
      // unused until the loan's deadline.
      runDetached(() => this.sendReturn(lender.address, request.loanId), this.dependencies.logger, 'return-loan')
      return false
    }
    return this.acceptAnswer(pool, lender, request, answer.val, now)
  }

  /** The loan's duration counts from before the request was sent and is shortened to allow for clock drift. */
  private acceptAnswer (pool: PlacePool, lender: Lender, request: LoanRequest, answer: LoanAnswer, sentAt: Instant): boolean {
    if (answer.slots <= 0) return false
    const grantedDeadline = Math.min(answer.deadline, request.deadline)
    const deadline = grantedDeadline - (grantedDeadline - sentAt) * CLOCK_DRIFT_MARGIN_RATIO
    const { loanId, slots, connections } = answer
    pool.ledger.addLoan({ loanId, lenderAddress: lender.address, lenderId: lender.nodeId, slotKey: request.workerId, slots, connections, deadline, inUse: 0, isClosing: false })
    // A lender lends no slots of a draining worker, so an earlier drain has ended. At a
    // node that doesn't probe the worker, nothing else would clear the drain.
    pool.markReady(request.workerId)
    const acceptedAt = this.dependencies.clock.now()
    this.lastUsedAt.set(loanId, acceptedAt)
    this.useEndsAt.set(loanId, createDeadline(acceptedAt, MAX_LOAN_USE_MS))
    this.dependencies.applyChange(pool)
    return true
  }

  private returnIdle (pool: PlacePool, now: Instant): void {
    for (const loan of pool.ledger.listBorrowed()) {
      if (!loan.isClosing && hasPassed(this.useEndsAt.get(loan.loanId) ?? now, now)) {
        loan.isClosing = true
        this.dependencies.applyChange(pool)
      }
      const lastUsedAt = this.lastUsedAt.get(loan.loanId) ?? now
      if (loan.inUse > 0) this.lastUsedAt.set(loan.loanId, now)
      else if (this.isLeaving || loan.isClosing || hasPassed(createDeadline(lastUsedAt, MAX_IDLE_MS), now)) this.returnLoan(pool, loan)
    }
  }

  private returnLoan (pool: PlacePool, loan: BorrowedLoan): void {
    // The loan is removed before the message is sent, since the lender may use the slots as soon as it arrives.
    pool.ledger.removeLoan(loan.loanId)
    this.lastUsedAt.delete(loan.loanId)
    this.useEndsAt.delete(loan.loanId)
    this.dependencies.applyChange(pool)
    runDetached(() => this.sendReturn(loan.lenderAddress, loan.loanId), this.dependencies.logger, 'return-loan')
  }

  private async sendReturn (address: string, loanId: string): Promise<void> {
    const returned = await this.dependencies.client.returnLoan(address, { borrowerId: this.dependencies.selfId, loanId }, createDeadline(this.dependencies.clock.now(), CALL_TIMEOUT_MS))
    if (!returned.ok) logError(this.dependencies.logger, LogLevel.Debug, returned.val)
  }
}

function isNearlyFull (pool: PlacePool): boolean {
  return pool.waiting > 0 || pool.inFlight >= pool.slots * NEARLY_FULL_RATIO
}
