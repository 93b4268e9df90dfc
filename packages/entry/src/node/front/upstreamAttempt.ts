/**
 * One attempt to have a worker run a request: opens a connection, sends the request, reads the
 * response and records the worker's load, rate limit and speed. Logs and metrics call an attempt an
 * offer, as the worker may refuse it.
 */
import type { Instant } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import type { UpstreamChoice } from '@umberspar/steering/common/entry/workers/chooseUpstream'
import { AccessOutcome } from '@umberspar/steering/common/entry/decideAccess'
import { observeResponse } from '@umberspar/steering/common/entry/workers/observeResponse'
import type { InFlightRequest } from '@umberspar/steering/common/entry/workers/upstreamTracker'
import type { LoadReport } from '@umberspar/steering/common/entry/workers/workerLoad'
import { isRetryable } from '@umberspar/steering/common/entry/steeringDocument'
import { COOL_DOWN_STATUS } from '@umberspar/steering/common/request/coolDown'
import { parseDecimalNumber } from '@umberspar/steering/common/request/decimalNumber'
import { AttemptOutcome } from '../telemetry/requestOutcomes.js'
import type { ResponseHead } from '../upstream/responseParser.js'
import { getHeader } from '../upstream/rawHeaders.js'
import { ExchangeFailure, UpstreamConnection } from '../upstream/upstreamConnection.js'
import { OpenFailure } from '../upstream/upstreamPool.js'
import { classifyResponse } from '../upstream/classifyResponse.js'
import { createConnectDeadline } from '../upstream/connectSlack.js'
import { ResponseCollector, type BufferedResponse } from './responseCollector.js'
import { type AttemptListener, type AttemptResult, type IAttempt, OUTCOME_BY_FAILURE } from './attempt.js'
import type { EntryContext } from './entryContext.js'
import type { BufferedRequest } from './bufferedRequest.js'

/** Each VM may open at least this many connections to a worker, however many VMs share the limit. */
const MIN_CONNECTIONS_PER_WORKER = 2
/** Limit on the connections from one VM to a worker if the service sets none. */
const DEFAULT_MAX_CONNECTIONS = 16

/** Outcomes of attempts that the worker responded to. */
const RESPONSE_OUTCOMES: ReadonlySet<AttemptOutcome> = new Set([AttemptOutcome.Answered, AttemptOutcome.FailedByWorker, AttemptOutcome.RefusedByWorker])

/** One attempt. */
export class UpstreamAttempt implements IAttempt {
  private connection: UpstreamConnection | undefined
  private collector: ResponseCollector | undefined
  private openRequest: InFlightRequest | undefined
  private sentAt: Instant = 0
  /** How long the connection had been idle; undefined for a new connection. */
  private idleMs: number | undefined
  private isEnded = false
  /** The load that the worker reported with the response. */
  private report: LoadReport | undefined
  /** Whether the caller's deadline leaves less time to open a connection than the worker is given. */
  private isOpeningLimited = false
  /** The round of this attempt for crash reports; see `SuspectTable`. */
  private round = 1
  isStreaming = false

  /**
   * @param context the shared services of the process
   * @param request the request to send
   * @param choice the chosen worker with its estimates
   * @param service the service that the worker belongs to
   * @param affinityKey the affinity key of the request; undefined if it has none
   * @param deadline when the caller no longer needs a response
   * @param listener controls the attempt and receives the response
   */
  constructor (
    private readonly context: EntryContext,
    private readonly request: BufferedRequest,
    private readonly choice: UpstreamChoice,
    private readonly service: string,
    private readonly affinityKey: string | undefined,
    private readonly deadline: Deadline,
    private readonly listener: AttemptListener
  ) {}

  get isSent (): boolean {
    return this.connection !== undefined
  }

  private get tracker () {
    return this.choice.candidate.tracker
  }

  start (): void {
    const { clock, view, pools, quarantine } = this.context
    const now = clock.now()
    // Counted before the connection is open, so that decisions made meanwhile take this request into account.
    this.openRequest = this.tracker.startRequest(now, this.choice.expectedMs)
    const maxConnections = view.getPool(this.service).policy?.maxConnections ?? 0
    const maxOwnConnections = maxConnections === 0 ? DEFAULT_MAX_CONNECTIONS : Math.max(MIN_CONNECTIONS_PER_WORKER, Math.floor(maxConnections / view.sharers.fleet.count))
    const connectDeadline = createConnectDeadline(now, this.choice.candidate.roundTripMs)
    this.isOpeningLimited = this.deadline < connectDeadline
    pools.getPool(this.tracker.registration).open(maxOwnConnections, Math.min(this.deadline, connectDeadline), (result, openMs) => { this.handleOpen(result, openMs) }, quarantine.getNextRound(this.request.digest) > 1)
  }

  cancel (): void {
    if (this.isEnded) return
    this.end({ outcome: AttemptOutcome.Cancelled })
    this.connection?.cancel()
  }

  /** Ends the attempt without a response if its connection has been silent and the request may be repeated. */
  cancelSilent (): void {
    if (this.isEnded || this.collector?.hasHead !== false || !isRetryable(this.request.route.kind)) return
    this.end({ outcome: AttemptOutcome.ConnectionLost, isStreaming: false })
    this.connection?.cancel()
  }

  pause (): void {
    this.connection?.pause()
  }

  resume (): void {
    this.connection?.resume()
  }

  private handleOpen (result: UpstreamConnection | OpenFailure, openMs: number): void {
    const now = this.context.clock.now()
    if (!(result instanceof UpstreamConnection)) {
      if (result !== OpenFailure.Full) this.recordOpenFailure(result, openMs, now)
      this.end({ outcome: AttemptOutcome.NotSent })
      return
    }
    if (openMs > 0) {
      this.context.roundTrips.record(this.tracker.registration.domain, openMs)
      this.context.links.recordOpened(this.service, this.tracker.registration.id, now)
    }
    // The caller may have left, but the end of its connection may not have been read yet.
    this.context.eventLoop.runWhenCurrent(() => { this.sendIfAllowed(result) })
  }

  private recordOpenFailure (failure: OpenFailure, openMs: number, now: Instant): void {
    const { links, eventLoop } = this.context
    // The connection may be open although that has not been read yet.
    const isConclusive = failure === OpenFailure.Refused || !(this.isOpeningLimited || eventLoop.isLate())
    if (isConclusive) links.recordOpenFailure(this.service, this.tracker.registration.id, now - openMs, now, failure === OpenFailure.Refused)
    if (!this.isEnded) this.tracker.recordUnreachable(now)
  }

  /** Checks again what may have changed while the connection was opened or the process could not run. */
  private sendIfAllowed (connection: UpstreamConnection): void {
    if (this.isEnded) {
      connection.close()
      return
    }
    const now = this.context.clock.now()
    const access = this.context.accessController.decide(this.request.route, this.request.keyDigest)
    if (access.outcome !== AccessOutcome.Allowed || !this.isStillEligible(now) || !this.listener.mayStillSend(now)) {
      connection.close()
      this.end({ outcome: AttemptOutcome.Withdrawn })
      return
    }
    if (connection.isUsable) this.send(connection, now, access.account?.name)
    else this.end({ outcome: AttemptOutcome.NotSent })
  }

  /** While the connection was opened, the worker may have started to drain or asked for a pause, or its failure domain may have been evacuated. */
  private isStillEligible (now: Instant): boolean {
    const { registration, isDraining, advisory } = this.tracker
    if (isDraining || advisory.isCoolingDown(now) || this.context.view.evacuatedDomains.has(registration.domain)) return false
    return this.context.view.getPool(this.service).has(registration.id)
  }

  private send (connection: UpstreamConnection, now: Instant, accountName: string | undefined): void {
    this.connection = connection
    this.sentAt = now
    // The worker behind a kept connection may have crashed before, together with those that are known to have.
    this.round = connection.idleSince === undefined ? this.context.quarantine.getNextRound(this.request.digest) : 1
    this.idleMs = connection.idleSince === undefined ? undefined : now - connection.idleSince
    this.collector = new ResponseCollector(this.context.responseMemory, {
      onComplete: (response) => { this.handleResponse(response) },
      onStreamStart: (head) => this.handleStreamStart(head),
      onStreamData: (chunk) => { this.listener.onStreamData(chunk) },
      onStreamEnd: (head, length) => { this.handleStreamEnd(head, length) },
      onTooLong: (head) => { this.handleTooLong(head) },
      onFailure: (failure, isStreaming) => { this.handleFailure(failure, isStreaming) }
    })
    const { message, body, requestId } = this.request
    const remainingMs = this.deadline - now - this.choice.candidate.roundTripMs / 2
    const head = this.context.headerRewriter.formatRequestHead(message, body.length, this.tracker.registration.id, remainingMs, { hasKeys: this.context.view.accounts !== undefined, account: accountName })
    this.listener.onSent()
    this.context.openAttempts.add(this.service, this)
    connection.send({ head, body: body.chunks, requestId, isHead: message.method === 'HEAD' }, this.collector)
  }

  private handleStreamStart (head: ResponseHead): boolean {
    if (this.isEnded || !this.isStreamable(classifyResponse(this.context.protocol, head))) return false
    this.report = this.readLoad(head)
    this.recordRateLimit(head)
    this.tracker.advisory.recordResponse(this.sentAt)
    this.isStreaming = this.listener.onStreamStart(head)
    return this.isStreaming
  }

  /** A worker's failure is forwarded as it is if no other worker may be tried. */
  private isStreamable (outcome: AttemptOutcome): boolean {
    return outcome === AttemptOutcome.Answered || (outcome === AttemptOutcome.FailedByWorker && !isRetryable(this.request.route.kind))
  }

  private handleStreamEnd (head: ResponseHead, length: number): void {
    this.recordOutcome(classifyResponse(this.context.protocol, head), length, head.status)
    this.end({ outcome: AttemptOutcome.Answered, status: head.status })
  }

  /** Gives up a response that is neither streamed nor short: without an end, it would use up the memory. */
  private handleTooLong (head: ResponseHead): void {
    if (this.isEnded) return
    const outcome = classifyResponse(this.context.protocol, head) === AttemptOutcome.FailedByWorker ? AttemptOutcome.FailedByWorker : AttemptOutcome.MalformedResponse
    this.recordOutcome(outcome, 0, head.status)
    this.end({ outcome, status: head.status })
    this.connection?.cancel()
  }

  private handleResponse (response: BufferedResponse): void {
    const outcome = classifyResponse(this.context.protocol, response.head)
    // A response from another worker at this address says nothing about the chosen one.
    if (outcome !== AttemptOutcome.AddressReused) {
      this.recordLoad(response.head)
      this.recordRateLimit(response.head)
    }
    this.recordOutcome(outcome, response.length, response.head.status)
    this.end({ outcome, response, status: response.head.status })
  }

  private handleFailure (failure: ExchangeFailure, isStreaming: boolean): void {
    const isLostWhileIdle = failure === ExchangeFailure.Broken && this.idleMs !== undefined && this.collector?.hasHead === false
    if (isLostWhileIdle) this.context.pools.idleLimit.recordReset(this.idleMs!, this.context.clock.now())
    if (failure !== ExchangeFailure.Cancelled) this.recordOutcome(OUTCOME_BY_FAILURE[failure], 0)
    if (failure === ExchangeFailure.Broken) {
      this.context.quarantine.handleBrokenConnection({ digest: this.request.digest.read(), service: this.service, worker: this.tracker.registration, round: this.round })
    }
    this.end({ outcome: OUTCOME_BY_FAILURE[failure], isStreaming })
  }

  private recordLoad (head: ResponseHead): void {
    this.report = this.readLoad(head)
    if (this.report === undefined) return
    const now = this.context.clock.now()
    this.tracker.recordReport(this.report, now)
    this.context.workerLoads?.publish(this.tracker, this.report, now)
  }

  private readLoad (head: ResponseHead): LoadReport | undefined {
    const { protocol } = this.context
    const text = getHeader(head.rawHeaders, protocol.headers.load)
    return text === undefined ? undefined : protocol.parseLoad(text)
  }

  private recordRateLimit (head: ResponseHead): void {
    const { headers } = this.context.protocol
    const limitText = headers.rateLimit.map((name) => getHeader(head.rawHeaders, name)).find((text) => text !== undefined)
    const perSecond = limitText === undefined ? undefined : parseDecimalNumber(limitText)
    const { id } = this.tracker.registration
    if (!this.tracker.rate.recordResponse(perSecond, this.context.clock.now())) return
    this.context.telemetry.logRateLimit(this.service, id, perSecond)
    this.context.rateLimitReporter.handleObserved(id)
  }

  private recordOutcome (outcome: AttemptOutcome, bytes: number, status?: number): void {
    const now = this.context.clock.now()
    const { advisory } = this.tracker
    if (RESPONSE_OUTCOMES.has(outcome)) {
      advisory.recordResponse(this.sentAt)
      this.context.links.recordResponse(this.service, now, this.tracker.registration.id)
    }
    // A worker that asked for a pause has not failed.
    const isPauseRequest = status === COOL_DOWN_STATUS && advisory.isCoolingDown(now)
    if (!isPauseRequest) this.tracker.recordResult(outcome !== AttemptOutcome.Answered, now)
    if (outcome === AttemptOutcome.AddressReused) this.tracker.recordUnreachable(now)
    if (outcome !== AttemptOutcome.Answered) return
    const { view, quarantine } = this.context
    quarantine.handleResponse(this.request.digest)
    const observation = { choice: this.choice, key: this.affinityKey, tookMs: now - this.sentAt, bytes, report: this.report, now }
    observeResponse(observation, view.getPool(this.service), view.getServiceTimes(this.request.route, this.service))
  }

  private end (result: AttemptResult): void {
    if (this.isEnded) return
    this.isEnded = true
    this.context.openAttempts.remove(this.service, this)
    if (this.openRequest !== undefined) this.tracker.finishRequest(this.openRequest)
    const spanMs = this.sentAt === 0 ? 0 : this.context.clock.now() - this.sentAt
    this.context.telemetry.logAttemptEnd({
      requestId: this.request.requestId,
      // Computing the digest hashes the whole body, so it is logged only if attempts of a request must be correlated.
      digest: result.outcome === AttemptOutcome.ConnectionLost ? this.request.digest.read() : undefined,
      service: this.service,
      worker: this.tracker.registration.id,
      end: result.outcome,
      spanMs,
      status: result.status,
      idleMs: this.idleMs,
      hasHead: this.collector?.hasHead === true
    })
    this.listener.onEnd(result)
  }
}
