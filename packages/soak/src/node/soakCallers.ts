/** The callers of a soak run: they choose entry VMs by look-ups, reuse connections and retry only requests that are safe to retry. */
import { Agent } from 'node:http'
import type { IClock } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import type { IRandomSource } from '@umberspar/base/common/random'
import { AnswerKind } from '@umberspar/testing/common/history/historyEvent'
import { chooseWeighted } from '@umberspar/testing/common/load/arrivals'
import { type ClientAnswer, getAnsweredId, getSeal, isDenied, isPromisedNotRun, lookUpAt, sendCall } from '@umberspar/testing/node/standIns/usersPlatform/platformClient'
import { type PipelinedAnswer, PipelinedCaller } from '@umberspar/testing/node/standIns/usersPlatform/pipelinedCaller'
import type { AccountInput } from '@umberspar/testing/node/standIns/usersPlatform/platformRecords'
import { waitForCondition } from '@umberspar/testing/node/load/polling'
import { waitUntil } from '@umberspar/testing/node/waiting'
import { formatAuthorization } from '../common/soakAccounts.js'
import { SoakRule } from '../common/soakRule.js'
import type { SoakChecker } from './soakChecker.js'

/** A kind of request. */
export interface RequestKind {
  readonly prefix: string
  readonly service: string
  readonly method: string
  readonly isIdempotent: boolean
  readonly bodyLength: number
  readonly priority: number
  /** Relative frequency of this kind among all. */
  readonly weight: number
}

/** The network as callers see it. */
export interface ICallerNetwork {
  /** @returns the addresses of the look-up listeners of all entry VMs */
  listLookups(): readonly string[]
  /** @returns the address to connect to in order to reach an entry VM that a look-up returned */
  getConnectAddress(entry: string): string
  /** @returns the complete body of a worker's answer to a request */
  buildBody(requestId: string): string
}

const DEADLINE_MS = 3_000
/** Callers wait for this long beyond their deadline before they abort a request. */
const DEADLINE_GRACE_MS = 300
const LOOKUP_TIMEOUT_MS = 1_000
const MAX_LOOKUP_ATTEMPTS = 3
const LOOKUP_CACHE_MS = 2_000
const MAX_ATTEMPTS = 3
const RETRY_DELAY_MS = 100
const OBJECT_COUNT = 60
/** Ratio of operations on idempotent requests that pipeline several requests, and how many each pipelines. */
const PIPELINED_RATIO = 0.15
const PIPELINE_DEPTH = 4
const PIPELINE_POLL_INTERVAL_MS = 5

/** The callers of one failure domain and account. */
export class SoakCallers implements IClosable {
  private readonly agent = new Agent({ keepAlive: true })
  private entries: readonly string[] = []
  private entriesExpireAt = Number.NEGATIVE_INFINITY
  private sequence = 0

  constructor (
    readonly location: { readonly region: string, readonly domain: string },
    private readonly account: AccountInput,
    private readonly kinds: readonly RequestKind[],
    private readonly network: ICallerNetwork,
    private readonly checker: SoakChecker,
    private readonly clock: IClock,
    private readonly random: IRandomSource
  ) {}

  close (): void {
    this.agent.destroy()
  }

  /** Runs an operation with its retries. */
  async run (): Promise<void> {
    const kind = chooseWeighted(this.random, this.kinds, ({ weight }) => weight)
    if (kind.isIdempotent && this.random.next() < PIPELINED_RATIO) {
      await this.runPipeline(kind)
      return
    }
    const operationId = this.createId()
    const deadline = this.clock.now() + DEADLINE_MS
    const failed = new Set<string>()
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      const entry = await this.chooseEntry(failed)
      const leftMs = deadline - this.clock.now()
      if (entry === undefined || leftMs < RETRY_DELAY_MS) return
      const answer = await this.send(kind, operationId, `${operationId}-${attempt}`, entry, leftMs)
      if (answer === AnswerKind.Complete) return
      const mayRetry = kind.isIdempotent || answer === AnswerKind.NotRun || answer === AnswerKind.NotSent
      if (!mayRetry) return
      failed.add(entry)
      await waitUntil(this.clock, this.clock.now() + RETRY_DELAY_MS * (1 + this.random.next()))
    }
  }

  private createId (): string {
    return `${this.account.Name}-${this.location.domain}-${++this.sequence}`
  }

  /** Pipelines several requests on a connection of their own and reads the answers in order. */
  private async runPipeline ({ prefix, service, method, bodyLength, priority }: RequestKind): Promise<void> {
    const entry = await this.chooseEntry(new Set())
    if (entry === undefined) return
    const calls = Array.from({ length: PIPELINE_DEPTH }, () => {
      const id = `${this.createId()}-p`
      const path = `${prefix}${Math.floor(this.random.next() * OBJECT_COUNT)}`
      this.checker.recordSent({ requestId: id, operationId: id, service, isIdempotent: true, path, method, bodyLength, entry, account: this.account.Name, priority, deadlineMs: DEADLINE_MS })
      return { id, path, key: path, deadlineMs: DEADLINE_MS, authorization: formatAuthorization(this.account) }
    })
    const caller = new PipelinedCaller(this.network.getConnectAddress(entry))
    caller.send(calls)
    await waitForCondition(this.clock, this.clock.now() + DEADLINE_MS + DEADLINE_GRACE_MS, PIPELINE_POLL_INTERVAL_MS, () => caller.isEnded || caller.answers.length === calls.length)
    caller.close()
    for (const [index, { id }] of calls.entries()) this.recordPipelinedAnswer(id, caller, index)
  }

  private recordPipelinedAnswer (requestId: string, { answers, isReset }: PipelinedCaller, index: number): void {
    const answer = answers[index]
    if (answer !== undefined) {
      const kind = this.classifyAnswer(requestId, answer)
      this.checker.recordAnswer(requestId, kind, `pipelined, status ${answer.status}`)
      return
    }
    // Requests behind an answer that closes the connection were not read by the entry VM.
    const isUnread = !isReset && answers.length > 0 && answers.at(-1)?.closes === true
    this.checker.recordAnswer(requestId, isUnread ? AnswerKind.NotRun : AnswerKind.Failed, `pipelined, ${answers.length} answers, reset: ${isReset}`)
  }

  private async send (kind: RequestKind, operationId: string, requestId: string, entry: string, leftMs: number): Promise<AnswerKind> {
    const { prefix, service, method, isIdempotent, bodyLength, priority } = kind
    const path = `${prefix}${Math.floor(this.random.next() * OBJECT_COUNT)}`
    this.checker.recordSent({ requestId, operationId, service, isIdempotent, path, method, bodyLength, entry, account: this.account.Name, priority, deadlineMs: leftMs })
    const abort = new AbortController()
    const timer = this.clock.schedule(this.clock.now() + leftMs + DEADLINE_GRACE_MS, () => { abort.abort() })
    try {
      const body = bodyLength === 0 ? undefined : 'u'.repeat(bodyLength)
      const answer = await sendCall(this.network.getConnectAddress(entry), { path, method, id: requestId, key: path, deadlineMs: Math.floor(leftMs), body, headers: { Authorization: formatAuthorization(this.account) }, signal: abort.signal, agent: this.agent })
      return this.recordAnswer(requestId, answer)
    } catch (error) {
      const code = (error as NodeJS.ErrnoException).code
      const failureKind = code === 'ECONNREFUSED' ? AnswerKind.NotSent : AnswerKind.Failed
      this.checker.recordAnswer(requestId, failureKind, `${code}: ${(error as Error).message}`)
      return failureKind
    } finally {
      timer.close()
    }
  }

  private recordAnswer (requestId: string, answer: ClientAnswer): AnswerKind {
    const kind = this.classifyClientAnswer(requestId, answer)
    if (isDenied(answer.status)) this.checker.report(SoakRule.Denied, requestId, `status ${answer.status}: ${answer.body}`)
    this.checker.recordAnswer(requestId, kind, `status ${answer.status}: ${answer.body.slice(0, 80)}`)
    return kind
  }

  private classifyClientAnswer (requestId: string, answer: ClientAnswer): AnswerKind {
    return this.classifyAnswer(requestId, { status: answer.status, body: answer.body, seal: getSeal(answer), id: getAnsweredId(answer) })
  }

  private classifyAnswer (requestId: string, { status, body, seal, id }: Omit<PipelinedAnswer, 'closes'>): AnswerKind {
    if (status >= 200 && status < 300) {
      if (seal?.endsWith(`-${requestId}`) !== true || id !== requestId) return AnswerKind.Mismatched
      return body === this.network.buildBody(requestId) ? AnswerKind.Complete : AnswerKind.Truncated
    }
    return isPromisedNotRun(status) ? AnswerKind.NotRun : AnswerKind.Unknown
  }

  private async chooseEntry (failed: ReadonlySet<string>): Promise<string | undefined> {
    if (this.clock.now() >= this.entriesExpireAt) await this.lookUp()
    const usable = this.entries.filter((entry) => !failed.has(entry))
    const candidates = usable.length > 0 ? usable : this.entries
    return candidates[Math.floor(this.random.next() * candidates.length)]
  }

  /** Updates the entry VMs by a look-up; keeps the previous ones if every look-up fails. */
  private async lookUp (): Promise<void> {
    this.entriesExpireAt = this.clock.now() + LOOKUP_CACHE_MS
    const lookups = this.network.listLookups()
    for (let attempt = 0; attempt < MAX_LOOKUP_ATTEMPTS; attempt++) {
      const address = lookups[Math.floor(this.random.next() * lookups.length)]!
      try {
        const entries = await lookUpAt(address, this.location.region, this.location.domain, AbortSignal.timeout(LOOKUP_TIMEOUT_MS))
        if (entries.length === 0) continue
        this.entries = entries
        return
      } catch {
        // The entry VM is stopped or paused; the next attempt chooses a listener again.
      }
    }
  }
}
