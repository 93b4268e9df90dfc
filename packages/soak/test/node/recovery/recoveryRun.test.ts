import assert from 'node:assert/strict'
import { it } from 'node:test'
import { RecoveryFault } from '../../../src/node/recovery/recoveryOptions.js'
import { runRecovery } from '../../../src/node/recovery/recoveryRun.js'

/** The users' rule: a quarter of what is sent later than 15 s after the return must be served. */
const MIN_SERVED_SHARE = 0.25

// Guards against entry processes that do not serve again after all of them, and all workers, were killed at once.
it('real processes with little processor time serve again after all were killed', { timeout: 180_000 }, async () => {
  const { servedBefore, servedAfter, exits } = await runRecovery({ seed: 1, processes: 4, workers: 12, ratePerSecond: 20, faults: [RecoveryFault.Workers], hasQuotas: true, quota: 0.3, busyProcesses: 0, seconds: 20 })
  assert.deepEqual(exits, [])
  assert.ok(servedBefore >= MIN_SERVED_SHARE, `${servedBefore} served before`)
  assert.ok(servedAfter! >= MIN_SERVED_SHARE, `${servedAfter} served from the bound on`)
})
