/** Tests when nodes report their measurements to the plan's holder. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { Instant } from '@umberspar/base/common/clock'
import { Emitter } from '@umberspar/base/common/event'
import { NULL_LOGGER } from '@umberspar/base/common/logger'
import type { PlanFollower, ReachedPlan } from '../../../src/node/places/planFollower.js'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { StepReporter } from '../../../src/node/plan/stepReporter.js'

const SETTLE_MS = 500

describe('StepReporter', () => {
  it('reports each step once, in the second half of the settle time, several services together', () => {
    // Guards against drains that take twice as long as their caps allow: the holder
    // waits for measurements taken after each step, which arrived after the settle
    // time when nodes sent them only on request or relayed by neighbours' heartbeats.
    const clock = new ManualClock()
    const reached = new Emitter<ReachedPlan>()
    const reports: Array<readonly [string, Instant]> = []
    let holderId: string | undefined = 'holder'
    const reporter = new StepReporter({
      plans: { onDidReach: reached.event } as unknown as PlanFollower,
      clock,
      logger: NULL_LOGGER,
      getSettleMs: () => SETTLE_MS,
      findHolderId: () => holderId,
      report: async (nodeId) => {
        reports.push([nodeId, clock.now()])
        return true
      }
    })
    reached.fire({ service: 'a', version: 2 })
    clock.stepTo(15)
    reached.fire({ service: 'b', version: 2 })
    clock.stepTo(200)
    reached.fire({ service: 'c', version: 2 })
    clock.stepTo(SETTLE_MS)
    assert.equal(reports.length, 1, 'a and b are reported together, c later')
    const [, at] = reports[0] ?? ['', 0]
    assert.ok(at - 15 > SETTLE_MS / 2 && at < SETTLE_MS, `reported at ${at}`)
    clock.stepTo(200 + SETTLE_MS)
    assert.equal(reports.length, 2)
    holderId = undefined
    reached.fire({ service: 'a', version: 3 })
    clock.stepTo(2000)
    assert.equal(reports.length, 2, 'nothing is reported while the holder is unknown')
    reporter.close()
  })
})
