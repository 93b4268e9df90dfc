import assert from 'node:assert/strict'
import fc from 'fast-check'
import { describe, it } from 'node:test'
import { RecentMaximum } from '../../../src/common/entry/recentMaximum.js'

const SEED = 20261203
const WINDOW_MS = 100

describe('the recent maximum', () => {
  it('is the highest value that held at some instant of the window', () => {
    const changes = fc.array(fc.record({ afterMs: fc.nat({ max: 60 }), value: fc.nat({ max: 9 }) }), { maxLength: 40 })
    fc.assert(fc.property(changes, (list) => {
      const maximum = new RecentMaximum(WINDOW_MS, 3)
      const spans: Array<{ value: number, until: number }> = []
      let now = 0
      let value = 3
      for (const change of list) {
        now += change.afterMs
        spans.push({ value, until: now })
        value = change.value
        maximum.update(value, now)
        const recent = spans.filter(({ until }) => until + WINDOW_MS > now).map((span) => span.value)
        assert.equal(maximum.get(now), Math.max(value, ...recent))
      }
    }), { seed: SEED })
  })
})
