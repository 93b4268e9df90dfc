/**
 * Recognizes a request that is sent again. Every attempt of a caller has an id of its
 * own, so the digest covers what a worker would be given: method, host, target,
 * caller and body.
 */
import { createHash } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import type { RequestBody } from './bodyReader.js'

/** 128 bits in base64url. */
const DIGEST_LENGTH = 22
const SEPARATOR = '\0'

/** What the digest is computed from. */
export interface DigestedRequest {
  readonly message: Pick<IncomingMessage, 'method' | 'url' | 'headers'>
  /** Digest of the caller's key; undefined if it sent none that can be read. */
  readonly keyDigest: string | undefined
  readonly body: Pick<RequestBody, 'chunks'>
}

/** The digest of one request, computed when it is first read. */
export class RequestDigest {
  private text: string | undefined

  /** @param request what the digest is computed from */
  constructor (private readonly request: DigestedRequest) {}

  /** @returns the digest, safe to log: neither key nor body can be read from it */
  read (): string {
    this.text ??= this.compute()
    return this.text
  }

  private compute (): string {
    const { message, keyDigest, body } = this.request
    const hash = createHash('sha256')
    hash.update([message.method, message.headers.host?.toLowerCase(), message.url, keyDigest, ''].join(SEPARATOR))
    for (const chunk of body.chunks) hash.update(chunk)
    return hash.digest('base64url').slice(0, DIGEST_LENGTH)
  }
}
