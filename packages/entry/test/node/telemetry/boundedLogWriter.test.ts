import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { BoundedLogWriter, type OutputSink, LinePriority } from '../../../src/node/telemetry/boundedLogWriter.js'

const LINE = 'x'.repeat(199)

describe('the bounded log writer', () => {
  it('does not block when the reader stalls, drops routine lines first, and logs how many it dropped', () => {
    // Guards against a stalled reader of standard output, whose write never ends, blocking requests. Lines
    // are buffered up to the limit, and once the reader continues all lines of failures are written.
    const clock = new ManualClock()
    const written: string[] = []
    const stalled: Array<() => void> = []
    const writeStalled: OutputSink = (bytes, onWritten) => {
      written.push(bytes.toString())
      stalled.push(() => onWritten(null))
    }
    const drops = { [LinePriority.Routine]: 0, [LinePriority.Important]: 0 }
    const writer = new BoundedLogWriter(clock, writeStalled, (priority) => { drops[priority]++ })
    for (let second = 0; second < 20; second++) {
      for (let index = 0; index < 500; index++) writer.write(LINE, LinePriority.Routine)
      for (let index = 0; index < 50; index++) writer.write(`failure ${second}-${index}`, LinePriority.Important)
      clock.stepBy(1_000)
    }
    assert.equal(written.length, 1, 'only one write is in progress')
    assert.equal(drops[LinePriority.Important], 0)
    assert.ok(drops[LinePriority.Routine] > 0)
    stalled[0]!()
    clock.stepBy(1_000)
    const text = written.join('')
    assert.equal(text.match(/failure /g)?.length, 1_000)
    assert.match(text, new RegExp(`"routine":${drops[LinePriority.Routine]}`))
  })

  it('stays within its rate limit at ten times the usual load', () => {
    const clock = new ManualClock()
    let bytes = 0
    const writer = new BoundedLogWriter(clock, (chunk, onWritten) => {
      bytes += chunk.length
      onWritten(null)
    }, () => {})
    for (let second = 0; second < 10; second++) {
      for (let index = 0; index < 2_000; index++) writer.write(LINE, LinePriority.Routine)
      clock.stepBy(1_000)
    }
    assert.ok(bytes <= 11 * 128_000, `${bytes} bytes in ten seconds`)
    assert.ok(bytes >= 9 * 128_000)
  })

  it('continues when standard output is closed', () => {
    const clock = new ManualClock()
    let writes = 0
    const writer = new BoundedLogWriter(clock, (_chunk, onWritten) => {
      writes++
      onWritten(new Error('EPIPE'))
    }, () => {})
    writer.write(LINE, LinePriority.Important)
    clock.stepBy(1_000)
    writer.write(LINE, LinePriority.Important)
    clock.stepBy(1_000)
    assert.equal(writes, 2)
  })
})
