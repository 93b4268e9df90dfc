/** Arbitrary bytes that look more or less like HTTP requests. */
import fc from 'fast-check'

const METHODS = ['GET', 'POST', 'PUT', 'HEAD', 'DELETE', 'OPTIONS', 'TRACE', 'CONNECT', 'PRI', 'get', 'X'.repeat(300)]
const TARGETS = [
  '/', '*', '', '/v1/lookup', '/v1/lookup?service=closeout-desk', '/v1/lookup?service=__proto__', '/v1/lookup?service=%ff', '/v1/services',
  '/v1/services/', '/v1/services/closeout-desk', '/v1/services/closeout-desk/items/1?size=10', '/v1/services/closeout-desk//x/../y',
  '/v1/services/closeout-desk/../visit-ledger/items/1', '/v1/services/closeout-desk/%2e%2e/%2fx', '/v1/services/constructor/x',
  '/v1/services/__proto__/x', '/v1/services/%63loseout-desk/x', 'http://x/v1/lookup?service=closeout-desk', 'http://[/', '//x/v1/lookup',
  '/v1/status', '/v1/fleet', '/v1/config/patches', '/healthz', '/v1/config/versions/%00', `/${'a'.repeat(9000)}`
]
/** Fields that a request may have and still be served. */
const USUAL_FIELDS = [
  'Connection: close', 'Connection: keep-alive', 'Connection: host, content-length, x', 'Upgrade: h2c', 'Expect: 100-continue', 'TE: trailers', 'Trailer: x',
  'Keep-Alive: timeout=99999999', 'umberspar-timeout-ms: 0', 'umberspar-timeout-ms: 1', 'umberspar-timeout-ms: 1000', 'umberspar-timeout-ms: 1e308',
  'umberspar-timeout-ms: NaN', 'umberspar-request-id:', 'umberspar-entry: me', 'X-Forwarded-For: 127.10.0.1', 'X-Forwarded-For: ,,,::1%x, [::1',
  'Idempotency-Key: k', '__proto__: x', 'constructor: y', 'X: \xff\xfe'
]
/** Fields that make a request ambiguous or refused. */
const ODD_FIELDS = [
  'Host: b', 'Host:', 'Content-Length: 5', 'Content-Length: 5, 5', 'Content-Length: -1', 'Content-Length: 1e3', 'Transfer-Encoding: chunked',
  'Transfer-Encoding: gzip, chunked', 'Transfer-Encoding : chunked', 'Connection: Upgrade', 'Upgrade: websocket', 'Expect: x', ' folded: x', 'X: a\rb', 'no colon', ': x'
]
const BODIES = ['', 'hello', '5\r\nhello\r\n0\r\n\r\n', '5\r\nhel', 'ffffffffffffffff\r\nx', '5;x="\n"\r\nhello\r\n0\r\nX: y\r\n\r\n', '0\r\n\r\nGET /healthz HTTP/1.1\r\nHost: a\r\n\r\n']
const VERSIONS = ['HTTP/1.0', 'HTTP/2.0', 'HTTP/9.9', '']
const LINE_ENDS = ['\n', '\r', '\n\r']
const USUAL_WEIGHT = 10

/** Mostly the first, now and then one of the others. */
function chooseMostly (usual: fc.Arbitrary<string>, odd: readonly string[]): fc.Arbitrary<string> {
  return fc.oneof({ weight: USUAL_WEIGHT, arbitrary: usual }, { weight: 1, arbitrary: fc.constantFrom(...odd) })
}

const shaped = fc.tuple(
  chooseMostly(fc.constantFrom('GET', 'POST'), METHODS),
  fc.constantFrom(...TARGETS),
  chooseMostly(fc.constant('HTTP/1.1'), VERSIONS),
  fc.array(chooseMostly(fc.constantFrom(...USUAL_FIELDS), ODD_FIELDS), { maxLength: 5 }),
  fc.constantFrom(...BODIES),
  chooseMostly(fc.constant('\r\n'), LINE_ENDS)
).map(([method, target, version, fields, body, end]) => [`${method} ${target} ${version}`, 'Host: a', ...fields, '', body].join(end))

/** One byte changed, doubled or lost, at a place given as a part of the whole. */
const edit = fc.record({ at: fc.double({ min: 0, max: 1, noNaN: true }), byte: fc.integer({ min: 0, max: 255 }), kind: fc.constantFrom('set', 'insert', 'cut') })

function applyEdit (text: string, { at, byte, kind }: { at: number, byte: number, kind: string }): string {
  const index = Math.floor(at * text.length)
  const piece = kind === 'cut' ? '' : String.fromCharCode(byte)
  return text.slice(0, index) + piece + text.slice(kind === 'insert' ? index : index + 1)
}

/** Requests in one byte per character: well-formed parts in odd combinations, with edits, or plain noise. */
export const rawRequest: fc.Arbitrary<string> = fc.oneof(
  { weight: 3, arbitrary: shaped },
  { weight: 3, arbitrary: fc.tuple(shaped, fc.array(edit, { maxLength: 4 })).map(([text, edits]) => edits.reduce(applyEdit, text)) },
  { weight: 1, arbitrary: fc.uint8Array({ maxLength: 400 }).map((bytes) => Buffer.from(bytes).toString('latin1')) }
)
