import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { DomainRoundTrips } from '../../../../src/common/entry/placement/domainRoundTrips.js'
import { EntryView } from '../../../../src/common/entry/entryView.js'
import { type UpstreamRegistration, UpstreamState } from '../../../../src/common/entry/records.js'
import { UnavailabilityReason } from '../../../../src/common/entry/admission/unavailability.js'
import { RouteKind, type RoutePolicy } from '../../../../src/common/entry/steeringDocument.js'

const REGIONS = new Map([['north-1', 'north']])
const ROUTE: RoutePolicy = { name: 'lookups', prefix: '/', kind: RouteKind.Idempotent } as unknown as RoutePolicy
const SERVICE = 'archive'
const FIRST_START = 1_000

function createView (): EntryView {
  return new EntryView({ mayShare: () => true, node: 'vm-1', domain: 'north-1', regionByDomain: REGIONS, roundTrips: new DomainRoundTrips('north-1', REGIONS), coldTolerance: { factor: 1, slack: 0 }, rateTolerance: { factor: 1, slack: 0 }, retryBudget: { ratio: 0.2, windowMs: 1_000, slack: 1 }, startedAt: 0 })
}

function createWorker (id: string, startedAt: number | undefined, state = UpstreamState.Ready): UpstreamRegistration {
  return { id, startedAt, service: SERVICE, address: '127.0.0.1:1', domain: 'north-1', slots: 4, state, coldMs: 0 }
}

function listCandidateIds (view: EntryView, now: number, key = 'object'): string[] {
  const request = { homeRegions: [], key, triedWorkers: new Set<string>() }
  return view.getPool(SERVICE).listCandidates(request, view.getServiceTimes(ROUTE, SERVICE), view.evacuatedDomains, now).map(({ tracker }) => tracker.registration.id)
}

/** A change of the registration of a worker that does not start a new process. */
const registrationChange = fc.record({
  isRemoval: fc.boolean(),
  startedAt: fc.constantFrom(FIRST_START, undefined),
  state: fc.constantFrom(...Object.values(UpstreamState)),
  pauseMs: fc.integer({ min: 0, max: 1_000 })
})

describe('a worker that announced its shutdown in a response', () => {
  // Guards against registrations, renewed, late or lapsed in between, that cancel the announcement.
  it('is never chosen again, whatever its registrations say, until another process starts under its id', () => {
    fc.assert(fc.property(fc.array(registrationChange, { maxLength: 20 }), (changes) => {
      const view = createView()
      let now = 0
      view.putUpstream(createWorker('w-1', FIRST_START), now)
      view.putUpstream(createWorker('w-2', undefined), now)
      assert.equal(view.recordDrain(createWorker('w-1', FIRST_START)), true)
      for (const { isRemoval, startedAt, state, pauseMs } of changes) {
        now += pauseMs
        if (isRemoval) view.removeUpstream('w-1', now)
        else view.putUpstream(createWorker('w-1', startedAt, state), now)
        assert.deepEqual(listCandidateIds(view, now), ['w-2'])
      }
      view.putUpstream(createWorker('w-1', FIRST_START + 1), now)
      assert.deepEqual(listCandidateIds(view, now).sort(), ['w-1', 'w-2'])
    }), { seed: 1 })
  })

  it('is not mistaken for the process that has replaced it', () => {
    const view = createView()
    view.putUpstream(createWorker('w-1', FIRST_START), 0)
    view.putUpstream(createWorker('w-1', FIRST_START + 1), 0)
    view.recordDrain(createWorker('w-1', FIRST_START))
    assert.deepEqual(listCandidateIds(view, 0), ['w-1'])
  })

  it('is remembered if its response comes after its registration is gone', () => {
    const view = createView()
    view.putUpstream(createWorker('w-1', FIRST_START), 0)
    view.removeUpstream('w-1', 0)
    view.recordDrain(createWorker('w-1', FIRST_START))
    view.putUpstream(createWorker('w-1', FIRST_START), 0)
    assert.deepEqual(listCandidateIds(view, 0), [])
  })
})

/** A request for the worker's object, and the worker's response to it. */
const refusalEvent = fc.record({
  gapMs: fc.integer({ min: 0, max: 400 }),
  latencyMs: fc.integer({ min: 1, max: 240 }),
  /** Undefined if the worker accepts the request. */
  retryAfterMs: fc.option(fc.integer({ min: 1, max: 5_000 }), { nil: undefined })
})
const GRACE_MS = 500
const MAX_REQUESTS_PER_COOL_DOWN = 2

describe('a worker that asked for a pause', () => {
  const worker = createWorker('w-1', FIRST_START)

  // Guards against a pause that a shorter one, an accepted request or a renewed registration ends.
  it('gets at most two requests from half a second after its refusal to the end of that time, whatever it responds in between', () => {
    fc.assert(fc.property(fc.array(refusalEvent, { maxLength: 60 }), (events) => {
      const view = createView()
      view.putUpstream(worker, 0)
      const sentAt: number[] = []
      const refusals: Array<{ readonly at: number, readonly until: number }> = []
      let responses: Array<{ readonly sentAt: number, readonly at: number, readonly retryAfterMs: number | undefined }> = []
      let now = 0
      for (const { gapMs, latencyMs, retryAfterMs } of events) {
        now += gapMs
        for (const response of responses.filter(({ at }) => at <= now).sort((first, second) => first.at - second.at)) {
          const [tracker] = view.listTrackers()
          if (response.retryAfterMs !== undefined) {
            refusals.push({ at: response.at, until: response.at + response.retryAfterMs })
            view.recordCoolDown(worker, response.at + response.retryAfterMs, response.at)
          }
          tracker!.advisory.recordResponse(response.sentAt)
        }
        responses = responses.filter(({ at }) => at > now)
        view.putUpstream(worker, now)
        if (listCandidateIds(view, now).length === 0) continue
        const [tracker] = view.listTrackers()
        tracker!.startRequest(now, 10)
        sentAt.push(now)
        responses.push({ sentAt: now, at: now + latencyMs, retryAfterMs })
      }
      for (const { at, until } of refusals) {
        const arrived = sentAt.filter((sent) => sent > at + GRACE_MS && sent < until).length
        assert.ok(arrived <= MAX_REQUESTS_PER_COOL_DOWN, `${arrived} requests within ${until - at} ms`)
      }
    }), { seed: 1 })
  })

  // Guards against a burst of requests when a pause ends, all of which may be refused again.
  it('gets one request after its pause, and the others once it has responded or has not refused for a while', () => {
    for (const respond of [true, false]) {
      const view = createView()
      view.putUpstream(worker, 0)
      const [tracker] = view.listTrackers()
      view.recordCoolDown(worker, 1_000, 0)
      assert.deepEqual(listCandidateIds(view, 999), [])
      assert.deepEqual(listCandidateIds(view, 1_000), ['w-1'])
      tracker!.startRequest(1_000, 10)
      assert.deepEqual(listCandidateIds(view, 1_001), [])
      if (respond) tracker!.advisory.recordResponse(1_000)
      assert.deepEqual(listCandidateIds(view, respond ? 1_050 : 1_250), ['w-1'])
    }
  })

  it('does not count as available because it responds to a request from before its pause', () => {
    const view = createView()
    view.putUpstream(worker, 0)
    view.recordCoolDown(worker, 1_000, 10)
    const [tracker] = view.listTrackers()
    tracker!.advisory.recordResponse(5)
    assert.deepEqual(listCandidateIds(view, 500), [])
  })

  it('is not paused in its next incarnation', () => {
    const view = createView()
    view.putUpstream(worker, 0)
    view.recordCoolDown(worker, 60_000, 0)
    view.putUpstream(createWorker('w-1', FIRST_START + 1), 10)
    assert.deepEqual(listCandidateIds(view, 10), ['w-1'])
  })

  it('determines when callers may come back if all workers pause: the end of the earliest pause', () => {
    const view = createView()
    view.putUpstream(worker, 0)
    view.putUpstream(createWorker('w-2', undefined), 0)
    assert.equal(view.getPool(SERVICE).findUnavailability([], new Set(), 0), undefined)
    view.recordCoolDown(worker, 3_000, 0)
    view.recordCoolDown(createWorker('w-2', undefined), 2_000, 0)
    assert.deepEqual(view.getPool(SERVICE).findUnavailability([], new Set(), 0), { reason: UnavailabilityReason.CoolingDown, until: 2_000 })
    view.recordDrain(createWorker('w-2', undefined))
    assert.equal(view.getPool(SERVICE).findUnavailability([], new Set(), 0)?.until, 3_000)
    assert.equal(view.getPool(SERVICE).findUnavailability([], new Set(['north-1']), 0), undefined)
    assert.equal(view.getPool(SERVICE).findUnavailability(['south'], new Set(), 0), undefined)
  })
})
