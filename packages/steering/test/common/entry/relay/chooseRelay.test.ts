import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { chooseRelay, type RelayCandidate } from '../../../../src/common/entry/relay/chooseRelay.js'

const SEED = 520_002
const REGIONS = new Map([['north-1', 'north'], ['north-2', 'north'], ['south-1', 'south']])
const SCOPE = { domain: 'north-1', regionByDomain: REGIONS, homeRegions: [] }

function createCandidate (name: string, domain: string, inFlight = 0): RelayCandidate {
  return { node: { name, address: '127.0.0.1:1', peerAddress: '127.0.0.1:2', domain }, inFlight, hasLostService: false }
}

describe('chooseRelay', () => {
  it('prefers near VMs, and shares requests with farther ones', () => {
    const candidates = [createCandidate('near', 'north-1'), createCandidate('region', 'north-2'), createCandidate('far', 'south-1')]
    assert.equal(chooseRelay(candidates, SCOPE)?.name, 'near')
    assert.equal(chooseRelay([createCandidate('near', 'north-1', 5), ...candidates.slice(1)], SCOPE)?.name, 'region')
    assert.equal(chooseRelay([createCandidate('near', 'north-1', 50), createCandidate('region', 'north-2', 50), candidates[2]!], SCOPE)?.name, 'far')
  })

  it('finds none if there is none', () => {
    assert.equal(chooseRelay([], SCOPE), undefined)
  })

  it('chooses only VMs in home regions, and one whenever there is one', () => {
    const candidates = fc.array(fc.record({ domain: fc.constantFrom(...REGIONS.keys()), inFlight: fc.nat({ max: 200 }) }), { maxLength: 12 })
    fc.assert(fc.property(candidates, fc.subarray(['north', 'south'], { minLength: 1 }), (list, homeRegions) => {
      const all = list.map(({ domain, inFlight }, index) => createCandidate(`vm-${index}`, domain, inFlight))
      const isHome = (domain: string): boolean => homeRegions.includes(REGIONS.get(domain)!)
      const chosen = chooseRelay(all, { ...SCOPE, homeRegions })
      assert.equal(chosen !== undefined, all.some(({ node }) => isHome(node.domain)))
      assert.ok(chosen === undefined || isHome(chosen.domain))
    }), { seed: SEED })
  })
})
