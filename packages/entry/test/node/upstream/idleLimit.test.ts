import assert from 'node:assert/strict'
import { it } from 'node:test'
import { IdleLimit } from '../../../src/node/upstream/idleLimit.js'

it('the idle limit shrinks after a reset and recovers later', () => {
  // Guards against workers that silently drop idle connections after half a second: the next
  // request on each connection is reset, and requests that must not be retried fail one by one.
  const limit = new IdleLimit(Number.POSITIVE_INFINITY)
  assert.equal(limit.getMs(0), Number.POSITIVE_INFINITY)
  limit.recordReset(800, 1_000)
  assert.equal(limit.getMs(1_000), 400)
  limit.recordReset(2_000, 1_000)
  assert.equal(limit.getMs(1_000), 400, 'a reset after a longer idle time does not change the limit')
  limit.recordReset(20, 1_000)
  assert.equal(limit.getMs(1_000), 100)
  assert.equal(limit.getMs(7_000), 400)
})
