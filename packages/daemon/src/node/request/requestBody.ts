/**
 * A request's body: small ones are read into memory, so that they can be sent
 * again; large ones are streamed once, in bounded memory.
 */
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
  return body.kind === 'buffered' || !body.stream.readableDidRead
}

/**
 * Reads a small body whole, or leaves a large one to be streamed.
 * @param request the caller's request
 * @returns the body; rejected if the caller breaks off while it is read
 */
export async function readBody (request: IncomingMessage): Promise<RequestBody> {
  const length = request.headers['content-length']
  const isChunked = request.headers['transfer-encoding'] !== undefined
  if (!isChunked && (length === undefined || length === '0')) return { kind: 'buffered', bytes: null }
  if (isChunked || Number(length) > MAX_BUFFERED_BYTES) return { kind: 'streamed', stream: request }
  const parts: Buffer[] = []
  for await (const part of request) parts.push(part as Buffer)
  // A caller that goes away in the middle ends the iteration without an error
  // on some paths; a short body must never be sent on as a whole one.
  const bytes = Buffer.concat(parts)
  if (bytes.length !== Number(length)) throw new Error('the body ended early')
  return { kind: 'buffered', bytes }
}
