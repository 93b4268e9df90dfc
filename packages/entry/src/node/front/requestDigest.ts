/**
 * Identifies a request that a caller sends again. Each time it is sent it carries another request
 * id, so the digest covers what a worker would receive: method, host, target, caller and body.
 */
import { createHash } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import type { RequestBody } from './bodyReader.js'

/** Characters of the digest: 128 bits in base64url, rounded up. */
const DIGEST_LENGTH = 22
const SEPARATOR = '\0'

/** The properties of a request that the digest covers. */
export interface DigestedRequest {
  readonly message: Pick<IncomingMessage, 'method' | 'url' | 'headers'>
  /** Digest of the caller's key; undefined if it sent no valid one. */
  readonly keyDigest: string | undefined
  readonly body: Pick<RequestBody, 'chunks'>
}

/** The digest of one request, computed on first use. */
export class RequestDigest {
  private value: string | undefined

  /** @param request the request to identify */
  constructor (private readonly request: DigestedRequest) {}

  /** @returns the digest; it is safe to log, as neither the key nor the body can be recovered from it */
  read (): string {
    this.value ??= this.compute()
    return this.value
  }

  private compute (): string {
    const { message, keyDigest, body } = this.request
    const hash = createHash('sha256')
    hash.update([message.method, message.headers.host?.toLowerCase(), message.url, keyDigest, ''].join(SEPARATOR))
    for (const chunk of body.chunks) hash.update(chunk)
    return hash.digest('base64url').slice(0, DIGEST_LENGTH)
  }
}
