import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { parseOrcaLoad } from '../../../src/node/upstream/orca.js'

describe('parseOrcaLoad', () => {
  it('parses both formats and prefers the application’s utilization', () => {
    const headers = [
      'JSON {"cpu_utilization":0.1,"application_utilization":0.4,"named_metrics":{"in_flight":3}}',
      'TEXT cpu_utilization=0.1, application_utilization=0.4, named_metrics.in_flight=3'
    ]
    for (const header of headers) {
      assert.deepEqual(parseOrcaLoad({ 'endpoint-load-metrics': header }), { utilization: 0.4, inFlight: 3 })
    }
    assert.deepEqual(parseOrcaLoad({ 'endpoint-load-metrics': 'TEXT cpu_utilization=0.1' }), { utilization: 0.1, inFlight: undefined })
  })

  it('ignores missing and invalid headers', () => {
    const invalidHeaders = ['', 'JSON', 'JSON {', 'JSON null', 'JSON {"application_utilization":"0.4"}', 'TEXT application_utilization=-1', 'TEXT application_utilization=', 'BIN AAAA']
    for (const header of invalidHeaders) assert.equal(parseOrcaLoad({ 'endpoint-load-metrics': header }), undefined, header)
    assert.equal(parseOrcaLoad({}), undefined)
  })
})
