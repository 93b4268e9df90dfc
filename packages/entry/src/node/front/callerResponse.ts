/** Writes the response to one request and reports when the caller disconnects. */
import type { ServerResponse } from 'node:http'
import { BODILESS_STATUSES } from '@umberspar/base/common/http/bodilessStatuses'
import { formatRelayResult, RELAY_FIELD, RelayOutcome, type WorkerAnnouncement } from '../../common/relayFields.js'
import { getHeader } from '../upstream/rawHeaders.js'
import type { ResponseHead } from '../upstream/responseParser.js'

const MS_PER_SECOND = 1_000
/** A response of this VM with one of these statuses means that the request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 429, 503])
/** A response with this status names the accepted authentication scheme (RFC 9110, section 11.6.1). */
const UNAUTHORIZED = 401

/** A response that this VM generates itself, rather than forwarding it from a worker. */
export interface LocalResponse {
  readonly status: number
  /** One line of text for a human reader. */
  readonly text: string
  /** When the caller may retry, in milliseconds from now. */
  readonly retryAfterMs?: number | undefined
  /** Whether another VM that relayed the request should ask a third one. */
  readonly isUnable?: boolean
}

/** The response to one request. */
export class CallerResponse {
  private isHeadWritten = false
  private isConnectionClosed = false
  private onDisconnect: () => void = () => {}
  private listAnnouncements: () => readonly WorkerAnnouncement[] = () => []

  /**
   * @param response the response object of Node.js
   * @param isHead whether the request method was HEAD
   * @param shouldCloseConnection called when the response starts: whether the connection is closed after it
   * @param isRelayed whether another VM relayed the request
   * @param onDidWrite called after the response or a part of it was written
   */
  constructor (private readonly response: ServerResponse, private readonly isHead: boolean, private readonly shouldCloseConnection: () => boolean, readonly isRelayed = false, private readonly onDidWrite: () => void = () => {}) {
    response.sendDate = false
  }

  /** @returns whether the complete response has been handed to the operating system */
  get isSent (): boolean {
    return this.response.writableFinished
  }

  /** @returns the status of a response that has started */
  get status (): number {
    return this.response.statusCode
  }

  /** @returns how much of the response waits in memory, in bytes */
  get unsentBytes (): number {
    return this.response.writableLength
  }

  /** @returns whether nothing more can be written to the caller */
  get isClosed (): boolean {
    return this.isConnectionClosed || this.response.destroyed || this.response.writableEnded
  }

  /** @param onDisconnect called if the caller disconnects before its response is complete */
  onDidDisconnect (onDisconnect: () => void): void {
    this.onDisconnect = onDisconnect
  }

  /** @param listAnnouncements called when the response to a relayed request starts: what the workers that were tried have announced */
  setAnnouncements (listAnnouncements: () => readonly WorkerAnnouncement[]): void {
    this.listAnnouncements = listAnnouncements
  }

  /**
   * Handles the end of the connection. Node.js reports it only to the response that is
   * currently being sent, not to the pipelined ones behind it.
   */
  handleClose (): void {
    if (this.isConnectionClosed) return
    this.isConnectionClosed = true
    if (!this.response.writableFinished) this.onDisconnect()
  }

  /** @param onDrain called when more of a streamed response can be written */
  onDidDrain (onDrain: () => void): void {
    this.response.on('drain', onDrain)
  }

  /** Writes a response that this VM generates itself. */
  writeLocal ({ status, text, retryAfterMs, isUnable = false }: LocalResponse): void {
    if (this.isHeadWritten || this.isClosed) return
    const body = `${text}\n`
    const fields = ['Content-Type', 'text/plain', 'Content-Length', String(Buffer.byteLength(body))]
    if (retryAfterMs !== undefined) fields.push('Retry-After', (retryAfterMs / MS_PER_SECOND).toFixed(3))
    if (status === UNAUTHORIZED) fields.push('WWW-Authenticate', 'Bearer')
    this.writeHead(status, fields, isUnable ? RelayOutcome.Unable : NOT_RUN_STATUSES.has(status) ? RelayOutcome.Refused : RelayOutcome.Answered)
    this.response.end(this.isHead ? undefined : body)
    this.onDidWrite()
  }

  /** Writes a worker's complete response. */
  writeComplete (head: ResponseHead, fields: string[], body: readonly Buffer[], length: number): void {
    if (this.isHeadWritten || this.isClosed) return
    const contentLength = this.isHead ? getHeader(head.rawHeaders, 'content-length') : String(length)
    if (contentLength !== undefined && !BODILESS_STATUSES.has(head.status)) fields.push('Content-Length', contentLength)
    this.writeHead(head.status, fields)
    this.response.end(body.length === 1 ? body[0] : Buffer.concat(body as Buffer[]))
    this.onDidWrite()
  }

  /** Starts to stream a worker's response. */
  startStream (head: ResponseHead, fields: string[]): void {
    const contentLength = getHeader(head.rawHeaders, 'content-length')
    if (contentLength !== undefined) fields.push('Content-Length', contentLength)
    this.writeHead(head.status, fields)
  }

  /** @returns whether more can be written at once; otherwise wait for the drain callback */
  writeChunk (chunk: Buffer): boolean {
    const hasRoom = this.response.write(chunk)
    if (!hasRoom) this.onDidWrite()
    return hasRoom
  }

  /** Ends a streamed response that arrived completely. */
  finishStream (): void {
    this.response.end()
  }

  /** Aborts a streamed response by closing the connection, so that the caller can't mistake it for complete. */
  cancelStream (): void {
    this.response.destroy()
  }

  private writeHead (status: number, fields: string[], outcome = RelayOutcome.Answered): void {
    this.isHeadWritten = true
    if (this.isRelayed) fields.push(RELAY_FIELD, formatRelayResult({ outcome, announcements: this.listAnnouncements() }))
    if (this.shouldCloseConnection()) this.response.shouldKeepAlive = false
    this.response.writeHead(status, fields)
  }
}
