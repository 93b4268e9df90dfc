import assert from 'node:assert/strict'
import { createHash } from 'node:crypto'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { computeDemand, planSoak, SoakStepKind } from '../../src/common/soakPlan.js'

const STOP_ALLOWANCE_MS = 4_500

describe('planSoak', () => {
  it('returns equal plans for equal arguments', () => {
    fc.assert(fc.property(fc.integer({ min: 0 }), fc.integer({ min: 30, max: 300 }), (seed, seconds) => {
      assert.deepEqual(planSoak(seed, seconds), planSoak(seed, seconds))
    }))
  })

  it('starts all steps within phases and leaves time for recovery at the end', () => {
    fc.assert(fc.property(fc.integer({ min: 0 }), fc.integer({ min: 30, max: 300 }), (seed, seconds) => {
      const { phases, steps, untilMs } = planSoak(seed, seconds)
      assert.ok(phases.some(({ isPlanned }) => isPlanned) && phases.some(({ isPlanned }) => !isPlanned))
      for (const { atMs, spanMs } of steps) {
        assert.ok(phases.some(({ fromMs, untilMs: end }) => atMs >= fromMs && atMs < end))
        assert.ok(spanMs > 0 && atMs + spanMs < untilMs - STOP_ALLOWANCE_MS)
      }
    }))
  })

  it('plans every kind of step for some seed', () => {
    const kinds = new Set([...Array(20).keys()].flatMap((seed) => planSoak(seed, 60).steps.map(({ kind }) => kind)))
    assert.deepEqual([...kinds].sort(), Object.values(SoakStepKind).sort())
  })

  it('plans the steps of a recorded seed again, beside those of kinds that came later', () => {
    const steps = planSoak(3, 60).steps.filter(({ kind }) => ![SoakStepKind.Rush, SoakStepKind.ExchangeLoss, SoakStepKind.WorkerRateLimit, SoakStepKind.WorkerInvalidResponse].includes(kind))
    assert.equal(createHash('sha256').update(JSON.stringify(steps)).digest('hex').slice(0, 16), 'e39d56dc57daba8e')
  })

  it('plans other spans and waves with each seed', () => {
    const plans = [...Array(20).keys()].map((seed) => planSoak(seed, 30))
    assert.ok(new Set(plans.map(({ waveOffset }) => waveOffset.toFixed(2))).size > 10)
    assert.ok(new Set(plans.map(({ steps }) => steps.find(({ kind }) => kind === SoakStepKind.Rush)!.spanMs.toFixed(0))).size > 10)
  })

  it('moves the demand of successive regions in waves a third of a period apart', () => {
    fc.assert(fc.property(fc.integer({ min: 0 }), fc.integer({ min: 0, max: 60_000 }), (seed, atMs) => {
      const plan = planSoak(seed, 60)
      const demands = [0, 1, 2].map((region) => computeDemand(plan, region, atMs))
      assert.ok(demands.every((demand) => demand > 0))
      assert.ok(Math.abs(demands.reduce((sum, demand) => sum + demand) - 3) < 1e-9)
      assert.ok(Math.abs(demands[1]! - computeDemand(plan, 0, atMs + 4_000)) < 1e-9)
    }))
  })

  it('plans only maintenance in planned phases, with enough time for a graceful stop', () => {
    fc.assert(fc.property(fc.integer({ min: 0 }), (seed) => {
      const { phases, steps } = planSoak(seed, 120)
      for (const { fromMs, untilMs } of phases.filter(({ isPlanned }) => isPlanned)) {
        for (const { kind, atMs } of steps.filter((step) => step.atMs >= fromMs && step.atMs < untilMs)) {
          assert.ok(![SoakStepKind.EntryKill, SoakStepKind.EntryPause, SoakStepKind.WorkerCrash, SoakStepKind.LinkFault, SoakStepKind.ExchangeLoss].includes(kind))
          assert.ok(atMs <= untilMs - STOP_ALLOWANCE_MS)
        }
      }
    }))
  })
})
