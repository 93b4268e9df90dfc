import assert from 'node:assert/strict'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { describe, it } from 'node:test'
import { formatKnownRed, listFailedTests, listRunTests, readKnownRed } from '../knownRed.mjs'

const TAP = `TAP version 13
# Subtest: a group
    # Subtest: the broken one
    not ok 1 - the broken one
      ---
      failureType: 'testCodeFailure'
      ...
    ok 2 - the other
not ok 1 - a group
  ---
  failureType: 'subtestsFailed'
  ...
ok 2 - last
`

describe('KNOWN-RED.txt', () => {
  it('is compared with failed tests, except those that failed only because of a subtest', () => {
    assert.deepEqual(listFailedTests(TAP), ['the broken one'])
  })

  it('is reported with whether each test failed, passed or was not run', () => {
    const run = new Set(listRunTests(TAP))
    const failed = new Set(listFailedTests(TAP))
    const reported = ['the broken one', 'the other', 'soak seed 1'].map((name) => formatKnownRed({ name, line: name }, run, failed))
    assert.deepEqual(reported, ['known failure: the broken one', 'known failure (passed in this run): the other', 'known failure (not run): soak seed 1'])
  })

  it('lists each test with command, observed failure, cause and issue', () => {
    const folder = mkdtempSync(join(tmpdir(), 'known-red-'))
    const file = join(folder, 'KNOWN-RED.txt')
    try {
      assert.deepEqual(readKnownRed(file), [])
      writeFileSync(file, '# comment\nthe broken one | npm test | 503 | a cause | 10\n')
      assert.deepEqual(readKnownRed(file).map(({ name }) => name), ['the broken one'])
      writeFileSync(file, 'the broken one | npm test\n')
      assert.throws(() => readKnownRed(file), /five fields/)
    } finally {
      rmSync(folder, { recursive: true })
    }
  })
})
