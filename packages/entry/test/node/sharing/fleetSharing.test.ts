import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ElapsedClock } from '@umberspar/base/common/elapsedClock'
import { NULL_LOGGER } from '@umberspar/base/common/logger'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { SeededRandom } from '@umberspar/base/common/random'
import { Ok } from '@umberspar/base/common/result'
import { DomainRoundTrips } from '@umberspar/steering/common/entry/placement/domainRoundTrips'
import { EntryView } from '@umberspar/steering/common/entry/entryView'
import { type FleetMember, type ObservedRateLimit, RecordKind, type SteeringRecord, UpstreamState } from '@umberspar/steering/common/entry/records'
import { ViewChange } from '@umberspar/steering/common/entry/viewEvent'
import type { IRecordWriter, StoredRecord } from '@umberspar/steering/common/ports/steeringSource'
import { FleetSharing } from '../../../src/node/sharing/fleetSharing.js'

const REGIONS = new Map([['north-1', 'north']])
const WORKER = 'w-1'

describe('what a VM writes about limits that VMs share', () => {
  let clock: ManualClock
  let view: EntryView
  let sharing: FleetSharing
  let writtenMembers: FleetMember[]
  let writtenLimits: ObservedRateLimit[]
  let removed: string[]
  let records: Map<string, SteeringRecord>

  function apply (record: SteeringRecord): void {
    records.set(record.key, record)
    view.applyChange({ record, previous: undefined }, clock.now())
  }

  function putMember (name: string): void {
    apply({ kind: RecordKind.Member, key: `entry-members/${name}`, revision: 1, value: { name, domain: 'north-1' } })
  }

  async function runFor (ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += 100) {
      clock.stepBy(100)
      await new Promise((resolve) => { setImmediate(resolve) })
    }
  }

  beforeEach(() => {
    clock = new ManualClock()
    writtenMembers = []
    writtenLimits = []
    removed = []
    records = new Map()
    view = new EntryView({ mayShare: () => true, node: 'vm-1', domain: 'north-1', regionByDomain: REGIONS, roundTrips: new DomainRoundTrips('north-1', REGIONS), coldTolerance: { factor: 1, slack: 0 }, rateTolerance: { factor: 1, slack: 0 }, retryBudget: { ratio: 0.2, windowMs: 1_000, slack: 1 }, startedAt: 0 })
    const writer: IRecordWriter = {
      putCrashReports: async () => Ok(1),
      putQuarantine: async () => Ok(1),
      putMember: async (member) => {
        writtenMembers.push(member)
        putMember(member.name)
        return Ok(1)
      },
      putRateLimit: async (limit) => {
        writtenLimits.push(limit)
        apply({ kind: RecordKind.RateLimit, key: `entry-rate-limits/${limit.workerId}`, revision: 1, value: limit })
        return Ok(1)
      },
      remove: async ({ key }: StoredRecord) => {
        removed.push(key)
        view.applyChange({ record: undefined, previous: records.get(key) }, clock.now())
        return Ok(1)
      }
    }
    sharing = new FleetSharing({ clock, elapsed: new ElapsedClock(clock), random: new SeededRandom(1), logger: NULL_LOGGER, view, self: { name: 'vm-1', domain: 'north-1' }, writer, startedAt: clock.now(), getRecordsAgeMs: () => 0, isLeaving: () => false })
    apply({ kind: RecordKind.Node, key: 'entry-vms/vm-1', revision: 1, value: { name: 'vm-1', address: 'a', peerAddress: 'p', domain: 'north-1' } })
    apply({ kind: RecordKind.Upstream, key: `servers/${WORKER}`, revision: 1, value: { id: WORKER, startedAt: 5, service: 's', address: 'w', domain: 'north-1', slots: 4, state: UpstreamState.Ready, coldMs: 0 } })
    sharing.start()
  })

  function observe (perSecond: number | undefined): void {
    if (view.findUpstream(WORKER)!.rate.recordResponse(perSecond, clock.now())) sharing.rateLimitReporter.handleObserved(WORKER)
  }

  it('enters the VM among the members once', async () => {
    await runFor(40_000)
    assert.deepEqual(writtenMembers, [{ name: 'vm-1', domain: 'north-1' }])
    assert.equal(sharing.mayShare(4_000), true)
  })

  // Guards against a member that the store has lost and that VMs that start do not count.
  it('enters the VM again when the store has come back from an older copy', async () => {
    await runFor(40_000)
    sharing.handleChange(ViewChange.EraBegan)
    await runFor(3_000)
    assert.equal(writtenMembers.length, 2)
  })

  it('removes members that have not been registered for long', async () => {
    putMember('vm-2')
    await runFor(120_000)
    assert.deepEqual(removed, ['entry-members/vm-2'])
  })

  // Guards against processes that start and know nothing of limits that their VM had been told of.
  it('passes on a limit that a worker announces, and its end', async () => {
    observe(10)
    await runFor(2_000)
    assert.deepEqual(writtenLimits, [{ workerId: WORKER, startedAt: 5, perSecond: 10 }])
    observe(undefined)
    await runFor(1_500)
    observe(undefined)
    await runFor(2_000)
    assert.deepEqual(removed, [`entry-rate-limits/${WORKER}`])
  })

  it('does not write a limit that another VM has passed on', async () => {
    apply({ kind: RecordKind.RateLimit, key: `entry-rate-limits/${WORKER}`, revision: 1, value: { workerId: WORKER, startedAt: 5, perSecond: 10 } })
    observe(10)
    await runFor(2_000)
    assert.deepEqual(writtenLimits, [])
  })

  it('removes limits of workers that are gone', async () => {
    observe(10)
    await runFor(2_000)
    view.removeUpstream(WORKER, clock.now())
    sharing.handleChange(ViewChange.RateLimitReported)
    await runFor(130_000)
    assert.deepEqual(removed, [`entry-rate-limits/${WORKER}`])
  })
})
