import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { BoundedWriter, type ByteSink, LineUrgency } from '../../../src/node/telemetry/boundedWriter.js'

const LINE = 'x'.repeat(199)

describe('the writer of log lines', () => {
  it('goes on when nobody reads, keeps failures before successes, and tells what it dropped', () => {
    // Whoever reads standard output has stalled: a write never ends. Lines gather up
    // to their bound, requests are not held up, and when the reader is back the
    // failures are all there.
    const clock = new ManualClock()
    const written: string[] = []
    const stalled: Array<() => void> = []
    const writeStalled: ByteSink = (bytes, onWritten) => {
      written.push(bytes.toString())
      stalled.push(() => onWritten(null))
    }
    const drops = { [LineUrgency.Routine]: 0, [LineUrgency.Important]: 0 }
    const writer = new BoundedWriter(clock, writeStalled, (urgency) => { drops[urgency]++ })
    for (let second = 0; second < 20; second++) {
      for (let index = 0; index < 500; index++) writer.write(LINE, LineUrgency.Routine)
      for (let index = 0; index < 50; index++) writer.write(`failure ${second}-${index}`, LineUrgency.Important)
      clock.stepBy(1_000)
    }
    assert.equal(written.length, 1, 'one write is on its way, no other was begun')
    assert.equal(drops[LineUrgency.Important], 0)
    assert.ok(drops[LineUrgency.Routine] > 0)
    stalled[0]!()
    clock.stepBy(1_000)
    const text = written.join('')
    assert.equal(text.match(/failure /g)?.length, 1_000)
    assert.match(text, new RegExp(`"routine":${drops[LineUrgency.Routine]}`))
  })

  it('writes no more than its bytes a second at ten times the usual load', () => {
    const clock = new ManualClock()
    let bytes = 0
    const writer = new BoundedWriter(clock, (chunk, onWritten) => {
      bytes += chunk.length
      onWritten(null)
    }, () => {})
    for (let second = 0; second < 10; second++) {
      for (let index = 0; index < 2_000; index++) writer.write(LINE, LineUrgency.Routine)
      clock.stepBy(1_000)
    }
    assert.ok(bytes <= 11 * 128_000, `${bytes} bytes in ten seconds`)
    assert.ok(bytes >= 9 * 128_000)
  })

  it('goes on when standard output is closed', () => {
    const clock = new ManualClock()
    let writes = 0
    const writer = new BoundedWriter(clock, (_chunk, onWritten) => {
      writes++
      onWritten(new Error('EPIPE'))
    }, () => {})
    writer.write(LINE, LineUrgency.Important)
    clock.stepBy(1_000)
    writer.write(LINE, LineUrgency.Important)
    clock.stepBy(1_000)
    assert.equal(writes, 2)
  })
})
