/** A slot whose request was cancelled stays taken until its worker has heard of it. */
import assert from 'node:assert/strict'
import { it } from 'node:test'
import { SeededRandom } from '@umberspar/base/common/random'
import { PlacePool } from '@umberspar/daemon/node/places/placePool'
import { RequestKind } from '@umberspar/steering/common/configuration/configurationSchema'
import { ManualClock } from '@umberspar/base/common/manualClock'

// A hedge answers and the first attempt is cancelled while its worker still runs it.
// Were the slot free at once, the worker would get a request beyond its slots.
it('holds a cancelled attempt\'s slot until the given instant', async () => {
  const clock = new ManualClock()
  const pool = new PlacePool({ service: 's', failureDomain: 'd' }, clock, new SeededRandom(1), 1)
  pool.updateWorkers({ workers: { w1: { address: '127.0.0.1:1', slots: 1, connections: 1 } } })
  pool.update(new Map([[pool.getSlotKey('w1'), { slots: 1, connections: 1 }]]), Infinity, 4)
  const buildRequest = (): Parameters<PlacePool['acquire']>[0] => ({ priority: 5, kind: RequestKind.Call, deadline: 10_000, excluded: new Set(), signal: new AbortController().signal })
  const first = (await pool.acquire(buildRequest())).unwrap()
  let isSecondServed = false
  const second = pool.acquire(buildRequest()).then((grant) => { isSecondServed = grant.ok })
  first.release(250)
  await clock.runFor(249)
  assert.deepEqual([pool.inFlight, isSecondServed], [1, false])
  await clock.runFor(1)
  await second
  assert.ok(isSecondServed)
  pool.close()
})
