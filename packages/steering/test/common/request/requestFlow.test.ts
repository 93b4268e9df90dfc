/** The outcome table, the retry budget and the request flow, driven through every order of events. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { AttemptPurpose, FlowEffectKind, FlowEventKind, FlowTimer, type FlowEffect, type FlowEvent, type FlowState, type FlowView } from '../../../src/common/request/flowTypes.js'
import { LatencyEstimate } from '../../../src/common/request/latencyEstimate.js'
import { AnswerState, classifyExchange, SentState } from '../../../src/common/request/outcomeTable.js'
import { createFlow, MAX_ATTEMPTS, stepFlow } from '../../../src/common/request/requestFlow.js'
import { computeRetryAfter } from '../../../src/common/request/retryAfter.js'
import { RETRY_BURST, RetryBudget } from '../../../src/common/request/retryBudget.js'
import { Outcome } from '../../../src/common/state/outcome.js'

const DEADLINE = 1000
const SEED = 20260

/** One attempt in the simulated world: `ran` is the truth that the flow cannot see. */
interface WorldAttempt {
  isWaiting: boolean
  isSent: boolean
  isOver: boolean
  ran: boolean
}

/** Feeds a flow with events that can really happen, chosen by numbers that fast-check draws. */
class World {
  readonly attempts: WorldAttempt[] = []
  readonly ends: FlowEffect[] = []
  readonly timers = new Map<FlowTimer, number>()
  readonly acquired: Array<Extract<FlowEffect, { kind: FlowEffectKind.AcquireSlot }>> = []
  now = 0
  sends = 0
  peakSent = 0
  firsts = 0
  spent = 0
  private state: FlowState

  constructor (isIdempotent: boolean, private readonly budget: RetryBudget, private readonly isBodyWhole: boolean) {
    this.state = createFlow({ isIdempotent, maxAttempts: MAX_ATTEMPTS, deadline: DEADLINE })
    this.apply({ kind: FlowEventKind.Started }, 0)
  }

  /** Lets one of the possible things happen; does nothing once the request has ended. */
  stepBy (choice: number, detail: number): void {
    const possible = this.listPossible(detail)
    const event = possible[choice % Math.max(1, possible.length)]
    if (event === undefined) return
    this.now += detail % 7
    this.apply(event(), (detail % 100) / 100)
  }

  get runs (): number {
    return this.attempts.filter(({ ran }) => ran).length
  }

  private listPossible (detail: number): Array<() => FlowEvent> {
    const events: Array<() => FlowEvent> = [...this.timers].map(([timer, at]) => () => {
      this.timers.delete(timer)
      this.now = Math.max(this.now, at)
      return { kind: FlowEventKind.TimerDue, timer }
    })
    this.attempts.forEach((attempt, attemptId) => {
      if (attempt.isWaiting) {
        events.push(() => ({ kind: FlowEventKind.SlotGranted, attemptId, workerId: `w${detail % 3}-${attemptId}`, failureDomain: `d${detail % 2}` }))
        events.push(() => this.refuseSlot(attemptId))
      } else if (attempt.isSent && !attempt.isOver) {
        events.push(() => this.settleAttempt(attemptId, detail))
        events.push(() => { attempt.ran = attempt.isOver = true; return { kind: FlowEventKind.AnswerBegan, attemptId } })
      }
    })
    if (detail % 29 === 0) events.push(() => ({ kind: FlowEventKind.CallerLeft }))
    return events
  }

  private refuseSlot (attemptId: number): FlowEvent {
    this.attempts[attemptId]!.isWaiting = false
    return { kind: FlowEventKind.SlotRefused, attemptId }
  }

  /** A request that ran can only be reported as unknown; one that did not, as either. */
  private settleAttempt (attemptId: number, detail: number): FlowEvent {
    const attempt = this.attempts[attemptId]!
    attempt.isOver = true
    attempt.ran = detail % 3 === 0
    const outcome = attempt.ran || detail % 3 === 1 ? Outcome.Unknown : Outcome.NotRun
    return { kind: FlowEventKind.AttemptFailed, attemptId, outcome }
  }

  private apply (event: FlowEvent, jitter: number): void {
    if (event.kind === FlowEventKind.SlotGranted) this.attempts[event.attemptId]!.isWaiting = false
    const { state, effects } = stepFlow(this.state, event, this.buildView(jitter))
    this.state = state
    for (const effect of effects) this.runEffect(effect)
    this.peakSent = Math.max(this.peakSent, this.attempts.filter(({ isSent, isOver }) => isSent && !isOver).length)
  }

  private buildView (jitter: number): FlowView {
    return { now: this.now, jitter, hasToken: this.budget.hasToken, hedgeSpan: 20, isBodyWhole: this.isBodyWhole || this.sends === 0, isBodyShared: this.isBodyWhole }
  }

  private runEffect (effect: FlowEffect): void {
    if (effect.kind === FlowEffectKind.AcquireSlot) {
      this.acquired.push(effect)
      this.attempts[effect.attemptId] = { isWaiting: true, isSent: false, isOver: false, ran: false }
    }
    if (effect.kind === FlowEffectKind.Send) {
      this.sends++
      this.attempts[effect.attemptId]!.isSent = true
    }
    if (effect.kind === FlowEffectKind.CancelAttempt) Object.assign(this.attempts[effect.attemptId]!, { isOver: true })
    if (effect.kind === FlowEffectKind.RecordFirst) { this.firsts++; this.budget.recordFirst() }
    if (effect.kind === FlowEffectKind.SpendToken) {
      assert.ok(this.budget.hasToken, 'spent a token that was not there')
      this.spent++
      this.budget.take()
    }
    if (effect.kind === FlowEffectKind.StartTimer) {
      assert.ok(effect.at < DEADLINE, 'a timer beyond the deadline holds the request back')
      this.timers.set(effect.timer, effect.at)
    }
    if (effect.kind === FlowEffectKind.StopTimer) this.timers.delete(effect.timer)
    if (effect.kind === FlowEffectKind.Answer || effect.kind === FlowEffectKind.Refuse) this.ends.push(effect)
  }
}

const steps = fc.array(fc.tuple(fc.nat(1000), fc.nat(10_000)), { minLength: 1, maxLength: 30 })

describe('request flow', () => {
  // A guardian's payment fails at one worker and the flow sends it to another while
  // the first still runs, or the caller is told `not-run` although a worker ran it.
  it('runs what may not be repeated at most once, and says not-run only of what did not run', () => {
    fc.assert(fc.property(fc.boolean(), fc.boolean(), steps, (isIdempotent, isBodyWhole, script) => {
      const world = new World(isIdempotent, new RetryBudget(0.5), isBodyWhole)
      for (const [choice, detail] of script) world.stepBy(choice, detail)
      assert.ok(world.ends.length <= 1, 'ended twice')
      assert.ok(world.sends <= MAX_ATTEMPTS)
      if (!isIdempotent) assert.ok(world.peakSent <= 1 && world.runs <= 1)
      if (!isBodyWhole) assert.ok(world.sends <= 1, 'a body that was touched was sent again')
      const end = world.ends[0]
      if (end?.kind === FlowEffectKind.Refuse && end.outcome === Outcome.NotRun) assert.equal(world.runs, 0)
      if (end !== undefined) {
        assert.equal(world.timers.size, 0, 'a timer is left')
        assert.ok(world.attempts.every(({ isSent, isOver }) => !isSent || isOver), 'an attempt was left running')
      }
    }), { seed: SEED, numRuns: 3000 })
  })

  // Every worker fails. Without a budget each request is sent three times, and the
  // outage triples the load on what is left.
  it('repeats no more than the budget, whatever fails', () => {
    fc.assert(fc.property(fc.constantFrom(0, 0.1, 0.5), fc.array(steps, { minLength: 20, maxLength: 60 }), (fraction, scripts) => {
      const budget = new RetryBudget(fraction)
      let firsts = 0
      let repeats = 0
      for (const script of scripts) {
        const world = new World(true, budget, true)
        for (const [choice, detail] of script) world.stepBy(choice, detail)
        firsts += world.firsts
        repeats += Math.max(0, world.sends - 1)
        assert.ok(world.spent >= world.sends - 1)
      }
      const burst = fraction === 0 ? 0 : RETRY_BURST
      assert.ok(repeats <= burst + fraction * firsts + 1e-6, `${repeats} of ${firsts}`)
    }), { seed: SEED, numRuns: 100 })
  })

  it('retries on another worker of the domain, then in another domain, then gives up at once', () => {
    let state = createFlow({ isIdempotent: true, maxAttempts: MAX_ATTEMPTS, deadline: DEADLINE })
    const budget = new RetryBudget(0.1)
    const view: FlowView = { now: 0, jitter: 0.5, hasToken: budget.hasToken, hedgeSpan: undefined, isBodyWhole: true, isBodyShared: true }
    const apply = (event: FlowEvent): readonly FlowEffect[] => {
      const step = stepFlow(state, event, view)
      state = step.state
      return step.effects
    }
    const sendLost = (attemptId: number): readonly FlowEffect[] => {
      apply({ kind: FlowEventKind.SlotGranted, attemptId, workerId: `w${attemptId}`, failureDomain: 'klang-a' })
      return apply({ kind: FlowEventKind.AttemptFailed, attemptId, outcome: Outcome.Unknown })
    }
    const retry = (): FlowEffect | undefined => apply({ kind: FlowEventKind.TimerDue, timer: FlowTimer.Retry })[0]
    apply({ kind: FlowEventKind.Started })
    sendLost(0)
    const second = retry()
    assert.deepEqual(second, { kind: FlowEffectKind.AcquireSlot, attemptId: 1, purpose: AttemptPurpose.Retry, wish: { preferred: 'klang-a', avoided: new Set(), excludedWorkers: new Set(['w0']) } })
    sendLost(1)
    const third = retry()
    assert.deepEqual(third, { kind: FlowEffectKind.AcquireSlot, attemptId: 2, purpose: AttemptPurpose.Retry, wish: { preferred: undefined, avoided: new Set(['klang-a']), excludedWorkers: new Set(['w0', 'w1']) } })
    assert.deepEqual(sendLost(2).at(-1), { kind: FlowEffectKind.Refuse, outcome: Outcome.Unknown })
  })

  // A hedge and the first attempt are both under way; the hedge answers. The first
  // must be cancelled, or it goes on occupying its worker for nobody.
  it('hedges after the observed latency and cancels the loser', () => {
    const world = new World(true, new RetryBudget(0.1), true)
    world.stepBy(0, 2)
    assert.equal(world.timers.get(FlowTimer.Hedge), 22)
    world.stepBy(0, 2)
    assert.equal(world.acquired[1]?.purpose, AttemptPurpose.Hedge)
    assert.deepEqual([...world.acquired[1]?.wish.excludedWorkers ?? []], ['w2-0'])
    world.stepBy(2, 2)
    assert.equal(world.peakSent, 2)
    world.stepBy(3, 2)
    assert.deepEqual(world.ends, [{ kind: FlowEffectKind.Answer, attemptId: 1 }])
    assert.ok(world.attempts[0]?.isOver)
  })
})

describe('outcome table', () => {
  it('says not-run only where no byte left or the upstream refused explicitly', () => {
    const notRun = Object.values(SentState).flatMap((sent) => Object.values(AnswerState)
      .filter((came) => classifyExchange(sent, came) === Outcome.NotRun).map((came) => `${sent} ${came}`))
    assert.deepEqual(notRun, ['nothing nothing', 'nothing refusal', 'nothing late', 'nothing abandoned', 'may-have-left refusal'])
    assert.equal(classifyExchange(SentState.MayHaveLeft, AnswerState.Whole), Outcome.Done)
  })
})

describe('latency estimate and Retry-After', () => {
  it('knows the 95th percentile, and forgets a fast past', () => {
    const latency = new LatencyEstimate()
    for (let sample = 1; sample < 100; sample++) latency.observe(sample)
    assert.equal(latency.getHedgeSpan(), undefined)
    latency.observe(100)
    const fast = latency.getHedgeSpan() ?? 0
    assert.ok(fast >= 94 && fast <= 97, String(fast))
    for (let sample = 0; sample < 2000; sample++) latency.observe(500)
    assert.ok((latency.getMedianSpan() ?? 0) >= 490)
  })

  it('grows with those who wait, is spread, and is bounded', () => {
    assert.equal(computeRetryAfter(undefined, 0), 1)
    assert.equal(computeRetryAfter({ waiting: 39, slots: 4, medianSpan: 500 }, 0), 5)
    assert.equal(computeRetryAfter({ waiting: 39, slots: 4, medianSpan: 500 }, 0.99), 8)
    assert.equal(computeRetryAfter({ waiting: 10_000, slots: 1, medianSpan: 5000 }, 0.99), 30)
  })
})
