/** Replays load on one service whose workers have too few slots, through the gates of several VMs. */
import { SeededRandom } from '@umberspar/base/common/random'
import { shouldAdmit } from '../../../../src/common/entry/admission/admission.js'
import { FleetUsage } from '../../../../src/common/entry/admission/fleetUsage.js'
import { GateOutcome, ServiceGate } from '../../../../src/common/entry/admission/serviceGate.js'
import { encodeUsage, USAGE_AGGREGATION } from '../../../../src/common/entry/admission/usageContent.js'
import { type ExchangeContent, type ExchangeRow, ExchangeTopic } from '../../../../src/common/entry/exchange/exchangeRow.js'
import type { UpstreamChoice } from '../../../../src/common/entry/workers/chooseUpstream.js'

export const SERVICE = 'catalogue'
const STEP_MS = 10
const PUBLISH_MS = 1_000
const ROW_DELAY_MS = 300
const SERVICE_TIME_MS = 300
const DEADLINE_MS = 3_000

/** Requests of one kind and account. */
export interface Stream {
  readonly name: string
  readonly priority: number
  readonly account?: string
  readonly goalMs: number
  /** Requests a second at an instant. */
  readonly getRate: (atMs: number) => number
}

export interface ReplayOptions {
  readonly seed: number
  readonly slots: number
  readonly vms: number
  readonly durationMs: number
  /** Requests before this instant are not counted in the tallies. */
  readonly countFromMs?: number
  readonly isGated?: boolean
  readonly hasExchange?: boolean
  /** The part of requests that workers refuse at an instant. */
  readonly getRefusedRatio?: (atMs: number) => number
  /** Replaces what a domain tells. */
  readonly changeRow?: (content: ExchangeContent, domain: string, atMs: number) => ExchangeContent | undefined
  /** VMs whose process starts anew at an instant. */
  readonly listRestarts?: (atMs: number) => readonly number[]
}

export interface Tally { asked: number, served: number, onTime: number, yielded: number, overShare: number, refusedWithRoom: number }

/** Rows that arrive late, as one VM sees them. */
class ReplayExchange {
  readonly rows: ExchangeRow[] = []

  constructor (private readonly clock: { now: number }) {}

  * listRows (topic: ExchangeTopic): Iterable<ExchangeRow> {
    const newest = new Map<string, ExchangeRow>()
    for (const row of this.rows) if (row.topic === topic && row.at + ROW_DELAY_MS <= this.clock.now) newest.set(row.key, row)
    yield * newest.values()
  }
}

export class OverloadReplay {
  readonly tallies = new Map<string, Tally>()
  private readonly random: SeededRandom
  private readonly clock = { now: 0 }
  private readonly exchange: ReplayExchange
  private gates: ServiceGate[]
  private readonly busyUntil: number[] = []
  private queued: number[] = []

  constructor (private readonly streams: readonly Stream[], private readonly options: ReplayOptions) {
    this.random = new SeededRandom(options.seed)
    this.exchange = new ReplayExchange(this.clock)
    this.gates = Array.from({ length: options.vms }, (_, index) => this.createGate(index))
    for (const { name } of streams) this.tallies.set(name, { asked: 0, served: 0, onTime: 0, yielded: 0, overShare: 0, refusedWithRoom: 0 })
  }

  /** Plays the whole load. */
  run (): this {
    for (; this.clock.now < this.options.durationMs; this.clock.now += STEP_MS) {
      const { now } = this.clock
      this.releaseSlots(now)
      if (now % PUBLISH_MS === 0 && this.options.hasExchange !== false) this.publishRows(now)
      for (const index of this.options.listRestarts?.(now) ?? []) this.gates[index] = this.createGate(index)
      for (const stream of this.streams) this.runStream(stream, now)
    }
    return this
  }

  /** @returns the part of a stream's requests that was served */
  getServedRatio (name: string): number {
    const { asked, served } = this.tallies.get(name)!
    return served / Math.max(1, asked)
  }

  /** @returns the part of a stream's requests that was answered on time */
  getOnTimeRatio (name: string): number {
    const { asked, onTime } = this.tallies.get(name)!
    return onTime / Math.max(1, asked)
  }

  private createGate (index: number): ServiceGate {
    const exchange = this.options.hasExchange === false ? undefined : this.exchange
    return new ServiceGate(SERVICE, new FleetUsage(exchange, this.getDomain(index)), this.random, () => 1)
  }

  private getDomain (index: number): string {
    return `d-${index % 2}`
  }

  private publishRows (now: number): void {
    const vmRows = this.gates.map((gate, index): readonly [string, ExchangeContent | undefined] => [this.getDomain(index), encodeUsage(new Map([[SERVICE, gate.readUsage(now)]]))])
    for (const domain of ['d-0', 'd-1']) {
      const rows = vmRows.filter(([vmDomain, content]) => vmDomain === domain && content !== undefined).map(([, content], index): ExchangeRow => ({ topic: ExchangeTopic.VmUsage, key: `vm-${index}`, content: content!, at: now }))
      const sum = USAGE_AGGREGATION.compute(rows, now)
      const content = sum === undefined || this.options.changeRow === undefined ? sum : this.options.changeRow(sum, domain, now)
      if (content !== undefined) this.exchange.rows.push({ topic: ExchangeTopic.DomainUsage, key: domain, content, at: now })
    }
  }

  private runStream (stream: Stream, now: number): void {
    const expected = stream.getRate(now) * STEP_MS / 1_000
    // A Bernoulli trial for each request that is possible in a step.
    const trials = Math.max(1, Math.ceil(expected * 4))
    for (let trial = 0; trial < trials; trial++) if (this.random.next() < expected / trials) this.runRequest(stream, now)
  }

  private runRequest (stream: Stream, now: number): void {
    const tally = now >= (this.options.countFromMs ?? 0) ? this.tallies.get(stream.name)! : { asked: 0, served: 0, onTime: 0, yielded: 0, overShare: 0, refusedWithRoom: 0 }
    tally.asked++
    const gate = this.gates[Math.floor(this.random.next() * this.gates.length)]!
    const waitMs = this.estimateWaitMs()
    const choice = this.createChoice(stream, waitMs)
    const saturation = this.getSaturation()
    if (this.options.isGated !== false) {
      const { outcome } = gate.decide({ priority: stream.priority, account: stream.account, hasReturned: false }, { saturation, onTimeProbability: choice.onTimeProbabilityOnHit }, now)
      if (outcome === GateOutcome.PriorityYielded) tally.yielded++
      if (outcome === GateOutcome.AccountOverShare) tally.overShare++
      if (outcome !== GateOutcome.Admitted && this.busyUntil.length < this.options.slots * 0.8) tally.refusedWithRoom++
      if (outcome !== GateOutcome.Admitted) return
    }
    const isAdmitted = shouldAdmit(choice, { now, deadline: now + DEADLINE_MS, hasEnoughSamples: true, wasSent: false, saturation })
    if (!isAdmitted || this.random.next() < (this.options.getRefusedRatio?.(now) ?? 0)) {
      gate.recordRefusal(stream.priority, now)
      return
    }
    const serviceMs = SERVICE_TIME_MS * (0.8 + 0.4 * this.random.next())
    const startAt = this.startOrQueue(now, serviceMs)
    tally.served++
    if (startAt + serviceMs - now <= stream.goalMs) tally.onTime++
  }

  /** @returns when a slot is free */
  private startOrQueue (now: number, serviceMs: number): number {
    if (this.busyUntil.length < this.options.slots) {
      this.busyUntil.push(now + serviceMs)
      return now
    }
    this.queued.push(serviceMs)
    return now + this.estimateWaitMs()
  }

  private releaseSlots (now: number): void {
    for (let index = this.busyUntil.length - 1; index >= 0; index--) {
      if (this.busyUntil[index]! > now) continue
      const next = this.queued.shift()
      if (next === undefined) this.busyUntil.splice(index, 1)
      else this.busyUntil[index] = now + next
    }
  }

  private estimateWaitMs (): number {
    return this.busyUntil.length < this.options.slots ? 0 : (this.queued.length + 1) * SERVICE_TIME_MS / this.options.slots
  }

  private getSaturation (): number {
    const utilization = (this.busyUntil.length + this.queued.length) / this.options.slots
    return Math.min(1, Math.max(0, (utilization - 0.4) / 0.5))
  }

  private createChoice ({ goalMs }: Stream, waitMs: number): UpstreamChoice {
    const spreadMs = 30 + 0.35 * waitMs
    const onTimeProbabilityOnHit = 1 / (1 + Math.exp(-1.7 * (goalMs - SERVICE_TIME_MS - waitMs) / spreadMs))
    return { candidate: undefined as never, expectedMs: SERVICE_TIME_MS + waitMs, waitMs, score: onTimeProbabilityOnHit, onTimeProbabilityOnHit }
  }
}
