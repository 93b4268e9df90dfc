/** The callers of a soak run: they follow look-ups, keep connections open, repeat only what they may. */
import { Agent } from 'node:http'
import type { IClock } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import type { IRandomSource } from '@umberspar/base/common/random'
import { AnswerKind } from '@umberspar/testing/common/history/historyEvent'
import { chooseWeighted } from '@umberspar/testing/common/load/arrivals'
import { type ClientAnswer, getAnsweredId, getSeal, isDenied, isPromisedNotRun, lookUpAt, sendCall } from '@umberspar/testing/node/standIns/usersPlatform/platformClient'
import { type PipelinedAnswer, PipelinedCaller } from '@umberspar/testing/node/standIns/usersPlatform/pipelinedCaller'
import { waitForCondition } from '@umberspar/testing/node/load/polling'
import { waitUntil } from '@umberspar/testing/node/waiting'
import { CALLERS, CALLERS_AUTHORIZATION } from '../common/soakAccounts.js'
import { SoakRule } from '../common/soakRule.js'
import type { SoakJudge } from './soakJudge.js'

/** One kind of request. */
export interface RequestKind {
  readonly prefix: string
  readonly service: string
  readonly method: string
  readonly isIdempotent: boolean
  readonly bodyLength: number
  /** How often it comes beside the others. */
  readonly weight: number
}

/** Whom callers can reach. */
export interface ICallerNetwork {
  /** @returns listeners for look-ups, of all entry VMs */
  listLookups(): readonly string[]
  /** @returns where to connect to reach an entry VM that a look-up names */
  getWay(entry: string): string
  /** @returns the whole answer that a worker gives to a request */
  buildBody(requestId: string): string
}

const DEADLINE_MS = 3_000
/** A caller gives up this long after its deadline, in milliseconds. */
const PATIENCE_MS = 300
const LOOKUP_WITHIN_MS = 1_000
const LOOKUP_TRIES = 3
/** How long a look-up is kept, in milliseconds. */
const LOOKUP_KEPT_MS = 2_000
const MOST_ATTEMPTS = 3
const RETRY_MS = 100
const OBJECTS = 60
/** The part of operations that send several idempotent requests before the first is answered, and how many. */
const PIPELINED_PART = 0.15
const PIPELINE_DEPTH = 4
const PIPELINE_POLL_MS = 5

/** The callers of one region and failure domain. */
export class SoakCallers implements IClosable {
  private readonly agent = new Agent({ keepAlive: true })
  private entries: readonly string[] = []
  private entriesUntil = Number.NEGATIVE_INFINITY
  private sequence = 0

  constructor (
    private readonly place: { readonly region: string, readonly domain: string },
    private readonly kinds: readonly RequestKind[],
    private readonly network: ICallerNetwork,
    private readonly judge: SoakJudge,
    private readonly clock: IClock,
    private readonly random: IRandomSource
  ) {}

  close (): void {
    this.agent.destroy()
  }

  /** Runs one operation to its end. */
  async run (): Promise<void> {
    const kind = chooseWeighted(this.random, this.kinds, ({ weight }) => weight)
    if (kind.isIdempotent && this.random.next() < PIPELINED_PART) {
      await this.runPipeline(kind)
      return
    }
    const operationId = `${this.place.domain}-${++this.sequence}`
    const deadline = this.clock.now() + DEADLINE_MS
    const failed = new Set<string>()
    for (let attempt = 1; attempt <= MOST_ATTEMPTS; attempt++) {
      const entry = await this.chooseEntry(failed)
      const leftMs = deadline - this.clock.now()
      if (entry === undefined || leftMs < RETRY_MS) return
      const answer = await this.send(kind, operationId, `${operationId}-${attempt}`, entry, leftMs)
      if (answer === AnswerKind.Whole) return
      const mayRepeat = kind.isIdempotent || answer === AnswerKind.NotRun || answer === AnswerKind.NotSent
      if (!mayRepeat) return
      failed.add(entry)
      await waitUntil(this.clock, this.clock.now() + RETRY_MS * (1 + this.random.next()))
    }
  }

  /** Sends several requests on a connection of their own and reads the answers in their order. */
  private async runPipeline ({ prefix, service, method, bodyLength }: RequestKind): Promise<void> {
    const entry = await this.chooseEntry(new Set())
    if (entry === undefined) return
    const calls = Array.from({ length: PIPELINE_DEPTH }, () => {
      const id = `${this.place.domain}-${++this.sequence}-p`
      const path = `${prefix}${Math.floor(this.random.next() * OBJECTS)}`
      this.judge.recordSent({ requestId: id, operationId: id, service, isIdempotent: true, path, method, bodyLength, entry, account: CALLERS.Name })
      return { id, path, key: path, deadlineMs: DEADLINE_MS, authorization: CALLERS_AUTHORIZATION }
    })
    const caller = new PipelinedCaller(this.network.getWay(entry))
    caller.send(calls)
    await waitForCondition(this.clock, this.clock.now() + DEADLINE_MS + PATIENCE_MS, PIPELINE_POLL_MS, () => caller.isEnded || caller.answers.length === calls.length)
    caller.close()
    for (const [index, { id }] of calls.entries()) this.recordPipelined(id, caller, index)
  }

  private recordPipelined (requestId: string, { answers, isReset }: PipelinedCaller, index: number): void {
    const answer = answers[index]
    if (answer !== undefined) {
      const kind = this.classifySealed(requestId, answer)
      this.judge.recordAnswer(requestId, kind, `pipelined, status ${answer.status}`)
      return
    }
    // What was sent behind an answer that closes the connection counts as not read.
    const isNotRead = !isReset && answers.length > 0 && answers.at(-1)?.closes === true
    this.judge.recordAnswer(requestId, isNotRead ? AnswerKind.NotRun : AnswerKind.Failed, `pipelined, ${answers.length} answers, reset: ${isReset}`)
  }

  private async send (kind: RequestKind, operationId: string, requestId: string, entry: string, leftMs: number): Promise<AnswerKind> {
    const { prefix, service, method, isIdempotent, bodyLength } = kind
    const path = `${prefix}${Math.floor(this.random.next() * OBJECTS)}`
    this.judge.recordSent({ requestId, operationId, service, isIdempotent, path, method, bodyLength, entry, account: CALLERS.Name })
    const abort = new AbortController()
    const timer = this.clock.schedule(this.clock.now() + leftMs + PATIENCE_MS, () => { abort.abort() })
    try {
      const body = bodyLength === 0 ? undefined : 'u'.repeat(bodyLength)
      const answer = await sendCall(this.network.getWay(entry), { path, method, id: requestId, key: path, deadlineMs: Math.floor(leftMs), body, headers: { Authorization: CALLERS_AUTHORIZATION }, signal: abort.signal, agent: this.agent })
      return this.recordAnswer(requestId, answer)
    } catch (thrown) {
      const code = (thrown as NodeJS.ErrnoException).code
      const kindOfEnd = code === 'ECONNREFUSED' ? AnswerKind.NotSent : AnswerKind.Failed
      this.judge.recordAnswer(requestId, kindOfEnd, `${code}: ${(thrown as Error).message}`)
      return kindOfEnd
    } finally {
      timer.close()
    }
  }

  private recordAnswer (requestId: string, answer: ClientAnswer): AnswerKind {
    const kind = this.classify(requestId, answer)
    if (isDenied(answer.status)) this.judge.report(SoakRule.Denied, requestId, `status ${answer.status}: ${answer.body}`)
    this.judge.recordAnswer(requestId, kind, `status ${answer.status}: ${answer.body.slice(0, 80)}`)
    return kind
  }

  private classify (requestId: string, answer: ClientAnswer): AnswerKind {
    return this.classifySealed(requestId, { status: answer.status, body: answer.body, seal: getSeal(answer), id: getAnsweredId(answer) })
  }

  private classifySealed (requestId: string, { status, body, seal, id }: Omit<PipelinedAnswer, 'closes'>): AnswerKind {
    if (status >= 200 && status < 300) {
      if (seal?.endsWith(`-${requestId}`) !== true || id !== requestId) return AnswerKind.Crossed
      return body === this.network.buildBody(requestId) ? AnswerKind.Whole : AnswerKind.Truncated
    }
    return isPromisedNotRun(status) ? AnswerKind.NotRun : AnswerKind.Unknown
  }

  private async chooseEntry (failed: ReadonlySet<string>): Promise<string | undefined> {
    if (this.clock.now() >= this.entriesUntil) await this.lookUp()
    const usable = this.entries.filter((entry) => !failed.has(entry))
    const all = usable.length > 0 ? usable : this.entries
    return all[Math.floor(this.random.next() * all.length)]
  }

  /** An old answer is kept as long as there is no new one. */
  private async lookUp (): Promise<void> {
    this.entriesUntil = this.clock.now() + LOOKUP_KEPT_MS
    const lookups = this.network.listLookups()
    for (let tries = 0; tries < LOOKUP_TRIES; tries++) {
      const address = lookups[Math.floor(this.random.next() * lookups.length)]!
      try {
        const entries = await lookUpAt(address, this.place.region, this.place.domain, AbortSignal.timeout(LOOKUP_WITHIN_MS))
        if (entries.length === 0) continue
        this.entries = entries
        return
      } catch {
        // That entry VM is stopped or paused; another is asked.
      }
    }
  }
}
