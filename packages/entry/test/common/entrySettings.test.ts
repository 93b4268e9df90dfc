import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { parseEntrySettings } from '../../src/common/entrySettings.js'

const ADDRESS = '127.0.0.1:1000'
const SETTINGS = {
  node: 'vm-1',
  domain: 'north-1',
  regions: { 'north-1': 'north' },
  listen: { callers: ADDRESS, readiness: ADDRESS, lookups: ADDRESS, peers: ADDRESS, metrics: ADDRESS },
  store: { address: ADDRESS },
  seeds: [ADDRESS],
  grace: '6s',
  longestLookupCache: '5s',
  coldTolerance: { factor: 1.5, slack: 5 },
  repeatBudget: { ratio: 0.2, window: '10s', slack: 60 },
  memoryMb: 350
}

describe('the settings', () => {
  it('leave placement by demand off unless they limit its shifts', () => {
    const [without, limited] = [SETTINGS, { ...SETTINGS, maxShift: 0.15 }].map((settings) => parseEntrySettings(JSON.stringify(settings), 'vm.json').unwrap())
    assert.equal(without!.maxShift, undefined)
    assert.equal(limited!.maxShift, 0.15)
  })

  it('refuse limits on shifts that are no part of the requests', () => {
    for (const maxShift of [0, -0.1, 1.5, '0.15']) assert.ok(!parseEntrySettings(JSON.stringify({ ...SETTINGS, maxShift }), 'vm.json').ok)
  })
})
