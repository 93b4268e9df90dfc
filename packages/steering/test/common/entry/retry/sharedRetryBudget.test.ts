import assert from 'node:assert/strict'
import fc from 'fast-check'
import { describe, it } from 'node:test'
import type { Instant } from '@umberspar/base/common/clock'
import { SeededRandom } from '@umberspar/base/common/random'
import { DomainRoundTrips } from '../../../../src/common/entry/placement/domainRoundTrips.js'
import { EntryView } from '../../../../src/common/entry/entryView.js'
import { RecordKind, type SteeringRecord } from '../../../../src/common/entry/records.js'

const SEED = 20261203
const SERVICE = 'status'
const BUDGET = { ratio: 0.2, windowMs: 10_000, slack: 60 }
const REGIONS = new Map([['north-1', 'north']])

function createNodeRecord (name: string): SteeringRecord {
  return { kind: RecordKind.Node, key: `entry-vms/${name}`, revision: 1, value: { name, address: name, peerAddress: name, domain: 'north-1' } }
}

function createMemberRecord (name: string): SteeringRecord {
  return { kind: RecordKind.Member, key: `entry-members/${name}`, revision: 1, value: { name, domain: 'north-1' } }
}

/** The VMs of a fleet, each with the view of its present process, and what they sent. */
class SimulatedFleet {
  readonly requestTimes: Instant[] = []
  readonly retryTimes: Instant[] = []
  private readonly views: EntryView[]

  constructor (private readonly count: number) {
    this.views = Array.from({ length: count }, (_, index) => this.createView(index, Number.NEGATIVE_INFINITY))
    for (let index = 0; index < count; index++) this.resetList(index, Number.NEGATIVE_INFINITY)
  }

  /** Starts another process, which has read nothing yet. */
  startProcess (index: number, now: Instant): void {
    this.views[index] = this.createView(index, now)
  }

  /** All other VMs disappear from the list of one. */
  clearList (index: number, now: Instant): void {
    for (const name of this.listOthers(index)) this.views[index]!.applyChange({ record: undefined, previous: createNodeRecord(name) }, now)
  }

  /** All VMs are back in the list of one. */
  resetList (index: number, now: Instant): void {
    for (const name of this.listOthers(index)) this.views[index]!.applyChange({ record: createNodeRecord(name), previous: undefined }, now)
  }

  /** All VMs are members of the fleet, as all know. */
  putMembers (now: Instant): void {
    for (const view of this.views) {
      for (let index = 0; index < this.count; index++) view.applyChange({ record: createMemberRecord(`vm-${index}`), previous: undefined }, now)
    }
  }

  /** A request arrives, and is retried as often as the budget allows, up to a limit. */
  handleRequest (index: number, retries: number, now: Instant): void {
    const budget = this.views[index]!.getRetryBudget(SERVICE)
    budget.recordFirstAttempt(now)
    this.requestTimes.push(now)
    for (let retry = 0; retry < retries && budget.take(now); retry++) this.retryTimes.push(now)
  }

  /** Asserts the users' rule: the requests of a window, the one before it or the one half a window before it earn its retries. */
  checkBudget (): void {
    const { ratio, windowMs, slack } = BUDGET
    for (const end of this.retryTimes) {
      const countSince = (times: readonly Instant[], offset: number): number => times.filter((at) => at > end - windowMs - offset && at <= end - offset).length
      const requests = Math.max(...[0, windowMs / 2, windowMs].map((offset) => countSince(this.requestTimes, offset)))
      const retries = countSince(this.retryTimes, 0)
      assert.ok(retries <= ratio * requests + slack, `${retries} retries in the window that ends at ${end}, for ${requests} requests`)
    }
  }

  private createView (index: number, startedAt: Instant): EntryView {
    const context = { mayShare: () => true, node: `vm-${index}`, domain: 'north-1', regionByDomain: REGIONS, roundTrips: new DomainRoundTrips('north-1', REGIONS), coldTolerance: { factor: 1, slack: 0 }, rateTolerance: { factor: 1, slack: 0 }, retryBudget: BUDGET, startedAt }
    return new EntryView(context)
  }

  private listOthers (index: number): string[] {
    return Array.from({ length: this.count }, (_, other) => `vm-${other}`).filter((name) => name !== `vm-${index}`)
  }
}

/** Sends evenly spaced requests to random VMs while every attempt fails. */
function sendRequests (fleet: SimulatedFleet, count: number, fromMs: Instant, untilMs: Instant, random: SeededRandom): void {
  for (let at = fromMs; at < untilMs; at += 12) fleet.handleRequest(Math.floor(random.next() * count), 3, at)
}

describe('the retry budget that all entry VMs share', () => {
  // Guards against retries beyond the budget of all VMs when restarted processes forget what they have spent.
  it('holds while all processes restart again and again and every attempt fails', () => {
    const count = 10
    const fleet = new SimulatedFleet(count)
    const random = new SeededRandom(SEED)
    sendRequests(fleet, count, 0, 12_000, random)
    for (const restartAt of [12_000, 13_000, 14_000, 15_000]) {
      for (let index = 0; index < count; index++) fleet.startProcess(index, restartAt)
      for (let index = 0; index < count; index++) fleet.resetList(index, restartAt)
      sendRequests(fleet, count, restartAt, restartAt + 1_000, random)
    }
    sendRequests(fleet, count, 16_000, 40_000, random)
    fleet.checkBudget()
  })

  // Guards against retries beyond the budget of all VMs when each divides it among the few VMs it has read so far.
  it('holds while processes that start together do not know each other yet', () => {
    const count = 10
    const fleet = new SimulatedFleet(count)
    const random = new SeededRandom(SEED)
    for (let index = 0; index < count; index++) fleet.startProcess(index, 0)
    sendRequests(fleet, count, 0, 2_000, random)
    for (let index = 0; index < count; index++) fleet.resetList(index, 2_000)
    sendRequests(fleet, count, 2_000, 30_000, random)
    fleet.checkBudget()
  })

  // Guards against retries beyond the budget of all VMs when the VM list shrinks for less than a window.
  it('holds while the other VMs disappear from the list for a few seconds', () => {
    const count = 10
    const fleet = new SimulatedFleet(count)
    const random = new SeededRandom(SEED)
    sendRequests(fleet, count, 0, 12_000, random)
    for (let index = 0; index < count; index++) fleet.clearList(index, 12_000)
    sendRequests(fleet, count, 12_000, 16_000, random)
    for (let index = 0; index < count; index++) fleet.resetList(index, 16_000)
    sendRequests(fleet, count, 16_000, 40_000, random)
    fleet.checkBudget()
  })

  // Guards against retries beyond the budget when registrations are missing for longer than a window, and callers still reach the VMs.
  it('holds while the registrations of the other members are missing for long', () => {
    const count = 10
    const fleet = new SimulatedFleet(count)
    const random = new SeededRandom(SEED)
    fleet.putMembers(0)
    sendRequests(fleet, count, 0, 12_000, random)
    for (let index = 0; index < count; index++) fleet.clearList(index, 12_000)
    sendRequests(fleet, count, 12_000, 45_000, random)
    fleet.checkBudget()
  })

  it('holds in any window, whichever VMs restart or miss others for less than a window', () => {
    const changes = fc.array(fc.record({ node: fc.nat({ max: 11 }), at: fc.integer({ min: 12_000, max: 34_000 }), lossMs: fc.integer({ min: 0, max: 9_000 }), isRestart: fc.boolean(), isOfAll: fc.boolean() }), { maxLength: 8 })
    fc.assert(fc.property(changes, fc.integer({ min: 2, max: 12 }), fc.integer({ min: 20, max: 200 }), fc.integer(), (list, count, gapMs, salt) => {
      const fleet = new SimulatedFleet(count)
      const random = new SeededRandom(salt)
      const steps: Array<{ readonly at: Instant, run (at: Instant): void }> = []
      for (const { node, at, lossMs, isRestart, isOfAll } of list) {
        const nodes = isOfAll ? Array.from({ length: count }, (_, index) => index) : [node % count]
        steps.push({ at, run: (now) => { for (const index of nodes) isRestart ? fleet.startProcess(index, now) : fleet.clearList(index, now) } })
        steps.push({ at: at + lossMs, run: (now) => { for (const index of nodes) fleet.resetList(index, now) } })
      }
      for (let at = 0; at < 50_000; at += gapMs) steps.push({ at, run: (now) => { fleet.handleRequest(Math.floor(random.next() * count), 4, now) } })
      for (const { at, run } of steps.sort((left, right) => left.at - right.at)) run(at)
      fleet.checkBudget()
    }), { seed: SEED, numRuns: 60 })
  })
})
