import assert from 'node:assert/strict'
import fc from 'fast-check'
import { describe, it } from 'node:test'
import { RecordKind, type SteeringRecord, UpstreamState } from '../../../src/common/entry/records.js'
import { RecordReplica } from '../../../src/common/entry/recordReplica.js'
import { REREGISTRATION_GRACE_MS } from '../../../src/common/entry/removalHold.js'
import { RouteKind } from '../../../src/common/entry/steeringDocument.js'

const SEED = 20261202

function createWorker (id: string, revision: number, state = UpstreamState.Ready): SteeringRecord {
  return { kind: RecordKind.Upstream, key: `w/${id}`, revision, value: { id, service: 's', address: '127.0.0.1:1', domain: 'a', slots: 4, state, coldMs: 0 } }
}

function createDocument (version: number, revision: number): SteeringRecord {
  return { kind: RecordKind.Document, key: 'document', revision, value: { version, routes: [], services: [], limits: { headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1 } } }
}

/** Creates a configuration whose route is unique to its version. */
function createRoutedDocument (version: number, revision: number): SteeringRecord {
  const route = { name: `r${version}`, host: 'h', prefix: `/${version}/`, kind: RouteKind.Idempotent, parts: [], timeoutMs: 1, goalMs: 1, attempts: 1, priority: 1, isSticky: false, homeRegions: [], isOpen: false }
  const record = createDocument(version, revision)
  return record.kind === RecordKind.Document ? { ...record, value: { ...record.value, routes: [route] } } : record
}

describe('the record replica of a VM', () => {
  it('never returns to an older configuration, in whatever order messages arrive', () => {
    const messages = fc.array(fc.record({ revision: fc.integer({ min: 1, max: 40 }), way: fc.constantFrom('snapshot', 'changes', 'whole news', 'news') }), { maxLength: 60 })
    fc.assert(fc.property(messages, (list) => {
      const table = new RecordReplica()
      let newest = 0
      for (const { revision, way } of list) {
        const record = createDocument(revision, revision)
        if (way === 'snapshot') table.applySnapshot({ era: 1, revision, records: [record] }, 0)
        else if (way === 'changes') table.applyChanges({ era: 1, revision, written: [record], removed: [] }, 0)
        else table.applyUpdate({ era: 1, revision, isWhole: way === 'whole news', gaps: [], written: [record], removed: [] }, 0)
        newest = Math.max(newest, revision)
        const known = table.get('document')
        assert.equal(known?.kind === RecordKind.Document ? known.value.version : 0, newest)
      }
    }), { seed: SEED })
  })

  it('never returns to an older configuration, whatever eras and revisions messages have', () => {
    // Guards against an accepted configuration that is undone after the store has come back from an older copy.
    const fields = { version: fc.integer({ min: 1, max: 20 }), revision: fc.integer({ min: 1, max: 20 }), ahead: fc.integer({ min: 0, max: 5 }), era: fc.integer({ min: 1, max: 3 }) }
    const messages = fc.array(fc.record({ ...fields, way: fc.constantFrom('snapshot', 'changes', 'whole news', 'news') }), { maxLength: 40 })
    fc.assert(fc.property(messages, (list) => {
      const table = new RecordReplica()
      let newest = 0
      for (const { version, revision, ahead, era, way } of list) {
        const position = { era, revision: revision + ahead }
        const written = [createRoutedDocument(version, revision)]
        if (way === 'snapshot') table.applySnapshot({ ...position, records: written }, 0)
        else if (way === 'changes') table.applyChanges({ ...position, written, removed: [] }, 0)
        else table.applyUpdate({ ...position, isWhole: way === 'whole news', gaps: [], written, removed: [] }, 0)
        const known = table.get('document')
        const knownVersion = known?.kind === RecordKind.Document ? known.value.version : 0
        assert.ok(knownVersion >= newest, `version ${knownVersion} after ${newest}`)
        if (way === 'whole news' && era === table.position.era) assert.ok(knownVersion >= version, `version ${knownVersion} after ${version} of a peer`)
        newest = knownVersion
      }
    }), { seed: SEED })
  })

  it('passes on a configuration that the store has lost, as long as the store does not hold it again', () => {
    const lost = new RecordReplica()
    lost.applySnapshot({ era: 1, revision: 50, records: [createRoutedDocument(2, 50)] }, 0)
    lost.applySnapshot({ era: 2, revision: 40, records: [createRoutedDocument(1, 30)] }, 0)
    assert.equal(lost.isDocumentUnconfirmed, true)
    lost.applyChanges({ era: 2, revision: 60, written: [createRoutedDocument(1, 60)], removed: [] }, 0)
    assert.equal(lost.isDocumentUnconfirmed, true)
    const later = new RecordReplica()
    later.applySnapshot({ era: 2, revision: 70, records: [createRoutedDocument(1, 60)] }, 0)
    assert.notEqual(later.applyUpdate(lost.buildUpdateAfter({ era: 0, revision: 0 })!, 0), undefined)
    assert.deepEqual(later.get('document'), createRoutedDocument(2, 70))
    assert.equal(later.isDocumentUnconfirmed, true)
    later.applyChanges({ era: 2, revision: 80, written: [createRoutedDocument(2, 80)], removed: [] }, 0)
    assert.equal(later.isDocumentUnconfirmed, false)
    assert.deepEqual(later.get('document'), createRoutedDocument(2, 80))
  })

  it('keeps a configuration that was read ahead of the other records when a peer sends earlier ones', () => {
    // Guards against a VM that requests full updates repeatedly after its start because no delta fits its
    // configuration.
    const table = new RecordReplica()
    table.applySnapshot({ era: 1, revision: 10, records: [createRoutedDocument(5, 15)] }, 0)
    const sender = new RecordReplica()
    sender.applySnapshot({ era: 1, revision: 10, records: [createRoutedDocument(3, 9)] }, 0)
    sender.applyChanges({ era: 1, revision: 12, written: [createRoutedDocument(4, 12)], removed: [] }, 0)
    assert.notEqual(table.applyUpdate(sender.buildUpdateAfter({ era: 1, revision: 10 })!, 0), undefined)
    assert.equal(table.revision, 12)
    assert.deepEqual(table.get('document'), createRoutedDocument(5, 15))
    sender.applyChanges({ era: 1, revision: 20, written: [createRoutedDocument(5, 15), createRoutedDocument(6, 20)], removed: [] }, 0)
    assert.notEqual(table.applyUpdate(sender.buildUpdateAfter({ era: 1, revision: 12 })!, 0), undefined)
    assert.deepEqual(table.get('document'), createRoutedDocument(6, 20))
  })

  it('does not restore a worker whose removal a peer has sent', () => {
    // A VM that was cut off gets a full update from a peer, as of revision 12, after a worker has left. The
    // store then sends it the history since revision 5, in which the worker still changes; the worker must not
    // get requests again.
    const table = new RecordReplica()
    table.applySnapshot({ era: 1, revision: 5, records: [createWorker('1', 5)] }, 0)
    table.recordStoreLost(0)
    table.recordStoreRecovered(2_500, 0)
    table.applyUpdate({ era: 1, revision: 12, isWhole: true, gaps: [], written: [], removed: [] }, 2_500)
    assert.equal(table.get('w/1'), undefined)
    table.applyChanges({ era: 1, revision: 13, written: [createWorker('1', 8)], removed: [{ key: 'w/1', revision: 10 }] }, 3_000)
    assert.equal(table.get('w/1'), undefined)
  })

  it('keeps a worker whose lease expired during an outage until it may have registered again', () => {
    const table = new RecordReplica()
    table.applySnapshot({ era: 1, revision: 5, records: [createWorker('1', 4), createWorker('2', 5)] }, 0)
    table.recordStoreLost(0)
    table.recordStoreRecovered(5_000)
    table.applyChanges({ era: 1, revision: 9, written: [], removed: [{ key: 'w/1', revision: 8 }, { key: 'w/2', revision: 9 }] }, 5_000)
    assert.notEqual(table.get('w/1'), undefined)
    table.applyChanges({ era: 1, revision: 10, written: [createWorker('1', 10)], removed: [] }, 6_500)
    assert.deepEqual(table.applyDueRemovals(5_000 + REREGISTRATION_GRACE_MS).map(({ previous }) => previous?.key), ['w/2'])
    assert.notEqual(table.get('w/1'), undefined, 'it registered again')
  })

  it('keeps a worker that disappears just after an outage no longer than one that disappears during it', () => {
    // The store refuses one VM for 5 s. At 6 s a worker leaves without announcing it; 2.5 s later no VM may send
    // it requests. If the removal started another full grace period, this VM would send requests until 8.1 s.
    const table = new RecordReplica()
    table.applySnapshot({ era: 1, revision: 5, records: [createWorker('1', 4), createWorker('2', 5)] }, 0)
    table.recordStoreLost(0)
    table.recordStoreRecovered(5_000)
    table.applyChanges({ era: 1, revision: 9, written: [], removed: [{ key: 'w/1', revision: 9 }] }, 6_000)
    assert.deepEqual(table.applyDueRemovals(5_000 + REREGISTRATION_GRACE_MS).map(({ previous }) => previous?.key), ['w/1'])
  })

  it('removes held records at the end of a short outage', () => {
    const table = new RecordReplica()
    table.applySnapshot({ era: 1, revision: 5, records: [createWorker('1', 4)] }, 0)
    table.recordStoreLost(0)
    table.applyChanges({ era: 1, revision: 9, written: [], removed: [{ key: 'w/1', revision: 9 }] }, 500)
    assert.notEqual(table.get('w/1'), undefined)
    table.recordStoreRecovered(1_000)
    assert.deepEqual(table.applyDueRemovals(1_000).map(({ previous }) => previous?.key), ['w/1'])
  })

  it('removes at once what disappears while the store answers, and draining workers always', () => {
    const table = new RecordReplica()
    table.applySnapshot({ era: 1, revision: 5, records: [createWorker('1', 4), createWorker('2', 5, UpstreamState.Draining)] }, 0)
    table.applyChanges({ era: 1, revision: 6, written: [], removed: [{ key: 'w/1', revision: 6 }] }, 100)
    assert.equal(table.get('w/1'), undefined)
    table.recordStoreLost(200)
    table.recordStoreRecovered(9_000)
    table.applyChanges({ era: 1, revision: 7, written: [], removed: [{ key: 'w/2', revision: 7 }] }, 9_000)
    assert.equal(table.get('w/2'), undefined)
  })

  it('ignores an older snapshot', () => {
    const table = new RecordReplica()
    table.applySnapshot({ era: 1, revision: 9, records: [createWorker('1', 9)] }, 0)
    assert.deepEqual(table.applySnapshot({ era: 1, revision: 8, records: [] }, 0), [])
    assert.notEqual(table.get('w/1'), undefined)
  })
})
