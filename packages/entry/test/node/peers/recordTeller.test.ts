import assert from 'node:assert/strict'
import { EventEmitter } from 'node:events'
import type { ServerResponse } from 'node:http'
import { describe, it } from 'node:test'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { parseRecordLine, type RecordLine } from '../../../src/common/recordLines.js'
import { BEAT_MS, RecordTeller } from '../../../src/node/peers/recordTeller.js'

/** An answer that keeps what is written. */
class KeptAnswer extends EventEmitter {
  readonly lines: RecordLine[] = []
  readonly writableLength = 0
  hasRoom = true
  isDestroyed = false

  writeHead (): void {}

  write (text: string): boolean {
    this.lines.push(parseRecordLine(text, 'teller').unwrap())
    return this.hasRoom
  }

  end (): void {}

  destroy (): void {
    this.isDestroyed = true
  }
}

function createTeller () {
  const clock = new ManualClock()
  const known = { revision: 5, via: ['vm-1'] as readonly string[] | undefined, holdMs: 0, proofAgeMs: undefined as number | undefined }
  const teller = new RecordTeller(clock, {
    get revision () { return known.revision },
    get via () { return known.via },
    get holdMs () { return known.holdMs },
    get proofAgeMs () { return known.proofAgeMs },
    readNewsAfter: (revision) => revision >= known.revision ? undefined : { revision: known.revision, isWhole: false, gaps: [], written: [], removed: [] }
  }, { countTold: () => {}, logLongLine: () => {} })
  const answer = new KeptAnswer()
  teller.accept(new URLSearchParams('after=5'), answer as unknown as ServerResponse)
  return { clock, known, teller, answer }
}

describe('telling others of the records', () => {
  it('tells each change once, though it is heard from two sources', () => {
    // A VM hears of each change twice. At the second hearing it wrote a line to each VM
    // that listens to it which said nothing new: twice the messages for each change.
    const { known, teller, answer } = createTeller()
    known.revision = 6
    teller.publish()
    teller.publish()
    assert.deepEqual(answer.lines.map(({ revision }) => revision), [5, 6])
  })

  it('tells at once that its records are no longer the newest, and that they are again', () => {
    const { known, teller, answer } = createTeller()
    known.via = undefined
    teller.publish()
    known.via = ['vm-2', 'vm-1']
    teller.publish()
    assert.deepEqual(answer.lines.map(({ via }) => via), [['vm-1'], undefined, ['vm-2', 'vm-1']])
  })

  it('shows now and then that it lives, also while nothing changes', async () => {
    const { clock, answer, teller } = createTeller()
    await clock.runFor(2 * BEAT_MS)
    assert.equal(answer.lines.length, 3)
    teller.close()
  })

  it('writes nothing behind a line that waits, and then only what is new', () => {
    // Ten changes came within a second while a link of 7 Mbit/s was full. Each was written
    // behind the one before it, so that what was in force at the end arrived after 30 s.
    const { known, teller, answer } = createTeller()
    answer.hasRoom = false
    known.revision = 6
    teller.publish()
    for (known.revision = 7; known.revision < 16; known.revision++) teller.publish()
    assert.deepEqual(answer.lines.map(({ revision }) => revision), [5, 6])
    answer.hasRoom = true
    answer.emit('drain')
    assert.deepEqual(answer.lines.map(({ revision }) => revision), [5, 6, 16])
  })

  it('lets a VM go that takes nothing any more', async () => {
    const { clock, known, teller, answer } = createTeller()
    answer.hasRoom = false
    known.revision = 6
    teller.publish()
    await clock.runFor(9_900)
    assert.equal(answer.isDestroyed, false)
    await clock.runFor(2 * BEAT_MS)
    assert.equal(answer.isDestroyed, true)
    assert.equal(teller.countListeners(), 0)
    teller.close()
  })
})
