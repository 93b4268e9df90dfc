import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { ResponseCollector } from '../../../src/node/front/responseCollector.js'
import { ResponseMemory } from '../../../src/node/front/responseMemory.js'
import type { ResponseHead } from '../../../src/node/upstream/responseParser.js'
import { ExchangeFailure } from '../../../src/node/upstream/upstreamConnection.js'

const SEED = 20261207
const MAX_BYTES = 300_000
/** More than is buffered of each response whatever the limit, less than what one response may take alone. */
const CHUNK_BYTES = 100_000
const HEAD: ResponseHead = { status: 200, rawHeaders: [], isCloseDelimited: false, keepsAlive: true }

interface Collected {
  readonly collector: ResponseCollector
  readonly events: string[]
}

function createCollector (memory: ResponseMemory, isStreamable = true): Collected {
  const events: string[] = []
  const collector = new ResponseCollector(memory, {
    onComplete: ({ length }) => { events.push(`complete ${length}`) },
    onStreamStart: () => isStreamable,
    onTooLong: () => { events.push('too long') },
    onStreamData: ({ length }) => { events.push(`data ${length}`) },
    onStreamEnd: (_head, length) => { events.push(`end ${length}`) },
    onFailure: (failure) => { events.push(failure) }
  })
  collector.onHead(HEAD)
  return { collector, events }
}

describe('ResponseCollector', () => {
  // Guards against a process whose memory grows with the number of responses that are being received.
  it('streams a response early if all responses together exceed their limit', () => {
    const memory = new ResponseMemory(MAX_BYTES)
    const collected = Array.from({ length: 8 }, () => createCollector(memory))
    for (const { collector } of collected) collector.onBody(Buffer.alloc(CHUNK_BYTES))
    assert.equal(collected.filter(({ events }) => events.length === 0).length, MAX_BYTES / CHUNK_BYTES)
    for (const { collector } of collected) collector.onEnd()
    assert.equal(collected.filter(({ events }) => events.includes(`end ${CHUNK_BYTES}`)).length, collected.length - MAX_BYTES / CHUNK_BYTES)
  })

  it('gives up a long response that must not be streamed, and buffers a short one', () => {
    const memory = new ResponseMemory(0)
    const long = createCollector(memory, false)
    long.collector.onBody(Buffer.alloc(CHUNK_BYTES))
    assert.deepEqual(long.events, ['too long'])
    const short = createCollector(memory, false)
    short.collector.onBody(Buffer.alloc(1_000))
    short.collector.onEnd()
    assert.deepEqual(short.events, ['complete 1000'])
  })

  it('counts nothing of responses that have ended in any way', () => {
    const step = fc.record({ chunks: fc.array(fc.nat(150_000), { maxLength: 4 }), isStreamable: fc.boolean(), isComplete: fc.boolean() })
    fc.assert(fc.property(fc.array(step, { maxLength: 8 }), (steps) => {
      const memory = new ResponseMemory(MAX_BYTES)
      const collectors = steps.map(({ chunks, isStreamable }) => {
        const { collector } = createCollector(memory, isStreamable)
        for (const length of chunks) collector.onBody(Buffer.alloc(length))
        return collector
      })
      for (const [index, collector] of collectors.entries()) {
        if (steps[index]!.isComplete) collector.onEnd()
        else collector.onFailure(ExchangeFailure.Broken)
      }
      assert.equal(memory.add(MAX_BYTES), true)
      assert.equal(memory.add(1), false)
    }), { seed: SEED })
  })
})
