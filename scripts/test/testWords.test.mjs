import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { matchesWords } from '../testWords.mjs'

const FILE = 'packages/steering/dist/test/common/plan/planner.test.js'

describe('matchesWords', () => {
  it('accepts words that match the path of the source file', () => {
    // Guards against comparing words with the compiled path, which also contains `dist/`:
    // the documented `npm test -- steering/test/common/plan` then found no file.
    assert.ok(matchesWords(FILE, ['steering/test/common/plan']))
    assert.ok(matchesWords(FILE, ['packages/steering/test/common/plan/planner.test.ts']))
    assert.ok(matchesWords(FILE, ['cli', 'dist/test/common/plan']))
    assert.ok(matchesWords(FILE, []))
  })

  it('rejects a file that matches no word', () => {
    assert.ok(!matchesWords(FILE, ['steering/test/node', 'daemon']))
  })
})
