/** Follows one attempt through undici and decides what its failure says about the request. */
import { Readable } from 'node:stream'
import type { Dispatcher } from 'undici'
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import { ErrorCode } from '@umberspar/base/common/errors'
import type { Result } from '@umberspar/base/common/result'
import { Err, Ok } from '@umberspar/base/common/result'
import type { AttemptRequest, AttemptResponse } from './attempt.js'
import { AttemptError } from './attempt.js'
import { removeHopByHopHeaders } from './hopByHop.js'

/** The step named in the errors of an attempt. */
export const ATTEMPT_STEP = 'send-to-worker'

/** How far an attempt has come. */
enum Phase {
  /** Not handed to a connected socket: no byte can have left. */
  Waiting = 'waiting',
  /** Handed to a connected socket: any byte may have left. */
  Sent = 'sent',
  /** The response's headers have come. */
  Answering = 'answering',
  Finished = 'over'
}

const INVALID_REQUEST_CODES: ReadonlySet<string> = new Set(['UND_ERR_INVALID_ARG', 'UND_ERR_NOT_SUPPORTED', 'UND_ERR_REQ_CONTENT_LENGTH_MISMATCH'])
const MIN_FINAL_STATUS = 200

function classifyUnsent (failure: Error): ErrorCode {
  const code = (failure as NodeJS.ErrnoException).code ?? ''
  return INVALID_REQUEST_CODES.has(code) ? ErrorCode.Invalid : ErrorCode.Unavailable
}

function handleLateError (): void {}

/** The handler of one dispatched request; used once. */
export class AttemptHandler implements Dispatcher.DispatchHandler {
  /** Settled at the response's headers or at the failure before them. */
  readonly result: Promise<Result<AttemptResponse, AttemptError>>
  private resolve: (result: Result<AttemptResponse, AttemptError>) => void = handleLateError
  private phase: Phase = Phase.Waiting
  private controller: Dispatcher.DispatchController | undefined
  private body: Readable | undefined
  private readonly timer: ITimer
  private readonly onAbort = (): void => { this.cancel(ErrorCode.Cancelled, 'the attempt was cancelled') }

  /**
   * @param request what is sent
   * @param clock for the deadline
   * @param onFinished called once when the connection is done with the attempt, and whether it may carry another
   */
  constructor (
    private readonly request: AttemptRequest,
    clock: IClock,
    private readonly onFinished: (isReusable: boolean) => void
  ) {
    this.result = new Promise((resolve) => { this.resolve = resolve })
    this.timer = clock.schedule(request.deadline, () => { this.cancel(ErrorCode.DeadlinePassed, 'the deadline passed') })
    request.signal.addEventListener('abort', this.onAbort, { once: true })
  }

  /** undici calls this just before it writes the first byte to a connected socket, never earlier. */
  onRequestStart (controller: Dispatcher.DispatchController): void {
    // undici puts a running request back into its queue when a socket closes for a
    // reason of its own; the second start would run a request twice, so it is refused.
    if (this.phase !== Phase.Waiting) {
      controller.abort(this.createError(ErrorCode.EffectUnknown, 'the connection closed under the request'))
      return
    }
    this.phase = Phase.Sent
    this.controller = controller
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[] | undefined>): void {
    if (status < MIN_FINAL_STATUS) return
    this.phase = Phase.Answering
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
    const code = this.phase === Phase.Waiting ? classifyUnsent(failure) : ErrorCode.EffectUnknown
    this.settleFailure(this.createError(code, failure.message, failure))
  }

  private cancel (code: ErrorCode, message: string): void {
    if (this.phase === Phase.Finished) return
    const isLate = code === ErrorCode.DeadlinePassed
    const isDeadlineAfterSend = isLate && this.phase !== Phase.Waiting
    const error = this.createError(isDeadlineAfterSend ? ErrorCode.EffectUnknown : code, message, undefined, isLate)
    this.controller?.abort(error)
    // Before the start there is no controller; after it abort has called onResponseError already.
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
        this.cancel(ErrorCode.Cancelled, 'the reader of the body left')
        // Headers and a failure can arrive in one packet; the error then waits a turn
        // of the loop, so that whoever awaits the response can listen for it.
        setImmediate(callback, failure)
      }
    })
    // A reader that comes even later finds the stream destroyed with its error;
    // without a listener the event would end the process instead.
    body.on('error', handleLateError)
    return body
  }

  private createError (code: ErrorCode, message: string, cause?: unknown, isLate = false): AttemptError {
    return new AttemptError({
      code,
      step: ATTEMPT_STEP,
      peer: this.request.address,
      message: `${this.request.workerId}: ${message}`,
      cause,
      mayHaveSent: this.phase !== Phase.Waiting,
      hasHeaders: this.phase === Phase.Answering,
      isLate
    })
  }
}
