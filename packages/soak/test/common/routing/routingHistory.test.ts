import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { DisruptionLog } from '../../../src/common/routing/disruptionLog.js'
import { RoutingBreach, RoutingHistory } from '../../../src/common/routing/routingHistory.js'

const APPLY_MS = 2_500
const RAN_NORTH = { ran: { service: 'archive', region: 'north' } }
const RAN_SOUTH = { ran: { service: 'archive', region: 'south' } }
const DENIED = { denied: 404 }

function createHistory (): RoutingHistory {
  const history = new RoutingHistory(APPLY_MS)
  history.add({ version: 1, ackedAt: 0, routes: [{ prefix: '/a/', service: 'archive', homeRegions: ['north'] }] })
  history.add({ version: 2, ackedAt: 10_000, routes: [{ prefix: '/a/', service: 'archive', homeRegions: ['south'] }, { prefix: '/a/b/', service: 'desk', homeRegions: [] }] })
  return history
}

describe('outcomes allowed by the versions in effect', () => {
  it('allows outcomes of the newest version, and of the one before until the time limit', () => {
    const history = createHistory()
    const check = (sentAt: number, outcome: typeof RAN_NORTH) => history.listBreaches({ path: '/a/1', sentAt, endedAt: sentAt + 10, outcome })
    assert.deepEqual(check(5_000, RAN_NORTH), [])
    assert.deepEqual(check(5_000, RAN_SOUTH), [RoutingBreach.OutsideHomeRegions])
    assert.deepEqual(check(12_500, RAN_NORTH), [])
    assert.deepEqual(check(12_501, RAN_NORTH), [RoutingBreach.OutsideHomeRegions])
    assert.deepEqual(check(12_501, RAN_SOUTH), [])
  })

  it('uses the longest matching prefix, and allows a denial if no version in effect has a route', () => {
    const history = createHistory()
    const check = (sentAt: number, outcome: typeof RAN_NORTH | typeof DENIED, path = '/a/b/1') => history.listBreaches({ path, sentAt, endedAt: sentAt, outcome })
    assert.deepEqual(check(13_000, RAN_SOUTH), [RoutingBreach.ReplacedVersion])
    assert.deepEqual(check(13_000, DENIED), [RoutingBreach.ReplacedVersion])
    assert.deepEqual(check(13_000, DENIED, '/c/1'), [])
    // The new version may already be in effect at the end of a request.
    assert.deepEqual(history.listBreaches({ path: '/a/b/1', sentAt: 9_990, endedAt: 10_010, outcome: { ran: { service: 'desk', region: 'north' } } }), [])
  })
})

describe('stability of a VM', () => {
  it('is lost during a disruption and the stability period after it', () => {
    const disruptions = new DisruptionLog(3_000)
    const disruption = disruptions.start('vm-1', 1_000)
    assert.ok(disruptions.isStable('vm-1', 0, 900))
    assert.ok(!disruptions.isStable('vm-1', 500, 1_100))
    assert.ok(disruptions.isStable('vm-2', 500, 1_100))
    disruption.end(2_000)
    assert.ok(!disruptions.isStable('vm-1', 5_000, 5_100))
    assert.ok(disruptions.isStable('vm-1', 5_001, 5_100))
  })

  it('is lost for all VMs if the store is disrupted', () => {
    const disruptions = new DisruptionLog(3_000)
    disruptions.start(undefined, 1_000)
    assert.ok(!disruptions.isStable('vm-2', 500, 1_100))
  })
})
