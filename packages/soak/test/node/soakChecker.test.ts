import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { AnswerKind } from '@umberspar/testing/common/history/historyEvent'
import { ViolationKind } from '@umberspar/testing/common/history/historyChecker'
import { type Announcement, WorkerFault } from '@umberspar/testing/node/standIns/usersPlatform/platformWorkerStandIn'
import { MAX_REVOCATION_MS } from '../../src/common/soakAccounts.js'
import { SoakRule } from '../../src/common/soakRule.js'
import { DisruptionTracker } from '../../src/node/disruptionTracker.js'
import { SoakChecker } from '../../src/node/soakChecker.js'

const ENTRY = '127.0.0.1:1'
const ATTEMPT = { operationId: 'op', service: 'desk', isIdempotent: false, path: '/assign/1', method: 'POST', bodyLength: 3, entry: ENTRY }
const RUN = { method: 'POST', path: '/assign/1', bodyLength: 3, leftMs: 1_000, account: '', authorization: '' }

/** A checker that detects nothing would pass every run, so each guarantee is violated here on purpose. */
describe('SoakChecker', () => {
  let clock: ManualClock
  let disruptions: DisruptionTracker
  let checker: SoakChecker

  beforeEach(() => {
    clock = new ManualClock()
    disruptions = new DisruptionTracker(clock)
    checker = new SoakChecker(clock, disruptions)
  })

  function listRules (): string[] {
    return checker.violations.map(({ rule }) => rule)
  }

  it('reports nothing for a request that runs once and is answered', () => {
    checker.recordSent({ ...ATTEMPT, requestId: 'a' })
    checker.onRun('w-1', { ...RUN, requestId: 'a' })
    checker.onRunEnd('w-1', 'a', WorkerFault.None, true)
    checker.recordAnswer('a', AnswerKind.Complete, '')
    assert.deepEqual(listRules(), [])
  })

  it('reports a non-idempotent request that runs twice', () => {
    checker.recordSent({ ...ATTEMPT, requestId: 'a' })
    checker.onRun('w-1', { ...RUN, requestId: 'a' })
    checker.onRun('w-2', { ...RUN, requestId: 'a' })
    assert.deepEqual(listRules(), [ViolationKind.DuplicateExecution])
  })

  it('reports a refusal of a request that had run', () => {
    checker.recordSent({ ...ATTEMPT, requestId: 'a' })
    checker.onRun('w-1', { ...RUN, requestId: 'a' })
    checker.recordAnswer('a', AnswerKind.NotRun, 'status 503')
    assert.deepEqual(listRules(), [ViolationKind.RanDespiteNotRun])
  })

  it('reports a run of a request that was not sent, or was sent with other content', () => {
    checker.onRun('w-1', { ...RUN, requestId: 'unknown' })
    checker.recordSent({ ...ATTEMPT, requestId: 'a' })
    checker.onRun('w-1', { ...RUN, requestId: 'a', bodyLength: 4 })
    assert.deepEqual(listRules(), [SoakRule.UnexpectedRun, SoakRule.UnexpectedRun])
  })

  it('reports a request that runs for another account, or with the caller\'s API key', () => {
    checker.recordSent({ ...ATTEMPT, requestId: 'a', account: 'callers' })
    checker.onRun('w-1', { ...RUN, requestId: 'a' })
    checker.recordSent({ ...ATTEMPT, operationId: 'op-b', requestId: 'b', account: 'callers' })
    checker.onRun('w-1', { ...RUN, requestId: 'b', account: 'callers', authorization: 'Bearer key' })
    checker.recordSent({ ...ATTEMPT, operationId: 'op-c', requestId: 'c', account: 'callers' })
    checker.onRun('w-1', { ...RUN, requestId: 'c', account: 'callers' })
    assert.deepEqual(listRules(), [SoakRule.UnexpectedRun, SoakRule.UnexpectedRun])
  })

  it('reports a run with an API key that was revoked longer ago than the limit', () => {
    checker.recordKeysRevoked('guests')
    const send = (requestId: string): void => {
      checker.recordSent({ ...ATTEMPT, operationId: requestId, requestId, account: 'guests' })
      checker.onRun('w-1', { ...RUN, requestId, account: 'guests' })
    }
    clock.stepBy(MAX_REVOCATION_MS)
    send('in time')
    clock.stepBy(1)
    send('too late')
    checker.recordKeysRestored('guests')
    send('given again')
    assert.deepEqual(checker.violations.map(({ rule, subject }) => [rule, subject]), [[SoakRule.RevokedKeyAccepted, 'too late']])
  })

  it('reports an attempt that runs on a third worker', () => {
    checker.recordSent({ ...ATTEMPT, isIdempotent: true, requestId: 'a' })
    for (const worker of ['w-1', 'w-2', 'w-3']) checker.onRun(worker, { ...RUN, requestId: 'a' })
    assert.deepEqual(listRules(), [SoakRule.TooManyRuns])
  })

  it('reports each request beyond the limit of a cold worker in any second', () => {
    checker.setCold('w-1', { perSecond: 2, until: 5_000 })
    for (const requestId of ['a', 'b', 'c', 'd']) {
      checker.recordSent({ ...ATTEMPT, operationId: requestId, requestId })
      checker.onRun('w-1', { ...RUN, requestId })
      clock.stepBy(400)
    }
    assert.deepEqual(listRules(), [SoakRule.ColdLimitExceeded, SoakRule.ColdLimitExceeded])
  })

  it('reports work for a drained worker only while the run is stable', () => {
    disruptions.start()
    checker.recordDrain('w-1')
    clock.stepBy(10_000)
    checker.updateDrains()
    checker.recordSent({ ...ATTEMPT, requestId: 'a' })
    checker.onRun('w-1', { ...RUN, requestId: 'a' })
    assert.deepEqual(listRules(), [], 'a disrupted VM may not know of the drain yet')
    disruptions.end()
    clock.stepBy(4_001)
    checker.updateDrains()
    clock.stepBy(2_600)
    checker.recordSent({ ...ATTEMPT, operationId: 'op-2', requestId: 'b' })
    checker.onRun('w-1', { ...RUN, requestId: 'b' })
    assert.deepEqual(listRules(), [ViolationKind.WorkAfterDrain])
  })

  it('reports a request that a planned stop cut off, but not one that crossed the close', () => {
    checker.recordStopStart(ENTRY)
    checker.recordSent({ ...ATTEMPT, requestId: 'a' })
    checker.onRun('w-1', { ...RUN, requestId: 'a' })
    checker.recordAnswer('a', AnswerKind.Failed, 'ECONNRESET')
    checker.recordSent({ ...ATTEMPT, operationId: 'op-2', requestId: 'b' })
    clock.stepBy(100)
    checker.recordAnswer('b', AnswerKind.Failed, 'ECONNRESET')
    assert.deepEqual(listRules(), [ViolationKind.InterruptedByPlannedStop])
  })

  /** Sends a request that the worker answers with an announcement, and that its caller gets the answer to. */
  function sendAnnounced (requestId: string, announcement: Announcement, isRefused = false): void {
    checker.recordSent({ ...ATTEMPT, operationId: requestId, requestId })
    if (isRefused) checker.onRefused('w-1', requestId)
    else {
      checker.onRun('w-1', { ...RUN, requestId })
      checker.onRunEnd('w-1', requestId, WorkerFault.None, true)
    }
    checker.onResponse('w-1', requestId, announcement)
    clock.stepBy(1)
    checker.recordAnswer(requestId, isRefused ? AnswerKind.NotRun : AnswerKind.Complete, '')
  }

  it('reports a request that a VM sends to a worker whose drain it has passed on, until the VM or the worker starts again', () => {
    const draining = { isDraining: true, coolDownMs: undefined }
    sendAnnounced('a', draining)
    clock.stepBy(2_500)
    sendAnnounced('in time', draining)
    clock.stepBy(1)
    sendAnnounced('too late', draining)
    assert.deepEqual(checker.violations.map(({ rule, subject }) => [rule, subject]), [[SoakRule.WorkAfterAnnouncedDrain, 'too late']])
    checker.recordEntryStart(ENTRY)
    clock.stepBy(3_000)
    sendAnnounced('after the start of the VM', draining)
    checker.recordWorkerEnd('w-1')
    clock.stepBy(3_000)
    sendAnnounced('after the start of the worker', draining)
    assert.equal(checker.violations.length, 1)
  })

  it('reports the third request within a pause that a worker asked a VM for, not those that were under way or come later', () => {
    const pause = { isDraining: false, coolDownMs: 2_000 }
    const accepting = { isDraining: false, coolDownMs: undefined }
    sendAnnounced('refused', pause, true)
    clock.stepBy(400)
    sendAnnounced('under way', accepting)
    clock.stepBy(200)
    for (const requestId of ['first', 'second', 'third']) sendAnnounced(requestId, accepting)
    clock.stepBy(1_500)
    sendAnnounced('later', accepting)
    assert.deepEqual(checker.violations.map(({ rule, subject }) => [rule, subject]), [[SoakRule.PauseIgnored, 'third']])
  })

  it('counts shares of attempts that are sent during a rush without disruptions', () => {
    const send = (requestId: string): void => {
      checker.recordSent({ ...ATTEMPT, operationId: requestId, requestId, account: 'callers', priority: 1 })
      checker.recordAnswer(requestId, AnswerKind.NotRun, '')
    }
    send('before')
    checker.startRush(500)
    send('at its onset')
    clock.stepBy(500)
    send('counted')
    disruptions.start()
    send('disrupted')
    disruptions.end()
    send('not stable yet')
    clock.stepBy(4_001)
    send('counted too')
    checker.endRush()
    send('after')
    assert.deepEqual(checker.checkShares(), [{ account: 'callers', priority: 1, sent: 2, served: 0 }])
  })

  it('reports the starved at the end of a run', () => {
    checker.startRush(0)
    for (let index = 0; index < 100; index++) {
      for (const account of ['callers', 'greedy']) {
        const requestId = `${account}-${index}`
        checker.recordSent({ ...ATTEMPT, operationId: requestId, requestId, account, priority: 1 })
        checker.recordAnswer(requestId, account === 'greedy' ? AnswerKind.Complete : AnswerKind.NotRun, '')
      }
    }
    checker.checkShares()
    assert.deepEqual(listRules(), [SoakRule.AccountStarved])
  })

  it('does not expect a VM to know a response that may have been lost', () => {
    checker.recordSent({ ...ATTEMPT, requestId: 'a' })
    checker.onRun('w-1', { ...RUN, requestId: 'a' })
    checker.onResponse('w-1', 'a', { isDraining: true, coolDownMs: 60_000 })
    checker.recordAnswer('a', AnswerKind.Failed, 'ECONNRESET')
    clock.stepBy(5_000)
    for (const requestId of ['b', 'c', 'd']) {
      checker.recordSent({ ...ATTEMPT, operationId: requestId, requestId })
      checker.onRun('w-1', { ...RUN, requestId })
    }
    assert.deepEqual(listRules(), [])
  })
})
