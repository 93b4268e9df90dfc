import assert from 'node:assert/strict'
import fc from 'fast-check'
import { describe, it } from 'node:test'
import { decodeLine, encodeLine } from '../../../src/node/peers/compressedLine.js'

const SEED = 20261205

describe('compressed lines', () => {
  it('are unchanged by compression and decompression, whatever their length', () => {
    const texts = fc.tuple(fc.string({ unit: 'grapheme', maxLength: 60 }), fc.integer({ min: 0, max: 200 }))
    fc.assert(fc.property(texts, ([text, times]) => {
      const line = `${JSON.stringify({ text: text.repeat(times) })}\n`
      const sent = encodeLine(line)
      assert.equal(sent.indexOf('\n'), sent.length - 1)
      assert.equal(decodeLine(sent.slice(0, -1), 'peer').unwrap().trimEnd(), line.trimEnd())
    }), { seed: SEED, numRuns: 500 })
  })

  it('decode to a text or an error for any input', () => {
    fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      const result = decodeLine(`z${Buffer.from(bytes).toString('base64')}`, 'peer')
      if (!result.ok) assert.equal(result.val.step, 'read-peer-records')
    }), { seed: SEED, numRuns: 500 })
  })
})
