/** Patches: against the version in force only, never changing it, always checked as a whole. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { computeDigest, encodeCanonical } from '../../../src/common/configuration/canonicalJson.js'
import type { SteeringConfiguration } from '../../../src/common/configuration/configurationSchema.js'
import { applyPatch, PatchRefusalKind } from '../../../src/common/configuration/patchConfiguration.js'
import type { VersionedConfiguration } from '../../../src/common/configuration/versionedConfiguration.js'
import { buildSampleConfiguration } from '../sampleConfiguration.js'

const SEED = 20_251

function buildCurrent (version: number, body: SteeringConfiguration = buildSampleConfiguration()): VersionedConfiguration {
  return { head: { version, changeId: 'c', digest: computeDigest(encodeCanonical(body)) }, body }
}

const patchArbitrary = fc.record({
  lookupCacheMs: fc.option(fc.integer({ min: -5, max: 5000 })),
  shiftCaps: fc.option(fc.record({ planned: fc.double({ min: -0.5, max: 1.5, noNaN: true }) })),
  drains: fc.option(fc.record({ failureDomains: fc.subarray(['klang-a', 'penang-a', 'ipoh']) })),
  services: fc.option(fc.record({
    'escort-svc': fc.option(fc.record({ maxQueue: fc.option(fc.integer({ min: 0, max: 99 })), places: fc.option(fc.constant({ 'klang-a': null })) }))
  }))
}, { requiredKeys: [] })

describe('applyPatch', () => {
  it('changes neither the configuration in force nor the patch', () => {
    fc.assert(fc.property(patchArbitrary, (patch) => {
      const current = buildCurrent(3)
      const before = encodeCanonical([current, patch])
      const applied = applyPatch(current, current.body, { baseVersion: 3, patch })
      assert.equal(encodeCanonical([current, patch]), before)
      if (applied.ok) {
        assert.deepEqual(applied.val.regions, current.body.regions)
        assert.equal(applied.val.lookupCacheMs, patch.lookupCacheMs === undefined ? current.body.lookupCacheMs : patch.lookupCacheMs ?? 2000)
      } else assert.equal(applied.val.kind, PatchRefusalKind.InvalidResult)
    }), { seed: SEED, numRuns: 300 })
  })

  // Two operators look at version 3. The first lowers the cap, giving version 4;
  // the second's patch, still against 3, arrives later. It must be refused
  // whatever it writes, and be told exactly what the first one changed under it.
  it('refuses a stale base and lists the written paths that changed', () => {
    const base = buildCurrent(3)
    const first = applyPatch(base, base.body, { baseVersion: 3, patch: { shiftCaps: { planned: 0.05 }, services: { 'escort-svc': { places: { 'klang-b': null } } } } })
    assert.ok(first.ok)
    const current = buildCurrent(4, first.val)
    const patch = {
      lookupCacheMs: 100,
      shiftCaps: { planned: 0.2, emergency: 0.6 },
      services: { 'escort-svc': { places: { 'klang-b': { workers: { w3: { address: '10.9.9.9:80' } } } } } }
    }
    const known = applyPatch(current, base.body, { baseVersion: 3, patch })
    assert.ok(known.err)
    assert.equal(known.val.kind, PatchRefusalKind.StaleBase)
    assert.deepEqual(known.val.conflictingPaths, ['shiftCaps.planned', 'services.escort-svc.places.klang-b.workers.w3.address'])
    const unknown = applyPatch(current, undefined, { baseVersion: 3, patch })
    assert.ok(unknown.err)
    assert.equal(unknown.val.conflictingPaths.length, 4)
    const harmless = applyPatch(current, base.body, { baseVersion: 3, patch: { lookupCacheMs: 100 } })
    assert.ok(harmless.err)
    assert.deepEqual(harmless.val.conflictingPaths, [])
    assert.ok(applyPatch(current, undefined, { baseVersion: 5, patch }).err, 'a base from the future')
  })

  // An operator names a service `constructor`. The library stops at that key and
  // drops the keys behind it, so half of the patch would silently be lost.
  it('refuses what the library cannot apply whole', () => {
    const current = buildCurrent(1)
    const patches = [JSON.parse('{"services":{"constructor":{}},"lookupCacheMs":1}'), JSON.parse('{"__proto__":{"a":1}}'), [], null, 'x']
    for (const patch of patches) {
      const applied = applyPatch(current, current.body, { baseVersion: 1, patch })
      assert.ok(applied.err)
      assert.equal(applied.val.kind, PatchRefusalKind.MalformedPatch)
    }
  })
})

describe('encodeCanonical', () => {
  it('is JSON of the same value and blind to the order of keys', () => {
    fc.assert(fc.property(fc.jsonValue(), (value) => {
      const text = encodeCanonical(value)
      assert.equal(encodeCanonical(JSON.parse(text)), text)
      assert.equal(JSON.stringify(JSON.parse(text)).length, JSON.stringify(JSON.parse(JSON.stringify(value))).length)
    }), { seed: SEED })
    assert.equal(encodeCanonical({ b: 1, a: { d: undefined, c: [null, 'x'] } }), '{"a":{"c":[null,"x"]},"b":1}')
    assert.equal(computeDigest('abc'), '44bc2cf5ad770999')
  })
})
