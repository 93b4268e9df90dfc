import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { QuotaWorld } from './quotaWorld.js'
import type { QuotaWorldFlaws } from './worldVm.js'

const SEEDS = Array.from({ length: 12 }, (_, index) => 1_000 + index)
const SMALL = { ratePerSecond: 8, burst: 8 }
const LARGE = { ratePerSecond: 60, burst: 60 }
const LOST_PART = 0.02

async function createWorld (seed: number, quota: typeof SMALL, flaws?: QuotaWorldFlaws): Promise<QuotaWorld> {
  const world = new QuotaWorld(seed, quota, flaws)
  await world.run(4_000, 1, 0)
  return world
}

/** The keepers of all shares, and VMs that ask them, lose the store for good; others claim the shares. */
async function runLostKeepers (flaws?: QuotaWorldFlaws): Promise<QuotaWorld> {
  const world = await createWorld(1, LARGE, flaws)
  world.breakKeepers()
  await world.run(25_000, 600, 0)
  return world
}

/** A calm time in which each of many VMs asks now and then, and then all callers at once. */
async function runManyVms (flaws?: QuotaWorldFlaws): Promise<QuotaWorld> {
  const world = new QuotaWorld(2, LARGE, flaws, 48)
  await world.run(20_000, 25, 0)
  await world.run(6_000, 600, 0)
  return world
}

describe('quotas that entry VMs share out', { timeout: 300_000 }, () => {
  it('are never overrun in any window, though VMs are cut off, pause, die and come back', async () => {
    // An account's callers send three times its quota to all VMs. While VMs are cut off
    // from each other and from the store, two of them could give out the same part.
    for (const seed of SEEDS) {
      for (const quota of [SMALL, LARGE]) {
        const world = await createWorld(seed, quota)
        world.lostPart = LOST_PART
        await world.run(30_000, quota.ratePerSecond * 3, 1)
        assert.ok(world.findMostInWindow() <= world.allowed, `seed ${seed}: ${world.findMostInWindow()} of ${world.allowed}`)
      }
    }
  })

  it('refuse hardly anything below the quota while nothing is wrong', async () => {
    // With a fixed part for each VM a third of the requests of an account with a few
    // callers was refused at five eighths of its quota.
    let refused = 0
    let ran = 0
    for (const seed of SEEDS.slice(0, 8)) {
      for (const quota of [SMALL, LARGE]) {
        const world = await createWorld(seed, quota)
        await world.run(30_000, quota.ratePerSecond / 1.6, 0)
        refused += world.refused
        ran += world.runs.length
      }
    }
    assert.ok(refused <= 0.005 * ran, `${refused} refused of ${ran}`)
  })

  it('give most of the quota to an account that sends far more', async () => {
    const world = await createWorld(7, LARGE)
    await world.run(30_000, 450, 0)
    assert.ok(world.runs.length >= 0.9 * LARGE.ratePerSecond * 30, `${world.runs.length}`)
  })

  it('are not overrun when keepers lose the store and others take their shares', async () => {
    // The store's lease of a keeper ends while the keeper, cut off, goes on giving to those
    // that know no other; whoever claims the share gives the same part once more.
    const world = await runLostKeepers()
    assert.ok(world.findMostInWindow() <= world.allowed, `${world.findMostInWindow()} of ${world.allowed}`)
  })

  it('would be overrun by keepers that go on after their leases', async () => {
    const world = await runLostKeepers({ ignoresLeaseEnd: true })
    assert.ok(world.findMostInWindow() > world.allowed, `${world.findMostInWindow()} of ${world.allowed}`)
  })

  it('would be overrun by VMs that keep what they were given', async () => {
    const keeping = await runManyVms({ keepsStock: true })
    assert.ok(keeping.findMostInWindow() > keeping.allowed, `${keeping.findMostInWindow()} of ${keeping.allowed}`)
    const world = await runManyVms()
    assert.ok(world.findMostInWindow() <= world.allowed, `${world.findMostInWindow()} of ${world.allowed}`)
  })
})
