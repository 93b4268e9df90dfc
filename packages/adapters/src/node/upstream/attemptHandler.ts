/** Handles undici's callbacks for one attempt and decides whether a failed request may have been sent. */
import { Readable } from 'node:stream'
import type { Dispatcher } from 'undici'
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import { ErrorCode } from '@umberspar/base/common/errors'
import { BODILESS_STATUSES } from '@umberspar/base/common/http/bodilessStatuses'
import type { Result } from '@umberspar/base/common/result'
import { Err, Ok } from '@umberspar/base/common/result'
import type { AttemptRequest, AttemptResponse } from './attempt.js'
import { AttemptError } from './attempt.js'
import { removeHopByHopHeaders } from './hopByHop.js'

/** The step in the errors of an attempt. */
export const ATTEMPT_STEP = 'send-to-worker'

/** The progress of an attempt. */
enum Phase {
  /** Not yet passed to a connected socket: no byte can have been sent. */
  Waiting = 'waiting',
  /** Passed to a connected socket: any part of the request may have been sent. */
  Sent = 'sent',
  /** The response headers have been received. */
  ReceivingResponse = 'answering',
  /** Completed, failed or cancelled. */
  Finished = 'over'
}

const INVALID_REQUEST_CODES: ReadonlySet<string> = new Set(['UND_ERR_INVALID_ARG', 'UND_ERR_NOT_SUPPORTED', 'UND_ERR_REQ_CONTENT_LENGTH_MISMATCH'])
const MIN_FINAL_STATUS = 200

function classifyUnsentFailure (failure: Error): ErrorCode {
  const code = (failure as NodeJS.ErrnoException).code ?? ''
  return INVALID_REQUEST_CODES.has(code) ? ErrorCode.Invalid : ErrorCode.Unavailable
}

function handleLateError (): void {}

/** The undici handler of one request; can't be reused. */
export class AttemptHandler implements Dispatcher.DispatchHandler {
  /** Resolves when the response headers have been received or the attempt has failed before that. */
  readonly result: Promise<Result<AttemptResponse, AttemptError>>
  private resolve: (result: Result<AttemptResponse, AttemptError>) => void = handleLateError
  private phase: Phase = Phase.Waiting
  private controller: Dispatcher.DispatchController | undefined
  private body: Readable | undefined
  private readonly timer: ITimer
  private readonly onAbort = (): void => { this.cancel(ErrorCode.Cancelled, 'the attempt was cancelled') }

  /**
   * @param request the request
   * @param clock the clock that the request's deadline refers to
   * @param onFinished called once when the connection has finished with the attempt, with whether it can be reused
   */
  constructor (
    private readonly request: AttemptRequest,
    clock: IClock,
    private readonly onFinished: (isReusable: boolean) => void
  ) {
    this.result = new Promise((resolve) => { this.resolve = resolve })
    this.timer = clock.schedule(request.deadline, () => { this.cancel(ErrorCode.DeadlinePassed, 'the deadline passed during the attempt') })
    request.signal.addEventListener('abort', this.onAbort, { once: true })
  }

  /** Called by undici immediately before it writes the first byte to a connected socket, never earlier. */
  onRequestStart (controller: Dispatcher.DispatchController): void {
    // When undici closes a socket for a reason of its own, it puts the running request back
    // into its queue. A second start could execute the request twice, so it is aborted.
    if (this.phase !== Phase.Waiting) {
      controller.abort(this.createError(ErrorCode.EffectUnknown, 'the connection closed while the request was in flight'))
      return
    }
    this.phase = Phase.Sent
    this.controller = controller
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[] | undefined>): void {
    if (status < MIN_FINAL_STATUS) return
    if (!this.isFramed(status, headers)) {
      controller.abort(this.createError(ErrorCode.EffectUnknown, 'the response has no length, so a truncated one would look complete'))
      return
    }
    this.phase = Phase.ReceivingResponse
    this.body = this.createBody(controller)
    this.resolve(Ok({ status, headers: removeHopByHopHeaders(headers), body: this.body }))
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.body?.push(chunk) === false) controller.pause()
  }

  onResponseEnd (): void {
    if (this.phase === Phase.Finished) return
    this.finish()
    this.body?.push(null)
    this.onFinished(true)
  }

  onResponseError (_controller: Dispatcher.DispatchController | undefined, failure: Error): void {
    if (failure instanceof AttemptError) {
      this.settleFailure(failure)
      return
    }
    const code = this.phase === Phase.Waiting ? classifyUnsentFailure(failure) : ErrorCode.EffectUnknown
    this.settleFailure(this.createError(code, failure.message, failure))
  }

  /** @returns whether the end of the response shows by itself; undici takes any end of the connection, even a reset, for the end of another one */
  private isFramed (status: number, headers: Record<string, string | string[] | undefined>): boolean {
    return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined || BODILESS_STATUSES.has(status) || this.request.method === 'HEAD'
  }

  private cancel (code: ErrorCode, message: string): void {
    if (this.phase === Phase.Finished) return
    const isDeadlinePassed = code === ErrorCode.DeadlinePassed
    const isSentAndLate = isDeadlinePassed && this.phase !== Phase.Waiting
    const error = this.createError(isSentAndLate ? ErrorCode.EffectUnknown : code, message, undefined, isDeadlinePassed)
    this.controller?.abort(error)
    // Before onRequestStart there is no controller. After it, abort has already called onResponseError, and this call has no effect.
    this.settleFailure(error)
  }

  private settleFailure (error: AttemptError): void {
    if (this.phase === Phase.Finished) return
    this.finish()
    if (this.body === undefined) this.resolve(Err(error))
    else this.body.destroy(error)
    this.onFinished(false)
  }

  private finish (): void {
    this.phase = Phase.Finished
    this.timer.close()
    this.request.signal.removeEventListener('abort', this.onAbort)
  }

  private createBody (controller: Dispatcher.DispatchController): Readable {
    const body = new Readable({
      read: () => { controller.resume() },
      destroy: (failure, callback) => {
        this.cancel(ErrorCode.Cancelled, 'the reader closed the response body')
        // Headers and a failure can arrive in the same packet. The error is delayed by one turn
        // of the event loop, so that the code awaiting the response can add its listener first.
        setImmediate(callback, failure)
      }
    })
    // A reader that attaches later still finds the stream destroyed with its error.
    // Without this listener the error event would crash the process.
    body.on('error', handleLateError)
    return body
  }

  private createError (code: ErrorCode, message: string, cause?: unknown, isDeadlinePassed = false): AttemptError {
    return new AttemptError({
      code,
      step: ATTEMPT_STEP,
      peer: this.request.address,
      message: `${this.request.workerId}: ${message}`,
      cause,
      mayHaveBeenSent: this.phase !== Phase.Waiting,
      hasHeaders: this.phase === Phase.ReceivingResponse,
      isDeadlinePassed
    })
  }
}
