/** Tests of the outcome table, the retry budget, and the request state machine with random orders of events. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { AttemptPurpose, FlowEffectKind, FlowEventKind, FlowTimer, type FlowEffect, type FlowEvent, type FlowState, type FlowContext } from '../../../src/common/request/flowTypes.js'
import { LatencyEstimate } from '../../../src/common/request/latencyEstimate.js'
import { ResponseState, classifyExchange, SentState } from '../../../src/common/request/outcomeTable.js'
import { createFlow, MAX_ATTEMPTS, stepFlow } from '../../../src/common/request/requestFlow.js'
import { computeRetryAfter } from '../../../src/common/request/retryAfter.js'
import { MAX_RETRY_TOKENS, RetryBudget } from '../../../src/common/request/retryBudget.js'
import { Outcome } from '../../../src/common/state/outcome.js'

const DEADLINE_MS = 1000
const SEED = 20260

/** One simulated attempt; `ran` is what really happened, which the state machine cannot observe. */
interface SimulatedAttempt {
  isWaiting: boolean
  isSent: boolean
  hasEnded: boolean
  ran: boolean
}

/** Drives the state machine with events that are possible in its present state, chosen by random numbers of fast-check. */
class RequestSimulation {
  readonly attempts: SimulatedAttempt[] = []
  readonly endEffects: FlowEffect[] = []
  readonly timers = new Map<FlowTimer, number>()
  readonly acquireEffects: Array<Extract<FlowEffect, { kind: FlowEffectKind.AcquireSlot }>> = []
  now = 0
  sentCount = 0
  maxInFlight = 0
  firstAttempts = 0
  consumedTokens = 0
  private state: FlowState

  constructor (isIdempotent: boolean, private readonly budget: RetryBudget, private readonly isBodyReplayable: boolean) {
    this.state = createFlow({ isIdempotent, maxAttempts: MAX_ATTEMPTS, deadline: DEADLINE_MS })
    this.applyEvent({ kind: FlowEventKind.Started }, 0)
  }

  /** Applies one of the possible events; does nothing once the request has ended. */
  applyRandomEvent (choice: number, detail: number): void {
    const possibleEvents = this.listPossibleEvents(detail)
    const event = possibleEvents[choice % Math.max(1, possibleEvents.length)]
    if (event === undefined) return
    this.now += detail % 7
    this.applyEvent(event(), (detail % 100) / 100)
  }

  get runCount (): number {
    return this.attempts.filter(({ ran }) => ran).length
  }

  private listPossibleEvents (detail: number): Array<() => FlowEvent> {
    const events: Array<() => FlowEvent> = [...this.timers].map(([timer, at]) => () => {
      this.timers.delete(timer)
      this.now = Math.max(this.now, at)
      return { kind: FlowEventKind.TimerDue, timer }
    })
    this.attempts.forEach((attempt, attemptId) => {
      if (attempt.isWaiting) {
        events.push(() => ({ kind: FlowEventKind.SlotGranted, attemptId, workerId: `w${detail % 3}-${attemptId}`, failureDomain: `d${detail % 2}` }))
        events.push(() => this.refuseSlot(attemptId))
      } else if (attempt.isSent && !attempt.hasEnded) {
        events.push(() => this.failAttempt(attemptId, detail))
        events.push(() => { attempt.ran = attempt.hasEnded = true; return { kind: FlowEventKind.ResponseStarted, attemptId } })
      }
    })
    if (detail % 29 === 0) events.push(() => ({ kind: FlowEventKind.CallerLeft }))
    return events
  }

  private refuseSlot (attemptId: number): FlowEvent {
    this.attempts[attemptId]!.isWaiting = false
    return { kind: FlowEventKind.SlotRefused, attemptId }
  }

  /** An attempt that ran can only be reported as unknown; one that did not run, as unknown or not run. */
  private failAttempt (attemptId: number, detail: number): FlowEvent {
    const attempt = this.attempts[attemptId]!
    attempt.hasEnded = true
    attempt.ran = detail % 3 === 0
    const outcome = attempt.ran || detail % 3 === 1 ? Outcome.Unknown : Outcome.NotRun
    return { kind: FlowEventKind.AttemptFailed, attemptId, outcome }
  }

  private applyEvent (event: FlowEvent, jitter: number): void {
    if (event.kind === FlowEventKind.SlotGranted) this.attempts[event.attemptId]!.isWaiting = false
    const { state, effects } = stepFlow(this.state, event, this.buildContext(jitter))
    this.state = state
    for (const effect of effects) this.runEffect(effect)
    this.maxInFlight = Math.max(this.maxInFlight, this.attempts.filter(({ isSent, hasEnded }) => isSent && !hasEnded).length)
  }

  private buildContext (jitter: number): FlowContext {
    return { now: this.now, jitter, hasRetryToken: this.budget.hasToken, hedgeDelay: 20, isBodyReplayable: this.isBodyReplayable || this.sentCount === 0, isBodyBuffered: this.isBodyReplayable }
  }

  private runEffect (effect: FlowEffect): void {
    if (effect.kind === FlowEffectKind.AcquireSlot) {
      this.acquireEffects.push(effect)
      this.attempts[effect.attemptId] = { isWaiting: true, isSent: false, hasEnded: false, ran: false }
    }
    if (effect.kind === FlowEffectKind.SendAttempt) {
      this.sentCount++
      this.attempts[effect.attemptId]!.isSent = true
    }
    if (effect.kind === FlowEffectKind.CancelAttempt) Object.assign(this.attempts[effect.attemptId]!, { hasEnded: true })
    if (effect.kind === FlowEffectKind.RecordFirstAttempt) { this.firstAttempts++; this.budget.recordFirstAttempt() }
    if (effect.kind === FlowEffectKind.ConsumeRetryToken) {
      assert.ok(this.budget.hasToken, 'a retry token was consumed although none was available')
      this.consumedTokens++
      this.budget.consumeToken()
    }
    if (effect.kind === FlowEffectKind.StartTimer) {
      assert.ok(effect.at < DEADLINE_MS, 'a timer is due after the deadline')
      this.timers.set(effect.timer, effect.at)
    }
    if (effect.kind === FlowEffectKind.StopTimer) this.timers.delete(effect.timer)
    if (effect.kind === FlowEffectKind.ForwardResponse || effect.kind === FlowEffectKind.Refuse) this.endEffects.push(effect)
  }
}

const randomChoices = fc.array(fc.tuple(fc.nat(1000), fc.nat(10_000)), { minLength: 1, maxLength: 30 })

describe('request flow', () => {
  // Guards against a payment being sent to a second worker while the first one still runs it,
  // and against reporting `not-run` to the caller although a worker ran the request.
  it('runs requests that are not idempotent at most once, and reports not-run only if no attempt ran', () => {
    fc.assert(fc.property(fc.boolean(), fc.boolean(), randomChoices, (isIdempotent, isBodyReplayable, choices) => {
      const simulation = new RequestSimulation(isIdempotent, new RetryBudget(0.5), isBodyReplayable)
      for (const [choice, detail] of choices) simulation.applyRandomEvent(choice, detail)
      assert.ok(simulation.endEffects.length <= 1, 'the request ended twice')
      assert.ok(simulation.sentCount <= MAX_ATTEMPTS)
      if (!isIdempotent) assert.ok(simulation.maxInFlight <= 1 && simulation.runCount <= 1)
      if (!isBodyReplayable) assert.ok(simulation.sentCount <= 1, 'a body that cannot be replayed was sent again')
      const endEffect = simulation.endEffects[0]
      if (endEffect?.kind === FlowEffectKind.Refuse && endEffect.outcome === Outcome.NotRun) assert.equal(simulation.runCount, 0)
      if (endEffect !== undefined) {
        assert.equal(simulation.timers.size, 0, 'a timer is still pending after the end')
        assert.ok(simulation.attempts.every(({ isSent, hasEnded }) => !isSent || hasEnded), 'an attempt is still in flight after the end')
      }
    }), { seed: SEED, numRuns: 3000 })
  })

  // If every worker fails, each request is sent three times without a budget, so the
  // outage triples the load on the remaining workers.
  it('never exceeds the retry budget', () => {
    fc.assert(fc.property(fc.constantFrom(0, 0.1, 0.5), fc.array(randomChoices, { minLength: 20, maxLength: 60 }), (tokensPerRequest, choicesPerRequest) => {
      const budget = new RetryBudget(tokensPerRequest)
      let firstAttempts = 0
      let retriesAndHedges = 0
      for (const choices of choicesPerRequest) {
        const simulation = new RequestSimulation(true, budget, true)
        for (const [choice, detail] of choices) simulation.applyRandomEvent(choice, detail)
        firstAttempts += simulation.firstAttempts
        retriesAndHedges += Math.max(0, simulation.sentCount - 1)
        assert.ok(simulation.consumedTokens >= simulation.sentCount - 1)
      }
      const initialTokens = tokensPerRequest === 0 ? 0 : MAX_RETRY_TOKENS
      assert.ok(retriesAndHedges <= initialTokens + tokensPerRequest * firstAttempts + 1e-6, `${retriesAndHedges} of ${firstAttempts}`)
    }), { seed: SEED, numRuns: 100 })
  })

  it('retries on another worker of the domain, then in another domain, then refuses immediately', () => {
    let state = createFlow({ isIdempotent: true, maxAttempts: MAX_ATTEMPTS, deadline: DEADLINE_MS })
    const budget = new RetryBudget(0.1)
    const context: FlowContext = { now: 0, jitter: 0.5, hasRetryToken: budget.hasToken, hedgeDelay: undefined, isBodyReplayable: true, isBodyBuffered: true }
    const applyEvent = (event: FlowEvent): readonly FlowEffect[] => {
      const step = stepFlow(state, event, context)
      state = step.state
      return step.effects
    }
    const failAttempt = (attemptId: number): readonly FlowEffect[] => {
      applyEvent({ kind: FlowEventKind.SlotGranted, attemptId, workerId: `w${attemptId}`, failureDomain: 'klang-a' })
      return applyEvent({ kind: FlowEventKind.AttemptFailed, attemptId, outcome: Outcome.Unknown })
    }
    const retry = (): FlowEffect | undefined => applyEvent({ kind: FlowEventKind.TimerDue, timer: FlowTimer.Retry })[0]
    applyEvent({ kind: FlowEventKind.Started })
    failAttempt(0)
    const second = retry()
    assert.deepEqual(second, { kind: FlowEffectKind.AcquireSlot, attemptId: 1, purpose: AttemptPurpose.Retry, preference: { preferredDomain: 'klang-a', avoidedDomains: new Set(), excludedWorkers: new Set(['w0']) } } satisfies FlowEffect)
    failAttempt(1)
    const third = retry()
    assert.deepEqual(third, { kind: FlowEffectKind.AcquireSlot, attemptId: 2, purpose: AttemptPurpose.Retry, preference: { preferredDomain: undefined, avoidedDomains: new Set(['klang-a']), excludedWorkers: new Set(['w0', 'w1']) } } satisfies FlowEffect)
    assert.deepEqual(failAttempt(2).at(-1), { kind: FlowEffectKind.Refuse, outcome: Outcome.Unknown })
  })

  // The hedge responds while the first attempt is still in flight. The first attempt must be
  // cancelled, or it keeps occupying its worker although its response is not needed.
  it('sends a hedge after the observed latency and cancels the slower attempt', () => {
    const simulation = new RequestSimulation(true, new RetryBudget(0.1), true)
    simulation.applyRandomEvent(0, 2)
    assert.equal(simulation.timers.get(FlowTimer.Hedge), 22)
    simulation.applyRandomEvent(0, 2)
    assert.equal(simulation.acquireEffects[1]?.purpose, AttemptPurpose.Hedge)
    assert.deepEqual([...simulation.acquireEffects[1]?.preference.excludedWorkers ?? []], ['w2-0'])
    simulation.applyRandomEvent(2, 2)
    assert.equal(simulation.maxInFlight, 2)
    simulation.applyRandomEvent(3, 2)
    assert.deepEqual(simulation.endEffects, [{ kind: FlowEffectKind.ForwardResponse, attemptId: 1 }])
    assert.ok(simulation.attempts[0]?.hasEnded)
  })
})

describe('outcome table', () => {
  it('is not-run only if no byte was sent or the upstream refused explicitly', () => {
    const notRun = Object.values(SentState).flatMap((sent) => Object.values(ResponseState)
      .filter((received) => classifyExchange(sent, received) === Outcome.NotRun).map((received) => `${sent} ${received}`))
    assert.deepEqual(notRun, ['nothing nothing', 'nothing refusal', 'nothing late', 'nothing abandoned', 'may-have-left refusal'])
    assert.equal(classifyExchange(SentState.MaybeSent, ResponseState.Complete), Outcome.Done)
  })
})

describe('latency estimate and Retry-After', () => {
  it('estimates the 95th percentile, and drops old samples', () => {
    const latency = new LatencyEstimate()
    for (let sample = 1; sample < 100; sample++) latency.observe(sample)
    assert.equal(latency.getHedgeDelay(), undefined)
    latency.observe(100)
    const fast = latency.getHedgeDelay() ?? 0
    assert.ok(fast >= 94 && fast <= 97, String(fast))
    for (let sample = 0; sample < 2000; sample++) latency.observe(500)
    assert.ok((latency.getMedianLatency() ?? 0) >= 490)
  })

  it('grows with the number of waiting requests, is randomized and is bounded', () => {
    assert.equal(computeRetryAfter(undefined, 0), 1)
    assert.equal(computeRetryAfter({ waiting: 39, slots: 4, medianSpan: 500 }, 0), 5)
    assert.equal(computeRetryAfter({ waiting: 39, slots: 4, medianSpan: 500 }, 0.99), 8)
    assert.equal(computeRetryAfter({ waiting: 10_000, slots: 1, medianSpan: 5000 }, 0.99), 30)
  })
})
