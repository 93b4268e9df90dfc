/** A caller that pipelines requests on a raw socket and reads the responses in order. */
import { connect, type Socket } from 'node:net'
import { ResponseParser } from '@umberspar/entry/node/upstream/responseParser'
import { getHeader } from '@umberspar/entry/node/upstream/rawHeaders'
import { PLATFORM_HOST } from './platformRecords.js'

/** One request of a pipeline. */
export interface PipelinedCall {
  readonly id: string
  readonly path: string
  /** Sent with a length; a request with a body is a POST. */
  readonly body?: string
  readonly deadlineMs?: number
  /** The affinity key. */
  readonly key?: string
  /** The value of the `Authorization` field; omitted if callers need no keys. */
  readonly authorization?: string
}

/** One response as received. */
export interface PipelinedAnswer {
  readonly status: number
  readonly id: string | undefined
  readonly seal: string | undefined
  readonly body: string
  readonly closes: boolean
}

const DEFAULT_DEADLINE_MS = 3_000

/** @returns a request's bytes */
export function formatCall ({ id, path, body, deadlineMs = DEFAULT_DEADLINE_MS, key, authorization }: PipelinedCall): string {
  const credentials = authorization === undefined ? '' : `Authorization: ${authorization}\r\n`
  const cookie = key === undefined ? '' : `Cookie: X-Umberspar-Affinity-Key=${key}\r\n`
  const head = `${body === undefined ? 'GET' : 'POST'} ${path} HTTP/1.1\r\nHost: ${PLATFORM_HOST}\r\nX-Umberspar-Request-Id: ${id}\r\nX-Umberspar-Deadline-Ms: ${deadlineMs}\r\n${cookie}${credentials}`
  return body === undefined ? `${head}\r\n` : `${head}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
}

/** One connection. */
export class PipelinedCaller {
  private readonly socket: Socket
  private readonly parser: ResponseParser
  private body: Buffer[] = []
  private head: { readonly status: number, readonly rawHeaders: readonly string[], readonly keepsAlive: boolean } | undefined
  readonly answers: PipelinedAnswer[] = []
  receivedBytes = 0
  isEnded = false
  isReset = false

  /** @param address `host:port` of the callers' listener */
  constructor (address: string) {
    const [host, port] = address.split(':')
    this.socket = connect(Number(port), host)
    this.parser = new ResponseParser({
      onHead: (head) => {
        this.head = head
        return false
      },
      onBody: (chunk) => { this.body.push(chunk) },
      onEnd: () => { this.recordAnswer() }
    })
    this.socket.on('data', (chunk) => {
      this.receivedBytes += chunk.length
      this.parser.read(chunk)
    })
    this.socket.on('error', () => { this.isReset = true })
    this.socket.on('close', () => { this.isEnded = true })
  }

  /** Sends requests in one packet. */
  send (calls: readonly PipelinedCall[]): void {
    this.sendRaw(calls.map(formatCall).join(''))
  }

  /** Sends raw bytes. */
  sendRaw (bytes: string): void {
    if (!this.socket.destroyed) this.socket.write(bytes, 'latin1')
  }

  /** Pauses reading. */
  pause (): void {
    this.socket.pause()
  }

  /** Resumes reading. */
  resume (): void {
    this.socket.resume()
  }

  /** Closes the connection at once. */
  close (): void {
    this.socket.destroy()
  }

  private recordAnswer (): void {
    const { status, rawHeaders, keepsAlive } = this.head!
    this.answers.push({
      status,
      id: getHeader(rawHeaders, 'x-umberspar-request-id'),
      seal: getHeader(rawHeaders, 'x-umberspar-server-seal'),
      body: Buffer.concat(this.body).toString(),
      closes: !keepsAlive
    })
    this.body = []
  }
}
