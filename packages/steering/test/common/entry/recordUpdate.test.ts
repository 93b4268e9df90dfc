import assert from 'node:assert/strict'
import fc from 'fast-check'
import { describe, it } from 'node:test'
import { RecordKind, type SteeringRecord, UpstreamState } from '../../../src/common/entry/records.js'
import { RecordReplica } from '../../../src/common/entry/recordReplica.js'
import { REREGISTRATION_GRACE_MS } from '../../../src/common/entry/removalHold.js'

const SEED = 20261203

function createWorker (id: string, revision: number): SteeringRecord {
  return { kind: RecordKind.Upstream, key: `w/${id}`, revision, value: { id, service: 's', address: '127.0.0.1:1', domain: 'a', slots: 4, state: UpstreamState.Ready, coldMs: 0 } }
}

function listKeysWithRevisions (table: RecordReplica): string[] {
  return table.list().map(({ key, revision }) => `${key}@${revision}`).sort()
}

/** Updates one replica from another. */
function applyUpdateFrom (receiver: RecordReplica, sender: RecordReplica, now: number): void {
  const update = sender.buildUpdateAfter({ era: 1, revision: receiver.revision })
  if (update !== undefined) receiver.applyUpdate(update, now)
}

const steps = fc.array(fc.record({
  action: fc.constantFrom('write', 'remove', 'first reads', 'first reads after compaction', 'second updates', 'third updates', 'third updates from first', 'second restarts'),
  worker: fc.integer({ min: 0, max: 8 }).map(String)
}), { maxLength: 120 })

describe('record updates from one VM to another', () => {
  it('lead to the same records at all VMs once each is updated, whatever each has missed before', () => {
    // One VM reads the store, by changes or by a snapshot after the history was compacted. A second replicates
    // from it and may restart; a third replicates from both.
    fc.assert(fc.property(steps, (list) => {
      let revision = 0
      const store = new Map<string, SteeringRecord>()
      let history: Array<{ key: string, revision: number, record: SteeringRecord | undefined }> = []
      const first = new RecordReplica()
      let second = new RecordReplica()
      const third = new RecordReplica()
      const readStore = (): void => {
        const news = history.filter((event) => event.revision > first.revision)
        const newest = new Map(news.map((event) => [event.key, event]))
        first.applyChanges({
          era: 1,
          revision,
          written: [...newest.values()].flatMap(({ record }) => record ?? []),
          removed: news.filter(({ record }) => record === undefined).map(({ key, revision: at }) => ({ key, revision: at }))
        }, 0)
      }
      const actions: Record<string, (id: string) => void> = {
        write: (id) => {
          const record = createWorker(id, ++revision)
          store.set(id, record)
          history.push({ key: record.key, revision, record })
        },
        remove: (id) => { if (store.delete(id)) history.push({ key: `w/${id}`, revision: ++revision, record: undefined }) },
        'first reads': readStore,
        'first reads after compaction': () => {
          history = []
          first.applySnapshot({ era: 1, revision, records: [...store.values()] }, 0)
        },
        'second updates': () => { applyUpdateFrom(second, first, 0) },
        'third updates': () => { applyUpdateFrom(third, second, 0) },
        'third updates from first': () => { applyUpdateFrom(third, first, 0) },
        'second restarts': () => { second = new RecordReplica() }
      }
      for (const { action, worker } of list) actions[action]!(worker)
      readStore()
      applyUpdateFrom(second, first, 0)
      applyUpdateFrom(third, second, 0)
      const expected = [...store.values()].map((record) => `${record.key}@${record.revision}`).sort()
      assert.deepEqual(listKeysWithRevisions(first), expected)
      assert.deepEqual(listKeysWithRevisions(second), expected)
      assert.deepEqual(listKeysWithRevisions(third), expected)
    }), { seed: SEED, numRuns: 1_000 })
  })

  it('lead to the same records although two followers miss different parts of the history', () => {
    // Two VMs watch the store; each reads a snapshot where its part of the history was compacted. Two others
    // replicate from either follower and from each other.
    const moves = fc.array(fc.record({
      action: fc.constantFrom('write', 'remove', 'drop', 'read 0', 'read 1', 'update 2 0', 'update 2 1', 'update 3 0', 'update 3 1', 'update 3 2', 'update 2 3'),
      worker: fc.integer({ min: 0, max: 4 }).map(String)
    }), { maxLength: 150 })
    fc.assert(fc.property(moves, (list) => {
      let revision = 1
      let droppedUpTo = 0
      const store = new Map<string, SteeringRecord>()
      const events: Array<{ key: string, revision: number, record: SteeringRecord | undefined }> = []
      const tables = Array.from({ length: 4 }, () => new RecordReplica())
      const read = (table: RecordReplica): void => {
        if (table.revision <= droppedUpTo) {
          table.applySnapshot({ era: 1, revision, records: [...store.values()] }, 0)
          return
        }
        const newest = new Map(events.filter((event) => event.revision > table.revision).map((event) => [event.key, event]))
        const removed = [...newest.values()].filter(({ record }) => record === undefined)
        table.applyChanges({ era: 1, revision, written: [...newest.values()].flatMap(({ record }) => record ?? []), removed: removed.map(({ key, revision: at }) => ({ key, revision: at })) }, 0)
      }
      for (const { action, worker } of list) {
        const [verb, one, other] = action.split(' ')
        if (verb === 'write') {
          const record = createWorker(worker, ++revision)
          store.set(worker, record)
          events.push({ key: record.key, revision, record })
        } else if (verb === 'remove') {
          if (store.delete(worker)) events.push({ key: `w/${worker}`, revision: ++revision, record: undefined })
        } else if (verb === 'drop') droppedUpTo = revision
        else if (verb === 'read') read(tables[Number(one)]!)
        else applyUpdateFrom(tables[Number(one)]!, tables[Number(other)]!, 0)
      }
      read(tables[0]!)
      read(tables[1]!)
      applyUpdateFrom(tables[2]!, tables[1]!, 0)
      applyUpdateFrom(tables[3]!, tables[2]!, 0)
      const expected = [...store.values()].map((record) => `${record.key}@${record.revision}`).sort()
      for (const table of tables) assert.deepEqual(listKeysWithRevisions(table), expected)
    }), { seed: SEED, numRuns: 3_000 })
  })

  it('remove a worker that joined and left in a gap of the sender\'s history', () => {
    // A VM receives from a peer that a worker joined (revision 6) and then loses that peer. The next peer had
    // been cut off and reads a snapshot as of revision 9, after the worker has left: it never knew the worker,
    // and so could not report its removal.
    const sender = new RecordReplica()
    sender.applySnapshot({ era: 1, revision: 5, records: [createWorker('1', 5)] }, 0)
    const receiver = new RecordReplica()
    receiver.applySnapshot({ era: 1, revision: 6, records: [createWorker('1', 5), createWorker('2', 6)] }, 0)
    sender.applySnapshot({ era: 1, revision: 9, records: [createWorker('1', 5)] }, 0)
    applyUpdateFrom(receiver, sender, 0)
    assert.deepEqual(listKeysWithRevisions(receiver), ['w/1@5'])
  })

  it('remove such a worker also when they pass a VM without a gap', () => {
    // As above, with a relay: it receives the snapshot as changes, while the receiver got the worker from the
    // store's other follower.
    const sender = new RecordReplica()
    const relay = new RecordReplica()
    for (const table of [sender, relay]) table.applySnapshot({ era: 1, revision: 5, records: [createWorker('1', 5)] }, 0)
    const receiver = new RecordReplica()
    receiver.applySnapshot({ era: 1, revision: 6, records: [createWorker('1', 5), createWorker('2', 6)] }, 0)
    sender.applySnapshot({ era: 1, revision: 9, records: [createWorker('1', 5)] }, 0)
    applyUpdateFrom(relay, sender, 0)
    applyUpdateFrom(receiver, relay, 0)
    assert.deepEqual(listKeysWithRevisions(receiver), ['w/1@5'])
  })

  it('are partial for a VM that knew as much as the sender before its snapshot', () => {
    // The store compacted its history while links were congested. Each follower read a snapshot and sent a full
    // update of 200 kB to every VM, over three hops of a tree: for four seconds no VM of the region could prove
    // that its records were fresh.
    const sender = new RecordReplica()
    const receiver = new RecordReplica()
    const records = Array.from({ length: 50 }, (_, index) => createWorker(String(index), 5))
    for (const table of [sender, receiver]) table.applySnapshot({ era: 1, revision: 5, records }, 0)
    sender.applySnapshot({ era: 1, revision: 9, records: [...records.slice(1), createWorker('new', 8)] }, 0)
    const news = sender.buildUpdateAfter({ era: 1, revision: receiver.revision })
    assert.deepEqual({ isWhole: news?.isWhole, written: news?.written.length, removed: news?.removed.length }, { isWhole: false, written: 1, removed: 1 })
    applyUpdateFrom(receiver, sender, 0)
    assert.deepEqual(listKeysWithRevisions(receiver), listKeysWithRevisions(sender))
  })

  it('hold back removals at the receiver for as long as at the sender after an outage', () => {
    // The store was unavailable for all VMs and recovers. A worker's lease expired in the outage; the worker is
    // alive and registers again within 2 s. The receiver, which gets the removal only from the follower, must
    // not remove it either.
    const sender = new RecordReplica()
    const receiver = new RecordReplica()
    for (const table of [sender, receiver]) {
      table.applySnapshot({ era: 1, revision: 5, records: [createWorker('1', 5)] }, 0)
      table.recordStoreLost(0)
    }
    sender.recordStoreRecovered(5_000)
    sender.applyChanges({ era: 1, revision: 6, written: [], removed: [{ key: 'w/1', revision: 6 }] }, 5_000)
    receiver.recordStoreRecovered(5_100, sender.getRemovalHoldMs(5_100))
    applyUpdateFrom(receiver, sender, 5_100)
    assert.deepEqual(listKeysWithRevisions(receiver), ['w/1@5'])
    assert.deepEqual(receiver.applyDueRemovals(5_000 + REREGISTRATION_GRACE_MS - 1), [])
    assert.equal(receiver.applyDueRemovals(5_000 + REREGISTRATION_GRACE_MS).length, 1)
  })

  it('hold back removals also at a VM that gets a full update after the outage', () => {
    const sender = new RecordReplica()
    sender.applySnapshot({ era: 1, revision: 5, records: [createWorker('1', 5)] }, 0)
    sender.recordStoreLost(0)
    sender.recordStoreRecovered(5_000)
    sender.applyChanges({ era: 1, revision: 6, written: [], removed: [{ key: 'w/1', revision: 6 }] }, 5_000)
    const receiver = new RecordReplica()
    receiver.updateRemovalHold(5_500, sender.getRemovalHoldMs(5_500))
    applyUpdateFrom(receiver, sender, 5_500)
    assert.deepEqual(listKeysWithRevisions(receiver), ['w/1@5'])
    assert.equal(receiver.applyDueRemovals(5_000 + REREGISTRATION_GRACE_MS).length, 1)
  })

  it('are full for a VM that is further behind than the remembered removals', () => {
    const sender = new RecordReplica()
    sender.applySnapshot({ era: 1, revision: 1, records: [] }, 0)
    const receiver = new RecordReplica()
    sender.applyChanges({ era: 1, revision: 2, written: [createWorker('old', 2)], removed: [] }, 0)
    applyUpdateFrom(receiver, sender, 0)
    sender.applyChanges({ era: 1, revision: 3, written: [], removed: [{ key: 'w/old', revision: 3 }] }, 0)
    for (let revision = 4; revision < 10_004; revision += 2) {
      sender.applyChanges({ era: 1, revision, written: [createWorker(String(revision), revision)], removed: [] }, 0)
      sender.applyChanges({ era: 1, revision: revision + 1, written: [], removed: [{ key: `w/${revision}`, revision: revision + 1 }] }, 0)
    }
    assert.equal(sender.buildUpdateAfter({ era: 1, revision: receiver.revision })?.isWhole, true)
    applyUpdateFrom(receiver, sender, 0)
    assert.deepEqual(listKeysWithRevisions(receiver), [])
  })
})
