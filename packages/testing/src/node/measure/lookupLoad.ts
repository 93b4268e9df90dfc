/**
 * One process of the load on look-ups: told over its channel where to send,
 * for how long and how, it answers with what it saw.
 */
import { fileURLToPath } from 'node:url'
import { Agent } from 'undici'
import { SeededRandom } from '@umberspar/base/common/random'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { chooseWeighted } from '../../common/load/arrivals.js'
import { LatencyRecorder } from '../load/latencyRecorder.js'
import type { LatencySummary } from '../load/latencyRecorder.js'
import { ArrivalPacing, runOpenLoop } from '../load/loadRunner.js'

/** How look-ups are offered. */
export enum LookupLoadKind {
  /** Each connection sends the next look-up when it has its answer: finds the capacity. */
  Saturate = 'saturate',
  /** Poisson arrivals at a fixed rate: finds the latency. */
  OpenLoop = 'open-loop'
}

/** One order to a process of the load. */
export interface LookupLoadOrder {
  readonly kind: LookupLoadKind
  /** `host:port` of the callers' listener. */
  readonly entry: string
  readonly services: readonly string[]
  /** Source address of the connections. */
  readonly clientAddress: string
  /** Addresses that the look-ups name in X-Forwarded-For, by turns; none if left out. */
  readonly forwardedFor?: readonly string[]
  readonly connections: number
  readonly ratePerSecond: number
  readonly spanSeconds: number
  readonly seed: number
}

/** What came of an order. */
export interface LookupLoadResult extends LatencySummary {
  readonly failures: number
  readonly skipped: number
  readonly elapsedSeconds: number
}

const MS_PER_SECOND = 1000
const MAX_OPEN = 1000

const clock = new SystemClock()

class LookupLoad {
  private readonly agent: Agent
  private readonly random: SeededRandom
  private readonly latency = new LatencyRecorder()
  private failures = 0
  private sent = 0

  constructor (private readonly order: LookupLoadOrder) {
    this.agent = new Agent({ connections: order.connections, pipelining: 1, localAddress: order.clientAddress })
    this.random = new SeededRandom(order.seed)
  }

  async run (): Promise<LookupLoadResult> {
    const startedAt = clock.now()
    const skipped = await LOADS[this.order.kind](this, startedAt + this.order.spanSeconds * MS_PER_SECOND)
    const elapsedSeconds = (clock.now() - startedAt) / MS_PER_SECOND
    await this.agent.close()
    return { ...this.latency.getSummary(), failures: this.failures, skipped, elapsedSeconds }
  }

  async runSaturating (until: number): Promise<number> {
    const sendAll = async (): Promise<void> => {
      while (clock.now() < until) await this.sendOne(clock.now())
    }
    await Promise.all(Array.from({ length: this.order.connections }, sendAll))
    return 0
  }

  async runOpenLoop (until: number): Promise<number> {
    const options = { clock, random: this.random, ratePerSecond: this.order.ratePerSecond, maxOperations: Infinity }
    const bounds = { startUntil: until, maxOpen: MAX_OPEN, pacing: ArrivalPacing.Spin }
    const totals = await runOpenLoop({ ...options, ...bounds }, (intendedStart) => this.sendOne(intendedStart))
    return totals.skipped
  }

  private buildHeaders (): Record<string, string> {
    const { forwardedFor = [] } = this.order
    const address = forwardedFor[this.sent++ % Math.max(1, forwardedFor.length)]
    return address === undefined ? {} : { 'x-forwarded-for': address }
  }

  private async sendOne (intendedStart: number): Promise<void> {
    const service = chooseWeighted(this.random, this.order.services, () => 1)
    try {
      const path = `/v1/lookup?service=${service}`
      const response = await this.agent.request({ origin: `http://${this.order.entry}`, path, method: 'GET', headers: this.buildHeaders() })
      const answer = JSON.parse(await response.body.text()) as { service?: string, entries?: unknown[] }
      if (answer.service !== service || answer.entries?.length === 0) this.failures += 1
    } catch {
      this.failures += 1
    }
    this.latency.record(clock.now() - intendedStart)
  }
}

/** How each kind of load runs; each returns the arrivals skipped. */
const LOADS: Readonly<Record<LookupLoadKind, (load: LookupLoad, until: number) => Promise<number>>> = {
  [LookupLoadKind.Saturate]: (load, until) => load.runSaturating(until),
  [LookupLoadKind.OpenLoop]: (load, until) => load.runOpenLoop(until)
}

/** Serves orders until the channel closes. */
function main (): void {
  process.on('message', async (order: LookupLoadOrder) => {
    const result = await new LookupLoad(order).run()
    process.send?.(result)
  })
  process.on('disconnect', () => process.exit(0))
}

if (process.send !== undefined && process.argv[1] === fileURLToPath(import.meta.url)) main()
