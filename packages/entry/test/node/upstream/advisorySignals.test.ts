import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { HeaderNames } from '@umberspar/steering/common/ports/callerProtocol'
import { parseAdvisorySignals } from '../../../src/node/upstream/advisorySignals.js'

const NAMES = { draining: ['drains', 'also-drains'] } as unknown as HeaderNames
const HOUR_MS = 3_600_000

function parse (status: number, ...rawHeaders: string[]) {
  return parseAdvisorySignals({ status, rawHeaders, isCloseDelimited: false, keepsAlive: true }, NAMES)
}

describe('the announcements of a response', () => {
  const drainCases: ReadonlyArray<readonly [string[], boolean]> = [
    [['Drains', '1'], true], [['ALSO-DRAINS', '1'], true], [['Drains', ' true '], true],
    [['Drains', '0'], false], [['Drains', 'False'], false], [['Drains', ''], false], [['Connection', 'close'], false], [[], false]
  ]
  for (const [fields, expected] of drainCases) {
    it(`${expected ? 'include' : 'do not include'} a shutdown with the fields ${JSON.stringify(fields)}`, () => {
      for (const status of [200, 404, 500, 503]) assert.equal(parse(status, ...fields).isDraining, expected)
    })
  }

  const coolDownCases: ReadonlyArray<readonly [string[], number | undefined]> = [
    [['3'], 3_000], [['0.5'], 500], [['0.7250000000000001'], 725.0000000000001], [[' 2 '], 2_000], [['0'], undefined], [['-3'], undefined], [['soon'], undefined], [[''], undefined],
    [['1e9'], undefined], [['NaN'], undefined], [['Wed, 21 Oct 2026 07:28:00 GMT'], undefined], [[], undefined],
    [['999999999'], HOUR_MS], [['1', '4', '2'], 4_000], [['1, 4'], 4_000], [['x', '2'], 2_000]
  ]
  for (const [values, expected] of coolDownCases) {
    it(`ask for a cool-down of ${expected ?? 'no'} ms by Retry-After ${JSON.stringify(values)}`, () => {
      assert.equal(parse(503, ...values.flatMap((value) => ['Retry-After', value])).coolDownMs, expected)
    })
  }

  it('ask for no cool-down by Retry-After on other statuses', () => {
    for (const status of [200, 301, 429, 500]) assert.equal(parse(status, 'Retry-After', '3').coolDownMs, undefined)
  })
})
