/**
 * Some entry VMs of one region in one process on a clock moved by hand: real
 * PlacePools and LoanKeepers, messages between them as calls with a delay. What
 * is modelled are arrivals, service times and delays; nothing depends on the
 * machine's speed.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { NULL_LOGGER } from '@umberspar/base/common/logger'
import { SeededRandom } from '@umberspar/base/common/random'
import { Err, Ok } from '@umberspar/base/common/result'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { lendIdleSlots } from '@umberspar/daemon/node/limits/lendIdleSlots'
import { LoanBorrower } from '@umberspar/daemon/node/limits/loanBorrower'
import { BorrowState, PlacePool, type SlotGrant } from '@umberspar/daemon/node/places/placePool'
import type { WorkerConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import { RequestKind } from '@umberspar/steering/common/configuration/configurationSchema'
import { divideSlots } from '@umberspar/steering/common/limits/divideSlots'
import { buildSlotKey } from '@umberspar/steering/common/limits/slotKey'
import { rankByRendezvous } from '@umberspar/steering/common/lookup/rendezvous'
import type { IPeerClient } from '@umberspar/steering/common/ports/peers'
import { chooseWeighted, PoissonArrivals } from '../../common/load/arrivals.js'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { LatencyRecorder } from '../load/latencyRecorder.js'
import { ServiceTimes } from '../standIns/upstream/serviceTimes.js'

/** The ways of sharing a place among entry VMs. */
export enum SharingWay {
  EqualSplit = 'equal split',
  Loans = 'split with loans',
  OwnerHop = 'owner with hop'
}

/** One case. */
export interface LimitsCase {
  readonly name: string
  /** The part of the arrivals at each entry VM; sums to 1. */
  readonly arrivals: readonly number[]
  /** How many of them, the first ones, own parts; the others are entry VMs of another region. */
  readonly owners: number
  /** Offered load as a part of what the workers can do. */
  readonly load: number
  readonly workers: Readonly<Record<string, WorkerConfiguration>>
  readonly meanSpanMs: number
  /** One way between two of the region's entry VMs, in milliseconds. */
  readonly oneWayMs: number
  /** One way to another region, in milliseconds. */
  readonly farOneWayMs: number
  readonly seconds: number
  readonly seed: number
}

/** What came of one case by one way. */
export interface LimitsOutcome {
  readonly served: number
  readonly refused: number
  readonly p50Ms: number
  readonly p99Ms: number
  /** 1 minus the slots in use that 99 of 100 samples do not exceed, as a part of all slots. */
  readonly headroom: number
  /** The most requests that one worker had at a time, as a part of its slots. */
  readonly worstUse: number
  readonly messages: number
}

const SERVICE = 'service'
const DOMAIN = 'domain'
const MAX_QUEUE = 64
const ANSWER_WITHIN_MS = 2000
const SAMPLE_EVERY_MS = 5
const LOAN_STEP_MS = 200
const MS_PER_SECOND = 1000
const SIGMA = 0.5
const NO_EXCLUSIONS: ReadonlySet<string> = new Set()

interface Entry {
  readonly nodeId: string
  readonly isFar: boolean
  readonly pool: PlacePool
  loans: LoanBorrower | undefined
}

/** Runs one case by one way. */
export class LimitsBench {
  private readonly clock = new ManualClock()
  private readonly random: SeededRandom
  private readonly times: ServiceTimes
  private readonly entries: Entry[]
  private readonly latency = new LatencyRecorder()
  private readonly used = new Map<string, number>()
  private readonly samples: number[] = []
  private worstUse = 0
  private served = 0
  private refused = 0
  private messages = 0

  constructor (private readonly options: LimitsCase, private readonly way: SharingWay) {
    this.random = new SeededRandom(options.seed)
    this.times = new ServiceTimes({ meanSpanMs: options.meanSpanMs, sigma: SIGMA, coldFactor: 1, warmUpSpanMs: 1 }, this.clock, new SeededRandom(options.seed + 1))
    this.entries = options.arrivals.map((_, index) => this.createEntry(index))
    if (way === SharingWay.Loans) this.startLoans()
  }

  /** @returns what was seen */
  async run (): Promise<LimitsOutcome> {
    const { options, clock } = this
    const slots = this.countSlots()
    const ratePerSecond = options.load * slots / options.meanSpanMs * MS_PER_SECOND
    const arrivals = new PoissonArrivals(this.random, ratePerSecond, 0)
    const until = options.seconds * MS_PER_SECOND
    const running: Array<Promise<void>> = []
    let nextSample = 0
    let nextStep = 0
    while (arrivals.peekNext() < until) {
      const at = arrivals.takeNext()
      await clock.runFor(Math.max(0, at - clock.now()))
      for (; nextSample <= at; nextSample += SAMPLE_EVERY_MS) this.samples.push(this.countUsed())
      for (; nextStep <= at; nextStep += LOAN_STEP_MS) this.entries.forEach(({ loans, pool }) => loans?.step([pool]))
      running.push(this.serve(chooseWeighted(this.random, this.entries, (entry) => options.arrivals[this.entries.indexOf(entry)] ?? 0), at))
    }
    await clock.runFor(2 * ANSWER_WITHIN_MS)
    this.entries.forEach(({ loans }) => loans?.close())
    await Promise.all(running)
    return this.buildOutcome(slots)
  }

  private async serve (entry: Entry, arrivedAt: Instant): Promise<void> {
    const order = this.way === SharingWay.OwnerHop ? this.rankOwners(entry) : [entry]
    for (const target of order) {
      const hopMs = target === entry ? 0 : this.getOneWayMs(entry, target)
      await this.wait(hopMs)
      const grant = await this.acquire(target, arrivedAt)
      if (grant === undefined) {
        await this.wait(hopMs)
        continue
      }
      await this.runWork(entry, target, grant)
      await this.wait(hopMs)
      this.served++
      this.latency.record(this.clock.now() - arrivedAt)
      return
    }
    this.refused++
  }

  /** The own workers first while they have room; else owners by the slots they own, drawn at random. */
  private rankOwners (entry: Entry): Entry[] {
    const owners = this.entries.filter((other) => other.pool.slots > 0)
    const first = entry.pool.slots > entry.pool.inFlight ? entry : chooseWeighted(this.random, owners, (owner) => owner.pool.slots)
    return [first, ...owners.filter((owner) => owner !== first)]
  }

  private async acquire (entry: Entry, arrivedAt: Instant): Promise<SlotGrant | undefined> {
    const request = { priority: 5, kind: RequestKind.Call, deadline: arrivedAt + ANSWER_WITHIN_MS, excluded: NO_EXCLUSIONS, signal: new AbortController().signal }
    const grant = await entry.pool.acquire(request)
    return grant.ok ? grant.val : undefined
  }

  private async runWork (entry: Entry, target: Entry, grant: SlotGrant): Promise<void> {
    const { workerId } = grant
    const used = (this.used.get(workerId) ?? 0) + 1
    this.used.set(workerId, used)
    this.worstUse = Math.max(this.worstUse, used / (this.options.workers[workerId]?.slots ?? 1))
    const farMs = target.isFar ? this.options.farOneWayMs : 0
    await this.wait(farMs)
    await this.wait(this.times.next())
    this.used.set(workerId, (this.used.get(workerId) ?? 1) - 1)
    await this.wait(farMs)
    grant.release()
  }

  private createEntry (index: number): Entry {
    const { options } = this
    const nodeId = `n${index}`
    const pool = new PlacePool({ service: SERVICE, failureDomain: DOMAIN }, this.clock, new SeededRandom(options.seed + 10 + index), 1)
    pool.updateWorkers({ workers: options.workers })
    const owners = options.arrivals.slice(0, options.owners).map((_, each) => `n${each}`)
    const shares = this.way === SharingWay.OwnerHop ? this.listOwned(nodeId, owners) : divideSlots({ service: SERVICE, workers: options.workers, entries: owners, selfId: nodeId })
    const parts = new Map([...shares].map(([workerId, share]) => [buildSlotKey(SERVICE, DOMAIN, workerId, options.workers[workerId]?.address ?? ''), share]))
    pool.update(parts, Infinity, MAX_QUEUE)
    return { nodeId, isFar: index >= options.owners, pool, loans: undefined }
  }

  /** Each worker whole to the first in its rank. */
  private listOwned (nodeId: string, owners: readonly string[]): Map<string, { slots: number, connections: number }> {
    const owned = Object.entries(this.options.workers).filter(([workerId]) => rankByRendezvous(`${SERVICE}/${workerId}`, owners)[0] === nodeId)
    return new Map(owned)
  }

  private startLoans (): void {
    for (const entry of this.entries) {
      const lenders = this.entries.filter((other) => other !== entry && !other.isFar).map(({ nodeId }) => ({ nodeId, address: nodeId }))
      entry.loans = new LoanBorrower({ selfId: entry.nodeId, client: this.createClient(entry), clock: this.clock, random: new SeededRandom(this.options.seed + 50), logger: NULL_LOGGER, listLenders: () => lenders, applyChange: (pool) => pool.applyLedger() })
      const { loans } = entry
      entry.pool.borrowState = BorrowState.Possible
      entry.pool.onDidRunOut((pool) => loans.borrow(pool))
    }
  }

  private createClient (from: Entry): IPeerClient {
    const refused = new Err(new StepError({ code: ErrorCode.Unavailable, step: 'exchange', peer: 'bench', message: 'not part of this bench' }))
    const find = (address: string): Entry => this.entries.find(({ nodeId }) => nodeId === address)!
    return {
      borrow: async (address, request) => {
        const to = find(address)
        this.messages++
        await this.wait(this.getOneWayMs(from, to))
        const answer = lendIdleSlots(to.pool, request, this.clock.now(), false)
        await this.wait(this.getOneWayMs(from, to))
        return new Ok(answer)
      },
      returnLoan: async (address, loan) => {
        const to = find(address)
        this.messages++
        await this.wait(this.getOneWayMs(from, to))
        to.pool.ledger.settleReturn(loan, this.clock.now())
        to.pool.applyLedger()
        return new Ok(undefined)
      },
      exchange: async () => refused,
      fetch: async () => refused,
      push: async () => refused,
      closePeer: () => {},
      close: () => {}
    }
  }

  private getOneWayMs (one: Entry, other: Entry): number {
    return one.isFar || other.isFar ? this.options.farOneWayMs : this.options.oneWayMs
  }

  private async wait (spanMs: number): Promise<void> {
    if (spanMs <= 0) return
    await new Promise<void>((resolve) => { this.clock.schedule(this.clock.now() + spanMs, resolve) })
  }

  private countSlots (): number {
    return Object.values(this.options.workers).reduce((sum, worker) => sum + worker.slots, 0)
  }

  private countUsed (): number {
    return [...this.used.values()].reduce((sum, count) => sum + count, 0)
  }

  private buildOutcome (slots: number): LimitsOutcome {
    const sorted = [...this.samples].sort((one, other) => one - other)
    const used = sorted[Math.floor(sorted.length * 0.99)] ?? 0
    const { p50Ms, p99Ms } = this.latency.getSummary()
    return { served: this.served, refused: this.refused, p50Ms, p99Ms, headroom: 1 - used / slots, worstUse: this.worstUse, messages: this.messages }
  }
}
