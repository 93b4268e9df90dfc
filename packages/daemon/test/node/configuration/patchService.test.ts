/** Tests concurrent patches in randomly scheduled orders of store calls: one wins, and every reported result is correct. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import type { IClock } from '@umberspar/base/common/clock'
import { ErrorCode } from '@umberspar/base/common/errors'
import { NULL_LOGGER } from '@umberspar/base/common/logger'
import { computeDigest } from '@umberspar/steering/common/configuration/canonicalJson'
import { PatchRefusalKind } from '@umberspar/steering/common/configuration/patchConfiguration'
import { ConfigurationManager, ConfigurationSource } from '../../../src/node/configuration/configurationManager.js'
import { ConfigurationStore, MAX_HISTORY_ENTRIES } from '../../../src/node/configuration/configurationStore.js'
import { PatchService, type PatchRequest } from '../../../src/node/configuration/patchService.js'
import { MemoryStore, type WaitForTurn, WriteFault } from './memoryStore.js'

const SEED = 5_173
const PREFIX = '/test/'
const BODY_PREFIX = `${PREFIX}config/body/`
const FAR_DEADLINE = Number.MAX_SAFE_INTEGER

const INITIAL = {
  deployment: 'test',
  regions: { klang: { failureDomains: ['klang-a', 'klang-b'], clientBlocks: ['10.0.0.0/16'] } },
  services: { docs: { places: { 'klang-a': { workers: { w1: { address: '10.9.0.1:80', slots: 1, connections: 1 } } } } } },
  shiftCaps: { planned: 0.1, emergency: 0.5 }
}

/** A clock that advances only when the scheduler fires a timer. */
class ScheduledClock implements IClock {
  private present = 0

  constructor (private readonly waitForTurn: WaitForTurn) {}

  now (): number {
    return this.present
  }

  getWallTime (): number {
    return this.present
  }

  schedule (at: number, callback: () => void): { close: () => void } {
    let isClosed = false
    this.waitForTurn('timer').then(() => {
      this.present = Math.max(this.present, at)
      if (!isClosed) callback()
    }, () => {})
    return { close: () => { isClosed = true } }
  }
}

interface TestDaemon {
  readonly configurationManager: ConfigurationManager
  readonly configurations: ConfigurationStore
  readonly patches: PatchService
}

const NO_WAIT: WaitForTurn = async () => {}

function createTestDaemon (store: MemoryStore, waitForTurn: WaitForTurn = NO_WAIT): TestDaemon {
  const configurationManager = new ConfigurationManager({ computeDigest }, NULL_LOGGER)
  const configurations = new ConfigurationStore(store, PREFIX)
  return { configurationManager, configurations, patches: new PatchService(configurations, configurationManager, { computeDigest }, new ScheduledClock(waitForTurn), NULL_LOGGER) }
}

function createRequest (changeId: string, cacheMs: number, baseVersion = 1): PatchRequest {
  return { baseVersion, changeId, patch: { lookupCacheMs: cacheMs }, note: '' }
}

async function writeInitial (store: MemoryStore): Promise<void> {
  const first = await createTestDaemon(store).patches.patch({ baseVersion: 0, changeId: 'initial', patch: INITIAL, note: '' })
  assert.ok(first.ok)
}

/** Waits for the clean-up that continues after a patch is answered. */
async function waitForCleanup (): Promise<void> {
  for (let turn = 0; turn < 50; turn++) await Promise.resolve()
}

const faultsArbitrary = fc.array(fc.constantFrom(WriteFault.None, WriteFault.LostAnswer, WriteFault.Late, WriteFault.LostRequest, WriteFault.OverRate), { maxLength: 6 })

interface RaceResult {
  readonly store: MemoryStore
  readonly outcomes: ReadonlyArray<Awaited<ReturnType<PatchService['patch']>>>
}

/** Sends one request to each of two daemons, with store calls in an order chosen by the scheduler. */
async function runRace (scheduler: fc.Scheduler, faults: readonly WriteFault[], requests: readonly [PatchRequest, PatchRequest]): Promise<RaceResult> {
  let isUnscheduled = true
  const waitTurn: WaitForTurn = async (label) => { if (!isUnscheduled) await scheduler.schedule(Promise.resolve(), label) }
  const store = new MemoryStore(waitTurn)
  await writeInitial(store)
  await waitForCleanup()
  isUnscheduled = false
  store.faults.push(...faults)
  const running = Promise.all(requests.map((request) => createTestDaemon(store, waitTurn).patches.patch(request)))
  const outcomes = await scheduler.waitFor(running)
  await scheduler.waitFor(Promise.all(store.lateWrites))
  isUnscheduled = true
  return { store, outcomes }
}

/** Checks that the store is consistent: every body matches its digest, and versions are consecutive. */
async function checkStore (store: MemoryStore): Promise<string[]> {
  const { configurations } = createTestDaemon(store)
  const history = (await configurations.listHistory(FAR_DEADLINE)).unwrap()
  const head = (await configurations.readHead(FAR_DEADLINE)).unwrap()?.head
  assert.deepEqual(history.map((entry) => entry.version), history.map((_, index) => history.length - index))
  assert.equal(history[0]?.changeId, head?.changeId)
  for (const entry of history) {
    const body = (await configurations.readBody(entry, FAR_DEADLINE)).unwrap()
    assert.equal(computeDigest(body.text), entry.digest)
  }
  return history.map((entry) => entry.changeId)
}

describe('concurrent patches', () => {
  it('exactly one wins and the other is refused; results are correct whichever requests or responses are lost or late', async () => {
    // Two operators patch version 1 on two daemons. Responses of the store are lost, and
    // writes arrive after their daemon has timed out. If a patch were reported as refused
    // although it was applied, an operator who retries would apply the change twice.
    await fc.assert(fc.asyncProperty(fc.scheduler(), faultsArbitrary, async (scheduler, faults) => {
      const { store, outcomes } = await runRace(scheduler, faults, [createRequest('a', 1000), createRequest('b', 3000)])
      const accepted = await checkStore(store)
      assert.ok(accepted.length <= 2)
      outcomes.forEach((outcome, index) => {
        const isInForce = accepted.includes(index === 0 ? 'a' : 'b')
        if (outcome.ok) assert.deepEqual([isInForce, outcome.val.version], [true, 2])
        else if (outcome.val.kind === 'refused') {
          const { refusal } = outcome.val
          assert.deepEqual([isInForce, refusal.kind, refusal.baseVersion, refusal.currentVersion, refusal.conflictingPaths], [false, PatchRefusalKind.StaleBase, 1, 2, ['lookupCacheMs']])
        } else if (outcome.val.error.code !== ErrorCode.EffectUnknown) assert.equal(isInForce, false)
      })
      if (faults.length === 0) assert.deepEqual(outcomes.map((outcome) => outcome.ok).sort(), [false, true])
    }), { seed: SEED, numRuns: 300 })
  })

  it('one change id sent to two daemons at once is applied once, and both report the same version', async () => {
    // An operator's client sends the same change to another daemon, because the first
    // was slow. Both responses must name the one version that was created.
    await fc.assert(fc.asyncProperty(fc.scheduler(), faultsArbitrary, async (scheduler, faults) => {
      const request = createRequest('a', 1000)
      const { store, outcomes } = await runRace(scheduler, faults, [request, request])
      const accepted = await checkStore(store)
      assert.ok(accepted.filter((changeId) => changeId === 'a').length <= 1)
      for (const outcome of outcomes) {
        if (outcome.ok) assert.equal(outcome.val.version, 2)
        else assert.equal(outcome.val.kind, 'failed')
        if (!outcome.ok && outcome.val.kind === 'failed') assert.notEqual(faults.length, 0)
      }
    }), { seed: SEED, numRuns: 300 })
  })

  it('one change id with two different patches never makes a mixed body', async () => {
    await fc.assert(fc.asyncProperty(fc.scheduler(), faultsArbitrary, async (scheduler, faults) => {
      const { store } = await runRace(scheduler, faults, [createRequest('a', 1000), createRequest('a', 3000)])
      assert.ok((await checkStore(store)).length <= 2)
    }), { seed: SEED, numRuns: 300 })
  })
})

describe('a write that arrives after it timed out', () => {
  it('has no effect once the patch was reported as not applied', async () => {
    // The swap is delayed in transit. The daemon times out and retries, and the store's
    // rate limit refuses the retry. The operator is told "not run", so the first write
    // must not be applied afterwards.
    const busy = fc.constantFrom([WriteFault.OverRate], [WriteFault.None, WriteFault.OverRate], [WriteFault.OverRate, WriteFault.None, WriteFault.OverRate])
    await fc.assert(fc.asyncProperty(fc.scheduler(), busy, async (scheduler, faults) => {
      let isUnscheduled = true
      const waitTurn: WaitForTurn = async (label) => { if (!isUnscheduled) await scheduler.schedule(Promise.resolve(), label) }
      const store = new MemoryStore(waitTurn)
      await writeInitial(store)
      await waitForCleanup()
      isUnscheduled = false
      store.faults.push(WriteFault.None, WriteFault.Late, ...faults)
      const outcome = await scheduler.waitFor(createTestDaemon(store, waitTurn).patches.patch(createRequest('a', 1000)))
      await scheduler.waitFor(Promise.all(store.lateWrites))
      isUnscheduled = true
      assert.equal((await checkStore(store)).includes('a'), outcome.ok)
    }), { seed: SEED, numRuns: 100 })
  })
})

describe('a daemon crashes between writing body and head', () => {
  it('its body is removed after the next change', async () => {
    // The daemon writes a body and is killed. No head ever refers to that body. With
    // 7,100 changes a day, such orphans would fill the store.
    const store = new MemoryStore()
    await writeInitial(store)
    const dying = createTestDaemon(store)
    store.faults.push(WriteFault.None, WriteFault.OverRate)
    const failed = await dying.patches.patch(createRequest('dead', 1000))
    assert.ok(!failed.ok && failed.val.kind === 'failed' && failed.val.error.code === ErrorCode.Exhausted)
    assert.ok(store.listKeys(`${BODY_PREFIX}2/dead/`).length > 0)
    assert.ok((await createTestDaemon(store).patches.patch(createRequest('next', 3000))).ok)
    await waitForCleanup()
    assert.deepEqual(store.listKeys(`${BODY_PREFIX}2/`).map((key) => key.split('/').at(-2)), ['next'])
    assert.deepEqual(store.listKeys(`${PREFIX}config/pending/`), [])
  })
})

describe('the store’s limits', () => {
  it('a body above a megabyte is written in chunks, and the history is limited', async () => {
    const store = new MemoryStore()
    await writeInitial(store)
    const daemon = createTestDaemon(store)
    const clientBlocks = Array.from({ length: 65_000 }, (_, index) => `11.${index >> 8}.${index & 255}.0/24`)
    const large = await daemon.patches.patch({ baseVersion: 1, changeId: 'large', patch: { regions: { klang: { clientBlocks } } }, note: '' })
    assert.equal(large.unwrap().version, 2)
    assert.ok(store.listKeys(`${BODY_PREFIX}2/`).length > 1)
    const reader = await daemon.configurations.readBody(large.unwrap(), FAR_DEADLINE)
    assert.equal(computeDigest(reader.unwrap().text), large.unwrap().digest)
    await daemon.patches.patch({ baseVersion: 2, changeId: 'small', patch: { regions: { klang: { clientBlocks: ['10.0.0.0/16'] } } }, note: '' })
    for (let version = 3; version < MAX_HISTORY_ENTRIES + 6; version++) {
      const patched = await daemon.patches.patch(createRequest(`c${version}`, version, version))
      assert.equal(patched.unwrap().version, version + 1)
      await waitForCleanup()
    }
    const history = (await daemon.configurations.listHistory(FAR_DEADLINE)).unwrap()
    assert.equal(history.length, MAX_HISTORY_ENTRIES)
    assert.equal(store.listKeys(BODY_PREFIX).length, MAX_HISTORY_ENTRIES)
  })
})

describe('a store restored from a backup', () => {
  it('the newer version stays the base, and no version number is reused', async () => {
    // The store is restored from a backup that lacks version 2. A patch that created a
    // second version 2 would be ignored by every node that has the first.
    const store = new MemoryStore()
    await writeInitial(store)
    const backup = store.saveState()
    const daemon = createTestDaemon(store)
    assert.ok((await daemon.patches.patch(createRequest('lost', 1000))).ok)
    store.loadState(backup)
    const stale = await daemon.patches.patch(createRequest('again', 3000))
    assert.ok(!stale.ok && stale.val.kind === 'refused' && stale.val.currentVersion === 2)
    const next = await daemon.patches.patch(createRequest('next', 3000, 2))
    assert.equal(next.unwrap().version, 3)
  })

  it('a daemon with an older version than a peer refuses patches until it has caught up', async () => {
    const store = new MemoryStore()
    await writeInitial(store)
    const daemon = createTestDaemon(store)
    daemon.configurationManager.observePeer(4, undefined, 0)
    const refused = await daemon.patches.patch(createRequest('early', 1000))
    assert.ok(!refused.ok && refused.val.kind === 'failed' && refused.val.error.code === ErrorCode.Unavailable)
    assert.deepEqual(store.listKeys(BODY_PREFIX).length, 1)
  })

  it('a version whose only node is lost does not block patches forever, and its number is not reused', async () => {
    // A peer reports version 4, which the restored store lacks, and crashes before another
    // node has fetched it. Operators would have to wait for a version that never arrives.
    const store = new MemoryStore()
    await writeInitial(store)
    const daemon = createTestDaemon(store)
    daemon.configurationManager.observePeer(4, undefined, -60_000)
    const accepted = await daemon.patches.patch(createRequest('late', 1000))
    assert.equal(accepted.unwrap().version, 5)
  })

  it('a node never reverts to an older version, whoever offers it', async () => {
    const store = new MemoryStore()
    await writeInitial(store)
    const daemon = createTestDaemon(store)
    const first = (await daemon.configurations.readHead(FAR_DEADLINE)).unwrap()
    assert.ok(first !== undefined)
    const old = (await daemon.configurations.readBody(first.head, FAR_DEADLINE)).unwrap()
    await daemon.patches.patch(createRequest('b', 1000))
    for (const source of [ConfigurationSource.Store, ConfigurationSource.Digest, ConfigurationSource.Operator] as const) daemon.configurationManager.apply(old, 'someone', { source })
    daemon.configurationManager.apply(old, 'someone', { source: ConfigurationSource.Push, route: undefined })
    assert.equal(daemon.configurationManager.version, 2)
  })
})
