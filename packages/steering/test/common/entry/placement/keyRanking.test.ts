import assert from 'node:assert/strict'
import fc from 'fast-check'
import { describe, it } from 'node:test'
import { KeyRanking } from '../../../../src/common/entry/placement/keyRanking.js'
import type { WorkerShares } from '../../../../src/common/entry/placement/workerShares.js'

const SEED = 20261204

const sharesInput = fc.array(fc.constantFrom(0, 1e-300, 0.001, 0.02, 0.5, 1), { maxLength: 60 })
  .map((shares): WorkerShares => new Map(shares.map((share, index) => [`w-${(index * 37) % 101}`, share])))

describe('the ranking of a key', () => {
  it('lists the workers in the order of the full sort, whatever was listed before', () => {
    fc.assert(fc.property(sharesInput, fc.array(fc.tuple(fc.constantFrom('a', 'b', 'c'), fc.nat(70)), { minLength: 1, maxLength: 12 }), (shares, reads) => {
      const ranking = new KeyRanking(shares)
      for (const [key, count] of reads) {
        const listed: string[] = []
        for (const id of ranking.listRanked(key)) {
          if (listed.length >= count) break
          listed.push(id)
        }
        assert.deepEqual(listed, new KeyRanking(shares).rank(key).slice(0, count))
      }
    }), { seed: SEED, numRuns: 500 })
  })

  it('lists each worker once', () => {
    fc.assert(fc.property(sharesInput, (shares) => {
      assert.deepEqual([...new KeyRanking(shares).listRanked('a')].sort(), [...shares.keys()].sort())
    }), { seed: SEED, numRuns: 200 })
  })
})
