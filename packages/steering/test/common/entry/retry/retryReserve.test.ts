import assert from 'node:assert/strict'
import fc from 'fast-check'
import { describe, it } from 'node:test'
import type { Instant } from '@umberspar/base/common/clock'
import { SeededRandom } from '@umberspar/base/common/random'
import { CallerVisit } from '../../../../src/common/entry/admission/callerTimes.js'
import { chooseRetryClaim, RetryClaim } from '../../../../src/common/entry/retry/retryClaim.js'
import { SharedRetryBudget } from '../../../../src/common/entry/retry/sharedRetryBudget.js'

const SEED = 20261204
const BUDGET = { ratio: 0.2, windowMs: 10_000, slack: 60 }
const VMS = 20
const STEP_MS = 10
/** All workers reject requests in this span, in which a burst arrives as well. */
const REJECTION_FROM_MS = 12_000
const REJECTION_UNTIL_MS = 20_000
const REJECTION_RATIO = 0.55
const BURST_RATIO = 1.9
const REQUESTS_PER_STEP = 2
const MAX_ATTEMPTS = 4

interface ReplayResult {
  readonly arrived: number
  readonly served: number
  readonly refused: number
  readonly refusedAgain: number
}

interface ReplayOptions {
  /** Whether first arrivals leave a part of the budget to returned callers. */
  readonly isReserved: boolean
  /** Fraction of the refused callers that come back, once. */
  readonly returnRatio: number
  readonly seed: number
}

/** Replays workers that reject most requests during a burst; refused callers come back at other VMs. */
class RejectionReplay {
  readonly result = { arrived: 0, served: 0, refused: 0, refusedAgain: 0 }
  private readonly random: SeededRandom
  private readonly budgets = Array.from({ length: VMS }, () => new SharedRetryBudget(BUDGET, () => VMS, Number.NEGATIVE_INFINITY))
  private readonly returnsAt = new Map<Instant, number>()

  constructor (private readonly options: ReplayOptions) {
    this.random = new SeededRandom(options.seed)
  }

  run (): ReplayResult {
    for (let now = 0; now < REJECTION_UNTIL_MS + 2_000; now += STEP_MS) {
      const count = isRejecting(now) ? REQUESTS_PER_STEP * BURST_RATIO : REQUESTS_PER_STEP
      for (let index = 0; index < count; index++) this.handleFirst(now)
      for (let index = 0; index < (this.returnsAt.get(now) ?? 0); index++) this.handleReturned(now)
    }
    return this.result
  }

  private handleFirst (now: Instant): void {
    if (isRejecting(now)) this.result.arrived++
    const budget = this.chooseBudget(now)
    if (this.isServed(budget, this.options.isReserved ? RetryClaim.Unreserved : RetryClaim.Whole, now)) {
      if (isRejecting(now)) this.result.served++
      return
    }
    this.result.refused++
    budget.recordRefusal()
    const at = now + 300 + Math.floor(this.random.next() * 30) * STEP_MS
    if (this.random.next() < this.options.returnRatio) this.returnsAt.set(at, (this.returnsAt.get(at) ?? 0) + 1)
  }

  private handleReturned (now: Instant): void {
    const budget = this.chooseBudget(now)
    budget.recordReturn()
    if (this.isServed(budget, RetryClaim.Whole, now)) this.result.served++
    else this.result.refusedAgain++
  }

  private chooseBudget (now: Instant): SharedRetryBudget {
    const budget = this.budgets[Math.floor(this.random.next() * VMS)]!
    budget.recordFirstAttempt(now)
    return budget
  }

  private isServed (budget: SharedRetryBudget, claim: RetryClaim, now: Instant): boolean {
    for (let attempt = 1; ; attempt++) {
      if (!isRejecting(now) || this.random.next() >= REJECTION_RATIO) return true
      if (attempt === MAX_ATTEMPTS || !budget.take(now, claim)) return false
    }
  }
}

function isRejecting (now: Instant): boolean {
  return now >= REJECTION_FROM_MS && now < REJECTION_UNTIL_MS
}

function runReplay (options: ReplayOptions): ReplayResult {
  return new RejectionReplay(options).run()
}

describe('the part of the retry budget for callers that came back', () => {
  // Guards against first arrivals spending the budget while the callers they could join by returning find it empty.
  it('has fewer callers refused a second time, and more served, while workers reject most requests', () => {
    for (let seed = SEED; seed < SEED + 10; seed++) {
      const shared = runReplay({ isReserved: false, returnRatio: 1, seed })
      const reserved = runReplay({ isReserved: true, returnRatio: 1, seed })
      const computeRefusedAgain = ({ refusedAgain, refused }: ReplayResult): number => refusedAgain / refused
      assert.ok(computeRefusedAgain(reserved) < 0.9 * computeRefusedAgain(shared), `${computeRefusedAgain(reserved)} of the refused were refused again, ${computeRefusedAgain(shared)} without a reserve`)
      assert.ok(reserved.served / reserved.arrived > shared.served / shared.arrived, 'more are served')
    }
  })

  it('costs first arrivals little where no refused caller comes back', () => {
    for (let seed = SEED; seed < SEED + 10; seed++) {
      const shared = runReplay({ isReserved: false, returnRatio: 0, seed })
      const reserved = runReplay({ isReserved: true, returnRatio: 0, seed })
      assert.ok(reserved.served / reserved.arrived > shared.served / shared.arrived - 0.04)
    }
  })

  it('never allows more retries than the budget without it', () => {
    const steps = fc.array(fc.record({ afterMs: fc.nat({ max: 400 }), isRequest: fc.boolean(), claim: fc.constantFrom(RetryClaim.Whole, RetryClaim.Unreserved), isReturn: fc.boolean(), isRefusal: fc.boolean() }), { maxLength: 400 })
    fc.assert(fc.property(steps, (list) => {
      const budget = new SharedRetryBudget(BUDGET, () => 3, Number.NEGATIVE_INFINITY)
      const requestTimes: Instant[] = []
      const retryTimes: Instant[] = []
      let now = 0
      for (const { afterMs, isRequest, claim, isReturn, isRefusal } of list) {
        now += afterMs
        if (isReturn) budget.recordReturn()
        if (isRefusal) budget.recordRefusal()
        const { left, reserved } = budget.read(now)
        assert.ok(reserved >= 0 && reserved <= left)
        if (isRequest) {
          budget.recordFirstAttempt(now)
          requestTimes.push(now)
        } else if (budget.take(now, claim)) {
          retryTimes.push(now)
          const countRecent = (times: readonly Instant[]): number => times.filter((at) => at > now - BUDGET.windowMs).length
          assert.ok(countRecent(retryTimes) <= BUDGET.ratio * countRecent(requestTimes) + BUDGET.slack / 3)
        }
      }
    }), { seed: SEED, numRuns: 100 })
  })

  it('is as large as the whole budget for requests whose callers can\'t be told apart', () => {
    const claimed = new SharedRetryBudget(BUDGET, () => 1, Number.NEGATIVE_INFINITY)
    let taken = 0
    while (claimed.take(0, chooseRetryClaim({ visit: undefined, mayHaveRun: false, timeLeftMs: 5_000, expectedMs: 100 }))) taken++
    assert.equal(taken, 0.6 * BUDGET.slack)
  })

  it('is open to first arrivals that can\'t come back', () => {
    const request = { visit: CallerVisit.First, mayHaveRun: false, timeLeftMs: 1_000, expectedMs: 100 }
    assert.equal(chooseRetryClaim(request), RetryClaim.Unreserved)
    assert.equal(chooseRetryClaim({ ...request, mayHaveRun: true }), RetryClaim.Whole)
    assert.equal(chooseRetryClaim({ ...request, expectedMs: 700 }), RetryClaim.Whole)
    assert.equal(chooseRetryClaim({ ...request, visit: CallerVisit.Returned }), RetryClaim.Whole)
  })

  it('counts exactly the requests of the window, whenever it is asked', () => {
    fc.assert(fc.property(fc.array(fc.tuple(fc.integer({ min: 0, max: 4_000 }), fc.boolean()), { maxLength: 60 }), (steps) => {
      const budget = new SharedRetryBudget(BUDGET, () => VMS, Number.NEGATIVE_INFINITY)
      const times: Instant[] = []
      let now = 0
      for (const [waitedMs, isRequest] of steps) {
        now += waitedMs
        if (isRequest) {
          budget.recordFirstAttempt(now)
          times.push(now)
        } else assert.equal(budget.read(now).requests, times.filter((at) => at > now - BUDGET.windowMs).length)
      }
    }), { seed: SEED, numRuns: 200 })
  })
})
