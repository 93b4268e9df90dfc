import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import type { EntryNode, FleetMember } from '../../../../src/common/entry/records.js'
import { Membership, SPENDING_LEASE_MS } from '../../../../src/common/entry/sharing/membership.js'
import type { StoredRecord } from '../../../../src/common/entry/storedRecord.js'

const TICK_MS = 1_000
const WINDOW_MS = 4_000

describe('the membership of an entry VM', () => {
  let now: number
  let nodes: Map<string, EntryNode>
  let members: Map<string, StoredRecord<FleetMember>>

  beforeEach(() => {
    now = 0
    nodes = new Map()
    members = new Map()
  })

  function register (name: string): void {
    nodes.set(name, { name, address: name, peerAddress: name, domain: 'north-1' })
  }

  function putMember (name: string): void {
    members.set(name, { key: name, revision: 1, value: { name, domain: 'north-1' } })
  }

  function create (name = 'vm-1'): Membership {
    return new Membership(name, { nodes, members }, now, () => now)
  }

  /** @returns how long it takes until a condition holds, in milliseconds */
  function countUntil (membership: Membership, isTrue: () => boolean, recordsAgeMs: () => number = () => 0): number {
    const from = now
    while (now < from + 300_000) {
      membership.update(recordsAgeMs())
      if (isTrue()) return now - from
      now += TICK_MS
    }
    return Infinity
  }

  // Guards against VMs that spend before others count them.
  it('is entered only after others have had the time to learn of the registration', () => {
    register('vm-1')
    const membership = create()
    const waitedMs = countUntil(membership, () => membership.update(0).mustJoin)
    assert.ok(waitedMs >= 8_000 && waitedMs <= 15_000, `${waitedMs} ms`)
    assert.equal(membership.mayShare(WINDOW_MS), false)
    putMember('vm-1')
    assert.ok(countUntil(membership, () => membership.mayShare(WINDOW_MS)) >= 2_000)
  })

  // Guards against a member that doesn't know of the new one and still spends by the list without it.
  it('is entered after the lease of others while some member is not registered', () => {
    register('vm-1')
    putMember('vm-2')
    const membership = create()
    assert.ok(countUntil(membership, () => membership.update(0).mustJoin) >= SPENDING_LEASE_MS)
  })

  // Guards against a restarted process that spends again what its predecessor has spent in the same window.
  it('spends after one window if it is found when a process starts', () => {
    register('vm-1')
    putMember('vm-1')
    const membership = create()
    assert.equal(countUntil(membership, () => membership.mayShare(WINDOW_MS)), WINDOW_MS)
    assert.equal(membership.mayShare(WINDOW_MS), true)
  })

  it('spends on while the registration has expired, until the lease ends, and waits after its return', () => {
    register('vm-1')
    putMember('vm-1')
    const membership = create()
    countUntil(membership, () => now >= 10_000)
    nodes.delete('vm-1')
    const spentMs = countUntil(membership, () => !membership.mayShare(WINDOW_MS))
    assert.ok(spentMs > SPENDING_LEASE_MS - 3 * TICK_MS && spentMs <= SPENDING_LEASE_MS, `${spentMs} ms`)
    now += 10_000
    register('vm-1')
    assert.ok(countUntil(membership, () => membership.mayShare(WINDOW_MS)) >= 12_000)
  })

  it('stops spending when its records have been old for the length of the lease', () => {
    register('vm-1')
    putMember('vm-1')
    const membership = create()
    countUntil(membership, () => now >= 10_000)
    const from = now
    const spentMs = countUntil(membership, () => !membership.mayShare(WINDOW_MS), () => now - from)
    assert.ok(spentMs <= SPENDING_LEASE_MS, `${spentMs} ms`)
  })

  // Guards against a member that is forgotten while it may still spend.
  it('ends for VMs that have not been registered for longer than the lease', () => {
    register('vm-1')
    putMember('vm-1')
    putMember('vm-2')
    const membership = create()
    const waitedMs = countUntil(membership, () => membership.update(0).absent.length > 0)
    assert.ok(waitedMs >= SPENDING_LEASE_MS + 10_000, `${waitedMs} ms`)
  })

  it('does not end for a VM that may have been registered while this one was cut off', () => {
    register('vm-1')
    putMember('vm-1')
    putMember('vm-2')
    const membership = create()
    countUntil(membership, () => now >= 40_000)
    countUntil(membership, () => now >= 45_000, () => 5_000)
    assert.ok(countUntil(membership, () => membership.update(0).absent.length > 0) >= SPENDING_LEASE_MS)
  })
})
