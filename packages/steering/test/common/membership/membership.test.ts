/** Membership from a list that lags and lies, and from reports that come late, twice and by detours. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { EMPTY_BELIEVED_LIST, MISSING_HOLD_SPAN_MS, RESET_HOLD_SPAN_MS, SHRUNK_HOLD_SPAN_MS, stepBelievedList } from '../../../src/common/membership/believedList.js'
import { type MemberReport, mergeReports } from '../../../src/common/membership/memberReport.js'
import { MemberTable, RELAY_LIMIT } from '../../../src/common/membership/memberTable.js'
import { type VmEntry, VmRole, VmState } from '../../../src/common/ports/vmList.js'
import { NodeState } from '../../../src/common/state/nodeState.js'

const SEED = 5_172
const RUNS = { seed: SEED, numRuns: 200 }
const SILENCE_SPAN_MS = 4000

function createReport (nodeId: string, beat: number, more: Partial<MemberReport> = {}): MemberReport {
  return { nodeId, incarnation: 1, beat, state: NodeState.Live, documents: [], demand: [], isSuspected: false, ...more }
}

function createVm (vmId: string): VmEntry {
  return { vmId, role: VmRole.Entry, state: VmState.Live, region: 'r', failureDomain: 'r-a', address: '127.0.0.1:1', peerAddress: '127.0.0.1:2' }
}

const reportArbitrary = fc.record({ incarnation: fc.integer({ min: 1, max: 3 }), beat: fc.integer({ min: 1, max: 4 }), isSuspected: fc.boolean() })
  .map(({ incarnation, beat, isSuspected }) => createReport('a', beat, { incarnation, isSuspected }))

describe('reports of one node', () => {
  it('join to the same in any order and however often each comes', () => {
    const join = (reports: readonly MemberReport[]): MemberReport | undefined =>
      reports.reduce<MemberReport | undefined>((known, report) => mergeReports(known, report), undefined)
    fc.assert(fc.property(fc.array(reportArbitrary, { minLength: 1, maxLength: 8 }), fc.infiniteStream(fc.nat()), (reports, picks) => {
      const shuffled = reports.map((report) => ({ report, key: picks.next().value ?? 0 })).sort((left, right) => left.key - right.key).map(({ report }) => report)
      assert.deepEqual(join([...shuffled, ...reports]), join(reports))
    }), RUNS)
  })

  it('a newer beat ends any suspicion of older ones, also if the suspicion comes after it', () => {
    fc.assert(fc.property(fc.array(reportArbitrary, { maxLength: 8 }), (reports) => {
      const alive = createReport('a', 5, { incarnation: 3 })
      const table = new MemberTable('self')
      for (const report of [...reports, alive, ...reports]) table.observe(report, 0)
      assert.equal(table.getState('a', 0), NodeState.Live)
    }), RUNS)
  })
})

describe('member table', () => {
  it('suspects a silent node at its deadline; duplicates and late relays are no sign of life', () => {
    // A VM dies. Its last heartbeats are still relayed around; callers would be
    // sent to the dead VM for as long as old reports went round.
    const table = new MemberTable('self')
    table.observe(createReport('a', 7), 0)
    for (let now = 500; now < SILENCE_SPAN_MS; now += 500) {
      assert.equal(table.observe(createReport('a', 7), now), false)
      assert.equal(table.observe(createReport('a', 6), now), false)
      assert.equal(table.getState('a', now), NodeState.Live)
    }
    assert.deepEqual(table.markSilent(SILENCE_SPAN_MS), ['a'])
    assert.equal(table.getState('a', SILENCE_SPAN_MS), NodeState.Suspected)
    assert.equal(table.observe(createReport('a', 8), SILENCE_SPAN_MS + 1), true)
    assert.equal(table.getState('a', SILENCE_SPAN_MS + 1), NodeState.Live)
  })

  it('passes a suspicion on to a node that never spoke to the dead one', () => {
    const near = new MemberTable('near')
    const far = new MemberTable('far')
    near.updateSize(400, ['a'])
    far.updateSize(400, [])
    near.observe(createReport('a', 3), 0)
    far.observe(createReport('a', 3), 0)
    near.markSilent(30_000)
    assert.equal(far.getState('a', 30_000), NodeState.Live)
    for (const report of near.listRelayed(30_000)) far.observe(report, 30_000)
    assert.equal(far.getState('a', 30_000), NodeState.Suspected)
  })

  it('a node paused past everybody’s deadline takes nobody for dead once it hears newer beats, and is believed itself', () => {
    // A daemon is stopped for a minute and goes on. To it, everybody was silent; its
    // word must not make the others suspect each other.
    const paused = new MemberTable('paused')
    const other = new MemberTable('other')
    paused.observe(createReport('a', 5), 0)
    other.observe(createReport('a', 125), 60_000)
    assert.deepEqual(paused.markSilent(60_000), ['a'])
    for (const report of paused.listRelayed(60_000)) other.observe(report, 60_000)
    assert.equal(other.getState('a', 60_000), NodeState.Live)
    for (const report of other.listRelayed(60_000)) paused.observe(report, 60_001)
    assert.equal(paused.getState('a', 60_001), NodeState.Live)
  })

  it('an old process’s messages change nothing after a restart', () => {
    const table = new MemberTable('self')
    table.observe(createReport('a', 1, { incarnation: 2, state: NodeState.Joining }), 0)
    table.observe(createReport('a', 900, { incarnation: 1, state: NodeState.Leaving }), 1)
    assert.equal(table.getState('a', 1), NodeState.Joining)
  })

  it('relays a bounded part; the newest change at once, and every node in turn', () => {
    const table = new MemberTable('self')
    const count = 200
    for (let index = 0; index < count; index++) table.observe(createReport(`n${index}`, 1), index)
    table.observe(createReport('n3', 2, { state: NodeState.Leaving }), 1000)
    assert.equal(table.listRelayed(1000)[0]?.nodeId, 'n3')
    const seen = new Set<string>()
    for (let round = 0; round < 2 * count / RELAY_LIMIT + 1; round++) {
      const relayed = table.listRelayed(1000)
      assert.ok(relayed.length <= RELAY_LIMIT)
      relayed.forEach((report) => seen.add(report.nodeId))
    }
    assert.equal(seen.size, count)
  })
})

describe('VM list', () => {
  const vms = Array.from({ length: 12 }, (_, index) => createVm(`entry-${index}`))
  const isSilent = (): boolean => false
  const full = stepBelievedList(EMPTY_BELIEVED_LIST, { version: 5, vms }, { now: 0, isHeard: isSilent })

  it('an empty or shrunken list takes nobody away before the long hold, and a full one later makes it forgotten', () => {
    // The list service answers with nothing for a minute. Believed, it would leave
    // every daemon alone with itself, each using all slots of every worker.
    fc.assert(fc.property(fc.integer({ min: 0, max: 5 }), (left) => {
      const shrunken = { version: 6, vms: vms.slice(0, left) }
      let believed = full
      for (let now = 1000; now < SHRUNK_HOLD_SPAN_MS; now += 1000) {
        believed = stepBelievedList(believed, shrunken, { now, isHeard: isSilent })
        assert.equal(believed.vms.size, 12)
      }
      const restored = stepBelievedList(believed, { version: 7, vms }, { now: SHRUNK_HOLD_SPAN_MS, isHeard: isSilent })
      assert.ok([...restored.vms.values()].every(({ dropAt }) => dropAt === undefined))
      const dropped = stepBelievedList(believed, shrunken, { now: SHRUNK_HOLD_SPAN_MS + 1000, isHeard: isSilent })
      assert.equal(dropped.vms.size, left)
    }), RUNS)
  })

  it('one VM that is missing goes after a short hold, but not while its daemon is heard', () => {
    const without = { version: 6, vms: vms.slice(1) }
    const held = stepBelievedList(full, without, { now: 1000, isHeard: isSilent })
    assert.equal(held.vms.size, 12)
    const after = { now: 1000 + MISSING_HOLD_SPAN_MS }
    assert.equal(stepBelievedList(held, without, { ...after, isHeard: isSilent }).vms.size, 11)
    assert.equal(stepBelievedList(held, without, { ...after, isHeard: (vmId) => vmId === 'entry-0' }).vms.size, 12)
  })

  it('an older version is ignored, unless the list stays there because its count began anew', () => {
    const old = { version: 2, vms: [...vms, createVm('entry-99')] }
    const ignored = stepBelievedList(full, old, { now: 1000, isHeard: isSilent })
    assert.equal(ignored.vms.size, 12)
    const believed = stepBelievedList(ignored, old, { now: 1000 + RESET_HOLD_SPAN_MS, isHeard: isSilent })
    assert.deepEqual([believed.vms.size, believed.version], [13, 2])
  })
})
