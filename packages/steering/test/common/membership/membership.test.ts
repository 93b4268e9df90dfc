/** Tests membership with a VM list that is delayed or wrong, and with reports that are delayed, duplicated or relayed. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { EMPTY_EFFECTIVE_VM_LIST, MISSING_VM_HOLD_MS, VERSION_RESET_DELAY_MS, SHRUNK_LIST_HOLD_MS, updateEffectiveVmList } from '../../../src/common/membership/effectiveVmList.js'
import { type MemberReport, mergeReports } from '../../../src/common/membership/memberReport.js'
import { MemberTable, MAX_RELAYED_REPORTS } from '../../../src/common/membership/memberTable.js'
import { type VmEntry, VmRole, VmState } from '../../../src/common/ports/vmList.js'
import { NodeState } from '../../../src/common/state/nodeState.js'

const SEED = 5_172
const PROPERTY_OPTIONS = { seed: SEED, numRuns: 200 }
const SUSPECT_TIMEOUT_MS = 4000

function createReport (nodeId: string, beat: number, overrides: Partial<MemberReport> = {}): MemberReport {
  return { nodeId, incarnation: 1, beat, state: NodeState.Live, documents: [], demand: [], isSuspected: false, ...overrides }
}

function createVm (vmId: string): VmEntry {
  return { vmId, role: VmRole.Entry, state: VmState.Live, region: 'r', failureDomain: 'r-a', address: '127.0.0.1:1', peerAddress: '127.0.0.1:2' }
}

const reportArbitrary = fc.record({ incarnation: fc.integer({ min: 1, max: 3 }), beat: fc.integer({ min: 1, max: 4 }), isSuspected: fc.boolean() })
  .map(({ incarnation, beat, isSuspected }) => createReport('a', beat, { incarnation, isSuspected }))

describe('reports of one node', () => {
  it('merge to the same result in any order and with duplicates', () => {
    const mergeAll = (reports: readonly MemberReport[]): MemberReport | undefined =>
      reports.reduce<MemberReport | undefined>((known, report) => mergeReports(known, report), undefined)
    fc.assert(fc.property(fc.array(reportArbitrary, { minLength: 1, maxLength: 8 }), fc.infiniteStream(fc.nat()), (reports, shuffleKeys) => {
      const shuffled = reports.map((report) => ({ report, key: shuffleKeys.next().value ?? 0 })).sort((left, right) => left.key - right.key).map(({ report }) => report)
      assert.deepEqual(mergeAll([...shuffled, ...reports]), mergeAll(reports))
    }), PROPERTY_OPTIONS)
  })

  it('a newer heartbeat ends any suspicion of older ones, even if the suspicion arrives after it', () => {
    fc.assert(fc.property(fc.array(reportArbitrary, { maxLength: 8 }), (reports) => {
      const newestReport = createReport('a', 5, { incarnation: 3 })
      const table = new MemberTable('self')
      for (const report of [...reports, newestReport, ...reports]) table.observe(report, 0)
      assert.equal(table.getState('a', 0), NodeState.Live)
    }), PROPERTY_OPTIONS)
  })
})

describe('member table', () => {
  it('suspects a node without heartbeats at its deadline; duplicate and late reports don\'t postpone it', () => {
    // Failure: a VM dies and its last heartbeats are still relayed. If they counted,
    // callers would be sent to the dead VM as long as old reports circulate.
    const table = new MemberTable('self')
    table.observe(createReport('a', 7), 0)
    for (let now = 500; now < SUSPECT_TIMEOUT_MS; now += 500) {
      assert.equal(table.observe(createReport('a', 7), now), false)
      assert.equal(table.observe(createReport('a', 6), now), false)
      assert.equal(table.getState('a', now), NodeState.Live)
    }
    assert.deepEqual(table.markSuspected(SUSPECT_TIMEOUT_MS), ['a'])
    assert.equal(table.getState('a', SUSPECT_TIMEOUT_MS), NodeState.Suspected)
    assert.equal(table.observe(createReport('a', 8), SUSPECT_TIMEOUT_MS + 1), true)
    assert.equal(table.getState('a', SUSPECT_TIMEOUT_MS + 1), NodeState.Live)
  })

  it('relays a suspicion to a node that has no contact with the dead one', () => {
    const near = new MemberTable('near')
    const far = new MemberTable('far')
    near.updateFleetSize(400, ['a'])
    far.updateFleetSize(400, [])
    near.observe(createReport('a', 3), 0)
    far.observe(createReport('a', 3), 0)
    near.markSuspected(30_000)
    assert.equal(far.getState('a', 30_000), NodeState.Live)
    for (const report of near.listReportsToRelay(30_000)) far.observe(report, 30_000)
    assert.equal(far.getState('a', 30_000), NodeState.Suspected)
  })

  it('a node that was paused suspects all others until it receives newer heartbeats, and doesn\'t make others suspect each other', () => {
    // Failure: a daemon is paused for a minute and resumes. It has missed the heartbeats
    // of all nodes; its relayed suspicions must not make the others suspect each other.
    const paused = new MemberTable('paused')
    const other = new MemberTable('other')
    paused.observe(createReport('a', 5), 0)
    other.observe(createReport('a', 125), 60_000)
    assert.deepEqual(paused.markSuspected(60_000), ['a'])
    for (const report of paused.listReportsToRelay(60_000)) other.observe(report, 60_000)
    assert.equal(other.getState('a', 60_000), NodeState.Live)
    for (const report of other.listReportsToRelay(60_000)) paused.observe(report, 60_001)
    assert.equal(paused.getState('a', 60_001), NodeState.Live)
  })

  it('messages of the previous process change nothing after a restart', () => {
    const table = new MemberTable('self')
    table.observe(createReport('a', 1, { incarnation: 2, state: NodeState.Joining }), 0)
    table.observe(createReport('a', 900, { incarnation: 1, state: NodeState.Leaving }), 1)
    assert.equal(table.getState('a', 1), NodeState.Joining)
  })

  it('relays a bounded number of reports: the latest change first, and all nodes in rotation', () => {
    const table = new MemberTable('self')
    const count = 200
    for (let index = 0; index < count; index++) table.observe(createReport(`n${index}`, 1), index)
    table.observe(createReport('n3', 2, { state: NodeState.Leaving }), 1000)
    assert.equal(table.listReportsToRelay(1000)[0]?.nodeId, 'n3')
    const seen = new Set<string>()
    for (let round = 0; round < 2 * count / MAX_RELAYED_REPORTS + 1; round++) {
      const relayed = table.listReportsToRelay(1000)
      assert.ok(relayed.length <= MAX_RELAYED_REPORTS)
      relayed.forEach((report) => seen.add(report.nodeId))
    }
    assert.equal(seen.size, count)
  })
})

describe('VM list', () => {
  const vms = Array.from({ length: 12 }, (_, index) => createVm(`entry-${index}`))
  const isRespondingNever = (): boolean => false
  const full = updateEffectiveVmList(EMPTY_EFFECTIVE_VM_LIST, { version: 5, vms }, { now: 0, isResponding: isRespondingNever })

  it('an empty or shrunken list removes no VM before the long hold time ends, and a complete list cancels the removal', () => {
    // Failure: the list service returns an empty list for a minute. If it were accepted,
    // each daemon would consider itself the only one and use all slots of every worker.
    fc.assert(fc.property(fc.integer({ min: 0, max: 5 }), (left) => {
      const shrunken = { version: 6, vms: vms.slice(0, left) }
      let effective = full
      for (let now = 1000; now < SHRUNK_LIST_HOLD_MS; now += 1000) {
        effective = updateEffectiveVmList(effective, shrunken, { now, isResponding: isRespondingNever })
        assert.equal(effective.vms.size, 12)
      }
      const restored = updateEffectiveVmList(effective, { version: 7, vms }, { now: SHRUNK_LIST_HOLD_MS, isResponding: isRespondingNever })
      assert.ok([...restored.vms.values()].every(({ dropAt }) => dropAt === undefined))
      const dropped = updateEffectiveVmList(effective, shrunken, { now: SHRUNK_LIST_HOLD_MS + 1000, isResponding: isRespondingNever })
      assert.equal(dropped.vms.size, left)
    }), PROPERTY_OPTIONS)
  })

  it('one missing VM is removed after the short hold time, but not while its daemon responds', () => {
    const listWithoutFirst = { version: 6, vms: vms.slice(1) }
    const afterMissing = updateEffectiveVmList(full, listWithoutFirst, { now: 1000, isResponding: isRespondingNever })
    assert.equal(afterMissing.vms.size, 12)
    const after = { now: 1000 + MISSING_VM_HOLD_MS }
    assert.equal(updateEffectiveVmList(afterMissing, listWithoutFirst, { ...after, isResponding: isRespondingNever }).vms.size, 11)
    assert.equal(updateEffectiveVmList(afterMissing, listWithoutFirst, { ...after, isResponding: (vmId) => vmId === 'entry-0' }).vms.size, 12)
  })

  it('an older version is ignored, unless it persists because the version counter was reset', () => {
    const olderList = { version: 2, vms: [...vms, createVm('entry-99')] }
    const ignored = updateEffectiveVmList(full, olderList, { now: 1000, isResponding: isRespondingNever })
    assert.equal(ignored.vms.size, 12)
    const effective = updateEffectiveVmList(ignored, olderList, { now: 1000 + VERSION_RESET_DELAY_MS, isResponding: isRespondingNever })
    assert.deepEqual([effective.vms.size, effective.version], [13, 2])
  })
})
