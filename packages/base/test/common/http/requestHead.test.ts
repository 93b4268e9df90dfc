import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { BodyFraming, HeadScanner, HeadState } from '../../../src/common/http/requestHead.js'

const SEED = 20261205
const MAX_BYTES = 200

/** Reads a head that arrives in pieces. */
function readInPieces (text: string, cuts: readonly number[]): { readonly state: HeadState, readonly scanner: HeadScanner } {
  const bytes = Buffer.from(text, 'latin1')
  const scanner = new HeadScanner()
  for (const cut of [...cuts].sort((one, other) => one - other)) {
    const state = scanner.read(bytes.subarray(0, Math.min(cut, bytes.length)), MAX_BYTES)
    if (state !== HeadState.Incomplete) return { state, scanner }
  }
  return { state: scanner.read(bytes, MAX_BYTES), scanner }
}

describe('the head of a request', () => {
  it('ends behind its first empty line, with empty lines before it skipped', () => {
    const scanner = new HeadScanner()
    const head = '\r\n\r\nGET /a HTTP/1.1\r\nHost: a\r\nX:\r\n\r\n'
    assert.equal(scanner.read(Buffer.from(`${head}GET /b`), MAX_BYTES), HeadState.Complete)
    assert.deepEqual({ start: scanner.start, end: scanner.end, framing: scanner.framing }, { start: 4, end: head.length, framing: BodyFraming.None })
  })

  it('takes memory by its lines as well as by its characters', () => {
    const [few, many] = ['X: abcdefgh\r\n', 'X:\r\nX:\r\nX:\r\n'].map((fields) => {
      const scanner = new HeadScanner()
      scanner.read(Buffer.from(`GET /a HTTP/1.1\r\nHost: a\r\n${fields}\r\n`), MAX_BYTES)
      return scanner.memoryBytes
    })
    assert.ok(many! > few!)
  })

  it('tells how its body is delimited', () => {
    const chunked = new HeadScanner()
    chunked.read(Buffer.from('POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: \tChunked \r\n\r\n'), MAX_BYTES)
    assert.equal(chunked.framing, BodyFraming.Chunked)
    const counted = new HeadScanner()
    counted.read(Buffer.from('POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\n\r\n'), MAX_BYTES)
    assert.deepEqual([counted.framing, counted.contentLength], [BodyFraming.Length, 12])
  })

  it('is refused as soon as it is longer than the limit, complete or not', () => {
    assert.equal(new HeadScanner().read(Buffer.alloc(MAX_BYTES + 1, 'x'), MAX_BYTES), HeadState.TooLong)
    assert.equal(new HeadScanner().read(Buffer.from(`GET /a HTTP/1.1\r\nHost: a\r\nX: ${'x'.repeat(MAX_BYTES)}\r\n\r\n`), MAX_BYTES), HeadState.TooLong)
  })

  it('is judged alike however it is cut into pieces', () => {
    const part = fc.constantFrom('GET /a HTTP/1.1\r\n', 'GET /a HTTP/1.0\r\n', 'Host: a\r\n', '\r\n', '\n', '\r', ' ', 'Content-Length: 5\r\n', 'Content-Length : 5\r\n', 'Transfer-Encoding: chunked\r\n', 'Transfer-Encoding: gzip, chunked\r\n', 'X: \u0000\r\n', 'x')
    fc.assert(fc.property(fc.array(part, { maxLength: 10 }), fc.array(fc.nat(MAX_BYTES), { maxLength: 6 }), (parts, cuts) => {
      const text = parts.join('')
      const whole = readInPieces(text, [])
      const pieces = readInPieces(text, cuts)
      assert.equal(pieces.state, whole.state, JSON.stringify(text))
      if (whole.state === HeadState.Complete) assert.equal(pieces.scanner.end, whole.scanner.end)
    }), { seed: SEED, numRuns: 2_000 })
  })
})
