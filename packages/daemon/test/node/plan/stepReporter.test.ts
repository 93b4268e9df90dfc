/** When nodes report their measurements to the plan's holder. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { Instant } from '@umberspar/base/common/clock'
import { Emitter } from '@umberspar/base/common/event'
import { NULL_LOGGER } from '@umberspar/base/common/logger'
import type { PlanKeeper, ReachedPlan } from '../../../src/node/places/planKeeper.js'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { StepReporter } from '../../../src/node/plan/stepReporter.js'

const SETTLE_MS = 500

describe('StepReporter', () => {
  it('reports each step once, in the second half of the settle time, several services together', () => {
    // A drain takes twice as long as its caps allow. The holder waits for what
    // nodes measured after the step, and it came only when the holder asked or by
    // rounds of heartbeats through neighbours, behind the settle time.
    const clock = new ManualClock()
    const reached = new Emitter<ReachedPlan>()
    const reports: Array<readonly [string, Instant]> = []
    let holderId: string | undefined = 'holder'
    const reporter = new StepReporter({
      plans: { onDidReach: reached.event } as unknown as PlanKeeper,
      clock,
      logger: NULL_LOGGER,
      getSettleSpan: () => SETTLE_MS,
      findHolder: () => holderId,
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
    assert.equal(reports.length, 1, 'a and b go together, c has its own time')
    const [, at] = reports[0] ?? ['', 0]
    assert.ok(at - 15 > SETTLE_MS / 2 && at < SETTLE_MS, `reported at ${at}`)
    clock.stepTo(200 + SETTLE_MS)
    assert.equal(reports.length, 2)
    holderId = undefined
    reached.fire({ service: 'a', version: 3 })
    clock.stepTo(2000)
    assert.equal(reports.length, 2, 'nobody is told when the holder is not known')
    reporter.close()
  })
})
