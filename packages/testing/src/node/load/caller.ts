/**
 * The callers of one region. A caller follows look-ups, sends its requests to
 * the entry VMs they name, repeats only what it may, and checks each answer.
 */
import { randomFillSync } from 'node:crypto'
import type { IClosable } from '@umberspar/base/common/closing'
import type { IClock, Instant } from '@umberspar/base/common/clock'
import { createDeadline, getRemainingMs, hasPassed } from '@umberspar/base/common/deadline'
import type { Deadline } from '@umberspar/base/common/deadline'
import { addJitter } from '@umberspar/base/common/random'
import type { IRandomSource } from '@umberspar/base/common/random'
import type { LookupAnswer } from '@umberspar/steering/common/lookup/decideLookup'
import { chooseWeighted } from '../../common/load/arrivals.js'
import { AnswerKind, HistoryEventKind } from '../../common/history/historyEvent.js'
import type { IHistorySink } from '../../common/history/historyEvent.js'
import { decideNextStep, findRetrySafety, NextStep, RetrySafety } from '../../common/load/retryRules.js'
import type { Operation } from '../../common/load/operation.js'
import { classifyFailure, readAnswer, REQUEST_ID_HEADER } from './answerReader.js'
import type { AttemptResult } from './answerReader.js'
import { createClientSocketPool, listClientAddresses } from './clientAddresses.js'
import type { CallerAddressing, ClientSocketPool } from './clientAddresses.js'
import { chooseEntry, LookupCache } from './lookupCache.js'
import { waitUntil } from '../waiting.js'

/** What the callers of a region know and do. */
export interface CallerOptions {
  readonly clock: IClock
  readonly random: IRandomSource
  /** IPv4 block of the region's clients, as `127.10.0.0/16`. */
  readonly clientBlock: string
  readonly addressing: CallerAddressing
  /** How many client addresses speak. */
  readonly clients: number
  /** Connections of one client to one entry. */
  readonly maxConnections: number
  /** One way, in milliseconds; added before a request is sent and after its answer. */
  readonly oneWayMs: number
  /** Entries that callers may ask for look-ups. */
  readonly bootstrapAddresses: readonly string[]
  /** Largest body that operations send. */
  readonly maxBodyBytes: number
  /** The time a caller gives an operation, counted from its intended start. */
  readonly answerWithinMs: number
  readonly maxAttempts: number
  readonly history?: IHistorySink
}

/** How an operation ended. */
export interface OperationResult {
  readonly last: AttemptResult
  readonly attempts: number
  readonly endedAt: Instant
}

/** Beside the deadline that the daemon is told, so that its own final answer still arrives. */
const ABORT_GRACE_MS = 250
const LOOKUP_WITHIN_MS = 5000
/** A pause before a repeat whose answer names none, so that repeats do not come in step. */
const REPEAT_PAUSE_MS = 20
const REPEAT_JITTER = 0.5

const NO_ENTRY: AttemptResult = { answer: AnswerKind.NotSent, status: 0, retryAfterMs: 0, detail: 'the look-up names no entry' }

/** Whether the answer to a repetition with a key says to ask again what became of the first attempt. */
function isStillRunning ({ answer, retryAfterMs }: AttemptResult, safety: RetrySafety): boolean {
  return safety === RetrySafety.Keyed && answer === AnswerKind.Unknown && retryAfterMs > 0
}

/** The callers of one region. */
export class Caller implements IClosable {
  private readonly pools: readonly ClientSocketPool[]
  private readonly lookups: LookupCache
  private readonly bodyBytes: Buffer

  constructor (private readonly options: CallerOptions) {
    const { clock, random, bootstrapAddresses } = options
    this.pools = listClientAddresses(options.clientBlock, options.clients)
      .map((address) => createClientSocketPool(options.addressing, address, options.maxConnections))
    this.lookups = new LookupCache(clock, random, bootstrapAddresses, (entry, service) => this.fetchLookup(entry, service))
    this.bodyBytes = randomFillSync(Buffer.alloc(options.maxBodyBytes))
  }

  /**
   * Carries an operation to its end; never rejects.
   * @param operation what to do
   * @param intendedStart when the caller wanted to begin
   * @returns the last attempt's result
   */
  async run (operation: Operation, intendedStart: Instant): Promise<OperationResult> {
    const { clock, maxAttempts, answerWithinMs } = this.options
    const deadline = createDeadline(intendedStart, answerWithinMs)
    const failed = new Set<string>()
    const safety = findRetrySafety(operation.template.isIdempotent, operation.idempotencyKey)
    let last: AttemptResult = NO_ENTRY
    let lost: AttemptResult | undefined
    let attempts = 0
    let tries = 0
    while (tries < maxAttempts) {
      attempts += 1
      last = await this.sendAttempt(operation, attempts, deadline, failed)
      const isAskedBack = last.retryAfterMs > 0
      if (decideNextStep(last.answer, safety, isAskedBack) === NextStep.Stop) break
      if (last.answer === AnswerKind.Failed) lost = last
      // Asking again whether the first attempt has ended is bounded by the deadline alone.
      if (!isStillRunning(last, safety)) tries += 1
      if (last.answer !== AnswerKind.NotRun) this.lookups.clear(operation.service)
      const sendAgainAt = this.computeRepeatAt(last)
      if (hasPassed(deadline, sendAgainAt)) break
      if (tries < maxAttempts) await waitUntil(clock, sendAgainAt)
    }
    // A repetition that learned nothing does not hide that an answer was lost.
    const hasLearnedNothing = safety === RetrySafety.Keyed && last.answer === AnswerKind.Unknown
    return { last: hasLearnedNothing ? lost ?? last : last, attempts, endedAt: clock.now() }
  }

  async close (): Promise<void> {
    await Promise.all(this.pools.map(({ agent }) => agent.destroy()))
  }

  private computeRepeatAt ({ retryAfterMs }: AttemptResult): Instant {
    const { clock, random } = this.options
    return clock.now() + retryAfterMs + addJitter(random, REPEAT_PAUSE_MS, REPEAT_JITTER)
  }

  private async sendAttempt (operation: Operation, attempt: number, deadline: Deadline, failed: Set<string>): Promise<AttemptResult> {
    let entry: string | undefined
    try {
      const answer = await this.lookups.find(operation.service)
      entry = chooseEntry(this.options.random, answer, failed)
    } catch (thrown) {
      // Only the look-up was sent, never the request, whatever the failure was.
      return { ...classifyFailure(thrown), answer: AnswerKind.NotSent }
    }
    if (entry === undefined) return NO_ENTRY
    const result = await this.sendToEntry(operation, `${operation.operationId}.${attempt}`, entry, deadline)
    if (result.answer !== AnswerKind.Complete) failed.add(entry)
    return result
  }

  private async sendToEntry (operation: Operation, requestId: string, entry: string, deadline: Deadline): Promise<AttemptResult> {
    const { clock, oneWayMs, history } = this.options
    const { operationId, service, template, idempotencyKey } = operation
    await waitUntil(clock, clock.now() + oneWayMs)
    history?.record({
      kind: HistoryEventKind.Sent, at: clock.now(), requestId, operationId, service, isIdempotent: template.isIdempotent, idempotencyKey, entry
    })
    const result = await this.sendOverPool(operation, requestId, entry, deadline)
    history?.record({ kind: HistoryEventKind.Answered, at: clock.now(), requestId, answer: result.answer, detail: result.detail })
    await waitUntil(clock, clock.now() + oneWayMs)
    return result
  }

  private async sendOverPool (operation: Operation, requestId: string, entry: string, deadline: Deadline): Promise<AttemptResult> {
    const { clock } = this.options
    const { service, path, template: { method } } = operation
    const body = this.bodyBytes.subarray(0, operation.bodyBytes)
    const pool = this.choosePool()
    const abort = new AbortController()
    const timer = clock.schedule(createDeadline(deadline, ABORT_GRACE_MS), () => abort.abort())
    try {
      const response = await pool.agent.request({
        origin: `http://${entry}`,
        path: `/v1/services/${service}${path}`,
        method,
        headers: this.buildHeaders(operation, requestId, deadline, pool),
        body: body.length > 0 ? body : null,
        signal: abort.signal
      })
      return await readAnswer(response, { requestId, method, path, body })
    } catch (thrown) {
      return classifyFailure(thrown)
    } finally {
      timer.close()
    }
  }

  private buildHeaders (operation: Operation, requestId: string, deadline: Deadline, pool: ClientSocketPool): Record<string, string> {
    const remainingMs = Math.max(1, Math.floor(getRemainingMs(deadline, this.options.clock.now())))
    const headers: Record<string, string> = { ...pool.headers, [REQUEST_ID_HEADER]: requestId, 'umberspar-timeout-ms': String(remainingMs) }
    if (operation.idempotencyKey !== undefined) headers['idempotency-key'] = operation.idempotencyKey
    if (operation.bodyBytes > 0) headers['content-type'] = 'application/octet-stream'
    return headers
  }

  private choosePool (): ClientSocketPool {
    return chooseWeighted(this.options.random, this.pools, () => 1)
  }

  private async fetchLookup (entry: string, service: string): Promise<LookupAnswer> {
    const { clock, oneWayMs } = this.options
    const pool = this.choosePool()
    await waitUntil(clock, clock.now() + oneWayMs)
    const abort = new AbortController()
    const timer = clock.schedule(createDeadline(clock.now(), LOOKUP_WITHIN_MS), () => abort.abort())
    try {
      const response = await pool.agent.request({
        origin: `http://${entry}`,
        path: `/v1/lookup?service=${encodeURIComponent(service)}`,
        method: 'GET',
        headers: { ...pool.headers },
        signal: abort.signal
      })
      const text = await response.body.text()
      if (response.statusCode !== 200) throw new Error(`look-up at ${entry}: status ${response.statusCode}: ${text}`)
      await waitUntil(clock, clock.now() + oneWayMs)
      return JSON.parse(text) as LookupAnswer
    } finally {
      timer.close()
    }
  }
}
