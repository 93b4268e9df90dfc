import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { ByteCollector } from '../../src/node/byteCollector.js'

const SEED = 20261204
const MAX_CHUNK_BYTES = 3_000

describe('ByteCollector', () => {
  it('returns the bytes of all chunks in their order, and starts over', () => {
    const collector = new ByteCollector()
    fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: MAX_CHUNK_BYTES })), (chunks) => {
      for (const chunk of chunks) collector.add(Buffer.from(chunk))
      const expected = Buffer.concat(chunks)
      assert.equal(collector.length, expected.length)
      assert.deepEqual(Buffer.concat(collector.take()), expected)
      assert.deepEqual(collector.take(), [])
    }), { seed: SEED })
  })

  it('holds bodies of single bytes in few parts', () => {
    // Guards against bodies in tiny chunks that take a hundred times their length in memory.
    const collector = new ByteCollector()
    for (let index = 0; index < 100_000; index++) collector.add(Buffer.from([index % 256]))
    assert.ok(collector.take().length <= 1 + Math.ceil(100_000 / 4_096))
  })

  it('does not copy a message of one chunk', () => {
    const collector = new ByteCollector()
    const chunk = Buffer.from('whole')
    collector.add(chunk)
    assert.deepEqual(collector.take().map((part) => part === chunk), [true])
  })
})
