import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { formatProblems } from '../../src/common/errorFormat.js'
import { checkWholeConfiguration } from '../../src/common/localValidation.js'

describe('problems of a configuration', () => {
  it('say once what is expected', () => {
    // An operator validates a file with a cap of 2 and reads the same
    // expectation twice in one line: the daemon's sentence holds it already,
    // and the client wrote it once more behind.
    const { problems } = checkWholeConfiguration({ shiftCaps: { planned: 2 }, services: 'none' })
    const lines = formatProblems(problems)
    assert.ok(problems.length > 1)
    assert.equal(lines.length, problems.length)
    for (const line of lines) assert.equal(line.split('expected ').length, 2, line)
  })

  it('say what is expected where the sentence does not', () => {
    const problem = { path: 'services.x.spede', expected: 'no field of this name', message: "unknown field 'spede'" }
    assert.deepEqual(formatProblems([problem]), ["  services.x.spede: unknown field 'spede' (expected no field of this name)"])
    assert.deepEqual(formatProblems([{ path: '', expected: '', message: 'no JSON' }]), ['  (whole document): no JSON'])
  })
})
