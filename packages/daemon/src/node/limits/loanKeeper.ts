/**
 * Asks peers for slots that they leave idle, and gives back what falls idle
 * here. Asking follows demand: a request that found no slot, or a place that is
 * nearly full. Rounds are spread by jitter and bounded in number, so that a
 * shortage everywhere does not multiply the messages.
 */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import { runDetached } from '@umberspar/base/common/detached'
import { type ILogger, logError, LogLevel } from '@umberspar/base/common/logger'
import { addJitter, type IRandomSource } from '@umberspar/base/common/random'
import { type BorrowedLoan, CLOCK_RATE_MARGIN, LONGEST_LOAN_SPAN_MS } from '@umberspar/steering/common/limits/loans'
import type { IPeerClient, LoanAnswer, LoanRequest } from '@umberspar/steering/common/ports/peers'
import { randomUUID } from 'node:crypto'
import { BorrowState, type PlacePool } from '../places/placePool.js'
import type { Lender } from './lenderDirectory.js'

/** What the keeper needs of the node. */
export interface LoanKeeperParts {
  readonly selfId: string
  readonly client: IPeerClient
  readonly clock: IClock
  readonly random: IRandomSource
  readonly logger: ILogger
  /** @returns peers that own parts of the place */
  listLenders(pool: PlacePool): readonly Lender[]
  /** Called when slots or connections came or went. */
  applyChange(pool: PlacePool): void
}

const CALL_SPAN_MS = 1000
/** Between two rounds for one place: after slots came, and after all refused. */
const ROUND_SPAN_MS = 25
const REFUSED_SPAN_MS = 100
const JITTER = 0.3
const MAX_WANTED = 8
const MAX_CALLS = 6
/** Borrow calls of this node a second, for all places. */
const MAX_CALLS_PER_SECOND = 100
const MS_PER_SECOND = 1000
const CONNECTIONS_PER_SLOT = 2
const SHORTEST_LOAN_SPAN_MS = 10_000
/** The loan outlasts the longest request that waits for it by so much. */
const LOAN_MARGIN_MS = 1500
const IDLE_SPAN_MS = 300
/**
 * Nothing starts on a loan that is older. A busy borrower would otherwise keep
 * it while its owner waits; it may ask anew for what the owner leaves idle.
 */
const USE_SPAN_MS = 5000
/** A place of whose slots this part is in use asks ahead of need. */
const AHEAD_PART = 0.75

/** What is going on for one place. */
interface PlaceRound {
  isAsking: boolean
  nextAt: Instant
  timer: ITimer | undefined
}

/** One question to one peer. */
interface Ask {
  readonly pool: PlacePool
  readonly lender: Lender
  readonly slotKey: string
  readonly slots: number
}

/** The borrower's side. */
export class LoanKeeper implements IClosable {
  private readonly rounds = new Map<PlacePool, PlaceRound>()
  private readonly usedAt = new Map<string, Instant>()
  private readonly closesAt = new Map<string, Deadline>()
  private callsLeft = MAX_CALLS_PER_SECOND
  private refillAt: Instant = -Infinity
  private isLeaving = false

  constructor (private readonly parts: LoanKeeperParts) {}

  /**
   * Asks for slots unless it is asking already; within the pace, the question is
   * only put off.
   * @param pool a place that lacks slots
   */
  borrow (pool: PlacePool): void {
    if (this.isLeaving) return
    const round = this.getRound(pool)
    if (round.isAsking || round.timer !== undefined) return
    const now = this.parts.clock.now()
    if (hasPassed(round.nextAt, now)) {
      this.startRound(pool, round)
      return
    }
    round.timer = this.parts.clock.schedule(round.nextAt, () => {
      round.timer = undefined
      if (pool.waiting > 0 || isNearlyFull(pool)) this.startRound(pool, round)
    })
  }

  /**
   * Gives back what is idle and asks ahead of need.
   * @param pools all places
   */
  step (pools: readonly PlacePool[]): void {
    const now = this.parts.clock.now()
    for (const pool of pools) {
      if (this.parts.listLenders(pool).length === 0) pool.borrowState = BorrowState.Impossible
      else if (pool.borrowState === BorrowState.Impossible) pool.borrowState = BorrowState.Possible
      this.returnIdle(pool, now)
      if (pool.slots > 0 && isNearlyFull(pool)) this.borrow(pool)
    }
  }

  /** No more borrowing; loans go back as they fall idle. */
  leave (): void {
    this.isLeaving = true
    this.close()
  }

  close (): void {
    for (const round of this.rounds.values()) round.timer?.close()
    this.rounds.clear()
  }

  private getRound (pool: PlacePool): PlaceRound {
    const known = this.rounds.get(pool)
    if (known !== undefined) return known
    const round: PlaceRound = { isAsking: false, nextAt: -Infinity, timer: undefined }
    this.rounds.set(pool, round)
    return round
  }

  private startRound (pool: PlacePool, round: PlaceRound): void {
    const asks = this.planAsks(pool)
    if (asks.length === 0) return
    round.isAsking = true
    runDetached(async () => {
      const granted = await Promise.all(asks.map((ask) => this.borrowFrom(ask)))
      const hasGrown = granted.some((isGranted) => isGranted)
      pool.borrowState = hasGrown ? BorrowState.Possible : BorrowState.Refused
      round.isAsking = false
      round.nextAt = createDeadline(this.parts.clock.now(), addJitter(this.parts.random, hasGrown ? ROUND_SPAN_MS : REFUSED_SPAN_MS, JITTER))
      this.parts.clock.schedule(round.nextAt, () => { pool.borrowState = BorrowState.Possible })
    }, this.parts.logger, 'borrow-slots')
  }

  private planAsks (pool: PlacePool): Ask[] {
    const { random } = this.parts
    const wanted = Math.min(MAX_WANTED, pool.waiting + pool.takeRefusals() + 1)
    const lenders = this.parts.listLenders(pool)
    const workers = pool.table.list().filter((worker) => !worker.isDraining)
    const pairs = workers.flatMap((worker) => lenders.map((lender) => ({ lender, slotKey: pool.getSlotKey(worker.workerId), order: random.next() })))
    pairs.sort((one, other) => one.order - other.order)
    const chosen = pairs.slice(0, Math.min(MAX_CALLS, wanted, this.takeCalls(MAX_CALLS)))
    return chosen.map(({ lender, slotKey }) => ({ pool, lender, slotKey, slots: Math.ceil(wanted / chosen.length) }))
  }

  private takeCalls (count: number): number {
    const now = this.parts.clock.now()
    if (hasPassed(this.refillAt, now)) {
      this.refillAt = createDeadline(now, MS_PER_SECOND)
      this.callsLeft = MAX_CALLS_PER_SECOND
    }
    const taken = Math.min(count, this.callsLeft)
    this.callsLeft -= taken
    return taken
  }

  private async borrowFrom ({ pool, lender, slotKey, slots }: Ask): Promise<boolean> {
    const { clock, client, selfId } = this.parts
    const now = clock.now()
    const needed = Math.max(createDeadline(pool.latestDeadline, LOAN_MARGIN_MS), createDeadline(now, SHORTEST_LOAN_SPAN_MS))
    const deadline = Math.min(needed, createDeadline(now, LONGEST_LOAN_SPAN_MS))
    const request: LoanRequest = { borrowerId: selfId, loanId: randomUUID(), workerId: slotKey, slots, connections: slots * CONNECTIONS_PER_SLOT, deadline }
    const answer = await client.borrow(lender.address, request, createDeadline(now, CALL_SPAN_MS))
    if (!answer.ok) {
      logError(this.parts.logger, LogLevel.Debug, answer.val)
      // Whether the peer lent is not known: its slots stay out of use until the
      // loan's deadline unless this reaches it.
      runDetached(() => this.sendReturn(lender.address, request.loanId), this.parts.logger, 'return-loan')
      return false
    }
    return this.acceptAnswer(pool, lender, request, answer.val, now)
  }

  /** The span is counted from before the request left and shortened for clocks that run apart. */
  private acceptAnswer (pool: PlacePool, lender: Lender, request: LoanRequest, answer: LoanAnswer, sentAt: Instant): boolean {
    if (answer.slots <= 0) return false
    const counted = Math.min(answer.deadline, request.deadline)
    const deadline = counted - (counted - sentAt) * CLOCK_RATE_MARGIN
    const { loanId, slots, connections } = answer
    pool.ledger.addLoan({ loanId, lender: lender.address, lenderId: lender.nodeId, slotKey: request.workerId, slots, connections, deadline, inUse: 0, isClosing: false })
    // A lender lends no slots of a draining worker: an older word of a drain, which
    // nobody would take back at a node that does not probe, is over.
    pool.markReady(request.workerId)
    const acceptedAt = this.parts.clock.now()
    this.usedAt.set(loanId, acceptedAt)
    this.closesAt.set(loanId, createDeadline(acceptedAt, USE_SPAN_MS))
    this.parts.applyChange(pool)
    return true
  }

  private returnIdle (pool: PlacePool, now: Instant): void {
    for (const loan of pool.ledger.listBorrowed()) {
      if (!loan.isClosing && hasPassed(this.closesAt.get(loan.loanId) ?? now, now)) {
        loan.isClosing = true
        this.parts.applyChange(pool)
      }
      const usedAt = this.usedAt.get(loan.loanId) ?? now
      if (loan.inUse > 0) this.usedAt.set(loan.loanId, now)
      else if (this.isLeaving || loan.isClosing || hasPassed(createDeadline(usedAt, IDLE_SPAN_MS), now)) this.returnLoan(pool, loan)
    }
  }

  private returnLoan (pool: PlacePool, loan: BorrowedLoan): void {
    // Out of use before the message leaves: the lender may use the slots at once.
    pool.ledger.removeLoan(loan.loanId)
    this.usedAt.delete(loan.loanId)
    this.closesAt.delete(loan.loanId)
    this.parts.applyChange(pool)
    runDetached(() => this.sendReturn(loan.lender, loan.loanId), this.parts.logger, 'return-loan')
  }

  private async sendReturn (address: string, loanId: string): Promise<void> {
    const returned = await this.parts.client.returnLoan(address, { borrowerId: this.parts.selfId, loanId }, createDeadline(this.parts.clock.now(), CALL_SPAN_MS))
    if (!returned.ok) logError(this.parts.logger, LogLevel.Debug, returned.val)
  }
}

function isNearlyFull (pool: PlacePool): boolean {
  return pool.waiting > 0 || pool.inFlight >= pool.slots * AHEAD_PART
}
