/** Tests that lookups name live entry VMs of the caller's region, spread over failure domains, or else of the nearest region. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import type { LookupNode } from '../../../src/common/lookup/decideLookup.js'
import { decideLookup, listServiceEntries, LookupIndex, NodeState } from '../../../src/common/lookup/decideLookup.js'
import { rankByRendezvous } from '../../../src/common/lookup/rendezvous.js'
import { buildSampleConfiguration } from '../sampleConfiguration.js'

const SEED = 20_253
const SERVICE = 'escort-svc'

function buildNodes (getState: (nodeId: string) => NodeState = () => NodeState.Live): LookupNode[] {
  return ['klang', 'penang', 'kuching'].flatMap((region) => ['a1', 'a2', 'b1', 'b2'].map((suffix) => {
    const nodeId = `${region}-${suffix}`
    return { nodeId, region, failureDomain: `${region}-${suffix[0]}`, address: `${nodeId}:80`, state: getState(nodeId) }
  }))
}

describe('decideLookup', () => {
  it('names one entry VM of each failure domain of the region', () => {
    const configuration = buildSampleConfiguration()
    const nodes = buildNodes()
    const answer = decideLookup({ service: SERVICE, region: 'penang', nodes, configuration, version: 7 })
    assert.equal(answer.configurationVersion, 7)
    assert.equal(answer.cacheForMs, configuration.lookupCacheMs)
    assert.deepEqual(answer.entries.map((entry) => entry.nodeId.slice(0, 8)).sort(), ['penang-a', 'penang-b'])
    assert.deepEqual(answer.entries.map((entry) => entry.weight), [0.5, 0.5])
    assert.deepEqual(answer.entries.map((entry) => entry.nodeId), listServiceEntries(SERVICE, 'penang', nodes, 2))
    assert.deepEqual(LookupIndex.build(configuration, 7, nodes).find(SERVICE, 'penang'), answer)
    assert.equal(LookupIndex.build(configuration, 7, nodes).find('constructor', 'penang'), undefined)
  })

  it('leaves out nodes that are not live, and uses the nearest other region if none is left', () => {
    const configuration = buildSampleConfiguration()
    configuration.links.splice(0, Infinity, { from: 'klang', to: 'penang', oneWayMs: 9, maxConcurrency: 1 }, { from: 'klang', to: 'kuching', oneWayMs: 5, maxConcurrency: 1 })
    const decideState = (nodeId: string): NodeState => nodeId.startsWith('klang') ? NodeState.Leaving : nodeId === 'kuching-a1' ? NodeState.Suspected : NodeState.Live
    const answer = decideLookup({ service: SERVICE, region: 'klang', nodes: buildNodes(decideState), configuration, version: 1 })
    assert.equal(answer.entries.length, 2)
    assert.ok(answer.entries.every((entry) => entry.nodeId.startsWith('kuching') && entry.nodeId !== 'kuching-a1'))
    const none = decideLookup({ service: SERVICE, region: 'klang', nodes: buildNodes(() => NodeState.Joining), configuration, version: 1 })
    assert.deepEqual(none.entries, [])
  })
})

describe('rankByRendezvous', () => {
  it('doesn\'t depend on the order of ids, and keeps the order of the others when one is removed', () => {
    const ids = fc.uniqueArray(fc.string({ minLength: 1 }), { minLength: 1, maxLength: 20 })
    fc.assert(fc.property(fc.string(), ids, fc.nat(), (key, given, index) => {
      const ranked = rankByRendezvous(key, given)
      assert.deepEqual(rankByRendezvous(key, [...given].reverse()), ranked)
      const removed = given[index % given.length] as string
      assert.deepEqual(rankByRendezvous(key, given.filter((id) => id !== removed)), ranked.filter((id) => id !== removed))
    }), { seed: SEED })
  })
})
