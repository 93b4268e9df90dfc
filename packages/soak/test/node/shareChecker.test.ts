import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { AnswerKind } from '@umberspar/testing/common/history/historyEvent'
import { CALLER_ACCOUNT, GREEDY_ACCOUNT } from '../../src/common/soakAccounts.js'
import { SoakRule } from '../../src/common/soakRule.js'
import { ShareChecker } from '../../src/node/shareChecker.js'

describe('ShareChecker', () => {
  let checker: ShareChecker

  beforeEach(() => { checker = new ShareChecker() })

  function record (account: string, priority: number, sent: number, served: number): void {
    for (let index = 0; index < sent; index++) checker.record({ account, priority }, index < served ? AnswerKind.Complete : AnswerKind.NotRun)
  }

  function listRules (): SoakRule[] {
    return checker.check().map(({ rule }) => rule)
  }

  it('reports an account that is served less than a quarter as often as all, which the greedy one may be', () => {
    record(CALLER_ACCOUNT.Name, 1, 100, 20)
    record(GREEDY_ACCOUNT.Name, 1, 900, 800)
    assert.deepEqual(listRules(), [SoakRule.AccountStarved])
  })

  it('accepts a greedy account that is served far less often than the others', () => {
    record(CALLER_ACCOUNT.Name, 1, 100, 90)
    record(GREEDY_ACCOUNT.Name, 1, 900, 10)
    assert.deepEqual(listRules(), [])
  })

  it('compares accounts at one priority only, since less urgent requests yield', () => {
    record(CALLER_ACCOUNT.Name, 3, 100, 0)
    record(GREEDY_ACCOUNT.Name, 1, 900, 900)
    assert.deepEqual(listRules(), [])
  })

  it('reports a more urgent kind that is served clearly less often than a less urgent one', () => {
    record(CALLER_ACCOUNT.Name, 1, 1_000, 800)
    record(CALLER_ACCOUNT.Name, 3, 1_000, 950)
    assert.deepEqual(listRules(), [SoakRule.PriorityIgnored])
  })

  it('accepts a difference within 5 in 100 and chance', () => {
    record(CALLER_ACCOUNT.Name, 1, 1_000, 900)
    record(CALLER_ACCOUNT.Name, 3, 1_000, 940)
    assert.deepEqual(listRules(), [])
  })

  it('does not judge a few attempts', () => {
    record(CALLER_ACCOUNT.Name, 1, 39, 0)
    record(CALLER_ACCOUNT.Name, 3, 100, 100)
    record(GREEDY_ACCOUNT.Name, 1, 100, 100)
    assert.deepEqual(listRules(), [])
  })
})
