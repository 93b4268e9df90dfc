/** Stand-ins for clients: each request is one attempt with an id of its own. */
import { randomBytes } from 'node:crypto'
import { connect } from 'node:net'

const HEAD_END = '\r\n\r\n'

/** Formats a request. */
export function formatRequest ({ method = 'GET', host, path, id, deadlineMs, body = Buffer.alloc(0), fields = {} }) {
  const lines = [`${method} ${path} HTTP/1.1`, `Host: ${host}`, `X-Umberspar-Request-Id: ${id}`, `X-Umberspar-Deadline-Ms: ${deadlineMs}`]
  for (const [name, value] of Object.entries(fields)) lines.push(`${name}: ${value}`)
  if (method !== 'GET') lines.push(`Content-Length: ${body.length}`)
  return Buffer.concat([Buffer.from(lines.join('\r\n') + HEAD_END), body])
}

export const createId = () => randomBytes(8).toString('hex')

/** Reads the answers of one connection, in order: status, fields and the length of the body. */
export class AnswerReader {
  #bytes = Buffer.alloc(0)
  #current

  constructor (onAnswer) {
    this.onAnswer = onAnswer
  }

  /** @returns whether part of an answer has arrived */
  get isPartial () {
    return this.#current !== undefined || this.#bytes.length > 0
  }

  read (chunk) {
    this.#bytes = this.#bytes.length === 0 ? chunk : Buffer.concat([this.#bytes, chunk])
    while (this.#readHead() && this.#readBody()) {
      const answer = this.#current
      this.#current = undefined
      this.onAnswer({ ...answer, body: Buffer.concat(answer.parts) })
    }
  }

  #readHead () {
    if (this.#current !== undefined) return true
    const end = this.#bytes.indexOf(HEAD_END)
    if (end < 0) return false
    const [line, ...rest] = this.#bytes.subarray(0, end).toString('latin1').split('\r\n')
    const fields = Object.fromEntries(rest.map((text) => [text.slice(0, text.indexOf(':')).toLowerCase(), text.slice(text.indexOf(':') + 1).trim()]))
    this.#bytes = this.#bytes.subarray(end + HEAD_END.length)
    this.#current = { status: Number(line.split(' ')[1]), fields, parts: [], left: Number(fields['content-length'] ?? 0), isChunked: fields['transfer-encoding'] === 'chunked' }
    return true
  }

  #readBody () {
    const answer = this.#current
    return answer.isChunked ? this.#readChunks(answer) : this.#readBytes(answer)
  }

  #readBytes (answer) {
    const part = this.#bytes.subarray(0, answer.left)
    answer.left -= part.length
    answer.parts.push(part)
    this.#bytes = this.#bytes.subarray(part.length)
    return answer.left === 0
  }

  #readChunks (answer) {
    for (;;) {
      const end = this.#bytes.indexOf('\r\n')
      if (end < 0) return false
      const length = Number.parseInt(this.#bytes.subarray(0, end).toString('latin1'), 16)
      if (this.#bytes.length < end + 2 + length + 2) return false
      answer.parts.push(this.#bytes.subarray(end + 2, end + 2 + length))
      this.#bytes = this.#bytes.subarray(end + 2 + length + 2)
      if (length === 0) return true
    }
  }
}

/**
 * Sends one request on a connection of its own and waits until its deadline.
 * @returns how it ended: the status, or what happened instead; and when, in milliseconds since it was sent
 */
export function sendRequest ({ host: address, port }, request) {
  return new Promise((resolve) => {
    const socket = connect({ host: address, port, noDelay: true })
    const sentAt = performance.now()
    let hasEnded = false
    const end = (result) => {
      if (hasEnded) return
      hasEnded = true
      clearTimeout(timer)
      socket.destroy()
      resolve({ id: request.id, sentAt, tookMs: Math.round(performance.now() - sentAt), isPartial: reader.isPartial, ...result })
    }
    const reader = new AnswerReader(({ status, fields, body }) => { end({ status, fields, body }) })
    const timer = setTimeout(() => { end({ end: 'gave up at its deadline' }) }, request.deadlineMs)
    socket.on('data', (chunk) => { reader.read(chunk) })
    socket.on('error', ({ code }) => { end({ end: `connection failed: ${code}` }) })
    socket.on('close', () => { end({ end: 'connection closed without a whole answer' }) })
    socket.write(formatRequest(request))
  })
}
