import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { matchesWords } from '../testWords.mjs'

const FILE = 'packages/steering/dist/test/common/plan/planner.test.js'

describe('words that choose tests', () => {
  it('match paths as they stand among the sources', () => {
    // The documented `npm test -- steering/test/common/plan` found no file:
    // words were compared with the compiled path, which has `dist/` in between.
    assert.ok(matchesWords(FILE, ['steering/test/common/plan']))
    assert.ok(matchesWords(FILE, ['packages/steering/test/common/plan/planner.test.ts']))
    assert.ok(matchesWords(FILE, ['cli', 'dist/test/common/plan']))
    assert.ok(matchesWords(FILE, []))
  })

  it('leave out what matches none', () => {
    assert.ok(!matchesWords(FILE, ['steering/test/node', 'daemon']))
  })
})
