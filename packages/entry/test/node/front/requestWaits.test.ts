import assert from 'node:assert/strict'
import { it } from 'node:test'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { AccessOutcome } from '@umberspar/steering/common/entry/decideAccess'
import type { BufferedRequest } from '../../../src/node/front/bufferedRequest.js'
import type { EntryContext } from '../../../src/node/front/entryContext.js'
import { PlaceWaiter } from '../../../src/node/front/placeWaiter.js'
import { RequestWaits } from '../../../src/node/front/requestWaits.js'

// Guards against a request refused for lack of a place that has come since the workers were looked at.
it('a request whose place has come since it was looked for is decided again', () => {
  const clock = new ManualClock(100)
  const context = {
    clock,
    accessController: { decide: () => ({ outcome: AccessOutcome.Allowed }) },
    placeWaiter: new PlaceWaiter(clock, () => {}),
    view: { getServiceTimes: () => ({ getServiceTimeMs: () => 10 }) }
  } as unknown as EntryContext
  const request = { route: { goalMs: 800, priority: 1 }, body: { length: 0 } } as unknown as BufferedRequest
  let resumed = 0
  const waits = new RequestWaits(context, request, () => { resumed++ })
  assert.equal(waits.waitForPlace('archive', 99.9, 1_000, 99.8), true)
  clock.stepBy(1)
  assert.equal(resumed, 1)
  assert.equal(waits.waitForPlace('archive', 101, 1_000, 101), false)
})
