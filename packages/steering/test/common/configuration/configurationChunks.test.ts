/** Tests that bodies are restored from their chunks, and that a small change transfers few chunks. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { computeDigest, encodeCanonical } from '../../../src/common/configuration/canonicalJson.js'
import type { ChunkedBody } from '../../../src/common/configuration/configurationChunks.js'
import { decodeBody, isChunkIntact, listChunkNames, splitBody } from '../../../src/common/configuration/configurationChunks.js'
import { splitContent } from '../../../src/common/configuration/contentChunks.js'

const SEED = 8_216
const DIGESTER = { computeDigest }
const CHUNK_SIZES = { minLength: 64, targetLength: 256, maxLength: 1024 }

function buildText (blocks: number): string {
  const prefixes = Array.from({ length: blocks }, (_, index) => `10.${index >> 8}.${index & 255}.0/24`)
  return encodeCanonical({ regions: { klang: { clientBlocks: prefixes } } })
}

/** Fetches the missing chunks round by round; returns the text, the number of fetched characters and the number of rounds. */
function fetchBody (body: ChunkedBody, chunkByName: Map<string, string>): { text: string, fetchedLength: number, rounds: number } {
  let fetchedLength = 0
  for (let rounds = 0; ; rounds++) {
    const assembled = decodeBody(body.manifest, (name) => chunkByName.get(name)).unwrap()
    if (assembled.isWhole) return { text: assembled.text, fetchedLength, rounds }
    for (const name of assembled.missing) {
      const text = body.textByName.get(name) ?? ''
      assert.ok(isChunkIntact(name, text, DIGESTER))
      chunkByName.set(name, text)
      fetchedLength += text.length
    }
  }
}

describe('splitContent', () => {
  it('returns chunks within the size limits that join to the text', () => {
    const texts = fc.oneof(fc.string({ maxLength: 4000 }), fc.array(fc.constantFrom('a', 'bc', '10.0.0.0/8,', 'ÿé漢'), { maxLength: 2000 }).map((parts) => parts.join('')))
    fc.assert(fc.property(texts, (text) => {
      const chunks = splitContent(text, CHUNK_SIZES)
      assert.equal(chunks.join(''), text)
      for (const [index, chunk] of chunks.entries()) {
        assert.ok(chunk.length <= CHUNK_SIZES.maxLength)
        assert.ok(chunk.length >= CHUNK_SIZES.minLength || index === chunks.length - 1)
      }
    }), { seed: SEED, numRuns: 300 })
  })
})

describe('splitBody', () => {
  it('restores the body by fetching missing chunks, in at most as many rounds as there are levels', () => {
    fc.assert(fc.property(fc.integer({ min: 0, max: 30_000 }), (blocks) => {
      const text = buildText(blocks)
      const body = splitBody(text, DIGESTER)
      const chunkByName = new Map<string, string>()
      const result = fetchBody(body, chunkByName)
      assert.equal(result.text, text)
      assert.ok(result.rounds <= body.manifest.levels)
      assert.deepEqual(listChunkNames(body.manifest, (name) => chunkByName.get(name)), new Set(body.textByName.keys()))
    }), { seed: SEED, numRuns: 30 })
  })

  it('transfers little for one change, regardless of its position and the size of the body', () => {
    // With boundaries at fixed positions, every chunk after an added client block differs.
    // Each of thousands of nodes then fetches megabytes for a change of one line, which
    // saturates the links between regions.
    const changes = fc.tuple(fc.integer({ min: 100, max: 60_000 }), fc.double({ min: 0, max: 1, noNaN: true }), fc.constantFrom('"10.9.9.0/24",', 'x'))
    fc.assert(fc.property(changes, ([blocks, relativePosition, insertedText]) => {
      const text = buildText(blocks)
      const index = Math.floor(text.length * relativePosition)
      const changed = text.slice(0, index) + insertedText + text.slice(index)
      const chunkByName = new Map(splitBody(text, DIGESTER).textByName)
      const body = splitBody(changed, DIGESTER)
      const result = fetchBody(body, chunkByName)
      assert.equal(result.text, changed)
      assert.ok(result.fetchedLength <= 24_000, `${result.fetchedLength} of ${text.length}`)
      assert.ok(body.manifest.names.length <= 64)
    }), { seed: SEED, numRuns: 60 })
  })

  it('rejects manifests with an invalid number of levels and chunks that do not match their name', () => {
    for (const levels of [0, -1, 1.5, 1e9, NaN]) assert.ok(decodeBody({ levels, names: [] }, () => '').err)
    assert.equal(isChunkIntact(computeDigest('whole'), 'whol', DIGESTER), false)
  })
})
