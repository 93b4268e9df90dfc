/**
 * Reads a request's body whole before the request is offered to a worker: a
 * caller that stalls in the middle holds no worker's slot, and a request that a
 * worker refused can be offered to another. Bodies of all requests together have
 * a bound, or a few large uploads would take the process's memory.
 */
import type { IncomingMessage } from 'node:http'

/** Why a body was not read. */
export enum BodyFailure {
  TooLarge = 'too-large',
  /** All bodies together are at their bound. */
  NoRoom = 'no-room',
  /** The caller left in the middle. */
  CallerLeft = 'caller-left'
}

/** The bytes that all bodies of a process may take together. */
export class BodyRoom {
  private used = 0

  /** @param mostBytes the bound */
  constructor (private readonly mostBytes: number) {}

  /**
   * @param bytes wanted
   * @returns whether there was room; if so it is taken
   */
  take (bytes: number): boolean {
    if (this.used + bytes > this.mostBytes) return false
    this.used += bytes
    return true
  }

  /** @param bytes taken before */
  release (bytes: number): void {
    this.used -= bytes
  }
}

/** A body in memory; `release` gives its room back. */
export class RequestBody {
  private isReleased = false

  /**
   * @param chunks the bytes
   * @param length their number
   * @param room where they are counted
   */
  constructor (readonly chunks: readonly Buffer[], readonly length: number, private readonly room: BodyRoom) {}

  /** Gives the room back; a second call does nothing. */
  release (): void {
    if (this.isReleased) return
    this.isReleased = true
    this.room.release(this.length)
  }
}

/** @returns whether a request announces a body */
export function hasBody (request: IncomingMessage): boolean {
  const length = request.headers['content-length']
  return request.headers['transfer-encoding'] !== undefined || (length !== undefined && length !== '0')
}

/**
 * @param request whose body is read
 * @param mostBytes the longest body accepted
 * @param room where the bytes are counted
 * @param onRead told once
 */
export function readBody (request: IncomingMessage, mostBytes: number, room: BodyRoom, onRead: (result: RequestBody | BodyFailure) => void): void {
  const chunks: Buffer[] = []
  let length = 0
  let isSettled = false
  const settle = (result: RequestBody | BodyFailure): void => {
    if (isSettled) return
    isSettled = true
    if (!(result instanceof RequestBody)) room.release(length)
    onRead(result)
  }
  request.on('data', (chunk: Buffer) => {
    if (isSettled) return
    if (length + chunk.length > mostBytes) settle(BodyFailure.TooLarge)
    else if (!room.take(chunk.length)) settle(BodyFailure.NoRoom)
    else {
      length += chunk.length
      chunks.push(chunk)
    }
  })
  request.on('end', () => { settle(new RequestBody(chunks, length, room)) })
  request.on('close', () => { settle(BodyFailure.CallerLeft) })
  request.on('error', () => { settle(BodyFailure.CallerLeft) })
}
