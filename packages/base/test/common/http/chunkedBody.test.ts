import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { ChunkedDecoder, ChunkedState } from '../../../src/common/http/chunkedBody.js'

const SEED = 20261205

interface Decoded {
  readonly state: ChunkedState
  readonly data: string
  /** What stands behind the body. */
  readonly rest: string
}

/** Decodes a body that arrives in pieces of given lengths. */
function decodeInPieces (text: string, lengths: readonly number[]): Decoded {
  const decoder = new ChunkedDecoder()
  let left = Buffer.from(text, 'latin1')
  let data = ''
  let state = ChunkedState.Incomplete
  for (const length of [...lengths, left.length]) {
    const piece = Buffer.from(left.subarray(0, length))
    left = left.subarray(length)
    state = decoder.decode(piece, 0)
    data += piece.subarray(decoder.dataStart, decoder.dataEnd).toString('latin1')
    if (state !== ChunkedState.Incomplete) return { state, data, rest: piece.subarray(decoder.position).toString('latin1') + left.toString('latin1') }
  }
  return { state, data, rest: '' }
}

describe('a body in chunks', () => {
  it('is decoded alike however it is cut into chunks and pieces', () => {
    const chunk = fc.record({ data: fc.string({ unit: 'binary-ascii', minLength: 1, maxLength: 20 }), extension: fc.constantFrom('', ';a', ';a=b; c') })
    fc.assert(fc.property(fc.array(chunk, { maxLength: 8 }), fc.constantFrom('', 'x: y\r\n', 'a:\r\nb:c\r\n'), fc.array(fc.integer({ min: 1, max: 12 }), { maxLength: 30 }), (chunks, trailers, lengths) => {
      const body = chunks.map(({ data, extension }) => `${data.length.toString(16)}${extension}\r\n${data}\r\n`).join('')
      const decoded = decodeInPieces(`${body}0\r\n${trailers}\r\nGET /`, lengths)
      assert.deepEqual(decoded, { state: ChunkedState.Complete, data: chunks.map(({ data }) => data).join(''), rest: 'GET /' })
    }), { seed: SEED, numRuns: 1_000 })
  })

  it('is refused where its framing violates the protocol', () => {
    for (const body of ['zz\r\n', '\r\n', '3 \r\nabc\r\n', '3\nabc\r\n', '3\r\nabcd\r\n', '123456789\r\n', '3;a\nb\r\n', '0\r\nx\r\n\r\n', '0\r\n: y\r\n\r\n', '0\r\nx: y\n\r\n', '0\r\nx : y\r\n\r\n']) {
      assert.equal(decodeInPieces(body, []).state, ChunkedState.Malformed, JSON.stringify(body))
    }
  })

  it('is refused where its extensions or trailers have no end', () => {
    assert.equal(decodeInPieces(`1;${'x'.repeat(20_000)}`, []).state, ChunkedState.TooLong)
    assert.equal(decodeInPieces('1;xxxxxxxx\r\ny\r\n'.repeat(3_000), []).state, ChunkedState.TooLong)
    assert.equal(decodeInPieces(`0\r\nx: ${'y'.repeat(20_000)}`, []).state, ChunkedState.TooLong)
    assert.equal(decodeInPieces(`0\r\n${'a:b\r\n'.repeat(6_000)}`, []).state, ChunkedState.TooLong)
  })
})
