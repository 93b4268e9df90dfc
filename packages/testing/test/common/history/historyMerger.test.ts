import assert from 'node:assert/strict'
import { it } from 'node:test'
import fc from 'fast-check'
import { HistoryEventKind, HistoryRecorder } from '../../../src/common/history/historyEvent.js'
import type { HistoryEvent } from '../../../src/common/history/historyEvent.js'
import { HistoryMerger } from '../../../src/common/history/historyMerger.js'

const RECORDERS = ['callers', 'workers']

function buildEvent (at: number): HistoryEvent {
  return { kind: HistoryEventKind.ConnectionsCounted, at, workerId: 'w', open: 0 }
}

it('delivers every event, sorted by time, in whatever order the recorders report', () => {
  // A worker reports its batch after the caller has received the answer. Checked in
  // the order of reports, a request would seem to be answered before it ran, and one
  // that ran before its "not-run" answer would look like one that started later.
  const report = fc.record({ source: fc.nat(RECORDERS.length - 1), gaps: fc.array(fc.nat(50), { maxLength: 5 }) })
  fc.assert(fc.property(fc.array(report, { maxLength: 30 }), (reports) => {
    const seen = new HistoryRecorder()
    const merger = new HistoryMerger(seen, RECORDERS)
    const passed = RECORDERS.map(() => 0)
    let sent = 0
    for (const { source, gaps } of reports) {
      const instants = gaps.map((gap) => (passed[source] = (passed[source] ?? 0) + gap + 1))
      sent += instants.length
      merger.accept(RECORDERS[source] ?? '', instants.map(buildEvent), passed[source] ?? 0)
      assert.ok(seen.events.every(({ at }) => at <= Math.min(...passed)))
    }
    for (const source of RECORDERS) merger.accept(source, [], Infinity)
    assert.equal(merger.countPending(), 0)
    assert.equal(seen.events.length, sent)
    const order = seen.events.map(({ at }) => at)
    assert.deepEqual(order, [...order].sort((one, other) => one - other))
  }), { seed: 3, numRuns: 200 })
})
