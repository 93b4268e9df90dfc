/** One attempt to have another entry VM send a request to a worker. */
import type { Instant } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import type { EntryNode } from '@umberspar/steering/common/entry/records'
import { parseRelayResult, RELAY_FIELD, RelayOutcome } from '../../common/relayFields.js'
import { type AttemptListener, type IAttempt, OUTCOME_BY_FAILURE } from '../front/attempt.js'
import type { BufferedRequest } from '../front/bufferedRequest.js'
import type { EntryContext } from '../front/entryContext.js'
import { type BufferedResponse, ResponseCollector } from '../front/responseCollector.js'
import { listExcludedWorkers, recordAnnouncements } from './relayAdvisories.js'
import { AttemptOutcome } from '../telemetry/requestOutcomes.js'
import { getHeader } from '../upstream/rawHeaders.js'
import type { ResponseHead } from '../upstream/responseParser.js'
import { createConnectDeadline } from '../upstream/connectSlack.js'
import { UpstreamConnection } from '../upstream/upstreamConnection.js'
import { OpenFailure } from '../upstream/upstreamPool.js'

/** Limit on the connections of this VM to another one for relayed requests. */
const MAX_CONNECTIONS = 128

const OUTCOME_BY_RELAY_OUTCOME: Readonly<Record<RelayOutcome, AttemptOutcome>> = {
  [RelayOutcome.Answered]: AttemptOutcome.Answered,
  [RelayOutcome.Refused]: AttemptOutcome.RefusedByRelay,
  [RelayOutcome.Unable]: AttemptOutcome.RelayUnable
}

/** One attempt by way of another VM. */
export class RelayAttempt implements IAttempt {
  private connection: UpstreamConnection | undefined
  private finishRequest: () => void = () => {}
  private isEnded = false
  /** Whether the deadline ends the opening of a connection before a slow one could be open. */
  private isOpeningLimited = false
  private startedAt: Instant = 0
  isStreaming = false

  /**
   * @param context the shared services of the process
   * @param request the request to relay
   * @param node the VM that sends it to a worker
   * @param service the service that was chosen for the request
   * @param attempts number of times that the request was sent to a worker before
   * @param deadline when the caller no longer needs a response
   * @param listener controls the attempt and receives the response
   */
  constructor (
    private readonly context: EntryContext,
    private readonly request: BufferedRequest,
    private readonly node: EntryNode,
    private readonly service: string,
    private readonly attempts: number,
    private readonly deadline: Deadline,
    private readonly listener: AttemptListener
  ) {}

  get isSent (): boolean {
    return this.connection !== undefined
  }

  start (): void {
    const { clock, relayPeers } = this.context
    this.startedAt = clock.now()
    this.finishRequest = relayPeers.startRequest(this.node)
    const connectDeadline = createConnectDeadline(this.startedAt, this.roundTripMs)
    this.isOpeningLimited = this.deadline < connectDeadline
    relayPeers.getPool(this.node).open(MAX_CONNECTIONS, Math.min(this.deadline, connectDeadline), (result) => { this.handleOpen(result) })
  }

  cancel (): void {
    if (this.isEnded) return
    this.end(AttemptOutcome.Cancelled)
    this.connection?.cancel()
  }

  pause (): void {
    this.connection?.pause()
  }

  resume (): void {
    this.connection?.resume()
  }

  private get roundTripMs (): number {
    return this.context.roundTrips.getRoundTripMs(this.node.domain)
  }

  private handleOpen (result: UpstreamConnection | OpenFailure): void {
    if (!(result instanceof UpstreamConnection)) {
      if (this.isConclusive(result)) this.context.relayPeers.recordUnreachable(this.node)
      this.end(AttemptOutcome.NotSent)
      return
    }
    this.context.eventLoop.runWhenCurrent(() => { this.sendIfAllowed(result) })
  }

  /** Unless refused, the connection may be open although that has not been read yet, or would have been open later. */
  private isConclusive (failure: OpenFailure): boolean {
    return failure === OpenFailure.Refused || (failure === OpenFailure.TimedOut && !this.isOpeningLimited && !this.context.eventLoop.isLate())
  }

  private sendIfAllowed (connection: UpstreamConnection): void {
    const now = this.context.clock.now()
    if (this.isEnded || !this.listener.mayStillSend(now) || !connection.isUsable) {
      connection.close()
      this.end(AttemptOutcome.Withdrawn)
      return
    }
    this.connection = connection
    const collector = new ResponseCollector(this.context.responseMemory, {
      onComplete: (response) => { this.handleResponse(response) },
      onStreamStart: (head) => this.handleStreamStart(head),
      onStreamData: (chunk) => { this.listener.onStreamData(chunk) },
      onStreamEnd: () => { this.end(AttemptOutcome.Answered) },
      onTooLong: () => { this.handleTooLong() },
      onFailure: (failure) => { this.end(OUTCOME_BY_FAILURE[failure]) }
    })
    const { message, body, requestId } = this.request
    const remainingMs = this.deadline - now - this.roundTripMs / 2
    const head = this.context.headerRewriter.formatRelayHead(message, body.length, remainingMs, { attempts: this.attempts, service: this.service, excludedWorkers: listExcludedWorkers(this.context, this.service) })
    this.listener.onSent()
    connection.send({ head, body: body.chunks, requestId, isHead: message.method === 'HEAD' }, collector)
  }

  private handleStreamStart (head: ResponseHead): boolean {
    if (this.isEnded || this.readOutcome(head) !== RelayOutcome.Answered) return false
    this.isStreaming = this.listener.onStreamStart(head)
    return this.isStreaming
  }

  /** Only responses of workers are long; without an end, another one would use up the memory. */
  private handleTooLong (): void {
    this.end(AttemptOutcome.MalformedResponse)
    this.connection?.cancel()
  }

  private handleResponse (response: BufferedResponse): void {
    const outcome = OUTCOME_BY_RELAY_OUTCOME[this.readOutcome(response.head)]
    if (outcome === AttemptOutcome.RelayUnable) this.context.relayPeers.recordUnable(this.node, this.service)
    this.end(outcome, response)
  }

  /** Reads what became of the request, and what workers announced to the other VM meanwhile. */
  private readOutcome (head: ResponseHead): RelayOutcome {
    const { outcome, announcements } = parseRelayResult(getHeader(head.rawHeaders, RELAY_FIELD))
    recordAnnouncements(this.context, this.service, announcements)
    return outcome
  }

  private end (outcome: AttemptOutcome, response?: BufferedResponse): void {
    if (this.isEnded) return
    this.isEnded = true
    this.finishRequest()
    this.context.telemetry.logRelayEnd({ requestId: this.request.requestId, service: this.service, relay: this.node.name, end: outcome, spanMs: this.context.clock.now() - this.startedAt, status: response?.head.status })
    this.listener.onEnd({ outcome, response, status: response?.head.status, isStreaming: this.isStreaming })
  }
}
