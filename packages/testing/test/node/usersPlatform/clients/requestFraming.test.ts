import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { EntryTrial } from '../../../../src/node/clients/entryTrial.js'
import { MACHINE } from './trialChecks.js'

const HOST = 'Host: shop.example\r\n'
const GET = `GET /a/1 HTTP/1.1\r\n${HOST}`
const POST = `POST /up/1 HTTP/1.1\r\n${HOST}`
const SMUGGLED = `GET /a/smuggled HTTP/1.1\r\n${HOST}\r\n`

/** Requests that two programs may read differently. Each is followed by a request that must never be handled. */
const AMBIGUOUS_REQUESTS: Readonly<Record<string, string>> = {
  'bare LF at the end of the head': `${GET}\n`,
  'bare LF after a field': `${GET}X: a\nY: b\r\n\r\n`,
  'bare LF in the request line': `GET /a/1 HTTP/1.1\n${HOST}\r\n`,
  'bare CR in a value': `${GET}X: a\rb\r\n\r\n`,
  'bare CR at the end of a line': `${GET}X: a\r\r\n\r\n`,
  'NUL in a value': `${GET}X: a\0b\r\n\r\n`,
  'control byte in a value': `${GET}X: a\x01b\r\n\r\n`,
  'bytes above 0x7f in the target': `GET /a/\xff\xe9 HTTP/1.1\r\n${HOST}\r\n`,
  'control byte in the target': `GET /a/\x01b HTTP/1.1\r\n${HOST}\r\n`,
  'space in the target': `GET /a/1 b HTTP/1.1\r\n${HOST}\r\n`,
  'two spaces before the target': `GET  /a/1 HTTP/1.1\r\n${HOST}\r\n`,
  'tab before the target': `GET\t/a/1 HTTP/1.1\r\n${HOST}\r\n`,
  'space before the colon': `${GET}X : a\r\n\r\n`,
  'space before the colon of a length': `${POST}Content-Length : 1\r\n\r\na`,
  'space before the first field': `GET /a/1 HTTP/1.1\r\n ${HOST}\r\n`,
  'folded field': `${GET}X: a\r\n b\r\n\r\n`,
  'field without a colon': `${GET}X\r\n\r\n`,
  'field without a name': `${GET}: a\r\n\r\n`,
  'two Host fields': `${GET}Host: other.example\r\n\r\n`,
  'no Host': 'GET /a/1 HTTP/1.1\r\n\r\n',
  'a length and chunks': `${POST}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
  'chunks and a length': `${POST}Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n`,
  'two lengths': `${POST}Content-Length: 1\r\nContent-Length: 1\r\n\r\na`,
  'a length as a list': `${POST}Content-Length: 1, 1\r\n\r\na`,
  'a length with a sign': `${POST}Content-Length: +1\r\n\r\na`,
  'an empty length': `${POST}Content-Length: \r\n\r\n`,
  'a length beyond 64 bits': `${POST}Content-Length: 99999999999999999999999\r\n\r\n`,
  'a coding that is not known': `${POST}Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n`,
  'two codings': `${POST}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n`,
  'chunks in two fields': `${POST}Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
  'chunks in HTTP/1.0': `POST /up/1 HTTP/1.0\r\n${HOST}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
  'a chunk size that is no number': `${POST}Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n`,
  'a chunk size beyond 64 bits': `${POST}Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nabc\r\n0\r\n\r\n`,
  'a chunk size with a space': `${POST}Transfer-Encoding: chunked\r\n\r\n3 \r\nabc\r\n0\r\n\r\n`,
  'a chunk size ended by LF': `${POST}Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n`,
  'a chunk extension with LF': `${POST}Transfer-Encoding: chunked\r\n\r\n3;a="b\nc"\r\nabc\r\n0\r\n\r\n`,
  'a chunk longer than its size': `${POST}Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n`,
  'a trailer ended by LF': `${POST}Transfer-Encoding: chunked\r\n\r\n0\r\nx: y\n\r\n`,
  'a trailer without a colon': `${POST}Transfer-Encoding: chunked\r\n\r\n0\r\nx\r\n\r\n`
}

// Guards against heads that Node.js reads loosely in some releases: a request hidden in them would run.
describe('a request that could be read in two ways is refused with 400 and its connection closed', { timeout: 900_000 }, () => {
  let trial: EntryTrial

  before(async () => {
    trial = new EntryTrial(MACHINE)
    await trial.start()
  })

  after(async () => { await trial.close() })

  for (const [name, bytes] of Object.entries(AMBIGUOUS_REQUESTS)) {
    it(name, async () => {
      const runs = trial.worker.runs.length
      const text = await trial.exchange(bytes + SMUGGLED)
      assert.deepEqual([...text.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(([, status]) => status), ['400'], text)
      assert.equal(trial.worker.runs.length, runs)
    })
  }
})
