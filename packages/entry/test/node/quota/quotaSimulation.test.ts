import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { QuotaSimulation } from './quotaSimulation.js'
import type { SimulationFlaws } from './simulatedVm.js'

const SEEDS = Array.from({ length: 12 }, (_, index) => 1_000 + index)
const SMALL = { ratePerSecond: 8, burst: 8 }
const LARGE = { ratePerSecond: 60, burst: 60 }
const LOSS_RATIO = 0.02

async function createSimulation (seed: number, quota: typeof SMALL, flaws?: SimulationFlaws): Promise<QuotaSimulation> {
  const simulation = new QuotaSimulation(seed, quota, flaws)
  await simulation.run(4_000, 1, 0)
  return simulation
}

/** The owners of all shares, and VMs that request tokens from them, permanently lose the store, and other VMs claim the shares. */
async function runIsolatedOwners (flaws?: SimulationFlaws): Promise<QuotaSimulation> {
  const simulation = await createSimulation(1, LARGE, flaws)
  simulation.breakShareOwners()
  await simulation.run(25_000, 600, 0)
  return simulation
}

/** A period with few requests at each of many VMs, followed by a burst of all callers. */
async function runManyVms (flaws?: SimulationFlaws): Promise<QuotaSimulation> {
  const simulation = new QuotaSimulation(2, LARGE, flaws, 48)
  await simulation.run(20_000, 25, 0)
  await simulation.run(6_000, 600, 0)
  return simulation
}

describe('quotas that are divided among entry VMs', { timeout: 300_000 }, () => {
  it('are not exceeded in any window while VMs are disconnected, pause, crash and restart', async () => {
    // Guards against VMs that grant the same tokens while they are disconnected from each
    // other and from the store. The account's callers send three times its quota to all VMs.
    for (const seed of SEEDS) {
      for (const quota of [SMALL, LARGE]) {
        const simulation = await createSimulation(seed, quota)
        simulation.lossRatio = LOSS_RATIO
        await simulation.run(30_000, quota.ratePerSecond * 3, 1)
        assert.ok(simulation.findMaxInWindow() <= simulation.allowed, `seed ${seed}: ${simulation.findMaxInWindow()} of ${simulation.allowed}`)
      }
    }
  })

  it('reject hardly any requests below the quota without faults', async () => {
    // Guards against a fixed part of the quota for each VM: a third of the requests of an
    // account with a few callers was rejected at five eighths of its quota.
    let refused = 0
    let ran = 0
    for (const seed of SEEDS.slice(0, 8)) {
      for (const quota of [SMALL, LARGE]) {
        const simulation = await createSimulation(seed, quota)
        await simulation.run(30_000, quota.ratePerSecond / 1.6, 0)
        refused += simulation.refused
        ran += simulation.runs.length
      }
    }
    assert.ok(refused <= 0.005 * ran, `${refused} refused of ${ran}`)
  })

  it('grant most of the quota to an account that sends far more', async () => {
    const simulation = await createSimulation(7, LARGE)
    await simulation.run(30_000, 450, 0)
    assert.ok(simulation.runs.length >= 0.9 * LARGE.ratePerSecond * 30, `${simulation.runs.length}`)
  })

  it('are not exceeded when share owners lose the store and other VMs claim their shares', async () => {
    // Guards against an owner that continues after its lease: disconnected from the store, it
    // would grant tokens to VMs that know no other owner, while the next owner grants them again.
    const simulation = await runIsolatedOwners()
    assert.ok(simulation.findMaxInWindow() <= simulation.allowed, `${simulation.findMaxInWindow()} of ${simulation.allowed}`)
  })

  it('would be exceeded by owners that continue after their leases', async () => {
    const simulation = await runIsolatedOwners({ ignoresLeaseEnd: true })
    assert.ok(simulation.findMaxInWindow() > simulation.allowed, `${simulation.findMaxInWindow()} of ${simulation.allowed}`)
  })

  it('would be exceeded by VMs that keep their tokens', async () => {
    const flawed = await runManyVms({ keepsTokens: true })
    assert.ok(flawed.findMaxInWindow() > flawed.allowed, `${flawed.findMaxInWindow()} of ${flawed.allowed}`)
    const simulation = await runManyVms()
    assert.ok(simulation.findMaxInWindow() <= simulation.allowed, `${simulation.findMaxInWindow()} of ${simulation.allowed}`)
  })
})
