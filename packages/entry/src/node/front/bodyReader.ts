/**
 * Reads the complete body of a request before the request is sent to a worker: a caller that
 * stalls halfway occupies no worker slot, and a request that one worker refused can be sent to
 * another. The total size of buffered bodies is limited, so that a few large uploads can't
 * exhaust the memory of the process.
 */
import type { IncomingMessage } from 'node:http'
import { ByteCollector } from '@umberspar/base/node/byteCollector'

/** Why a body could not be read. */
export enum BodyFailure {
  TooLarge = 'too-large',
  /** The limit on the total size of buffered bodies is reached. */
  MemoryExhausted = 'no-room',
  /** The caller disconnected before the body was complete. */
  CallerDisconnected = 'caller-left'
}

/** What the runtime and the records take of the memory. */
const RUNTIME_MEMORY_MB = 75
/** The part of a very small memory that clients have all the same. */
const MIN_CLIENT_MEMORY_RATIO = 0.1
/** The share of the remaining memory for request bodies; the rest is for connections and what is not collected yet. */
const BODY_MEMORY_RATIO = 0.41
/** Longer bodies leave a reserve for those that are not, so that a few large ones can't refuse all others. */
const SMALL_BODY_BYTES = 262_144
const SMALL_BODY_RESERVE_RATIO = 0.04
const BYTES_PER_MB = 1_000_000

/**
 * @param memoryMb the memory of the process, in megabytes
 * @returns what clients may take of it, in bytes
 */
export function computeClientMemory (memoryMb: number): number {
  return Math.max(memoryMb - RUNTIME_MEMORY_MB, memoryMb * MIN_CLIENT_MEMORY_RATIO) * BYTES_PER_MB
}

/** Limits the total size of all bodies buffered by the process. */
export class BodyMemoryBudget {
  private usedBytes = 0

  /**
   * @param memoryMb the memory of the process, in megabytes
   * @returns the budget for its request bodies
   */
  static create (memoryMb: number): BodyMemoryBudget {
    return new BodyMemoryBudget(computeClientMemory(memoryMb) * BODY_MEMORY_RATIO)
  }

  /** @param maxBytes the limit on the total size */
  constructor (private readonly maxBytes: number) {}

  /**
   * @param bytes number of bytes to reserve
   * @param bodyBytes number of bytes that are reserved for the same body already
   * @returns whether the bytes were reserved; false if they would exceed the limit, or use the reserve for small bodies
   */
  reserve (bytes: number, bodyBytes = 0): boolean {
    const isSmall = bodyBytes + bytes <= SMALL_BODY_BYTES
    const maxBytes = isSmall ? this.maxBytes : this.maxBytes * (1 - SMALL_BODY_RESERVE_RATIO)
    if (this.usedBytes + bytes > maxBytes) return false
    this.usedBytes += bytes
    return true
  }

  /** @param bytes number of bytes reserved earlier */
  release (bytes: number): void {
    this.usedBytes -= bytes
  }
}

/** A body in memory; `release` returns its bytes to the memory budget. */
export class RequestBody {
  private isReleased = false

  /**
   * @param chunks the bytes of the body
   * @param length the length in bytes
   * @param memoryBudget the budget in which the bytes are reserved
   */
  constructor (readonly chunks: readonly Buffer[], readonly length: number, private readonly memoryBudget: BodyMemoryBudget) {}

  /** Returns the reserved bytes; further calls have no effect. */
  release (): void {
    if (this.isReleased) return
    this.isReleased = true
    this.memoryBudget.release(this.length)
  }
}

/** @returns whether the headers of a request announce a body */
export function hasBody (request: IncomingMessage): boolean {
  const length = request.headers['content-length']
  return request.headers['transfer-encoding'] !== undefined || (length !== undefined && length !== '0')
}

/**
 * Reads the body of a request.
 * @param request the request
 * @param maxBytes the largest body accepted
 * @param memoryBudget the budget in which the bytes are reserved
 * @param onSettled called once, with the body or the reason why it could not be read
 */
export function readBody (request: IncomingMessage, maxBytes: number, memoryBudget: BodyMemoryBudget, onSettled: (result: RequestBody | BodyFailure) => void): void {
  const chunks = new ByteCollector()
  let isSettled = false
  const settle = (result: RequestBody | BodyFailure): void => {
    if (isSettled) return
    isSettled = true
    if (!(result instanceof RequestBody)) {
      memoryBudget.release(chunks.length)
      // The listeners below live until the rest of the body has arrived.
      chunks.take()
    }
    onSettled(result)
  }
  request.on('data', (chunk: Buffer) => {
    if (isSettled) return
    if (chunks.length + chunk.length > maxBytes) settle(BodyFailure.TooLarge)
    else if (!memoryBudget.reserve(chunk.length, chunks.length)) settle(BodyFailure.MemoryExhausted)
    else chunks.add(chunk)
  })
  request.on('end', () => {
    const { length } = chunks
    if (!isSettled) settle(new RequestBody(chunks.take(), length, memoryBudget))
  })
  request.on('close', () => { settle(BodyFailure.CallerDisconnected) })
  request.on('error', () => { settle(BodyFailure.CallerDisconnected) })
}
