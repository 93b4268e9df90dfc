import assert from 'node:assert/strict'
import { it } from 'node:test'
import { LateOwnersSimulation } from './lateOwners.js'

/** The users' bound on recovery, and the share of requests that must be served from then on. */
const MAX_RECOVERY_MS = 15_000
const MIN_SERVED_SHARE = 0.25
const LOAD = { vms: 24, accounts: 40, perSecond: 120, messageMs: 25, entryMs: 0.5 }

// Guards against a retry storm: owners of quota shares that were late once get several times as many questions, and stay late for ever.
it('callers with quotas are served again after all share owners were late', { timeout: 120_000 }, async () => {
  for (const seed of [1, 2, 3]) {
    const simulation = new LateOwnersSimulation({ ...LOAD, seed })
    await simulation.run(5_000)
    assert.ok(simulation.getGrantedShare(2) > MIN_SERVED_SHARE, `seed ${seed}: ${simulation.getGrantedShare(2)} served before`)
    simulation.pauseOwners(1_500)
    await simulation.run(MAX_RECOVERY_MS)
    await simulation.run(5_000)
    assert.ok(simulation.getGrantedShare(5) >= MIN_SERVED_SHARE, `seed ${seed}: ${simulation.getGrantedShare(5)} served from ${MAX_RECOVERY_MS} ms on`)
  }
})
