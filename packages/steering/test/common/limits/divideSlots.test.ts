/** The parts of all entry VMs sum to exactly what each worker bears. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import type { SlotShare } from '../../../src/common/limits/divideSlots.js'
import { divideSlots } from '../../../src/common/limits/divideSlots.js'

const SEED = 20_256
const shareArbitrary = fc.record({ slots: fc.integer({ min: 1, max: 9 }), connections: fc.integer({ min: 1, max: 400 }) })
const workersArbitrary = fc.dictionary(fc.stringMatching(/^w[0-9]{1,3}$/), shareArbitrary, { minKeys: 1, maxKeys: 20 })
const entriesArbitrary = fc.uniqueArray(fc.stringMatching(/^n[0-9]{1,2}$/), { minLength: 1, maxLength: 6 })

function computeAllParts (workers: Record<string, SlotShare>, entries: readonly string[]): Array<Map<string, SlotShare>> {
  return entries.map((selfId) => divideSlots({ service: 's', workers, entries, selfId }))
}

describe('divideSlots', () => {
  it('sums to each worker exactly, parts differ by one at most', () => {
    fc.assert(fc.property(workersArbitrary, entriesArbitrary, (workers, entries) => {
      const parts = computeAllParts(workers, entries)
      for (const [id, worker] of Object.entries(workers)) {
        for (const field of ['slots', 'connections'] as const) {
          const values = parts.map((part) => part.get(id)?.[field] ?? NaN)
          assert.equal(values.reduce((sum, value) => sum + value, 0), worker[field])
          assert.ok(Math.max(...values) - Math.min(...values) <= 1)
        }
      }
      assert.deepEqual(divideSlots({ service: 's', workers, entries: [...entries].reverse(), selfId: entries[0] ?? '' }), parts[0])
    }), { seed: SEED, numRuns: 300 })
  })

  // A patch adds a worker. For a moment some entry VMs have the new configuration
  // and some the old one; if the division of the other workers moved, two VMs
  // would both hold the same slot and a worker would get one request too many.
  it('leaves the division of other workers as it is when one comes', () => {
    fc.assert(fc.property(workersArbitrary, entriesArbitrary, shareArbitrary, (workers, entries, added) => {
      const before = computeAllParts(workers, entries)
      const after = computeAllParts({ ...workers, added }, entries)
      for (const [index, part] of before.entries()) {
        for (const [id, share] of part) assert.deepEqual(after[index]?.get(id), share)
      }
    }), { seed: SEED, numRuns: 100 })
  })

  it('gives nothing to a VM that is no entry', () => {
    const workers = { w1: { slots: 3, connections: 360 } }
    assert.deepEqual(divideSlots({ service: 's', workers, entries: ['a'], selfId: 'b' }).get('w1'), { slots: 0, connections: 0 })
  })
})
