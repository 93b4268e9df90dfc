/**
 * Callers of a recovery run: they find entry VMs by look-ups, reuse connections, honour
 * `Retry-After` and repeat a request once, on another connection, as the platform's clients do.
 */
import { Agent } from 'node:http'
import type { IClock, Instant } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import type { IRandomSource } from '@umberspar/base/common/random'
import { type ClientAnswer, lookUpAt, sendCall } from '@umberspar/testing/node/standIns/usersPlatform/platformClient'
import { waitUntil } from '@umberspar/testing/node/waiting'

/** What callers know of the deployment. */
export interface CallerPlan {
  readonly seed: number
  /** Failure domains with their regions. */
  readonly regions: Readonly<Record<string, string>>
  /** Addresses of the look-up listeners, by failure domain. */
  readonly lookups: Readonly<Record<string, readonly string[]>>
  readonly prefixes: readonly string[]
  readonly keys: readonly string[]
  /** Requests a second of all callers together, repeats left out. */
  readonly ratePerSecond: number
  readonly callersPerDomain: number
  readonly objects: number
}

/** How the requests that were sent in one second ended. */
export interface SecondCounts {
  /** Requests, repeats included. */
  sent: number
  served: number
  /** Requests that were not served, by what callers were told. */
  readonly failures: Record<string, number>
  /** Operations that found no address of an entry VM in their time. */
  unaddressed: number
  /** The longest time for which the callers' own process did nothing, in milliseconds; if it is long, the run says little about the VMs. */
  callersLateMs: number
}

const DEADLINE_MS = 3_000
const LOOKUP_TIMEOUT_MS = 1_000
const MAX_LOOKUP_ATTEMPTS = 3
const LOOKUP_CACHE_MS = 5_000
const MAX_ATTEMPTS = 2
const RETRY_DELAY_MS = 50
/** Callers honour `Retry-After` up to this part of the time that they have left. */
const MAX_RETRY_WAIT_RATIO = 1 / 3
const MS_PER_SECOND = 1_000
const OK_STATUS = 200
const MAX_REASON_LENGTH = 60

/** @returns the reason for a failure, without the figures that differ from request to request */
function describeFailure ({ status, body }: Pick<ClientAnswer, 'status' | 'body'>): string {
  return `${status} ${body.slice(0, MAX_REASON_LENGTH).replaceAll(/\d+/g, 'N').trim()}`
}

/** One caller with its connections and its last look-up. */
class Caller {
  private entries: readonly string[] = []
  private entriesExpireAt: Instant = Number.NEGATIVE_INFINITY
  /** The look-up that is under way, for which all requests of the caller wait. */
  private lookingUp: Promise<void> | undefined
  readonly agent = new Agent({ keepAlive: true })

  constructor (private readonly domain: string, private readonly plan: CallerPlan, private readonly clock: IClock, private readonly random: IRandomSource) {}

  /** @returns an address of an entry VM that has not failed this operation; undefined if none is known */
  async chooseEntry (failed: ReadonlySet<string>): Promise<string | undefined> {
    if (this.clock.now() >= this.entriesExpireAt) await (this.lookingUp ??= this.lookUp())
    const usable = this.entries.filter((entry) => !failed.has(entry))
    return usable[Math.floor(this.random.next() * usable.length)]
  }

  private async lookUp (): Promise<void> {
    const near = this.plan.lookups[this.domain] ?? []
    for (let attempt = 0; attempt < MAX_LOOKUP_ATTEMPTS; attempt++) {
      const address = near[Math.floor(this.random.next() * near.length)]!
      try {
        const entries = await lookUpAt(address, this.plan.regions[this.domain] ?? '', this.domain, AbortSignal.timeout(LOOKUP_TIMEOUT_MS))
        if (entries.length === 0) continue
        this.entries = entries
        this.entriesExpireAt = this.clock.now() + LOOKUP_CACHE_MS
        break
      } catch {
        // The VM is down or late; the next attempt may choose another one.
      }
    }
    this.lookingUp = undefined
  }
}

/** All callers of a run. */
export class RecoveryCallers implements IClosable {
  private readonly callers: Caller[]
  private readonly seconds: SecondCounts[] = []
  private readonly startedAt: Instant
  private sequence = 0
  private isClosed = false

  constructor (private readonly plan: CallerPlan, private readonly clock: IClock, private readonly random: IRandomSource) {
    this.startedAt = clock.now()
    this.callers = Object.keys(plan.regions).flatMap((domain) => Array.from({ length: plan.callersPerDomain }, () => new Caller(domain, plan, clock, random)))
  }

  /** Sends requests at the planned rate until closed, no matter how earlier ones end. */
  async run (): Promise<void> {
    for (let at = this.clock.now(); !this.isClosed; at += MS_PER_SECOND / this.plan.ratePerSecond) {
      await waitUntil(this.clock, at)
      const second = this.getSecond()
      second.callersLateMs = Math.max(second.callersLateMs, this.clock.now() - at)
      // How a request fails is counted; anything else is a fault of this program.
      this.runOperation(this.callers[Math.floor(this.random.next() * this.callers.length)]!).catch((error: unknown) => { setImmediate(() => { throw error }) })
    }
  }

  /** @returns the counts of each second since the start */
  listSeconds (): readonly SecondCounts[] {
    return this.seconds
  }

  close (): void {
    this.isClosed = true
    for (const { agent } of this.callers) agent.destroy()
  }

  private async runOperation (caller: Caller): Promise<void> {
    const deadline = this.clock.now() + DEADLINE_MS
    const failed = new Set<string>()
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      const entry = await caller.chooseEntry(failed)
      const leftMs = deadline - this.clock.now()
      if (this.isClosed) return
      if (entry === undefined || (leftMs <= RETRY_DELAY_MS && attempt === 1)) {
        this.getSecond().unaddressed++
        return
      }
      if (leftMs <= RETRY_DELAY_MS) return
      const retryAfterMs = await this.send(caller, entry, leftMs, attempt)
      if (retryAfterMs === undefined) return
      failed.add(entry)
      await waitUntil(this.clock, this.clock.now() + Math.min(retryAfterMs, leftMs * MAX_RETRY_WAIT_RATIO))
    }
  }

  /** @returns how long to wait before the request is repeated, in milliseconds; undefined if it was served */
  private async send (caller: Caller, entry: string, leftMs: number, attempt: number): Promise<number | undefined> {
    const second = this.getSecond()
    second.sent++
    const { prefixes, keys, objects } = this.plan
    const number = ++this.sequence
    const key = `${number % objects}`
    const call = {
      path: `${prefixes[number % prefixes.length]}${key}`,
      id: `call-${number}`,
      key,
      deadlineMs: Math.floor(leftMs),
      headers: { Authorization: `Bearer ${keys[number % keys.length]}` },
      signal: AbortSignal.timeout(Math.ceil(leftMs)),
      // Repeats use a connection of their own.
      ...(attempt === 1 ? { agent: caller.agent } : {})
    }
    try {
      const answer = await sendCall(entry, call)
      if (answer.status === OK_STATUS) {
        second.served++
        return undefined
      }
      this.countFailure(second, describeFailure(answer))
      return Number(answer.headers['retry-after'] ?? 0) * MS_PER_SECOND + RETRY_DELAY_MS
    } catch (error) {
      this.countFailure(second, (error as NodeJS.ErrnoException).code ?? (error as Error).name)
      return RETRY_DELAY_MS
    }
  }

  private countFailure ({ failures }: SecondCounts, reason: string): void {
    failures[reason] = (failures[reason] ?? 0) + 1
  }

  private getSecond (): SecondCounts {
    const index = Math.floor((this.clock.now() - this.startedAt) / MS_PER_SECOND)
    while (this.seconds.length <= index) this.seconds.push({ sent: 0, served: 0, failures: {}, unaddressed: 0, callersLateMs: 0 })
    return this.seconds[index]!
  }
}
