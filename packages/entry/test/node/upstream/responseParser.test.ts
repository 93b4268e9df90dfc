import assert from 'node:assert/strict'
import { IncomingMessage, ServerResponse } from 'node:http'
import { Socket } from 'node:net'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { type ResponseHead, ResponseParser } from '../../../src/node/upstream/responseParser.js'

const SEED = 20261204
const RUNS = 2_000
const VALID = 'HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok'

interface Parsed {
  readonly heads: ResponseHead[]
  readonly body: string
  /** Number of complete responses. */
  readonly ends: number
  readonly error: Error | undefined
}

/** Parses bytes in chunks of a length, then the end of the connection. */
function parse (bytes: string, chunkLength = bytes.length): Parsed {
  const heads: ResponseHead[] = []
  let body = ''
  let ends = 0
  const parser = new ResponseParser({
    onHead: (head) => {
      heads.push(head)
      return false
    },
    onBody: (chunk) => { body += chunk.toString('latin1') },
    onEnd: () => { ends++ }
  })
  let error: Error | undefined
  for (let index = 0; index < bytes.length && error === undefined; index += chunkLength) {
    error = parser.read(Buffer.from(bytes.slice(index, index + chunkLength), 'latin1'))
  }
  return { heads, body, ends, error: error ?? parser.finish() }
}

const INVALID: Readonly<Record<string, string>> = {
  'a control character in a value': 'HTTP/1.1 200 OK\r\nX-Id: a\u0001b\r\nContent-Length: 0\r\n\r\n',
  'a carriage return in a value': 'HTTP/1.1 200 OK\r\nX-Id: a\rb\r\nContent-Length: 0\r\n\r\n',
  'a name that is no token': 'HTTP/1.1 200 OK\r\nX-(Id): a\r\nContent-Length: 0\r\n\r\n',
  'a space before the colon': 'HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n',
  'a line without a colon': 'HTTP/1.1 200 OK\r\nX-Id\r\nContent-Length: 0\r\n\r\n',
  'a continuation line': 'HTTP/1.1 200 OK\r\nX-Id: a\r\n b\r\nContent-Length: 0\r\n\r\n',
  'a length in characters whose highest bit is set': 'HTTP/1.1 200 OK\r\nContent-Length: \u00b2\r\n\r\nok',
  'a chunk size in characters whose highest bit is set': 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\u00b2\r\nok\r\n0\r\n\r\n',
  'a control character in the reason phrase': 'HTTP/1.1 200 O\u0001\r\nContent-Length: 0\r\n\r\n',
  'a status of four digits': 'HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n',
  'a status without a space behind it': 'HTTP/1.1 200OK\r\nContent-Length: 0\r\n\r\n',
  'a version of two digits': 'HTTP/1.10 200 OK\r\nContent-Length: 0\r\n\r\n',
  'a status below 100': 'HTTP/1.1 099 OK\r\nContent-Length: 0\r\n\r\n',
  'a status above 599': 'HTTP/1.1 600 OK\r\nContent-Length: 0\r\n\r\n',
  'a switch to another protocol': 'HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: a\r\n\r\n',
  'an invalid trailer': 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Id: a\u0001\r\n\r\n'
}

const CHUNKED = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
/** The beginning of a response, and the part of it that repeats without end. */
const ENDLESS: Readonly<Record<string, readonly [beginning: string, part: string]>> = {
  'a status line': ['HTTP/1.1 200 ', 'O'],
  'empty lines before a response': ['', '\r\n'],
  'a header field': ['HTTP/1.1 200 OK\r\nX-Id: ', 'a'],
  'many header fields': ['HTTP/1.1 200 OK\r\n', 'X-Id: a\r\n'],
  'interim responses': ['', 'HTTP/1.1 103 Early Hints\r\n\r\n'],
  'an interim response': ['HTTP/1.1 103 Early Hints\r\n', 'X-Id: a\r\n'],
  'a chunk line': [`${CHUNKED}2;`, 'a'],
  'chunk extensions': [CHUNKED, `1;${'a'.repeat(1_000)}\r\nb\r\n`],
  'the end of a chunk': [`${CHUNKED}2\r\nab`, 'a'],
  'a trailer field': [`${CHUNKED}0\r\nX-Id: `, 'a'],
  'many trailer fields': [`${CHUNKED}0\r\n`, 'X-Id: a\r\n']
}
/** More than the parser reads of any part but the body. */
const MAX_ENDLESS_BYTES = 131_072

describe('ResponseParser', () => {
  for (const [what, [beginning, part]] of Object.entries(ENDLESS)) {
    it(`rejects ${what} without end`, () => {
      const bytes = beginning + part.repeat(Math.ceil(MAX_ENDLESS_BYTES / part.length))
      for (const chunkLength of [1_024, 65_536]) {
        const { ends, error } = parse(bytes, chunkLength)
        assert.match(error?.message ?? '', /bytes$/)
        assert.equal(ends, 0)
      }
    })
  }

  it('limits each response by itself', () => {
    const head = `HTTP/1.1 200 OK\r\nX-Id: ${'a'.repeat(40_000)}\r\nTransfer-Encoding: chunked\r\n\r\n`
    const { ends, error } = parse(`${head}1;${'b'.repeat(4_000)}\r\nb\r\n0\r\nX-Id: ${'a'.repeat(10_000)}\r\n\r\n`.repeat(10), 1_024)
    assert.equal(error, undefined)
    assert.equal(ends, 10)
  })

  for (const [what, bytes] of Object.entries(INVALID)) {
    it(`rejects ${what}`, () => {
      for (const chunkLength of [bytes.length, 1]) {
        const { ends, error } = parse(bytes, chunkLength)
        assert.ok(error !== undefined)
        assert.equal(ends, 0)
      }
    })
  }

  for (const field of ['Content-Length: 2', 'Transfer-Encoding: chunked']) {
    // Guards against a request that waits until its deadline for the rest of a line, as a body stands where the next response begins.
    it(`rejects an interim response with ${field} before its body arrives`, () => {
      const parser = new ResponseParser({ onHead: () => false, onBody: () => {}, onEnd: () => {} })
      assert.ok(parser.read(Buffer.from(`HTTP/1.1 100 Continue\r\n${field}\r\n\r\n`)) !== undefined)
    })
  }

  it('accepts a status without a reason phrase', () => {
    const { heads, ends } = parse('HTTP/1.1 200\r\nContent-Length: 0\r\n\r\nHTTP/1.0 204 \r\n\r\n')
    assert.deepEqual(heads.map(({ status }) => status), [200, 204])
    assert.equal(ends, 2)
  })

  it('passes on values with characters beyond ASCII as received', () => {
    const { heads, error } = parse('HTTP/1.1 200 OK\r\nX-Id: \tcaf\u00e9 \u008d\u008a \r\nContent-Length: 0\r\n\r\n')
    assert.equal(error, undefined)
    assert.deepEqual(heads[0]?.rawHeaders, ['X-Id', 'caf\u00e9 \u008d\u008a', 'Content-Length', '0'])
  })

  it('returns errors that its listener throws when the end of the connection ends a response', () => {
    // Guards against processes that end with an uncaught error.
    const parser = new ResponseParser({ onHead: () => false, onBody: () => {}, onEnd: () => { throw new Error('not writable') } })
    assert.equal(parser.read(Buffer.from('HTTP/1.1 200 OK\r\n\r\nbody')), undefined)
    assert.equal(parser.finish()?.message, 'not writable')
  })

  it('reports only heads that Node.js can write, whatever bytes are spoilt', () => {
    const change = fc.tuple(fc.nat(VALID.length - 1), fc.integer({ min: 0, max: 255 }))
    fc.assert(fc.property(fc.array(change, { minLength: 1, maxLength: 3 }), fc.integer({ min: 1, max: VALID.length }), (changes, chunkLength) => {
      const bytes = Buffer.from(VALID, 'latin1')
      for (const [index, byte] of changes) bytes[index] = byte
      for (const { status, rawHeaders } of parse(bytes.toString('latin1'), chunkLength).heads) {
        new ServerResponse(new IncomingMessage(new Socket())).writeHead(status, [...rawHeaders])
      }
    }), { seed: SEED, numRuns: RUNS })
  })
})
