/** Tests that patches apply only to the current version, never modify it and are validated completely. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { computeDigest, encodeCanonical } from '../../../src/common/configuration/canonicalJson.js'
import type { SteeringConfiguration } from '../../../src/common/configuration/configurationSchema.js'
import { applyPatch, PatchRefusalKind } from '../../../src/common/configuration/patchConfiguration.js'
import type { VersionedConfiguration } from '../../../src/common/configuration/versionedConfiguration.js'
import { buildSampleConfiguration } from '../sampleConfiguration.js'

const SEED = 20_251

function buildVersion (version: number, body: SteeringConfiguration = buildSampleConfiguration()): VersionedConfiguration {
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
  it('modifies neither the current configuration nor the patch', () => {
    fc.assert(fc.property(patchArbitrary, (patch) => {
      const current = buildVersion(3)
      const before = encodeCanonical([current, patch])
      const result = applyPatch(current, current.body, { baseVersion: 3, patch })
      assert.equal(encodeCanonical([current, patch]), before)
      if (result.ok) {
        assert.deepEqual(result.val.regions, current.body.regions)
        assert.equal(result.val.lookupCacheMs, patch.lookupCacheMs === undefined ? current.body.lookupCacheMs : patch.lookupCacheMs ?? 2000)
      } else assert.equal(result.val.kind, PatchRefusalKind.InvalidResult)
    }), { seed: SEED, numRuns: 300 })
  })

  // Two operators create patches for version 3. The first patch results in version 4, so the
  // second one must be refused whatever it contains, and the refusal must list exactly those
  // of its paths that the first patch changed.
  it('refuses a stale base and lists the paths of the patch that changed', () => {
    const base = buildVersion(3)
    const firstResult = applyPatch(base, base.body, { baseVersion: 3, patch: { shiftCaps: { planned: 0.05 }, services: { 'escort-svc': { places: { 'klang-b': null } } } } })
    assert.ok(firstResult.ok)
    const current = buildVersion(4, firstResult.val)
    const patch = {
      lookupCacheMs: 100,
      shiftCaps: { planned: 0.2, emergency: 0.6 },
      services: { 'escort-svc': { places: { 'klang-b': { workers: { w3: { address: '10.9.9.9:80' } } } } } }
    }
    const withKnownBase = applyPatch(current, base.body, { baseVersion: 3, patch })
    assert.ok(withKnownBase.err)
    assert.equal(withKnownBase.val.kind, PatchRefusalKind.StaleBase)
    assert.deepEqual(withKnownBase.val.conflictingPaths, ['shiftCaps.planned', 'services.escort-svc.places.klang-b.workers.w3.address'])
    const withUnknownBase = applyPatch(current, undefined, { baseVersion: 3, patch })
    assert.ok(withUnknownBase.err)
    assert.equal(withUnknownBase.val.conflictingPaths.length, 4)
    const withoutConflict = applyPatch(current, base.body, { baseVersion: 3, patch: { lookupCacheMs: 100 } })
    assert.ok(withoutConflict.err)
    assert.deepEqual(withoutConflict.val.conflictingPaths, [])
    assert.ok(applyPatch(current, undefined, { baseVersion: 5, patch }).err, 'a patch for a version that does not exist yet must be refused')
  })

  // If an operator names a service `constructor`, the library ignores that key and all keys
  // after it, so a part of the patch would be lost silently.
  it('refuses patches that the library cannot apply completely', () => {
    const current = buildVersion(1)
    const patches = [JSON.parse('{"services":{"constructor":{}},"lookupCacheMs":1}'), JSON.parse('{"__proto__":{"a":1}}'), [], null, 'x']
    for (const patch of patches) {
      const result = applyPatch(current, current.body, { baseVersion: 1, patch })
      assert.ok(result.err)
      assert.equal(result.val.kind, PatchRefusalKind.MalformedPatch)
    }
  })
})

describe('encodeCanonical', () => {
  it('is JSON of the same value and does not depend on the order of keys', () => {
    fc.assert(fc.property(fc.jsonValue(), (value) => {
      const text = encodeCanonical(value)
      assert.equal(encodeCanonical(JSON.parse(text)), text)
      assert.equal(JSON.stringify(JSON.parse(text)).length, JSON.stringify(JSON.parse(JSON.stringify(value))).length)
    }), { seed: SEED })
    assert.equal(encodeCanonical({ b: 1, a: { d: undefined, c: [null, 'x'] } }), '{"a":{"c":[null,"x"]},"b":1}')
    assert.equal(computeDigest('abc'), '44bc2cf5ad770999')
  })
})
