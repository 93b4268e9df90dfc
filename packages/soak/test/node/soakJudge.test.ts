import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { AnswerKind } from '@umberspar/testing/common/history/historyEvent'
import { ViolationKind } from '@umberspar/testing/common/history/historyChecker'
import { WorkerFault } from '@umberspar/testing/node/standIns/usersPlatform/platformWorkerStandIn'
import { REVOKE_MS } from '../../src/common/soakAccounts.js'
import { SoakRule } from '../../src/common/soakRule.js'
import { Calm } from '../../src/node/calm.js'
import { SoakJudge } from '../../src/node/soakJudge.js'

const ENTRY = '127.0.0.1:1'
const ASSIGN = { operationId: 'op', service: 'desk', isIdempotent: false, path: '/assign/1', method: 'POST', bodyLength: 3, entry: ENTRY }
const RUN = { method: 'POST', path: '/assign/1', bodyLength: 3, leftMs: 1_000, account: '', authorization: '' }

/** A judge that let everything pass would pass every run: each promise is broken here on purpose. */
describe('the judge of a soak run', () => {
  let clock: ManualClock
  let calm: Calm
  let judge: SoakJudge

  beforeEach(() => {
    clock = new ManualClock()
    calm = new Calm(clock)
    judge = new SoakJudge(clock, calm)
  })

  function listRules (): string[] {
    return judge.violations.map(({ rule }) => rule)
  }

  it('finds nothing wrong with a request that runs once and is answered', () => {
    judge.recordSent({ ...ASSIGN, requestId: 'a' })
    judge.onRun('w-1', { ...RUN, requestId: 'a' })
    judge.onRunEnd('w-1', 'a', WorkerFault.None, true)
    judge.recordAnswer('a', AnswerKind.Whole, '')
    assert.deepEqual(listRules(), [])
  })

  it('finds an assignment that runs twice', () => {
    judge.recordSent({ ...ASSIGN, requestId: 'a' })
    judge.onRun('w-1', { ...RUN, requestId: 'a' })
    judge.onRun('w-2', { ...RUN, requestId: 'a' })
    assert.deepEqual(listRules(), [ViolationKind.DoubledExecution])
  })

  it('finds a refusal of what had run', () => {
    judge.recordSent({ ...ASSIGN, requestId: 'a' })
    judge.onRun('w-1', { ...RUN, requestId: 'a' })
    judge.recordAnswer('a', AnswerKind.NotRun, 'status 503')
    assert.deepEqual(listRules(), [ViolationKind.RanThoughNotRun])
  })

  it('finds what nobody sent, or sent otherwise', () => {
    judge.onRun('w-1', { ...RUN, requestId: 'unknown' })
    judge.recordSent({ ...ASSIGN, requestId: 'a' })
    judge.onRun('w-1', { ...RUN, requestId: 'a', bodyLength: 4 })
    assert.deepEqual(listRules(), [SoakRule.Unasked, SoakRule.Unasked])
  })

  it('finds a request that runs for another account, or with the caller\'s key', () => {
    judge.recordSent({ ...ASSIGN, requestId: 'a', account: 'callers' })
    judge.onRun('w-1', { ...RUN, requestId: 'a' })
    judge.recordSent({ ...ASSIGN, operationId: 'op-b', requestId: 'b', account: 'callers' })
    judge.onRun('w-1', { ...RUN, requestId: 'b', account: 'callers', authorization: 'Bearer key' })
    judge.recordSent({ ...ASSIGN, operationId: 'op-c', requestId: 'c', account: 'callers' })
    judge.onRun('w-1', { ...RUN, requestId: 'c', account: 'callers' })
    assert.deepEqual(listRules(), [SoakRule.Unasked, SoakRule.Unasked])
  })

  it('finds a run whose key was taken away longer ago than allowed, whatever is disturbed', () => {
    judge.recordKeysTaken('guests')
    const send = (requestId: string): void => {
      judge.recordSent({ ...ASSIGN, operationId: requestId, requestId, account: 'guests' })
      judge.onRun('w-1', { ...RUN, requestId, account: 'guests' })
    }
    clock.stepBy(REVOKE_MS)
    send('in time')
    clock.stepBy(1)
    send('too late')
    judge.recordKeysGiven('guests')
    send('given again')
    assert.deepEqual(judge.violations.map(({ rule, subject }) => [rule, subject]), [[SoakRule.Revoked, 'too late']])
  })

  it('finds a third worker for one attempt', () => {
    judge.recordSent({ ...ASSIGN, isIdempotent: true, requestId: 'a' })
    for (const worker of ['w-1', 'w-2', 'w-3']) judge.onRun(worker, { ...RUN, requestId: 'a' })
    assert.deepEqual(listRules(), [SoakRule.TooManyRuns])
  })

  it('finds a cold worker that gets too much in any second, but not a warm one', () => {
    judge.setCold('w-1', { perSecond: 2, until: 5_000 })
    for (const requestId of ['a', 'b', 'c', 'd']) {
      judge.recordSent({ ...ASSIGN, operationId: requestId, requestId })
      judge.onRun('w-1', { ...RUN, requestId })
      clock.stepBy(400)
    }
    assert.deepEqual(listRules(), [SoakRule.ColdOverrun, SoakRule.ColdOverrun])
  })

  it('finds work for a worker that has left, from when nothing is disturbed', () => {
    calm.start()
    judge.recordLeaving('w-1')
    clock.stepBy(10_000)
    judge.updateLeaving()
    judge.recordSent({ ...ASSIGN, requestId: 'a' })
    judge.onRun('w-1', { ...RUN, requestId: 'a' })
    assert.deepEqual(listRules(), [], 'a VM that the store refuses may not know yet')
    calm.end()
    clock.stepBy(4_001)
    judge.updateLeaving()
    clock.stepBy(2_600)
    judge.recordSent({ ...ASSIGN, operationId: 'op-2', requestId: 'b' })
    judge.onRun('w-1', { ...RUN, requestId: 'b' })
    assert.deepEqual(listRules(), [ViolationKind.WorkAfterDrain])
  })

  it('finds a request that a planned stop cut off, but not one that crossed the close', () => {
    judge.recordStopBegan(ENTRY)
    judge.recordSent({ ...ASSIGN, requestId: 'a' })
    judge.onRun('w-1', { ...RUN, requestId: 'a' })
    judge.recordAnswer('a', AnswerKind.Failed, 'ECONNRESET')
    judge.recordSent({ ...ASSIGN, operationId: 'op-2', requestId: 'b' })
    clock.stepBy(100)
    judge.recordAnswer('b', AnswerKind.Failed, 'ECONNRESET')
    assert.deepEqual(listRules(), [ViolationKind.CutAtPlannedStop])
  })
})
