import assert from 'node:assert/strict'
import { EventEmitter } from 'node:events'
import type { IncomingMessage } from 'node:http'
import { test } from 'node:test'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { BodyProgress } from '../../../src/node/listener/bodyProgress.js'

class FakeRequest extends EventEmitter {
  readonly headers = { 'content-length': '1000000' }
  readonly socket = { bytesRead: 0 }
  readableLength = 0
  readonly readableHighWaterMark = 16_384
  isDestroyed = false

  destroy (): void {
    this.isDestroyed = true
    this.emit('close')
  }
}

// A phone with poor reception uploads photos slowly, a slow worker applies backpressure
// to another upload, and an attacker sends one byte a minute to occupy a slot. Only the
// last request may be aborted.
test('a body that trickles in is aborted; a slow one, and one paused by the upstream, continue', () => {
  const clock = new ManualClock()
  let stalled = 0
  const progress = new BodyProgress(clock, 1000, 100, () => { stalled++ })
  const [slow, paused, trickling, done] = [new FakeRequest(), new FakeRequest(), new FakeRequest(), new FakeRequest()]
  for (const request of [slow, paused, trickling, done]) progress.watch(request as unknown as IncomingMessage)
  paused.readableLength = paused.readableHighWaterMark
  done.emit('end')
  for (let at = 250; at <= 10_000; at += 250) {
    slow.socket.bytesRead += 30
    trickling.socket.bytesRead += 1
    clock.stepTo(at)
  }
  assert.deepEqual([slow, paused, trickling, done].map((request) => request.isDestroyed), [false, false, true, false])
  assert.equal(stalled, 1)
  paused.readableLength = 0
  clock.stepTo(13_000)
  assert.equal(paused.isDestroyed, true)
  progress.close()
})
