import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ManualClock } from '@umberspar/base/common/manualClock'
import type { QuotaGrant } from '@umberspar/steering/common/quota/quotaBucketTable'
import { AccountQuota, type NoGrantReason, QuotaOutcome } from '../../../src/node/quota/accountQuota.js'
import type { QuotaRequest } from '../../../src/node/quota/quotaMessages.js'

const TOKEN_LIFETIME_MS = 250
const SHARES = [[{ name: 'near-0', domain: 'near' }], [{ name: 'far-0', domain: 'far' }]]

interface Question {
  readonly request: QuotaRequest
  readonly onLate: () => void
  readonly answer: (grant: QuotaGrant | NoGrantReason) => void
}

describe('the quota of an account whose share owners are late', () => {
  let clock: ManualClock
  let questions: Question[]
  let quota: AccountQuota
  let outcomes: Array<QuotaOutcome | undefined>

  beforeEach(() => {
    clock = new ManualClock()
    questions = []
    outcomes = []
    quota = new AccountQuota('families', {
      now: () => clock.now(),
      schedule: (at, callback) => clock.schedule(at, callback),
      listGroups: () => SHARES,
      getTokenLifetimeMs: () => TOKEN_LIFETIME_MS,
      ask: async (request, onLate) => await new Promise((resolve) => { questions.push({ request, onLate, answer: resolve }) })
    })
  })

  function take (): void {
    const index = outcomes.push(undefined) - 1
    quota.take(({ outcome }) => { outcomes[index] = outcome })
  }

  it('grants by a late answer what waited when the owner was asked', async () => {
    take()
    await clock.runFor(600)
    questions[0]!.answer({ given: 1, waitMs: 0 })
    await clock.runFor(1)
    assert.deepEqual(outcomes, [QuotaOutcome.Granted])
  })

  // Guards against tokens of seconds ago that run in addition to those which their owner has granted since.
  it('does not grant by a late answer what came after the owner was asked', async () => {
    take()
    await clock.runFor(2_900)
    take()
    questions[0]!.answer({ given: 5, waitMs: 0 })
    await clock.runFor(1)
    assert.deepEqual(outcomes, [QuotaOutcome.Unknown, undefined])
    assert.equal(questions.at(-1)!.request.unused, 5)
  })

  // Guards against further questions to an owner that is late already.
  it('asks an owner that is late nothing more, and the next ones meanwhile', async () => {
    take()
    questions[0]!.onLate()
    for (let index = 0; index < 3; index++) take()
    assert.deepEqual(questions.map(({ request }) => request.share), ['near-0', 'far-0'])
  })

  it('refuses what waited for too long', async () => {
    take()
    await clock.runFor(800)
    assert.deepEqual(outcomes, [QuotaOutcome.Unknown])
  })
})
