import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { formatProblems } from '../../src/common/errorFormat.js'
import { checkWholeConfiguration } from '../../src/common/localValidation.js'

describe('formatProblems', () => {
  it('states the expectation only once', () => {
    // A validation message often contains the expectation already. The client
    // used to append it to the line a second time.
    const { problems } = checkWholeConfiguration({ shiftCaps: { planned: 2 }, services: 'none' })
    const lines = formatProblems(problems)
    assert.ok(problems.length > 1)
    assert.equal(lines.length, problems.length)
    for (const line of lines) assert.equal(line.split('expected ').length, 2, line)
  })

  it('appends the expectation if the message does not contain it', () => {
    const problem = { path: 'services.x.spede', expected: 'no field of this name', message: "unknown field 'spede'" }
    assert.deepEqual(formatProblems([problem]), ["  services.x.spede: unknown field 'spede' (expected no field of this name)"])
    assert.deepEqual(formatProblems([{ path: '', expected: '', message: 'no JSON' }]), ['  (whole document): no JSON'])
  })
})
