import assert from 'node:assert/strict'
import { it } from 'node:test'
import { LimitsFault } from '../../../src/node/limits/limitsOptions.js'
import { runLimits } from '../../../src/node/limits/limitsRun.js'

// Guards against VMs whose registrations have expired, which others no longer count and callers still reach.
it('real processes keep the rate limits of workers while the store is silent for half of them', { timeout: 180_000 }, async () => {
  const { violations, exits, statuses } = await runLimits({ seed: 1, processes: 6, ratePerSecond: 200, seconds: 12, limitPerSecond: 10, limitedWorkers: 2, faults: [LimitsFault.SilentStore] })
  assert.deepEqual(violations, [])
  assert.deepEqual(exits, [])
  assert.ok((statuses['200'] ?? 0) > 0, 'some requests must be served')
})
