/** Patches under every order of calls that a scheduler finds: one wins, nobody is told a lie. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import type { IClock } from '@umberspar/base/common/clock'
import { ErrorCode } from '@umberspar/base/common/errors'
import { NULL_LOGGER } from '@umberspar/base/common/logger'
import { computeDigest } from '@umberspar/steering/common/configuration/canonicalJson'
import { PatchRefusalKind } from '@umberspar/steering/common/configuration/patchConfiguration'
import { ConfigurationKeeper, LearnSource } from '../../../src/node/configuration/configurationKeeper.js'
import { ConfigurationStore, HISTORY_LIMIT } from '../../../src/node/configuration/configurationStore.js'
import { PatchService, type PatchRequest } from '../../../src/node/configuration/patchService.js'
import { MemoryStore, type Turn, WriteFault } from './memoryStore.js'

const SEED = 5_173
const PREFIX = '/test/'
const BODY_PREFIX = `${PREFIX}config/body/`
const FAR = Number.MAX_SAFE_INTEGER

const INITIAL = {
  deployment: 'test',
  regions: { klang: { failureDomains: ['klang-a', 'klang-b'], clientBlocks: ['10.0.0.0/16'] } },
  services: { docs: { places: { 'klang-a': { workers: { w1: { address: '10.9.0.1:80', slots: 1, connections: 1 } } } } } },
  shiftCaps: { planned: 0.1, emergency: 0.5 }
}

/** Time that stands still but for timers, which fire in turn and carry it along. */
class TurnClock implements IClock {
  private present = 0

  constructor (private readonly turn: Turn) {}

  now (): number {
    return this.present
  }

  getWallTime (): number {
    return this.present
  }

  schedule (at: number, callback: () => void): { close: () => void } {
    let isClosed = false
    this.turn('timer').then(() => {
      this.present = Math.max(this.present, at)
      if (!isClosed) callback()
    }, () => {})
    return { close: () => { isClosed = true } }
  }
}

interface TestDaemon {
  readonly keeper: ConfigurationKeeper
  readonly configurations: ConfigurationStore
  readonly patches: PatchService
}

const NO_TURN: Turn = async () => {}

function createTestDaemon (store: MemoryStore, turn: Turn = NO_TURN): TestDaemon {
  const keeper = new ConfigurationKeeper({ computeDigest }, NULL_LOGGER)
  const configurations = new ConfigurationStore(store, PREFIX)
  return { keeper, configurations, patches: new PatchService(configurations, keeper, { computeDigest }, new TurnClock(turn), NULL_LOGGER) }
}

function createRequest (changeId: string, cacheMs: number, baseVersion = 1): PatchRequest {
  return { baseVersion, changeId, patch: { lookupCacheMs: cacheMs }, note: '' }
}

async function writeInitial (store: MemoryStore): Promise<void> {
  const first = await createTestDaemon(store).patches.patch({ baseVersion: 0, changeId: 'initial', patch: INITIAL, note: '' })
  assert.ok(first.ok)
}

/** Clean-up that goes on after an answer. */
async function settleDetached (): Promise<void> {
  for (let turn = 0; turn < 50; turn++) await Promise.resolve()
}

const faultsArbitrary = fc.array(fc.constantFrom(WriteFault.None, WriteFault.LostAnswer, WriteFault.Late, WriteFault.LostRequest, WriteFault.OverRate), { maxLength: 6 })

interface RaceResult {
  readonly store: MemoryStore
  readonly outcomes: ReadonlyArray<Awaited<ReturnType<PatchService['patch']>>>
}

/** Lets two daemons take one request each, in an order of the scheduler's choice. */
async function runRace (scheduler: fc.Scheduler, faults: readonly WriteFault[], requests: readonly [PatchRequest, PatchRequest]): Promise<RaceResult> {
  let isFree = true
  const waitTurn: Turn = async (label) => { if (!isFree) await scheduler.schedule(Promise.resolve(), label) }
  const store = new MemoryStore(waitTurn)
  await writeInitial(store)
  await settleDetached()
  isFree = false
  store.faults.push(...faults)
  const running = Promise.all(requests.map((request) => createTestDaemon(store, waitTurn).patches.patch(request)))
  const outcomes = await scheduler.waitFor(running)
  await scheduler.waitFor(Promise.all(store.late))
  isFree = true
  return { store, outcomes }
}

/** What is in the store is whole: the head's body has its digest, and versions follow each other. */
async function checkStore (store: MemoryStore): Promise<string[]> {
  const { configurations } = createTestDaemon(store)
  const history = (await configurations.listHistory(FAR)).unwrap()
  const head = (await configurations.readHead(FAR)).unwrap()?.head
  assert.deepEqual(history.map((entry) => entry.version), history.map((_, index) => history.length - index))
  assert.equal(history[0]?.changeId, head?.changeId)
  for (const entry of history) {
    const body = (await configurations.readBody(entry, FAR)).unwrap()
    assert.equal(computeDigest(body.text), entry.digest)
  }
  return history.map((entry) => entry.changeId)
}

describe('two operators race', () => {
  it('exactly one wins, and the other learns of it; nobody is told a lie, whatever is lost or late', async () => {
    // Two operators patch version 1 at two daemons. Answers of the store are lost,
    // and writes arrive after their daemon has given up on them. An operator who is
    // told "refused" and tries again would otherwise find the change made twice.
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

  it('one change id sent to two daemons at once takes effect once, and both say so', async () => {
    // An operator's client sends the same change again to another daemon, because
    // the first was slow. Both answers must name the one version that was made.
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

describe('a write that arrives after it was given up', () => {
  it('has no effect once the operator was told that the patch was not accepted', async () => {
    // The swap is slow under way; the daemon gives it up, tries again, and the store
    // is too busy. The operator reads "not run" and goes home. The first write
    // must not land afterwards.
    const busy = fc.constantFrom([WriteFault.OverRate], [WriteFault.None, WriteFault.OverRate], [WriteFault.OverRate, WriteFault.None, WriteFault.OverRate])
    await fc.assert(fc.asyncProperty(fc.scheduler(), busy, async (scheduler, faults) => {
      let isFree = true
      const waitTurn: Turn = async (label) => { if (!isFree) await scheduler.schedule(Promise.resolve(), label) }
      const store = new MemoryStore(waitTurn)
      await writeInitial(store)
      await settleDetached()
      isFree = false
      store.faults.push(WriteFault.None, WriteFault.Late, ...faults)
      const outcome = await scheduler.waitFor(createTestDaemon(store, waitTurn).patches.patch(createRequest('a', 1000)))
      await scheduler.waitFor(Promise.all(store.late))
      isFree = true
      assert.equal((await checkStore(store)).includes('a'), outcome.ok)
    }), { seed: SEED, numRuns: 100 })
  })
})

describe('a daemon dies between body and head', () => {
  it('its body is removed after the next change', async () => {
    // The daemon writes a body and is killed. Nobody ever names that body; with
    // 7,100 changes a day such leftovers would fill the store.
    const store = new MemoryStore()
    await writeInitial(store)
    const dying = createTestDaemon(store)
    store.faults.push(WriteFault.None, WriteFault.OverRate)
    const failed = await dying.patches.patch(createRequest('dead', 1000))
    assert.ok(!failed.ok && failed.val.kind === 'failed' && failed.val.error.code === ErrorCode.Exhausted)
    assert.ok(store.listKeys(`${BODY_PREFIX}2/dead/`).length > 0)
    assert.ok((await createTestDaemon(store).patches.patch(createRequest('next', 3000))).ok)
    await settleDetached()
    assert.deepEqual(store.listKeys(`${BODY_PREFIX}2/`).map((key) => key.split('/').at(-2)), ['next'])
    assert.deepEqual(store.listKeys(`${PREFIX}config/pending/`), [])
  })
})

describe('the store’s limits', () => {
  it('a body above a megabyte goes in chunks, and the history stays bounded', async () => {
    const store = new MemoryStore()
    await writeInitial(store)
    const daemon = createTestDaemon(store)
    const clientBlocks = Array.from({ length: 65_000 }, (_, index) => `11.${index >> 8}.${index & 255}.0/24`)
    const large = await daemon.patches.patch({ baseVersion: 1, changeId: 'large', patch: { regions: { klang: { clientBlocks } } }, note: '' })
    assert.equal(large.unwrap().version, 2)
    assert.ok(store.listKeys(`${BODY_PREFIX}2/`).length > 1)
    const reader = await daemon.configurations.readBody(large.unwrap(), FAR)
    assert.equal(computeDigest(reader.unwrap().text), large.unwrap().digest)
    await daemon.patches.patch({ baseVersion: 2, changeId: 'small', patch: { regions: { klang: { clientBlocks: ['10.0.0.0/16'] } } }, note: '' })
    for (let version = 3; version < HISTORY_LIMIT + 6; version++) {
      const patched = await daemon.patches.patch(createRequest(`c${version}`, version, version))
      assert.equal(patched.unwrap().version, version + 1)
      await settleDetached()
    }
    const history = (await daemon.configurations.listHistory(FAR)).unwrap()
    assert.equal(history.length, HISTORY_LIMIT)
    assert.equal(store.listKeys(BODY_PREFIX).length, HISTORY_LIMIT)
  })
})

describe('a store restored from an old state', () => {
  it('the higher version stays the base, and no number is given out twice', async () => {
    // The store is restored from a backup that lacks version 2. A patch that made
    // a second version 2 would be ignored by every node that has the first.
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

  it('a daemon that is itself behind waits until it has what a peer has', async () => {
    const store = new MemoryStore()
    await writeInitial(store)
    const daemon = createTestDaemon(store)
    daemon.keeper.observePeer(4, undefined, 0)
    const refused = await daemon.patches.patch(createRequest('early', 1000))
    assert.ok(!refused.ok && refused.val.kind === 'failed' && refused.val.error.code === ErrorCode.Unavailable)
    assert.deepEqual(store.listKeys(BODY_PREFIX).length, 1)
  })

  it('a version whose last holder is gone does not stop patches for ever, and its number is not given out again', async () => {
    // A peer shows version 4, which the restored store lacks, and dies before anybody
    // fetched it. Operators would be told to wait for a version that never comes.
    const store = new MemoryStore()
    await writeInitial(store)
    const daemon = createTestDaemon(store)
    daemon.keeper.observePeer(4, undefined, -60_000)
    const accepted = await daemon.patches.patch(createRequest('late', 1000))
    assert.equal(accepted.unwrap().version, 5)
  })

  it('a node never goes to a lower version, whoever offers it', async () => {
    const store = new MemoryStore()
    await writeInitial(store)
    const daemon = createTestDaemon(store)
    const first = (await daemon.configurations.readHead(FAR)).unwrap()
    assert.ok(first !== undefined)
    const old = (await daemon.configurations.readBody(first.head, FAR)).unwrap()
    await daemon.patches.patch(createRequest('b', 1000))
    for (const source of [LearnSource.Store, LearnSource.Digest, LearnSource.Operator] as const) daemon.keeper.apply(old, 'someone', { source })
    daemon.keeper.apply(old, 'someone', { source: LearnSource.Push, route: undefined })
    assert.equal(daemon.keeper.version, 2)
  })
})
