import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RetryBudgetChecker } from '../../src/node/retryBudgetChecker.js'

const LIMIT = { ratio: 0.2, windowMs: 10_000, slack: 5 }

function createChecker (requests: number): RetryBudgetChecker {
  const checker = new RetryBudgetChecker(LIMIT)
  for (let index = 0; index < requests; index++) checker.recordRequest('s', index)
  return checker
}

describe('the check of the retry budget', () => {
  it('counts arrivals beyond the first of each request, by service', () => {
    const checker = createChecker(10)
    for (let index = 0; index < 10; index++) assert.equal(checker.checkArrival('s', `${index}`, 100), undefined)
    for (let index = 0; index < 7; index++) assert.equal(checker.checkArrival('s', `${index}`, 200), undefined)
    assert.notEqual(checker.checkArrival('s', '7', 300), undefined)
    assert.equal(checker.checkArrival('s', 'first of another request', 300), undefined)
    assert.equal(checker.checkArrival('other', '8', 300), undefined)
  })

  it('forgets retries after a window, and counts the requests of the one before', () => {
    const checker = createChecker(10)
    for (let index = 0; index < 8; index++) checker.checkArrival('s', `${index}`, 100)
    for (let index = 0; index < 7; index++) assert.equal(checker.checkArrival('s', `${index}`, 200), undefined)
    assert.equal(checker.checkArrival('s', '7', 10_201), undefined)
  })
})
