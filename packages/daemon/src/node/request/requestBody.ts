/**
 * Request bodies. Small ones are buffered in memory so that they can be sent again;
 * large ones are streamed once, in bounded memory.
 */
import type { IClock } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import type { IncomingMessage } from 'node:http'
import type { Readable } from 'node:stream'

/** Bodies up to this size are buffered for retries. */
export const MAX_BUFFERED_BODY_BYTES = 64 * 1024

/** A buffered body can be sent any number of times, a streamed one once. */
export type RequestBody =
  | { readonly kind: 'buffered', readonly bytes: Uint8Array | null }
  | { readonly kind: 'streamed', readonly stream: Readable }

/** @returns whether the complete body can be sent in another attempt */
export function canReplayBody (body: RequestBody): boolean {
  return body.kind === 'buffered' || (!body.stream.readableDidRead && !body.stream.destroyed)
}

/**
 * Buffers a small body, or leaves a large one to be streamed.
 * @param request the caller's request
 * @param deadline when a small body must have been received
 * @param clock schedules the deadline
 * @returns the body; `Cancelled` if the caller disconnects, `DeadlinePassed` if it sends too slowly
 */
export function readBody (request: IncomingMessage, deadline: Deadline, clock: IClock): Promise<Result<RequestBody, StepError>> {
  const length = request.headers['content-length']
  const isChunked = request.headers['transfer-encoding'] !== undefined
  if (!isChunked && (length === undefined || length === '0')) return Promise.resolve(new Ok({ kind: 'buffered', bytes: null }))
  if (isChunked || Number(length) > MAX_BUFFERED_BODY_BYTES) return Promise.resolve(new Ok({ kind: 'streamed', stream: request }))
  return readBuffered(request, Number(length), deadline, clock)
}

function readBuffered (request: IncomingMessage, length: number, deadline: Deadline, clock: IClock): Promise<Result<RequestBody, StepError>> {
  const chunks: Buffer[] = []
  return new Promise((resolve) => {
    const settle = (result: Result<RequestBody, StepError>): void => {
      timer.close()
      request.off('data', addChunk)
      resolve(result)
    }
    const addChunk = (chunk: Buffer): void => { chunks.push(chunk) }
    const timer = clock.schedule(deadline, () => { settle(new Err(createBodyError(request, ErrorCode.DeadlinePassed, 'the request body did not arrive in time'))) })
    request.on('data', addChunk)
    request.once('error', () => { settle(new Err(createBodyError(request, ErrorCode.Cancelled, 'the caller aborted the request'))) })
    request.once('close', () => {
      // When a caller disconnects, Node.js sometimes closes the request without an
      // error. An incomplete body must never be forwarded as a complete one.
      const bytes = Buffer.concat(chunks)
      if (request.complete && bytes.length === length) settle(new Ok({ kind: 'buffered', bytes }))
      else settle(new Err(createBodyError(request, ErrorCode.Cancelled, 'the request body ended early')))
    })
    request.once('end', () => { if (request.complete) settle(new Ok({ kind: 'buffered', bytes: Buffer.concat(chunks) })) })
  })
}

function createBodyError (request: IncomingMessage, code: ErrorCode, message: string): StepError {
  return new StepError({ code, step: 'read-body', peer: request.socket.remoteAddress ?? 'caller', message })
}
