/** Bodies in chunks come back whole, and a small change moves few chunks. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { computeDigest, encodeCanonical } from '../../../src/common/configuration/canonicalJson.js'
import type { ChunkedBody } from '../../../src/common/configuration/configurationChunks.js'
import { decodeBody, isChunkIntact, listChunkNames, splitBody } from '../../../src/common/configuration/configurationChunks.js'
import { splitContent } from '../../../src/common/configuration/contentChunks.js'

const SEED = 8_216
const DIGESTER = { computeDigest }
const SIZES = { least: 64, usual: 256, most: 1024 }

function buildText (blocks: number): string {
  const prefixes = Array.from({ length: blocks }, (_, index) => `10.${index >> 8}.${index & 255}.0/24`)
  return encodeCanonical({ regions: { klang: { clientBlocks: prefixes } } })
}

/** Fetches round by round what is lacking; returns the text and how many characters were fetched. */
function fetchBody (body: ChunkedBody, held: Map<string, string>): { text: string, moved: number, rounds: number } {
  let moved = 0
  for (let rounds = 0; ; rounds++) {
    const assembled = decodeBody(body.manifest, (name) => held.get(name)).unwrap()
    if (assembled.isWhole) return { text: assembled.text, moved, rounds }
    for (const name of assembled.missing) {
      const text = body.textByName.get(name) ?? ''
      assert.ok(isChunkIntact(name, text, DIGESTER))
      held.set(name, text)
      moved += text.length
    }
  }
}

describe('splitContent', () => {
  it('gives chunks within the bounds that join to the text', () => {
    const texts = fc.oneof(fc.string({ maxLength: 4000 }), fc.array(fc.constantFrom('a', 'bc', '10.0.0.0/8,', 'ÿé漢'), { maxLength: 2000 }).map((parts) => parts.join('')))
    fc.assert(fc.property(texts, (text) => {
      const chunks = splitContent(text, SIZES)
      assert.equal(chunks.join(''), text)
      for (const [index, chunk] of chunks.entries()) {
        assert.ok(chunk.length <= SIZES.most)
        assert.ok(chunk.length >= SIZES.least || index === chunks.length - 1)
      }
    }), { seed: SEED, numRuns: 300 })
  })
})

describe('splitBody', () => {
  it('comes back whole from the chunks a node lacks, in as many rounds as it has levels', () => {
    fc.assert(fc.property(fc.integer({ min: 0, max: 30_000 }), (blocks) => {
      const text = buildText(blocks)
      const body = splitBody(text, DIGESTER)
      const held = new Map<string, string>()
      const fetched = fetchBody(body, held)
      assert.equal(fetched.text, text)
      assert.ok(fetched.rounds <= body.manifest.levels)
      assert.deepEqual(listChunkNames(body.manifest, (name) => held.get(name)), new Set(body.textByName.keys()))
    }), { seed: SEED, numRuns: 30 })
  })

  it('moves little for one change, wherever it is made and however large the body is', () => {
    // Story: an operator adds one client block to very many. Cut at fixed bytes,
    // every chunk behind it differs, so each of thousands of nodes fetched
    // megabytes for a line, and the links between regions were full of it.
    const changes = fc.tuple(fc.integer({ min: 100, max: 60_000 }), fc.double({ min: 0, max: 1, noNaN: true }), fc.constantFrom('"10.9.9.0/24",', 'x'))
    fc.assert(fc.property(changes, ([blocks, at, added]) => {
      const text = buildText(blocks)
      const index = Math.floor(text.length * at)
      const changed = text.slice(0, index) + added + text.slice(index)
      const held = new Map(splitBody(text, DIGESTER).textByName)
      const body = splitBody(changed, DIGESTER)
      const fetched = fetchBody(body, held)
      assert.equal(fetched.text, changed)
      assert.ok(fetched.moved <= 24_000, `${fetched.moved} of ${text.length}`)
      assert.ok(body.manifest.names.length <= 64)
    }), { seed: SEED, numRuns: 60 })
  })

  it('refuses manifests of no sensible depth and chunks that are not what their name says', () => {
    for (const levels of [0, -1, 1.5, 1e9, NaN]) assert.ok(decodeBody({ levels, names: [] }, () => '').err)
    assert.equal(isChunkIntact(computeDigest('whole'), 'whol', DIGESTER), false)
  })
})
