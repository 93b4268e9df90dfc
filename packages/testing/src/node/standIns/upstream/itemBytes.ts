/** Answers of `/items/`: bytes that follow from path and request, so that truncation and crossing are found. */
import { createHash } from 'node:crypto'

const ITEM_PREFIX = '/items/'
const DEFAULT_ITEM_BYTES = 256
const MAX_ITEM_BYTES = 67_108_864

/**
 * @param path the path with its query as the worker got it
 * @returns the size asked for by `?size=`, undefined if the path is no item
 */
export function parseItemSize (path: string): number | undefined {
  const url = new URL(path, 'http://worker.invalid')
  if (!url.pathname.startsWith(ITEM_PREFIX)) return undefined
  const size = Number(url.searchParams.get('size') ?? DEFAULT_ITEM_BYTES)
  if (!Number.isInteger(size) || size < 0) return DEFAULT_ITEM_BYTES
  return Math.min(size, MAX_ITEM_BYTES)
}

/**
 * @param path the path with its query as the worker got it
 * @param requestId the request's id
 * @param size how many bytes
 * @returns the only right answer to that request
 */
export function buildItemBytes (path: string, requestId: string, size: number): Buffer {
  if (size === 0) return Buffer.alloc(0)
  return createHash('shake256', { outputLength: size }).update(path).update('\0').update(requestId).digest()
}

/**
 * @param bytes a body
 * @returns the value of a Content-Digest header (RFC 9530)
 */
export function formatContentDigest (bytes: Uint8Array): string {
  return `sha-256=:${createHash('sha256').update(bytes).digest('base64')}:`
}

/** An answer as a caller got it. */
export interface ReceivedItem {
  /** The path below the service, with its query. */
  readonly path: string
  readonly requestId: string
  readonly body: Uint8Array
}

/**
 * @param item an answer to a request for an item
 * @returns whether it is whole and belongs to that request
 */
export function isItemWhole (item: ReceivedItem): boolean {
  const size = parseItemSize(item.path)
  if (size === undefined || size !== item.body.length) return false
  return buildItemBytes(item.path, item.requestId, size).equals(item.body)
}
