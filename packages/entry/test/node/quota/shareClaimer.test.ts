import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ElapsedClock } from '@umberspar/base/common/elapsedClock'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import type { ILogger } from '@umberspar/base/common/logger'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import { DomainRoundTrips } from '@umberspar/steering/common/entry/placement/domainRoundTrips'
import { EntryView } from '@umberspar/steering/common/entry/entryView'
import type { EntryNode, ShareOwner } from '@umberspar/steering/common/entry/records'
import type { INodeRegistration, RegistrationLease } from '@umberspar/steering/common/ports/steeringSource'
import { QuotaBucketTable } from '@umberspar/steering/common/quota/quotaBucketTable'
import { listShares, planClaims } from '@umberspar/steering/common/quota/quotaShares'
import { ShareClaimer } from '../../../src/node/quota/shareClaimer.js'

const REGIONS = new Map([['n-1', 'n']])
const LOGGER: ILogger = { log: () => {}, createChild: () => LOGGER }
const NODES: readonly EntryNode[] = ['vm-0', 'vm-1', 'vm-2'].map((name) => ({ name, address: '', peerAddress: name, domain: 'n-1' }))
const [SHARE] = listShares(REGIONS)

interface LeaseState {
  present: RegistrationLease
  earlier: RegistrationLease | undefined
  earlierEndAt: number
}

interface Claim {
  readonly owner: ShareOwner
  readonly expectedRevision: number
}

/** @param answer gets the store's response to each claim */
function createClaimer (name: string, answer: () => Result<number, StepError>) {
  const clock = new ManualClock(0, 1_000_000)
  const elapsed = new ElapsedClock(clock)
  const claims: Claim[] = []
  const lease: LeaseState = { present: { id: 7, until: 60_000, era: 1 }, earlier: undefined, earlierEndAt: Number.NEGATIVE_INFINITY }
  const registration: INodeRegistration = {
    start: () => {},
    register: () => {},
    update: () => {},
    withdraw: () => {},
    close: () => {},
    get currentLease () { return lease.present },
    get earlierLeasesEndAt () { return lease.earlierEndAt },
    getLeaseEnd: (id) => [lease.present, lease.earlier].find((other) => other?.id === id)?.until ?? Number.NEGATIVE_INFINITY,
    checkLease: () => {},
    claimShare: async (owner, expectedRevision) => {
      claims.push({ owner, expectedRevision })
      return answer()
    }
  }
  const view = new EntryView({ mayShare: () => true, node: name, domain: 'n-1', regionByDomain: REGIONS, roundTrips: new DomainRoundTrips('n-1', REGIONS), coldTolerance: { factor: 1, slack: 1 }, rateTolerance: { factor: 1.5, slack: 5 }, retryBudget: { ratio: 1, windowMs: 1, slack: 1 }, startedAt: 0 })
  for (const node of NODES) view.putNode(node, 0)
  const buckets = new QuotaBucketTable({ windowMs: 5_000, over: 0.1, slack: 20 }, REGIONS)
  buckets.setAccounts([{ name: 'a', keyDigests: [], priority: undefined, quota: { ratePerSecond: 10, burst: 10 }, homeRegions: [] }], 0)
  const self = NODES.find((node) => node.name === name)!
  const claimer = new ShareClaimer({ clock, elapsed, logger: LOGGER, view, self, life: 'present', regionByDomain: REGIONS, registration, buckets, startedAt: elapsed.now(), isLeaving: () => false })
  return { clock, claims, view, claimer, lease, buckets, listClaims: (share: string) => claims.filter(({ owner }) => owner.share === share) }
}

function refuse (): Result<number, StepError> {
  return Err(new StepError({ code: ErrorCode.Conflict, step: 'claim-share', peer: 'store', message: 'another VM claimed the share first' }))
}

describe('claims of shares', () => {
  const [first, second] = [...planClaims(SHARE!, NODES, REGIONS).keys()]

  it('are made by the first VM at once, and by the next ones only after a delay', async () => {
    const one = createClaimer(first!, () => Ok(7))
    one.claimer.handleChange()
    await one.clock.runFor(100)
    assert.equal(one.listClaims(SHARE!.name).length, 1)
    const other = createClaimer(second!, () => Ok(7))
    other.claimer.handleChange()
    await other.clock.runFor(900)
    assert.equal(other.listClaims(SHARE!.name).length, 0)
    await other.clock.runFor(1_500)
    assert.equal(other.listClaims(SHARE!.name).length, 1)
  })

  it('count only if the store accepted them', async () => {
    // Guards against two owners of one share: VMs with different VM lists claim a share at the
    // same moment, and the second one must grant no tokens although it sent a claim.
    const { clock, claimer, listClaims } = createClaimer(first!, refuse)
    claimer.handleChange()
    await clock.runFor(100)
    assert.equal(listClaims(SHARE!.name).length, 1)
    assert.equal(claimer.isOwned(SHARE!.name), false)
  })

  it('of a previous process of the same VM are replaced by their revision, and those of other VMs are not', async () => {
    const { clock, claimer, view, listClaims } = createClaimer(first!, () => Ok(7))
    view.shares.set(SHARE!.name, { owner: { share: SHARE!.name, node: first!, life: 'former', peerAddress: '' }, revision: 41 })
    claimer.handleChange()
    await clock.runFor(100)
    assert.equal(listClaims(SHARE!.name)[0]?.expectedRevision, 41)
    const other = createClaimer(first!, () => Ok(7))
    other.view.shares.set(SHARE!.name, { owner: { share: SHARE!.name, node: second!, life: 'x', peerAddress: '' }, revision: 41 })
    other.claimer.handleChange()
    await other.clock.runFor(10_000)
    assert.equal(other.listClaims(SHARE!.name).length, 0)
  })

  it('of an earlier era of the store bind until their lease has ended', async () => {
    // Guards against two owners of one share: the store has come back from a copy without the claim, and its owner does not know yet.
    const { clock, claimer, lease, listClaims } = createClaimer(first!, () => Ok(8))
    lease.present = { id: 8, until: 60_000, era: 2 }
    lease.earlierEndAt = 5_000
    claimer.handleChange()
    await clock.runFor(4_900)
    assert.equal(listClaims(SHARE!.name).length, 0)
    await clock.runFor(1_000)
    assert.equal(listClaims(SHARE!.name).length, 1)
  })

  it('are made again in a new era by their owner, which grants on meanwhile', async () => {
    // Guards against quotas that nobody grants for the length of a lease after the store went back.
    let leaseId = 7
    const { clock, claimer, lease, view, buckets, listClaims } = createClaimer(first!, () => leaseId === 8 && listClaims(SHARE!.name).at(-1)?.expectedRevision !== 0 ? refuse() : Ok(leaseId))
    claimer.handleChange()
    await clock.runFor(100)
    const owner = { share: SHARE!.name, node: first!, life: 'present', peerAddress: '', era: 1 }
    // The replica holds on to the claim, at the revision of the copy, although the store has lost it.
    view.shares.set(SHARE!.name, { owner, revision: 41 })
    buckets.take(SHARE!.name, 'a', 1, 0, clock.now())
    leaseId = 8
    lease.earlier = lease.present
    lease.present = { id: 8, until: 70_000, era: 2 }
    lease.earlierEndAt = 60_000
    claimer.handleChange()
    assert.ok(claimer.isOwned(SHARE!.name))
    await clock.runFor(2_000)
    assert.deepEqual(listClaims(SHARE!.name).map(({ expectedRevision }) => expectedRevision), [0, 41, 0])
    clock.stepTo(65_000)
    assert.ok(claimer.isOwned(SHARE!.name), 'owned under the lease of the new era')
  })

  it('end no later than the lease', async () => {
    // Guards against an owner that is paused beyond its lease: when it resumes, it would
    // respond to requests that have waited, while another VM already owns the share.
    const { clock, claimer } = createClaimer(first!, () => Ok(7))
    claimer.handleChange()
    await clock.runFor(100)
    assert.ok(claimer.isOwned(SHARE!.name))
    clock.stepTo(59_999)
    assert.ok(claimer.isOwned(SHARE!.name))
    clock.stepTo(60_000)
    assert.ok(!claimer.isOwned(SHARE!.name))
  })
})
