import assert from 'node:assert/strict'
import { it } from 'node:test'
import { EntryView } from '../../../../src/common/entry/entryView.js'
import { DomainRoundTrips } from '../../../../src/common/entry/placement/domainRoundTrips.js'
import { UpstreamState } from '../../../../src/common/entry/records.js'
import { RouteKind, type RoutePolicy } from '../../../../src/common/entry/steeringDocument.js'

const REGIONS = new Map([['north-1', 'north']])
const ROUTE: RoutePolicy = { name: 'lookups', prefix: '/', kind: RouteKind.Idempotent } as unknown as RoutePolicy
const SERVICE = 'archive'
const WINDOW_MS = 1_000

// Guards against demand that is overestimated, so that a worker with a rate limit keeps fewer keys than it can serve.
it('a request that waits for a worker with a rate limit counts once as demand for it', () => {
  const view = new EntryView({ mayShare: () => true, node: 'vm-1', domain: 'north-1', regionByDomain: REGIONS, roundTrips: new DomainRoundTrips('north-1', REGIONS), coldTolerance: { factor: 1, slack: 0 }, rateTolerance: { factor: 1, slack: 0 }, retryBudget: { ratio: 0.2, windowMs: 1_000, slack: 1 }, startedAt: 0 })
  view.putUpstream({ id: 'w-1', startedAt: 0, service: SERVICE, address: '127.0.0.1:1', domain: 'north-1', slots: 4, state: UpstreamState.Ready, coldMs: 0 }, 0)
  const pool = view.getPool(SERVICE)
  const [tracker] = [...pool.listTrackers()]
  tracker!.rate.recordResponse(10, 0)
  // From now on requests are kept for as long as the window.
  assert.equal(tracker!.rate.demand.count(WINDOW_MS, 0), 0)
  for (let at = 1; at <= 20; at++) {
    pool.listCandidates({ homeRegions: [], key: 'object', triedWorkers: new Set(), hasWaited: at > 1 }, view.getServiceTimes(ROUTE, SERVICE), view.evacuatedDomains, at)
  }
  assert.equal(tracker!.rate.demand.count(WINDOW_MS, 20), 1)
})
