import assert from 'node:assert/strict'
import { it } from 'node:test'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { NULL_LOGGER } from '@umberspar/base/common/logger'
import { Ok, type Result } from '@umberspar/base/common/result'
import type { StepError } from '@umberspar/base/common/errors'
import { RateLimitReporter, type RateLimitReporterDependencies } from '../../../src/node/sharing/rateLimitReporter.js'

const TRACKER = { rate: { isOwnObservation: true, perSecond: 3 }, registration: { id: 'w-1', startedAt: 1 } }
const REVISION = 7

it('a rate limit that is being written when its reporter is closed leaves no timer', async () => {
  // Guards against processes that do not end, as a call to the store ends after the close.
  const clock = new ManualClock()
  let finishWrite = (_result: Result<number, StepError>): void => {}
  const view = { sharers: { fleet: { getRank: () => 0 } }, findUpstream: () => TRACKER, rateLimits: { find: () => undefined, list: () => [] }, listTrackers: () => [] }
  const writer = { putRateLimit: async () => await new Promise<Result<number, StepError>>((resolve) => { finishWrite = resolve }) }
  const reporter = new RateLimitReporter({ clock, logger: NULL_LOGGER, view, writer } as unknown as RateLimitReporterDependencies)
  reporter.handleObserved('w-1')
  await clock.runFor(1)
  reporter.close()
  finishWrite(Ok(REVISION))
  await clock.runFor(1)
  reporter.handleReported()
  assert.equal(clock.countPendingTimers(), 0)
})
