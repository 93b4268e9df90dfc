import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { type ExchangeContent, type ExchangeRow, ExchangeTopic } from '../../../../src/common/entry/exchange/exchangeRow.js'
import { chooseRelay, type RelayCandidate } from '../../../../src/common/entry/relay/chooseRelay.js'
import { listVmsWithout } from '../../../../src/common/entry/relay/lostServices.js'

const SEED = 580_001
const REGIONS = new Map([['north-1', 'north'], ['north-2', 'north'], ['south-1', 'south']])
const DOMAINS = [...REGIONS.keys()]
const NOW = 100_000

function createRow (key: string, content: ExchangeContent, at = NOW): ExchangeRow {
  return { topic: ExchangeTopic.LostServices, key, content, at }
}

function createCandidates (self: string, names: readonly string[], lost: ReadonlySet<string>, inFlight: (index: number) => number = () => 0): RelayCandidate[] {
  return names
    .map((name, index) => ({ node: { name, address: '127.0.0.1:1', peerAddress: '127.0.0.1:2', domain: DOMAINS[index % DOMAINS.length]! }, inFlight: inFlight(index), hasLostService: lost.has(name) }))
    .filter(({ node }) => node.name !== self)
}

describe('services that other VMs have lost', () => {
  const names = Array.from({ length: 8 }, (_, index) => `vm-${index}`)

  // Guards against requests that are rejected after two VMs without workers were asked.
  it('lead each of six VMs that were cut off at once to the two others at once', () => {
    const cut = names.slice(0, 6)
    const lost = listVmsWithout(cut.map((name) => createRow(name, ['archive', 'ledger'])), 'archive', NOW + 1_000)
    for (const [index, self] of cut.entries()) {
      for (let busy = 0; busy < 100; busy++) {
        const chosen = chooseRelay(createCandidates(self, names, lost, (other) => (other >= 6 ? busy : 0)), { domain: DOMAINS[index % DOMAINS.length]!, regionByDomain: REGIONS, homeRegions: [] })
        assert.ok(chosen !== undefined && !cut.includes(chosen.name))
      }
    }
  })

  it('count for that service only, and not once the VM reaches it again', () => {
    assert.deepEqual(listVmsWithout([createRow('vm-1', ['ledger']), createRow('vm-2', [])], 'archive', NOW), new Set())
  })

  it('count for three seconds', () => {
    const rows = [createRow('vm-1', ['archive'])]
    assert.deepEqual(listVmsWithout(rows, 'archive', NOW + 3_000), new Set(['vm-1']))
    assert.deepEqual(listVmsWithout(rows, 'archive', NOW + 3_001), new Set())
    assert.deepEqual(listVmsWithout(rows, 'archive', NOW - 3_001), new Set())
  })

  // Guards against knowledge that is worse than none.
  it('never exclude a VM that would be chosen without them, unless another one may take the request', () => {
    const content = fc.oneof(fc.constant(['archive']), fc.constant([]), fc.string(), fc.integer(), fc.constant({ archive: 1 }), fc.array(fc.string()))
    const rows = fc.array(fc.record({ vm: fc.nat({ max: 12 }), content, ageMs: fc.integer({ min: -10_000, max: 10_000 }) }))
    const homes = fc.subarray(['north', 'south'])
    fc.assert(fc.property(rows, homes, fc.array(fc.nat({ max: 200 }), { minLength: 8, maxLength: 8 }), (list, homeRegions, inFlight) => {
      const lost = listVmsWithout(list.map(({ vm, content, ageMs }) => createRow(`vm-${vm}`, content, NOW - ageMs)), 'archive', NOW)
      const scope = { domain: 'north-1', regionByDomain: REGIONS, homeRegions }
      const choose = (known: ReadonlySet<string>): string | undefined => chooseRelay(createCandidates('vm-0', names, known, (index) => inFlight[index]!), scope)?.name
      const unaided = choose(new Set())
      const chosen = choose(lost)
      assert.ok(chosen !== undefined)
      assert.equal(choose(new Set(names)), unaided)
      if (chosen !== unaided) assert.ok(lost.has(unaided!) && !lost.has(chosen))
      if (lost.has(chosen)) assert.equal(chosen, unaided)
    }), { seed: SEED })
  })
})
