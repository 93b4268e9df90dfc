/** Tests of header filtering, routes and error bodies. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { IdempotenceRule } from '../../../src/common/configuration/configurationSchema.js'
import { removeHopByHop } from '../../../src/common/request/headers.js'
import { buildProblem, ProblemKind } from '../../../src/common/request/requestProblem.js'
import { DEFAULT_ROUTE, findRoute, isIdempotent } from '../../../src/common/request/route.js'
import { Outcome } from '../../../src/common/state/outcome.js'
import { buildSampleConfiguration } from '../sampleConfiguration.js'

describe('removeHopByHop', () => {
  it('removes hop-by-hop fields and those that Connection lists', () => {
    const headers = removeHopByHop({ Connection: ['close, X-Hop', 'x-other'], 'x-hop': '1', 'X-Other': ['2'], 'Transfer-Encoding': 'chunked', te: 'trailers', accept: '*/*', empty: undefined })
    assert.deepEqual(headers, { accept: '*/*' })
  })

  // A malicious caller sends `Connection: idempotency-key, content-length`. Without these
  // fields a payment would run without its key and its body would have no length.
  it('keeps protected fields even if Connection lists them', () => {
    const kept = { 'content-length': '5', 'idempotency-key': 'k', 'umberspar-request-id': 'r', host: 'h' }
    assert.deepEqual(removeHopByHop({ connection: Object.keys(kept).join(','), ...kept }), kept)
  })
})

describe('findRoute', () => {
  const service = buildSampleConfiguration().services['escort-svc']
  assert.ok(service)
  const assign = { ...DEFAULT_ROUTE, prefix: '/assign', repeat: IdempotenceRule.NotIdempotent }
  const status = { ...DEFAULT_ROUTE, prefix: '/assign/status', repeat: IdempotenceRule.Idempotent }
  const withRoutes = { ...service, routes: [assign, status] }

  it('finds the longest matching prefix or the default route', () => {
    assert.equal(findRoute(withRoutes, '/assign/7?x=/assign/status'), assign)
    assert.equal(findRoute(withRoutes, '/assign/status/7'), status)
    assert.equal(findRoute(withRoutes, '/'), DEFAULT_ROUTE)
    assert.equal(findRoute(service, '/assign'), DEFAULT_ROUTE)
  })

  it('normalizes equivalent spellings of a path', () => {
    for (const path of ['/x/../assign', '/%61ssign/1', '//assign', '/./assign', '/x\\..\\assign', '/assign/status/..']) assert.equal(findRoute(withRoutes, path), assign, path)
  })

  it('decides idempotence by the rule of the route or by the method', () => {
    assert.deepEqual(['GET', 'head', 'POST', 'DELETE'].map((method) => isIdempotent(DEFAULT_ROUTE, method)), [true, true, false, false])
    assert.equal(isIdempotent(assign, 'GET'), false)
    assert.equal(isIdempotent(status, 'POST'), true)
  })
})

describe('buildProblem', () => {
  it('contains status, step, peer and outcome', () => {
    const details = { detail: 'd', step: 'reserve-slot', peer: 'local', outcome: Outcome.NotRun, requestId: 'r' } as const
    assert.deepEqual(buildProblem({ kind: ProblemKind.NoCapacity, ...details }), { type: 'urn:umberspar:problem:no-room', title: 'No room for the request', status: 503, ...details })
  })
})
