import assert from 'node:assert/strict'
import { it } from 'node:test'
import { IdleLimit } from '../../../src/node/upstream/idleLimit.js'

it('connections are used for a shorter time after one was forgotten, and longer again later', () => {
  // A worker forgets connections after half a second of idleness without a word. The
  // next request on each is reset; those that must not be repeated fail one by one.
  const limit = new IdleLimit()
  assert.equal(limit.getMs(0), Number.POSITIVE_INFINITY)
  limit.recordBreak(800, 1_000)
  assert.equal(limit.getMs(1_000), 400)
  limit.recordBreak(2_000, 1_000)
  assert.equal(limit.getMs(1_000), 400, 'a break after a longer time tells nothing new')
  limit.recordBreak(20, 1_000)
  assert.equal(limit.getMs(1_000), 100)
  assert.equal(limit.getMs(7_000), 400)
})
