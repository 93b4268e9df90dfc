import assert from 'node:assert/strict'
import { it } from 'node:test'
import fc from 'fast-check'
import { HistoryEventKind, HistoryRecorder } from '../../../src/common/history/historyEvent.js'
import type { HistoryEvent } from '../../../src/common/history/historyEvent.js'
import { HistoryMerger } from '../../../src/common/history/historyMerger.js'

const SOURCES = ['callers', 'workers']

function buildEvent (at: number): HistoryEvent {
  return { kind: HistoryEventKind.ConnectionsCounted, at, workerId: 'w', open: 0 }
}

it('hands over every event, in the order of the instants, however the recorders report', () => {
  // A worker's batch comes after the caller has its answer. Checked in the order
  // of arrival, a request would seem answered before it ran, and a "not-run" that
  // ran would be taken for a later start.
  const report = fc.record({ source: fc.nat(SOURCES.length - 1), gaps: fc.array(fc.nat(50), { maxLength: 5 }) })
  fc.assert(fc.property(fc.array(report, { maxLength: 30 }), (reports) => {
    const seen = new HistoryRecorder()
    const merger = new HistoryMerger(seen, SOURCES)
    const passed = SOURCES.map(() => 0)
    let sent = 0
    for (const { source, gaps } of reports) {
      const instants = gaps.map((gap) => (passed[source] = (passed[source] ?? 0) + gap + 1))
      sent += instants.length
      merger.accept(SOURCES[source] ?? '', instants.map(buildEvent), passed[source] ?? 0)
      assert.ok(seen.events.every(({ at }) => at <= Math.min(...passed)))
    }
    for (const source of SOURCES) merger.accept(source, [], Infinity)
    assert.equal(merger.countPending(), 0)
    assert.equal(seen.events.length, sent)
    const order = seen.events.map(({ at }) => at)
    assert.deepEqual(order, [...order].sort((one, other) => one - other))
  }), { seed: 3, numRuns: 200 })
})
