/**
 * Carries one request to an upstream: waits for a slot, sends, and repeats what
 * may be repeated on another worker or failure domain. Every way it can end
 * says whether the request ran.
 */
import type { IClock } from '@umberspar/base/common/clock'
import { hasPassed } from '@umberspar/base/common/deadline'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import type { IRandomSource } from '@umberspar/base/common/random'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import type { AttemptError, AttemptResponse, IUpstreamTransport } from '@umberspar/platform/node/upstream/upstreamTransport'
import { parseOrcaLoad } from '@umberspar/platform/node/upstream/orca'
import { Outcome } from '@umberspar/steering/common/state/outcome'
import type { PlaceDirectory } from '../places/placeDirectory.js'
import type { PlanKeeper } from '../places/planKeeper.js'
import type { SlotGrant } from '../places/placePool.js'
import { chooseDomain } from './chooseDomain.js'
import { DRAINING_HEADER, isRefusal } from './classifyAnswer.js'
import { canRepeatBody, type RequestBody } from './requestBody.js'
import type { RequestContext } from './requestContext.js'

const MAX_ATTEMPTS = 3
const SERVER_ERROR = 500

/** An upstream's answer whose body is still to be read; the slot is held until then. */
export interface RunningAnswer {
  readonly response: AttemptResponse
  readonly workerId: string
  /** Called once, when the body has ended or was given up. */
  finish(isWhole: boolean): void
}

/** Why a request has no answer. */
export interface RequestFailure {
  readonly outcome: Outcome.NotRun | Outcome.Unknown
  readonly error: StepError
}

type AttemptEnd =
  | { readonly kind: 'answered', readonly answer: RunningAnswer }
  | { readonly kind: 'failed', readonly outcome: Outcome.NotRun | Outcome.Unknown, readonly error: StepError }

/** Runs requests against the places of the plan. */
export class RequestRunner {
  constructor (
    private readonly selfId: string,
    private readonly transport: IUpstreamTransport,
    private readonly places: PlaceDirectory,
    private readonly plans: PlanKeeper,
    private readonly clock: IClock,
    private readonly random: IRandomSource
  ) {}

  /**
   * @param context the request
   * @param headers its headers, without the hop-by-hop ones
   * @param body its body
   * @returns an upstream's answer, or whether the request may have run
   */
  async run (context: RequestContext, headers: Record<string, string | string[]>, body: RequestBody): Promise<Result<RunningAnswer, RequestFailure>> {
    const triedWorkers = new Set<string>()
    const triedDomains = new Set<string>()
    let mayHaveRun = false
    let last = this.createError(ErrorCode.Exhausted, context, 'no failure domain can serve this now')
    for (let attempt = 0; attempt < MAX_ATTEMPTS;) {
      const grant = await this.acquireSlot(context, triedDomains, triedWorkers)
      if (!grant.ok) {
        last = grant.val
        break
      }
      attempt++
      triedWorkers.add(grant.val.workerId)
      const end = await this.send(context, headers, body, grant.val)
      if (end.kind === 'answered') return new Ok(end.answer)
      last = end.error
      if (end.outcome === Outcome.Unknown) mayHaveRun = true
      if (!this.mayRepeat(context, body, mayHaveRun)) break
    }
    return new Err({ outcome: mayHaveRun ? Outcome.Unknown : Outcome.NotRun, error: last })
  }

  /**
   * A request that may have run is sent again only if it is idempotent: a
   * second escort assignment would put two staff at one gate.
   */
  private mayRepeat (context: RequestContext, body: RequestBody, mayHaveRun: boolean): boolean {
    if (context.signal.aborted || hasPassed(context.deadline, this.clock.now())) return false
    if (!canRepeatBody(body)) return false
    return context.isIdempotent || !mayHaveRun
  }

  private async acquireSlot (context: RequestContext, triedDomains: Set<string>, excluded: ReadonlySet<string>): Promise<Result<SlotGrant, StepError>> {
    const weights = this.plans.get(context.service, context.clientRegion)
    let last = this.createError(ErrorCode.Exhausted, context, 'no failure domain can serve this now')
    for (;;) {
      const domain = chooseDomain(weights, triedDomains, this.random)
      const pool = domain === undefined ? undefined : this.places.find(context.service, domain)
      if (domain === undefined || pool === undefined) return new Err(last)
      const grant = await pool.acquire({ priority: context.route.priority, kind: context.route.kind, deadline: context.deadline, excluded, signal: context.signal })
      if (grant.ok) return grant
      last = grant.val
      if (grant.val.code !== ErrorCode.Exhausted) return grant
      triedDomains.add(domain)
    }
  }

  private async send (context: RequestContext, headers: Record<string, string | string[]>, body: RequestBody, grant: SlotGrant): Promise<AttemptEnd> {
    const startedAt = this.clock.now()
    const sent = await this.transport.send({
      workerId: grant.workerId,
      address: grant.worker.address,
      method: context.method,
      path: context.path,
      headers: this.buildHeaders(context, headers),
      body: body.kind === 'buffered' ? body.bytes : body.stream,
      deadline: context.deadline,
      signal: context.signal
    })
    if (!sent.ok) return this.handleFailure(sent.val, grant)
    const now = this.clock.now()
    if (body.kind === 'buffered') grant.table.observeAnswerTime(grant.workerId, now - startedAt, now)
    return this.handleResponse(context, sent.val, grant)
  }

  private handleFailure (error: AttemptError, grant: SlotGrant): AttemptEnd {
    if (error.code !== ErrorCode.Cancelled) grant.table.observeFailure(grant.workerId, this.clock.now())
    grant.release()
    return { kind: 'failed', outcome: error.mayHaveSent ? Outcome.Unknown : Outcome.NotRun, error }
  }

  private handleResponse (context: RequestContext, response: AttemptResponse, grant: SlotGrant): AttemptEnd {
    const now = this.clock.now()
    const load = parseOrcaLoad(response.headers)
    if (load !== undefined) grant.table.observeLoad(grant.workerId, { utilization: load.utilization, takenAt: now })
    if (response.headers[DRAINING_HEADER] !== undefined) grant.table.markDraining(grant.workerId, true, now)
    if (isRefusal(response.status, response.headers, context.settings.refusal)) {
      // Refusing is quick, so in-flight counts alone would prefer the worker that sheds.
      grant.table.observeLoad(grant.workerId, { utilization: 1, takenAt: now })
      response.body.resume()
      response.body.on('error', () => {})
      grant.release()
      const error = new StepError({ code: ErrorCode.Refused, step: 'send-request', peer: grant.worker.address, message: 'the upstream refused the request without running it' })
      return { kind: 'failed', outcome: Outcome.NotRun, error }
    }
    const finish = (isWhole: boolean): void => {
      // A worker that answers errors at once would look idle and draw all traffic.
      if (isWhole && response.status < SERVER_ERROR) grant.table.observeAnswer(grant.workerId, this.clock.now())
      else grant.table.observeFailure(grant.workerId, this.clock.now())
      grant.release()
    }
    return { kind: 'answered', answer: { response, workerId: grant.workerId, finish } }
  }

  private buildHeaders (context: RequestContext, headers: Record<string, string | string[]>): Record<string, string | string[]> {
    return {
      ...headers,
      'umberspar-request-id': context.requestId,
      'umberspar-entry': this.selfId,
      'umberspar-timeout-ms': String(Math.max(1, Math.floor(context.deadline - this.clock.now())))
    }
  }

  private createError (code: ErrorCode, context: RequestContext, message: string): StepError {
    return new StepError({ code, step: 'choose-place', peer: `${context.service}/${context.clientRegion}`, message })
  }
}
