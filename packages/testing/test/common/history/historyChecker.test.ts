import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import {
  AnswerKind, ExecutionEnd, HistoryEventKind
} from '../../../src/common/history/historyEvent.js'
import type { HistoryEvent, PlannedEvent } from '../../../src/common/history/historyEvent.js'
import { checkHistory, countViolations, ViolationKind } from '../../../src/common/history/historyChecker.js'

const WORKER = 'w1'
const OTHER_WORKER = 'w2'
const ENTRY = '127.0.0.1:7001'
const OTHER_ENTRY = '127.0.0.1:7002'
const SERVICE = 'escort-svc'
const SLOTS = 2
const CONNECTIONS = 3

interface ExchangeOptions {
  readonly id: string
  readonly sentAt: number
  readonly worker?: string
  readonly isIdempotent?: boolean
  readonly key?: string
  readonly answer?: AnswerKind
  readonly end?: ExecutionEnd
  readonly entry?: string
}

let nextExecutionId = 1

/** Declares the limits of both workers. */
function buildLimits (): HistoryEvent[] {
  return [WORKER, OTHER_WORKER].map((workerId) => ({
    kind: HistoryEventKind.LimitDeclared, at: 0, workerId, slots: SLOTS, connections: CONNECTIONS
  }))
}

/** Builds an execution that takes 10 ms. */
function buildExecution (plan: ExchangeOptions, startedAt = plan.sentAt + 1): HistoryEvent[] {
  const executionId = nextExecutionId++
  const workerId = plan.worker ?? WORKER
  return [
    { kind: HistoryEventKind.ExecutionStarted, at: startedAt, executionId, workerId, requestId: plan.id, service: SERVICE, idempotencyKey: plan.key },
    { kind: HistoryEventKind.ExecutionEnded, at: startedAt + 10, executionId, workerId, end: plan.end ?? ExecutionEnd.Answered }
  ]
}

/** Builds a request that waits in the worker's queue and leaves it without having run. */
function buildAbandonedWait (id: string, from: number, until: number, worker = WORKER): HistoryEvent[] {
  const executionId = nextExecutionId++
  return [
    { kind: HistoryEventKind.Arrived, at: from, executionId, workerId: worker, requestId: id, entryId: 'entry-1' },
    { kind: HistoryEventKind.ExecutionEnded, at: until, executionId, workerId: worker, end: ExecutionEnd.Abandoned }
  ]
}

function buildInjectedFault (id: string, at: number): HistoryEvent {
  return { kind: HistoryEventKind.FaultInjected, at, workerId: WORKER, requestId: id, fault: 'reset' }
}

/** Builds the caller's events of an attempt, without an execution. */
function buildAttempt (plan: ExchangeOptions): HistoryEvent[] {
  return [
    {
      kind: HistoryEventKind.Sent,
      at: plan.sentAt,
      requestId: plan.id,
      operationId: plan.id.split('.')[0] ?? plan.id,
      service: SERVICE,
      isIdempotent: plan.isIdempotent ?? false,
      idempotencyKey: plan.key,
      entry: plan.entry ?? ENTRY
    },
    { kind: HistoryEventKind.Answered, at: plan.sentAt + 12, requestId: plan.id, answer: plan.answer ?? AnswerKind.Complete }
  ]
}

function buildExchange (plan: ExchangeOptions): HistoryEvent[] {
  return [...buildAttempt(plan), ...buildExecution(plan)]
}

function buildPlanned (kind: PlannedEvent['kind'], at: number, target = WORKER): PlannedEvent {
  return { kind, at, targets: [target] }
}

function buildCleanHistory (): HistoryEvent[] {
  return [
    ...buildLimits(),
    ...buildExchange({ id: 'a.1', sentAt: 0 }),
    ...buildExchange({ id: 'b.1', sentAt: 1, key: 'k-b' }),
    // Refused before it ran, then retried and run once.
    ...buildAttempt({ id: 'c.1', sentAt: 20, answer: AnswerKind.NotRun }),
    ...buildExchange({ id: 'c.2', sentAt: 40 }),
    // An idempotent request may run twice.
    ...buildExchange({ id: 'd.1', sentAt: 60, isIdempotent: true }),
    ...buildExecution({ id: 'd.1', sentAt: 60, worker: OTHER_WORKER }),
    { kind: HistoryEventKind.ConnectionsCounted, at: 80, workerId: WORKER, open: CONNECTIONS },
    // The last request of a draining worker starts within the grace period.
    buildPlanned(HistoryEventKind.DrainAnnounced, 100),
    ...buildExchange({ id: 'e.1', sentAt: 2000 }),
    buildPlanned(HistoryEventKind.SafeToStop, 2200),
    buildPlanned(HistoryEventKind.StopStarted, 2210),
    // Interrupted while another worker is being stopped, so not by the planned stop.
    ...buildExchange({ id: 'f.1', sentAt: 2220, worker: OTHER_WORKER, end: ExecutionEnd.Interrupted, answer: AnswerKind.Unknown }),
    buildPlanned(HistoryEventKind.StopEnded, 2300),
    buildPlanned(HistoryEventKind.DrainWithdrawn, 2400),
    // The worker reset this request while the entry VM was being stopped, so the stop did not interrupt it.
    buildPlanned(HistoryEventKind.StopStarted, 3000, ENTRY),
    ...buildExchange({ id: 'h.1', sentAt: 3010, answer: AnswerKind.Unknown }),
    buildInjectedFault('h.1', 3020),
    buildPlanned(HistoryEventKind.StopEnded, 3100, ENTRY),
    // The second request takes the last slot and leaves before it starts, which is within the limit.
    ...buildExchange({ id: 'i.1', sentAt: 3200 }),
    ...buildAbandonedWait('j.1', 3205, 3210),
    // Arrived at the worker after its caller was told "not-run", but left the queue without having run.
    ...buildAttempt({ id: 'k.1', sentAt: 3300, answer: AnswerKind.NotRun }),
    ...buildAbandonedWait('k.1', 3310, 3330),
    ...buildExchange({ id: 'g.1', sentAt: 9000 })
  ]
}

/** Events that cause one violation when added to the clean history. */
const VIOLATION_CASES: ReadonlyArray<{ readonly title: string, readonly kind: ViolationKind, readonly events: () => HistoryEvent[] }> = [
  {
    title: 'a non-idempotent request runs at two workers',
    kind: ViolationKind.DuplicateExecution,
    events: () => [...buildExchange({ id: 'x.1', sentAt: 5000 }), ...buildExecution({ id: 'x.1', sentAt: 5000, worker: OTHER_WORKER })]
  },
  {
    title: 'a retry runs after an attempt that had run',
    kind: ViolationKind.DuplicateExecution,
    events: () => [
      ...buildExchange({ id: 'x.1', sentAt: 5000, answer: AnswerKind.Unknown }),
      ...buildExchange({ id: 'x.2', sentAt: 5100 })
    ]
  },
  {
    title: 'two operations with one idempotency key both run',
    kind: ViolationKind.DuplicateExecution,
    events: () => [...buildExchange({ id: 'x.1', sentAt: 5000, key: 'k' }), ...buildExchange({ id: 'y.1', sentAt: 5100, key: 'k' })]
  },
  {
    title: 'one idempotency key runs through two entry VMs',
    kind: ViolationKind.DuplicateExecution,
    events: () => [
      ...buildExchange({ id: 'x.1', sentAt: 5000, key: 'k', answer: AnswerKind.Failed }),
      ...buildExchange({ id: 'x.2', sentAt: 5100, key: 'k', entry: OTHER_ENTRY, worker: OTHER_WORKER })
    ]
  },
  {
    title: 'a caller is told not-run after a worker ran the request',
    kind: ViolationKind.RanDespiteNotRun,
    events: () => buildExchange({ id: 'x.1', sentAt: 5000, answer: AnswerKind.NotRun })
  },
  {
    title: 'an idempotent request ran at one worker, was refused by another, and its caller is told not-run',
    kind: ViolationKind.RanDespiteNotRun,
    events: () => [
      ...buildExchange({ id: 'x.1', sentAt: 5000, isIdempotent: true, end: ExecutionEnd.Cancelled, answer: AnswerKind.NotRun }),
      buildInjectedFault('x.1', 5002)
    ]
  },
  {
    title: 'a worker runs a request after its caller was told not-run',
    kind: ViolationKind.RanDespiteNotRun,
    events: () => [
      ...buildAttempt({ id: 'x.1', sentAt: 5000, answer: AnswerKind.NotRun }),
      ...buildExecution({ id: 'x.1', sentAt: 5000 }, 5900)
    ]
  },
  {
    title: 'an answer is truncated but ends normally',
    kind: ViolationKind.TruncatedAnswer,
    events: () => buildExchange({ id: 'x.1', sentAt: 5000, answer: AnswerKind.Truncated })
  },
  {
    title: 'a caller gets the answer to another request',
    kind: ViolationKind.MismatchedAnswer,
    events: () => buildExchange({ id: 'x.1', sentAt: 5000, answer: AnswerKind.Mismatched })
  },
  {
    title: 'three requests run in two slots',
    kind: ViolationKind.LimitExceeded,
    events: () => ['x.1', 'y.1', 'z.1'].flatMap((id) => buildExchange({ id, sentAt: 5000 }))
  },
  {
    title: 'a third request waits while two run in two slots',
    kind: ViolationKind.LimitExceeded,
    events: () => [...['x.1', 'y.1'].flatMap((id) => buildExchange({ id, sentAt: 5000 })), ...buildAbandonedWait('z.1', 5005, 5009)]
  },
  {
    title: 'a worker has more connections than its limit',
    kind: ViolationKind.LimitExceeded,
    events: () => [{ kind: HistoryEventKind.ConnectionsCounted, at: 5000, workerId: WORKER, open: CONNECTIONS + 1 }]
  },
  {
    title: 'a worker gets work more than 2 s after its drain was announced',
    kind: ViolationKind.WorkAfterDrain,
    events: () => [
      buildPlanned(HistoryEventKind.DrainAnnounced, 5000),
      ...buildExchange({ id: 'x.1', sentAt: 7001 }),
      buildPlanned(HistoryEventKind.DrainWithdrawn, 8000)
    ]
  },
  {
    title: 'a worker refuses work more than 2 s after its drain was announced',
    kind: ViolationKind.WorkAfterDrain,
    events: () => [
      buildPlanned(HistoryEventKind.DrainAnnounced, 5000),
      { kind: HistoryEventKind.RefusedWhileDraining, at: 7001, workerId: WORKER, requestId: 'x.1' },
      buildPlanned(HistoryEventKind.DrainWithdrawn, 8000)
    ]
  },
  {
    title: 'a worker gets work immediately after it was safe to stop',
    kind: ViolationKind.WorkAfterDrain,
    events: () => [
      buildPlanned(HistoryEventKind.SafeToStop, 5000),
      ...buildExchange({ id: 'x.1', sentAt: 5001 }),
      buildPlanned(HistoryEventKind.DrainWithdrawn, 8000)
    ]
  },
  {
    title: 'a request reaches the queue of a worker that is safe to stop',
    kind: ViolationKind.WorkAfterDrain,
    events: () => [
      buildPlanned(HistoryEventKind.SafeToStop, 5000),
      ...buildAbandonedWait('x.1', 5001, 5003),
      buildPlanned(HistoryEventKind.DrainWithdrawn, 8000)
    ]
  },
  {
    title: 'a planned stop of a daemon leaves its caller unable to tell whether the request ran',
    kind: ViolationKind.InterruptedByPlannedStop,
    events: () => [
      buildPlanned(HistoryEventKind.StopStarted, 5000, OTHER_ENTRY),
      ...buildAttempt({ id: 'x.1', sentAt: 5001, answer: AnswerKind.Unknown, entry: OTHER_ENTRY }),
      buildPlanned(HistoryEventKind.StopEnded, 5002, OTHER_ENTRY),
      // A fault injected into another request does not excuse the violation.
      buildInjectedFault('y.1', 5003)
    ]
  },
  {
    title: 'a planned stop of a worker interrupts an execution',
    kind: ViolationKind.InterruptedByPlannedStop,
    events: () => [
      ...buildExchange({ id: 'x.1', sentAt: 5000, end: ExecutionEnd.Interrupted, answer: AnswerKind.Unknown }),
      buildPlanned(HistoryEventKind.StopStarted, 5005)
    ]
  },
  {
    title: 'a planned stop of an entry VM interrupts an answer',
    kind: ViolationKind.InterruptedByPlannedStop,
    events: () => [
      ...buildExchange({ id: 'x.1', sentAt: 5000, answer: AnswerKind.Failed }),
      buildPlanned(HistoryEventKind.StopStarted, 5005, ENTRY)
    ]
  }
]

describe('checkHistory', () => {
  it('reports no violation for a clean history', () => {
    assert.deepEqual(checkHistory(buildCleanHistory()), [])
  })

  for (const { title, kind, events } of VIOLATION_CASES) {
    it(`reports exactly one violation if ${title}`, () => {
      const found = checkHistory([...buildCleanHistory(), ...events()])
      assert.deepEqual(found.map((violation) => violation.kind), [kind])
    })
  }

  it('reports the same violations in whatever order the events of the recorders are merged', () => {
    // Workers and callers record separately, so their events can be ordered only by time.
    const eventsOfAllCases = VIOLATION_CASES.flatMap(({ events }, index) => events().map((event) => ({ ...event, at: event.at + index * 20_000 })))
    const expected = countViolations(checkHistory(eventsOfAllCases))
    const order = fc.shuffledSubarray(eventsOfAllCases, { minLength: eventsOfAllCases.length })
    fc.assert(fc.property(order, (shuffled) => {
      assert.deepEqual(countViolations(checkHistory(shuffled)), expected)
    }), { seed: 7, numRuns: 50 })
  })
})
