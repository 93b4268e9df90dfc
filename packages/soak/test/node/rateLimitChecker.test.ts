import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RateLimitChecker } from '../../src/node/rateLimitChecker.js'

const PER_SECOND = 2
/** 1.5 times the limit and 5, in 4 s. */
const ALLOWED = 17
const STABLE_AT = 10_000

describe('the checker of rate limits', () => {
  function createChecker (): RateLimitChecker {
    const checker = new RateLimitChecker()
    checker.recordLimit('w', PER_SECOND, 0)
    checker.recordInformed('w', 'vm-1')
    checker.recordInformed('w', 'vm-2')
    return checker
  }

  function countUntilViolation (checker: RateLimitChecker, nodes: readonly string[], at: number): number {
    for (let count = 1; count <= 2 * ALLOWED; count++) {
      if (checker.recordArrival('w', nodes[count % nodes.length]!, at + count) !== undefined) return count
    }
    return Infinity
  }

  it('adds up what VMs send that have been told', () => {
    assert.equal(countUntilViolation(createChecker(), ['vm-1', 'vm-2'], STABLE_AT), ALLOWED + 1)
  })

  it('does not count VMs that have not been told', () => {
    assert.equal(countUntilViolation(createChecker(), ['vm-3'], STABLE_AT), Infinity)
  })

  it('checks a limit only some time after it was first announced', () => {
    assert.equal(countUntilViolation(createChecker(), ['vm-1'], 1_000), Infinity)
  })

  it('relies on the highest limit of late', () => {
    const checker = createChecker()
    checker.recordLimit('w', PER_SECOND / 2, STABLE_AT)
    assert.equal(countUntilViolation(checker, ['vm-1'], STABLE_AT + 1_000), ALLOWED + 1)
    assert.ok(countUntilViolation(checker, ['vm-1'], STABLE_AT + 20_000) <= ALLOWED)
  })

  it('checks nothing once the worker announces no limit any more', () => {
    const checker = createChecker()
    checker.recordLimit('w', undefined, STABLE_AT)
    assert.equal(countUntilViolation(checker, ['vm-1'], STABLE_AT), Infinity)
  })
})
