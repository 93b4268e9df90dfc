import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { DomainRoundTrips } from '../../../src/common/entry/domainRoundTrips.js'
import { EntryView } from '../../../src/common/entry/entryView.js'
import { type UpstreamRegistration, UpstreamState } from '../../../src/common/entry/records.js'
import { RouteKind, type RoutePolicy } from '../../../src/common/entry/steeringDocument.js'

const REGIONS = new Map([['north-1', 'north']])
const ROUTE: RoutePolicy = { name: 'lookups', prefix: '/', kind: RouteKind.Idempotent } as unknown as RoutePolicy
const SERVICE = 'archive'
const FIRST_START = 1_000

function createView (): EntryView {
  return new EntryView({ node: 'vm-1', domain: 'north-1', regionByDomain: REGIONS, roundTrips: new DomainRoundTrips('north-1', REGIONS), coldTolerance: { factor: 1, slack: 0 }, rateTolerance: { factor: 1, slack: 0 }, retryBudget: { ratio: 0.2, windowMs: 1_000, slack: 1 } })
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
