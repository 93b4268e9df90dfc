import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ContactLedger } from '../../../src/common/routing/contactLedger.js'
import { RoutingBreach, RoutingHistory } from '../../../src/common/routing/routingHistory.js'

const APPLY_MS = 2_500
const RAN_NORTH = { ran: { service: 'archive', region: 'north' } }
const RAN_SOUTH = { ran: { service: 'archive', region: 'south' } }
const DENIED = { denied: 404 }

function createHistory (): RoutingHistory {
  const history = new RoutingHistory(APPLY_MS)
  history.add({ version: 1, ackedAt: 0, routes: [{ prefix: '/a/', service: 'archive', homes: ['north'] }] })
  history.add({ version: 2, ackedAt: 10_000, routes: [{ prefix: '/a/', service: 'archive', homes: ['south'] }, { prefix: '/a/b/', service: 'desk', homes: [] }] })
  return history
}

describe('what versions in force allow', () => {
  it('is the newest version, and the one before it until the bound has passed', () => {
    const history = createHistory()
    const check = (sentAt: number, outcome: typeof RAN_NORTH) => history.listBreaches({ path: '/a/1', sentAt, endedAt: sentAt + 10, outcome })
    assert.deepEqual(check(5_000, RAN_NORTH), [])
    assert.deepEqual(check(5_000, RAN_SOUTH), [RoutingBreach.OutsideHome])
    assert.deepEqual(check(12_500, RAN_NORTH), [])
    assert.deepEqual(check(12_501, RAN_NORTH), [RoutingBreach.OutsideHome])
    assert.deepEqual(check(12_501, RAN_SOUTH), [])
  })

  it('goes by the longest prefix, and lets be denied what no version in force has', () => {
    const history = createHistory()
    const check = (sentAt: number, outcome: typeof RAN_NORTH | typeof DENIED, path = '/a/b/1') => history.listBreaches({ path, sentAt, endedAt: sentAt, outcome })
    assert.deepEqual(check(13_000, RAN_SOUTH), [RoutingBreach.OldVersion])
    assert.deepEqual(check(13_000, DENIED), [RoutingBreach.OldVersion])
    assert.deepEqual(check(13_000, DENIED, '/c/1'), [])
    // The new version may already be in force at the end of a request.
    assert.deepEqual(history.listBreaches({ path: '/a/b/1', sentAt: 9_990, endedAt: 10_010, outcome: { ran: { service: 'desk', region: 'north' } } }), [])
  })
})

describe('the contact of a VM', () => {
  it('is lost for the disturbance and the stability span after it', () => {
    const contacts = new ContactLedger(3_000)
    const disturbance = contacts.start('vm-1', 1_000)
    assert.ok(contacts.isInContact('vm-1', 0, 900))
    assert.ok(!contacts.isInContact('vm-1', 500, 1_100))
    assert.ok(contacts.isInContact('vm-2', 500, 1_100))
    disturbance.end(2_000)
    assert.ok(!contacts.isInContact('vm-1', 5_000, 5_100))
    assert.ok(contacts.isInContact('vm-1', 5_001, 5_100))
  })

  it('is lost for all VMs where the store is disturbed', () => {
    const contacts = new ContactLedger(3_000)
    contacts.start(undefined, 1_000)
    assert.ok(!contacts.isInContact('vm-2', 500, 1_100))
  })
})
