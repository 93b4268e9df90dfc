/** The plan's keys against a store that keeps leases and compares revisions. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { CloseStack } from '@umberspar/base/common/closing'
import { createDeadline } from '@umberspar/base/common/deadline'
import { NULL_LOGGER } from '@umberspar/base/common/logger'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { PlanStore } from '@umberspar/daemon/node/plan/planStore'
import { createEtcdStore } from '@umberspar/adapters/node/store/etcdStore'
import type { PlanDocument } from '@umberspar/steering/common/plan/planDocument'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { KeyValueStandIn } from '../../../src/node/standIns/keyValueStandIn.js'

const LEASE_SECONDS = 5
const PAST_LEASE_MS = 6000
const CALL_SPAN_MS = 10_000

function buildPlan (version: number, epoch: number): PlanDocument {
  return { service: 'escort-svc', version, epoch, configurationVersion: 1, isEmergency: false, steppedAtWallMs: 0, warmingFromWallMs: {}, weights: { klang: { 'klang-a': 1 } } }
}

/** The store's clock is moved by hand; calls have real deadlines. */
async function runWithStore (run: (plans: PlanStore, storeClock: ManualClock, getDeadline: () => number) => Promise<void>): Promise<void> {
  const closing = new CloseStack()
  const storeClock = new ManualClock()
  const clock = new SystemClock()
  try {
    const standIn = closing.add(new KeyValueStandIn({ clock: storeClock }))
    const address = await standIn.start()
    const store = closing.add(createEtcdStore({ endpoints: [address], clock, logger: NULL_LOGGER }))
    await run(new PlanStore(store, '/test/'), storeClock, () => createDeadline(clock.now(), CALL_SPAN_MS))
  } finally {
    await closing.close()
  }
}

describe('PlanStore', () => {
  it('refuses the late step of a holder that was paused past its lease', async () => {
    // Users see traffic move twice, together beyond the cap. A holder decides a
    // step and is paused; its lease lapses; another node becomes holder and takes
    // a step from the same version; then the first wakes up and writes its own.
    await runWithStore(async (plans, storeClock, getDeadline) => {
      const first = (await plans.acquire('entry-1', LEASE_SECONDS, getDeadline())).unwrap()
      assert.ok(first !== undefined)
      const base = (await plans.write(buildPlan(1, first.epoch), 0, first, getDeadline())).unwrap()
      assert.ok(base !== undefined)
      storeClock.stepBy(PAST_LEASE_MS)
      assert.equal((await plans.write(buildPlan(2, first.epoch), base, first, getDeadline())).unwrap(), undefined)
      const second = (await plans.acquire('entry-2', LEASE_SECONDS, getDeadline())).unwrap()
      assert.ok(second !== undefined && second.epoch > first.epoch)
      assert.equal((await plans.write(buildPlan(2, first.epoch), base, first, getDeadline())).unwrap(), undefined)
      assert.ok((await plans.write(buildPlan(2, second.epoch), base, second, getDeadline())).unwrap() !== undefined)
      assert.equal((await plans.read('escort-svc', getDeadline())).unwrap()?.document.epoch, second.epoch)
    })
  })

  it('gives the plan to one of two nodes that ask at once, and epochs grow over a release', async () => {
    await runWithStore(async (plans, _storeClock, getDeadline) => {
      const asked = await Promise.all(['entry-1', 'entry-2'].map((node) => plans.acquire(node, LEASE_SECONDS, getDeadline())))
      const held = asked.flatMap((answer) => answer.unwrap() ?? [])
      assert.equal(held.length, 1)
      const [holding] = held
      assert.ok(holding !== undefined)
      await plans.release(holding, getDeadline())
      const next = (await plans.acquire('entry-3', LEASE_SECONDS, getDeadline())).unwrap()
      assert.ok(next !== undefined && next.epoch === holding.epoch + 1)
    })
  })
})
