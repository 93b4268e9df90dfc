import assert from 'node:assert/strict'
import { EventEmitter } from 'node:events'
import type { ServerResponse } from 'node:http'
import { describe, it } from 'node:test'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { parseRecordLine, type RecordLine } from '../../../src/common/recordLines.js'
import { HEARTBEAT_INTERVAL_MS, RecordPublisher } from '../../../src/node/peers/recordPublisher.js'

/** A response that records the lines that are written. */
class RecordingResponse extends EventEmitter {
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

function createPublisher () {
  const clock = new ManualClock()
  const state = { era: 1, revision: 5, hasUnconfirmed: false, via: ['vm-1'] as readonly string[] | undefined, holdMs: 0, proofAgeMs: undefined as number | undefined }
  const publisher = new RecordPublisher(clock, {
    get position () { return { era: state.era, revision: state.revision } },
    get hasUnconfirmed () { return state.hasUnconfirmed },
    get via () { return state.via },
    get holdMs () { return state.holdMs },
    get proofAgeMs () { return state.proofAgeMs },
    configurationVersion: undefined,
    readUpdateAfter: ({ era, revision }) => era === state.era && revision >= state.revision ? undefined : { era: state.era, revision: state.revision, isWhole: revision === 0, gaps: [], written: [], removed: [] }
  }, { countSentRecordBytes: () => {}, logLargeRecordUpdate: () => {} })
  const response = new RecordingResponse()
  publisher.accept(new URLSearchParams('era=1&after=5'), response as unknown as ServerResponse)
  return { clock, state, publisher, response }
}

describe('the record publisher', () => {
  it('sends each change once, although it arrives from two sources', () => {
    // Guards against lines without news: when a change arrived from the second source,
    // each subscriber got another line, which doubled the messages for each change.
    const { state, publisher, response } = createPublisher()
    state.revision = 6
    publisher.publish()
    publisher.publish()
    assert.deepEqual(response.lines.map(({ revision }) => revision), [5, 6])
  })

  it('reports at once that its records are no longer current, and that they are again', () => {
    const { state, publisher, response } = createPublisher()
    state.via = undefined
    publisher.publish()
    state.via = ['vm-2', 'vm-1']
    publisher.publish()
    assert.deepEqual(response.lines.map(({ via }) => via), [['vm-1'], undefined, ['vm-2', 'vm-1']])
  })

  it('sends heartbeats while nothing changes', async () => {
    const { clock, response, publisher } = createPublisher()
    await clock.runFor(2 * HEARTBEAT_INTERVAL_MS)
    assert.equal(response.lines.length, 3)
    publisher.close()
  })

  it('queues no line behind a pending one, and then sends only the newest state', () => {
    // Guards against queues of outdated lines: ten changes within a second on a full
    // link of 7 Mbit/s were queued one behind the other, and the last one arrived after 30 s.
    const { state, publisher, response } = createPublisher()
    response.hasRoom = false
    state.revision = 6
    publisher.publish()
    for (state.revision = 7; state.revision < 16; state.revision++) publisher.publish()
    assert.deepEqual(response.lines.map(({ revision }) => revision), [5, 6])
    response.hasRoom = true
    response.emit('drain')
    assert.deepEqual(response.lines.map(({ revision }) => revision), [5, 6, 16])
  })

  it('disconnects a subscriber that stops reading', async () => {
    const { clock, state, publisher, response } = createPublisher()
    response.hasRoom = false
    state.revision = 6
    publisher.publish()
    await clock.runFor(9_900)
    assert.equal(response.isDestroyed, false)
    await clock.runFor(2 * HEARTBEAT_INTERVAL_MS)
    assert.equal(response.isDestroyed, true)
    assert.equal(publisher.countSubscribers(), 0)
    publisher.close()
  })
})
