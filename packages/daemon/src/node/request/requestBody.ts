/**
 * A request's body: small ones are read into memory, so that they can be sent
 * again; large ones are streamed once, in bounded memory.
 */
import type { IClock } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import type { IncomingMessage } from 'node:http'
import type { Readable } from 'node:stream'

/** Bodies up to this size are kept for a repetition. */
export const MAX_BUFFERED_BYTES = 64 * 1024

/** A body that can be sent any number of times, or once. */
export type RequestBody =
  | { readonly kind: 'buffered', readonly bytes: Uint8Array | null }
  | { readonly kind: 'streamed', readonly stream: Readable }

/** @returns whether the body is still whole for another attempt */
export function canRepeatBody (body: RequestBody): boolean {
  return body.kind === 'buffered' || (!body.stream.readableDidRead && !body.stream.destroyed)
}

/**
 * Reads a small body whole, or leaves a large one to be streamed.
 * @param request the caller's request
 * @param deadline by when a small body must have come
 * @param clock for the deadline
 * @returns the body; `Cancelled` if the caller breaks off, `DeadlinePassed` if it sends too slowly
 */
export function readBody (request: IncomingMessage, deadline: Deadline, clock: IClock): Promise<Result<RequestBody, StepError>> {
  const length = request.headers['content-length']
  const isChunked = request.headers['transfer-encoding'] !== undefined
  if (!isChunked && (length === undefined || length === '0')) return Promise.resolve(new Ok({ kind: 'buffered', bytes: null }))
  if (isChunked || Number(length) > MAX_BUFFERED_BYTES) return Promise.resolve(new Ok({ kind: 'streamed', stream: request }))
  return readWhole(request, Number(length), deadline, clock)
}

function readWhole (request: IncomingMessage, length: number, deadline: Deadline, clock: IClock): Promise<Result<RequestBody, StepError>> {
  const parts: Buffer[] = []
  return new Promise((resolve) => {
    const settle = (result: Result<RequestBody, StepError>): void => {
      timer.close()
      request.off('data', addPart)
      resolve(result)
    }
    const addPart = (part: Buffer): void => { parts.push(part) }
    const timer = clock.schedule(deadline, () => { settle(new Err(createBodyError(request, ErrorCode.DeadlinePassed, 'the body did not come in time'))) })
    request.on('data', addPart)
    request.once('error', () => { settle(new Err(createBodyError(request, ErrorCode.Cancelled, 'the caller broke off'))) })
    request.once('close', () => {
      // A caller that goes away in the middle closes the request without an error
      // on some paths; a short body must never be sent on as a whole one.
      const bytes = Buffer.concat(parts)
      if (request.complete && bytes.length === length) settle(new Ok({ kind: 'buffered', bytes }))
      else settle(new Err(createBodyError(request, ErrorCode.Cancelled, 'the body ended early')))
    })
    request.once('end', () => { if (request.complete) settle(new Ok({ kind: 'buffered', bytes: Buffer.concat(parts) })) })
  })
}

function createBodyError (request: IncomingMessage, code: ErrorCode, message: string): StepError {
  return new StepError({ code, step: 'read-body', peer: request.socket.remoteAddress ?? 'caller', message })
}
