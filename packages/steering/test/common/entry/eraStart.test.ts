import assert from 'node:assert/strict'
import fc from 'fast-check'
import { describe, it } from 'node:test'
import { RecordReplica } from '../../../src/common/entry/recordReplica.js'
import { RecordKind, type SteeringRecord, UpstreamState } from '../../../src/common/entry/records.js'

const SEED = 20261203
/** Longer than any grace period. */
const LONG_AFTER_MS = 60_000

function createDocument (version: number, revision: number): SteeringRecord {
  return { kind: RecordKind.Document, key: 'document', revision, value: { version, routes: [], services: [], limits: { headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1 } } }
}

function createWorker (id: string, revision: number, sequence: number, state = UpstreamState.Ready): SteeringRecord {
  return { kind: RecordKind.Upstream, key: `servers/${id}`, revision, value: { id, service: 's', address: '127.0.0.1:1', domain: 'd', slots: 1, state, coldMs: 0, sequence } }
}

function createEvacuation (domain: string, revision: number): SteeringRecord {
  return { kind: RecordKind.Evacuation, key: `op/evacuate/${domain}`, revision, value: domain }
}

function getVersion (replica: RecordReplica): number {
  const record = replica.get('document')
  return record?.kind === RecordKind.Document ? record.value.version : 0
}

describe('records after the store has come back from an older copy', () => {
  it('stay the newest that their writers have written, whatever the copy holds', () => {
    const replica = new RecordReplica()
    replica.applySnapshot({ era: 1, revision: 70, records: [createDocument(19, 70), createWorker('a', 68, 4, UpstreamState.Draining), createWorker('b', 69, 9)] }, 0)
    replica.applyChanges({ era: 1, revision: 71, written: [], removed: [{ key: 'servers/b', revision: 71 }] }, 0)
    const changes = replica.applySnapshot({ era: 2, revision: 66, records: [createDocument(8, 60), createWorker('a', 61, 3), createWorker('b', 62, 9), createWorker('c', 63, 1)] }, 1)
    assert.deepEqual(changes.map(({ record }) => record?.key), ['servers/c'])
    assert.equal(getVersion(replica), 19)
    assert.equal(replica.get('servers/b'), undefined)
    assert.deepEqual(replica.position, { era: 2, revision: 66 })
  })

  it('follow what the writers write next, also at revisions that were given out before', () => {
    const replica = new RecordReplica()
    replica.applySnapshot({ era: 1, revision: 70, records: [createDocument(19, 70), createWorker('a', 68, 4, UpstreamState.Draining), createEvacuation('d', 69)] }, 0)
    replica.applySnapshot({ era: 2, revision: 66, records: [createDocument(8, 60), createWorker('a', 61, 3), createEvacuation('d', 64)] }, 1)
    replica.applyChanges({ era: 2, revision: 69, written: [createDocument(23, 67)], removed: [{ key: 'servers/a', revision: 68 }, { key: 'op/evacuate/d', revision: 69 }] }, 2)
    assert.equal(getVersion(replica), 23)
    assert.equal(replica.get('servers/a'), undefined)
    assert.equal(replica.get('op/evacuate/d'), undefined)
  })

  it('that the copy lacks stay in force for a while, and end unless they are written again', () => {
    const replica = new RecordReplica()
    replica.applySnapshot({ era: 1, revision: 70, records: [createDocument(19, 70), createWorker('a', 68, 4), createWorker('b', 68, 4), createEvacuation('d', 69)] }, 0)
    assert.deepEqual(replica.applySnapshot({ era: 2, revision: 66, records: [] }, 1), [])
    replica.applyChanges({ era: 2, revision: 67, written: [createWorker('b', 67, 5)], removed: [] }, 2)
    const ended = replica.applyDueRemovals(LONG_AFTER_MS).map(({ previous }) => previous?.key).sort()
    assert.deepEqual(ended, ['op/evacuate/d', 'servers/a'])
    assert.deepEqual(replica.list().map(({ key }) => key).sort(), ['document', 'servers/b'])
  })

  it('that a peer keeps for a while are in force at a VM that has read more of the copy\'s era, and end there too', () => {
    // Guards against requests into an emptied failure domain from a VM that starts after the rollback.
    const keeper = new RecordReplica()
    keeper.applySnapshot({ era: 1, revision: 70, records: [createEvacuation('d', 69), createWorker('a', 68, 4)] }, 0)
    keeper.applySnapshot({ era: 2, revision: 66, records: [] }, 1)
    const update = { ...keeper.buildUpdateAfter({ era: 0, revision: 0 })!, unconfirmed: keeper.unconfirmed.list(2) }
    const joined = new RecordReplica()
    joined.applySnapshot({ era: 2, revision: 68, records: [] }, 2)
    assert.deepEqual(joined.applyUpdate(update, 2)?.map(({ record }) => record?.key), ['op/evacuate/d'])
    assert.deepEqual(joined.applyDueRemovals(LONG_AFTER_MS).map(({ previous }) => previous?.key), ['op/evacuate/d'])
    const rewritten = new RecordReplica()
    rewritten.applySnapshot({ era: 2, revision: 68, records: [createEvacuation('d', 67)] }, 2)
    assert.deepEqual(rewritten.applyUpdate(update, 2), [])
    rewritten.applyChanges({ era: 2, revision: 69, written: [], removed: [{ key: 'op/evacuate/d', revision: 69 }] }, 3)
    assert.deepEqual(rewritten.applyUpdate(update, 4), [])
  })

  it('that the copy held in an older state end when a later read lacks them', () => {
    // Guards against workers that stay for ever because the copy held an older registration of theirs.
    const replica = new RecordReplica()
    replica.applySnapshot({ era: 1, revision: 70, records: [createWorker('a', 68, 4)] }, 0)
    replica.applySnapshot({ era: 2, revision: 66, records: [createWorker('a', 61, 3)] }, 1)
    replica.applySnapshot({ era: 2, revision: 90, records: [] }, LONG_AFTER_MS)
    assert.equal(replica.get('servers/a'), undefined)
  })

  it('that one VM gives up unless they are written again end at the VMs that replicate from it, too', () => {
    // Guards against workers and evacuations that stay for ever at VMs that do not read the store, or that end too soon there.
    const reader = new RecordReplica()
    reader.applySnapshot({ era: 1, revision: 70, records: [createWorker('a', 68, 4), createEvacuation('d', 69), createWorker('b', 69, 2)] }, 0)
    reader.applySnapshot({ era: 2, revision: 66, records: [] }, 1)
    const update = { ...reader.buildUpdateAfter({ era: 1, revision: 70 })!, unconfirmed: reader.unconfirmed.list(1_001) }
    for (const known of [[], [createWorker('a', 68, 4), createEvacuation('d', 69)]]) {
      const peer = new RecordReplica()
      if (known.length > 0) peer.applySnapshot({ era: 1, revision: 70, records: known }, 0)
      peer.applyUpdate(update, 1_100)
      peer.applyChanges({ era: 2, revision: 67, written: [createWorker('b', 67, 3)], removed: [] }, 1_200)
      assert.deepEqual(peer.applyDueRemovals(1_300), [])
      assert.deepEqual(peer.applyDueRemovals(5_000).map(({ previous }) => previous?.key), ['servers/a'])
      assert.deepEqual(peer.applyDueRemovals(LONG_AFTER_MS).map(({ previous }) => previous?.key), ['op/evacuate/d'])
      assert.deepEqual(peer.list().map(({ key }) => key), ['servers/b'])
    }
  })

  it('reach a VM that has read only the copy as soon as the operator writes its configuration again', () => {
    // Guards against VMs that keep an older configuration, since the one that their source has kept is no change to it.
    const reader = new RecordReplica()
    reader.applySnapshot({ era: 1, revision: 70, records: [createDocument(19, 70)] }, 0)
    reader.applySnapshot({ era: 2, revision: 66, records: [createDocument(8, 60)] }, 1)
    const started = new RecordReplica()
    started.applySnapshot({ era: 2, revision: 66, records: [createDocument(8, 60)] }, 1)
    reader.applyChanges({ era: 2, revision: 67, written: [createDocument(19, 67)], removed: [] }, 2)
    started.applyUpdate(reader.buildUpdateAfter(started.position)!, 3)
    assert.equal(getVersion(started), 19)
  })

  it('are not taken from answers or peers of an earlier era', () => {
    const replica = new RecordReplica()
    replica.applySnapshot({ era: 2, revision: 66, records: [createDocument(8, 60)] }, 0)
    assert.deepEqual(replica.applySnapshot({ era: 1, revision: 99, records: [createDocument(9, 99)] }, 1), [])
    assert.deepEqual(replica.applyChanges({ era: 1, revision: 99, written: [createDocument(9, 99)], removed: [] }, 1), [])
    assert.deepEqual(replica.applyUpdate({ era: 1, revision: 99, isWhole: true, gaps: [], written: [createDocument(9, 99)], removed: [] }, 1), [])
    assert.equal(replica.applyUpdate({ era: 3, revision: 99, isWhole: false, gaps: [], written: [createDocument(9, 99)], removed: [] }, 1), undefined, 'a full update is needed')
    assert.equal(getVersion(replica), 8)
  })

  it('are sent whole to peers of an earlier era, and to none of a later one', () => {
    const replica = new RecordReplica()
    replica.applySnapshot({ era: 1, revision: 70, records: [createDocument(19, 70)] }, 0)
    replica.applySnapshot({ era: 2, revision: 66, records: [createDocument(8, 60)] }, 1)
    assert.equal(replica.buildUpdateAfter({ era: 1, revision: 70 })?.isWhole, true)
    assert.equal(replica.buildUpdateAfter({ era: 2, revision: 66 }), undefined)
    assert.equal(replica.buildUpdateAfter({ era: 3, revision: 1 }), undefined)
    const peer = new RecordReplica()
    peer.applyUpdate(replica.buildUpdateAfter({ era: 0, revision: 0 })!, 2)
    assert.equal(getVersion(peer), 19)
  })

  it('never return to an older configuration, and end equal at all VMs, however often the store goes back', () => {
    // One VM reads the store, another replicates from it; the store goes back, and the operator writes its newest configuration again.
    const action = fc.constantFrom('write', 'write again', 'copy', 'roll back', 'read', 'watch', 'replicate', 'restart')
    fc.assert(fc.property(fc.array(action, { maxLength: 80 }), (list) => {
      let store = { era: 1, revision: 1, version: 1, at: 1 }
      let copy = store
      let newest = 1
      const reader = new RecordReplica()
      let peer = new RecordReplica()
      const readSnapshot = () => ({ era: store.era, revision: store.revision, records: [createDocument(store.version, store.at)] })
      const readStore = (): void => { reader.applySnapshot(readSnapshot(), 0) }
      const update = (): void => {
        const news = reader.buildUpdateAfter(peer.position)
        if (news !== undefined && peer.applyUpdate(news, 0) === undefined) peer.applyUpdate(reader.buildUpdateAfter({ era: 0, revision: 0 })!, 0)
      }
      const actions: Readonly<Record<typeof action extends fc.Arbitrary<infer T> ? T & string : never, () => void>> = {
        write: () => {
          newest++
          store = { ...store, revision: store.revision + 1, version: newest, at: store.revision + 1 }
        },
        'write again': () => { store = { ...store, revision: store.revision + 1, version: newest, at: store.revision + 1 } },
        restart: () => {
          peer = new RecordReplica()
          peer.applySnapshot(readSnapshot(), 0)
        },
        copy: () => { copy = store },
        'roll back': () => { store = { ...copy, era: store.era + 1 } },
        read: readStore,
        watch: () => {
          const { era, revision } = reader.position
          if (era === store.era && revision <= store.revision) reader.applyChanges({ era, revision: store.revision, written: store.at > revision ? [createDocument(store.version, store.at)] : [], removed: [] }, 0)
          else readStore()
        },
        replicate: update
      }
      let known = 0
      for (const name of list) {
        actions[name]()
        assert.ok(getVersion(reader) >= known)
        known = getVersion(reader)
      }
      actions['write again']()
      actions.watch()
      update()
      assert.deepEqual([getVersion(reader), getVersion(peer)], [newest, newest])
    }), { seed: SEED, numRuns: 500 })
  })
})
