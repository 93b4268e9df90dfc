/** Checks that the shares of all entry VMs add up to exactly each worker's limits. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import type { SlotShare } from '../../../src/common/limits/divideSlots.js'
import { divideSlots } from '../../../src/common/limits/divideSlots.js'

const SEED = 20_256
const shareArbitrary = fc.record({ slots: fc.integer({ min: 1, max: 9 }), connections: fc.integer({ min: 1, max: 400 }) })
const workersArbitrary = fc.dictionary(fc.stringMatching(/^w[0-9]{1,3}$/), shareArbitrary, { minKeys: 1, maxKeys: 20 })
const entriesArbitrary = fc.uniqueArray(fc.stringMatching(/^n[0-9]{1,2}$/), { minLength: 1, maxLength: 6 })

function computeAllShares (workers: Record<string, SlotShare>, entries: readonly string[]): Array<Map<string, SlotShare>> {
  return entries.map((selfId) => divideSlots({ service: 's', workers, entries, selfId }))
}

describe('divideSlots', () => {
  it('adds up to exactly each worker\'s limits, with shares that differ by at most one', () => {
    fc.assert(fc.property(workersArbitrary, entriesArbitrary, (workers, entries) => {
      const shares = computeAllShares(workers, entries)
      for (const [id, worker] of Object.entries(workers)) {
        for (const field of ['slots', 'connections'] as const) {
          const values = shares.map((nodeShares) => nodeShares.get(id)?.[field] ?? NaN)
          assert.equal(values.reduce((sum, value) => sum + value, 0), worker[field])
          assert.ok(Math.max(...values) - Math.min(...values) <= 1)
        }
      }
      assert.deepEqual(divideSlots({ service: 's', workers, entries: [...entries].reverse(), selfId: entries[0] ?? '' }), shares[0])
    }), { seed: SEED, numRuns: 300 })
  })

  // While a configuration change spreads, some entry VMs have the new configuration
  // and some the old one. If adding a worker changed the shares of the others, two
  // VMs could use the same slot and exceed a worker's limit.
  it('keeps the shares of the other workers when one is added', () => {
    fc.assert(fc.property(workersArbitrary, entriesArbitrary, shareArbitrary, (workers, entries, added) => {
      const before = computeAllShares(workers, entries)
      const after = computeAllShares({ ...workers, added }, entries)
      for (const [index, nodeShares] of before.entries()) {
        for (const [id, share] of nodeShares) assert.deepEqual(after[index]?.get(id), share)
      }
    }), { seed: SEED, numRuns: 100 })
  })

  it('gives no share to a VM that is not among the entries', () => {
    const workers = { w1: { slots: 3, connections: 360 } }
    assert.deepEqual(divideSlots({ service: 's', workers, entries: ['a'], selfId: 'b' }).get('w1'), { slots: 0, connections: 0 })
  })
})
