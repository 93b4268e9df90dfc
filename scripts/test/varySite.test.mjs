import assert from 'node:assert/strict'
import { it } from 'node:test'
import fc from 'fast-check'
import { varySite } from '../varySite.mjs'

const SITE = 'slots = 4, cross_region_ms = 35.0\nper_s = 54.6 per_s = 27.3\nname = "slots = 4"\nkept_s = 9'

it('a variant of a site depends only on the seed and keeps all other fields', () => {
  fc.assert(fc.property(fc.integer({ min: 0, max: 1_000_000 }), (seed) => {
    const varied = varySite(SITE, seed)
    assert.equal(varied, varySite(SITE, seed))
    assert.match(varied, /kept_s = 9$/)
  }))
})

it('a variant of a site keeps its parts in proportion, and slots as integers', () => {
  fc.assert(fc.property(fc.integer({ min: 0, max: 1_000_000 }), (seed) => {
    const varied = varySite(SITE, seed)
    const [first, second] = [...varied.matchAll(/per_s = ([\d.]+)/g)].map(([, digits]) => Number(digits))
    assert.ok(Math.abs(first - 2 * second) < 0.01)
    const slots = Number(/slots = ([\d.]+),/.exec(varied)[1])
    assert.ok(Number.isInteger(slots) && slots >= 2)
  }))
})
