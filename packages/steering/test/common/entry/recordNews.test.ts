import assert from 'node:assert/strict'
import fc from 'fast-check'
import { describe, it } from 'node:test'
import { RecordKind, type SteeringRecord, UpstreamState } from '../../../src/common/entry/records.js'
import { RecordTable, REREGISTRATION_GRACE_MS } from '../../../src/common/entry/recordTable.js'

const SEED = 20261203

function createWorker (id: string, revision: number): SteeringRecord {
  return { kind: RecordKind.Upstream, key: `w/${id}`, revision, value: { id, service: 's', address: '127.0.0.1:1', domain: 'a', slots: 4, state: UpstreamState.Ready, coldMs: 0 } }
}

function toText (table: RecordTable): string[] {
  return table.list().map(({ key, revision }) => `${key}@${revision}`).sort()
}

/** Lets one table learn from another. */
function takeNews (pupil: RecordTable, teacher: RecordTable, now: number): void {
  const news = teacher.readNewsAfter(pupil.revision)
  if (news !== undefined) pupil.applyNews(news, now)
}

const steps = fc.array(fc.record({
  action: fc.constantFrom('write', 'remove', 'first reads', 'first loses history', 'second learns', 'third learns', 'third learns from first', 'second is new'),
  worker: fc.integer({ min: 0, max: 8 }).map(String)
}), { maxLength: 120 })

describe('records that one VM tells another', () => {
  it('are the same at all of them once each has learned, whatever was missed on the way', () => {
    // One VM follows the store, by its history or by reading everything where that was
    // dropped; a second learns from it and may start anew; a third learns from both.
    fc.assert(fc.property(steps, (list) => {
      let revision = 0
      const store = new Map<string, SteeringRecord>()
      let history: Array<{ key: string, revision: number, record: SteeringRecord | undefined }> = []
      const first = new RecordTable()
      let second = new RecordTable()
      const third = new RecordTable()
      const readStore = (): void => {
        const news = history.filter((event) => event.revision > first.revision)
        const newest = new Map(news.map((event) => [event.key, event]))
        first.applyChanges({
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
        'first loses history': () => {
          history = []
          first.applySnapshot({ revision, records: [...store.values()] }, 0)
        },
        'second learns': () => { takeNews(second, first, 0) },
        'third learns': () => { takeNews(third, second, 0) },
        'third learns from first': () => { takeNews(third, first, 0) },
        'second is new': () => { second = new RecordTable() }
      }
      for (const { action, worker } of list) actions[action]!(worker)
      readStore()
      takeNews(second, first, 0)
      takeNews(third, second, 0)
      const expected = [...store.values()].map((record) => `${record.key}@${record.revision}`).sort()
      assert.deepEqual(toText(first), expected)
      assert.deepEqual(toText(second), expected)
      assert.deepEqual(toText(third), expected)
    }), { seed: SEED, numRuns: 1_000 })
  })

  it('are the same at all of them though two followers miss different parts of the history', () => {
    // Two VMs follow the store; each reads everything anew where its part of the history
    // was dropped. Two others learn from either follower and from each other.
    const moves = fc.array(fc.record({
      action: fc.constantFrom('write', 'remove', 'drop', 'read 0', 'read 1', 'learn 2 0', 'learn 2 1', 'learn 3 0', 'learn 3 1', 'learn 3 2', 'learn 2 3'),
      worker: fc.integer({ min: 0, max: 4 }).map(String)
    }), { maxLength: 150 })
    fc.assert(fc.property(moves, (list) => {
      let revision = 1
      let droppedUpTo = 0
      const store = new Map<string, SteeringRecord>()
      const events: Array<{ key: string, revision: number, record: SteeringRecord | undefined }> = []
      const tables = Array.from({ length: 4 }, () => new RecordTable())
      const read = (table: RecordTable): void => {
        if (table.revision <= droppedUpTo) {
          table.applySnapshot({ revision, records: [...store.values()] }, 0)
          return
        }
        const newest = new Map(events.filter((event) => event.revision > table.revision).map((event) => [event.key, event]))
        const removed = [...newest.values()].filter(({ record }) => record === undefined)
        table.applyChanges({ revision, written: [...newest.values()].flatMap(({ record }) => record ?? []), removed: removed.map(({ key, revision: at }) => ({ key, revision: at })) }, 0)
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
        else takeNews(tables[Number(one)]!, tables[Number(other)]!, 0)
      }
      read(tables[0]!)
      read(tables[1]!)
      takeNews(tables[2]!, tables[1]!, 0)
      takeNews(tables[3]!, tables[2]!, 0)
      const expected = [...store.values()].map((record) => `${record.key}@${record.revision}`).sort()
      for (const table of tables) assert.deepEqual(toText(table), expected)
    }), { seed: SEED, numRuns: 3_000 })
  })

  it('let go of a worker that came and went while the teller had lost the store\'s history', () => {
    // A VM hears from a peer that a worker joined (revision 6) and then loses it. The
    // next peer had been cut off meanwhile and read everything anew as of 9, when the
    // worker had gone: it never knew of it, and could not have told that it is gone.
    const teller = new RecordTable()
    teller.applySnapshot({ revision: 5, records: [createWorker('1', 5)] }, 0)
    const listener = new RecordTable()
    listener.applySnapshot({ revision: 6, records: [createWorker('1', 5), createWorker('2', 6)] }, 0)
    teller.applySnapshot({ revision: 9, records: [createWorker('1', 5)] }, 0)
    takeNews(listener, teller, 0)
    assert.deepEqual(toText(listener), ['w/1@5'])
  })

  it('let go of such a worker also when they come over a VM that never lost anything', () => {
    // The same, with a VM between: it heard of the reading as changes, and its listener
    // has heard of the worker from the store's other follower.
    const teller = new RecordTable()
    const between = new RecordTable()
    for (const table of [teller, between]) table.applySnapshot({ revision: 5, records: [createWorker('1', 5)] }, 0)
    const listener = new RecordTable()
    listener.applySnapshot({ revision: 6, records: [createWorker('1', 5), createWorker('2', 6)] }, 0)
    teller.applySnapshot({ revision: 9, records: [createWorker('1', 5)] }, 0)
    takeNews(between, teller, 0)
    takeNews(listener, between, 0)
    assert.deepEqual(toText(listener), ['w/1@5'])
  })

  it('are told as changes to a VM that knew as much as the teller before it read everything anew', () => {
    // The store dropped its history while links were full. Each follower read everything
    // anew and told everything to every VM, 200 kB each over three steps of a tree: for
    // four seconds no VM of the region could prove its records.
    const teller = new RecordTable()
    const listener = new RecordTable()
    const records = Array.from({ length: 50 }, (_, index) => createWorker(String(index), 5))
    for (const table of [teller, listener]) table.applySnapshot({ revision: 5, records }, 0)
    teller.applySnapshot({ revision: 9, records: [...records.slice(1), createWorker('new', 8)] }, 0)
    const news = teller.readNewsAfter(listener.revision)
    assert.deepEqual({ isWhole: news?.isWhole, written: news?.written.length, removed: news?.removed.length }, { isWhole: false, written: 1, removed: 1 })
    takeNews(listener, teller, 0)
    assert.deepEqual(toText(listener), toText(teller))
  })

  it('are held back by the listener for as long as by the teller after an outage', () => {
    // The store was away for all and comes back. A worker's registration lapsed in the
    // outage; the worker lives and registers again within 2 s. The listener, which
    // hears of the removal only from the follower, must not drop it either.
    const teller = new RecordTable()
    const listener = new RecordTable()
    for (const table of [teller, listener]) {
      table.applySnapshot({ revision: 5, records: [createWorker('1', 5)] }, 0)
      table.recordStoreLost(0)
    }
    teller.recordStoreRegained(5_000)
    teller.applyChanges({ revision: 6, written: [], removed: [{ key: 'w/1', revision: 6 }] }, 5_000)
    listener.recordStoreRegained(5_100, teller.getHoldMs(5_100))
    takeNews(listener, teller, 5_100)
    assert.deepEqual(toText(listener), ['w/1@5'])
    assert.deepEqual(listener.releaseHeld(5_000 + REREGISTRATION_GRACE_MS - 1), [])
    assert.equal(listener.releaseHeld(5_000 + REREGISTRATION_GRACE_MS).length, 1)
  })

  it('are held back as well by a VM that learns everything after the outage', () => {
    const teller = new RecordTable()
    teller.applySnapshot({ revision: 5, records: [createWorker('1', 5)] }, 0)
    teller.recordStoreLost(0)
    teller.recordStoreRegained(5_000)
    teller.applyChanges({ revision: 6, written: [], removed: [{ key: 'w/1', revision: 6 }] }, 5_000)
    const listener = new RecordTable()
    listener.updateHold(5_500, teller.getHoldMs(5_500))
    takeNews(listener, teller, 5_500)
    assert.deepEqual(toText(listener), ['w/1@5'])
    assert.equal(listener.releaseHeld(5_000 + REREGISTRATION_GRACE_MS).length, 1)
  })

  it('tell everything to a VM that is further behind than the removals kept', () => {
    const teller = new RecordTable()
    teller.applySnapshot({ revision: 1, records: [] }, 0)
    const listener = new RecordTable()
    teller.applyChanges({ revision: 2, written: [createWorker('old', 2)], removed: [] }, 0)
    takeNews(listener, teller, 0)
    teller.applyChanges({ revision: 3, written: [], removed: [{ key: 'w/old', revision: 3 }] }, 0)
    for (let revision = 4; revision < 10_004; revision += 2) {
      teller.applyChanges({ revision, written: [createWorker(String(revision), revision)], removed: [] }, 0)
      teller.applyChanges({ revision: revision + 1, written: [], removed: [{ key: `w/${revision}`, revision: revision + 1 }] }, 0)
    }
    assert.equal(teller.readNewsAfter(listener.revision)?.isWhole, true)
    takeNews(listener, teller, 0)
    assert.deepEqual(toText(listener), [])
  })
})
