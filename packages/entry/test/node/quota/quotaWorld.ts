/**
 * Entry VMs that share out quotas over a store, in simulated time: messages are
 * late or lost, links and the way to the store are cut, VMs pause, die and come back.
 * The decisions are the product's; links and store are made here.
 */
import { ManualClock } from '@umberspar/base/common/manualClock'
import { SeededRandom } from '@umberspar/base/common/random'
import type { AccountPolicy, AccountQuota as Quota } from '@umberspar/steering/common/entry/steeringDocument'
import { WorldStore } from './worldStore.js'
import { ACCOUNT, type IWorld, type QuotaWorldFlaws, REGIONS, type Run, TOLERANCE, WorldVm } from './worldVm.js'

/** The world of one seed. */
export class QuotaWorld implements IWorld {
  readonly clock = new ManualClock(0, 1_000_000)
  readonly random: SeededRandom
  readonly store = new WorldStore(this.clock)
  readonly runs: Run[] = []
  refused = 0
  /** The part of messages that get lost. */
  lostPart = 0
  readonly account: AccountPolicy
  private readonly vms: readonly WorldVm[]

  constructor (seed: number, private readonly quota: Quota, readonly flaws: QuotaWorldFlaws = {}, vmCount = 9) {
    this.random = new SeededRandom(seed)
    this.account = { name: ACCOUNT, keyDigests: [], priority: undefined, quota, homeRegions: [] }
    const domains = [...REGIONS.keys()]
    this.vms = Array.from({ length: vmCount }, (_, index) => new WorldVm(this, { name: `vm-${index}`, address: '', peerAddress: `vm-${index}`, domain: domains[index % domains.length]! }))
  }

  /** Delivers to another VM, late, unless one is dead or they are cut off from each other. */
  send (from: string, to: string, deliver: (vm: WorldVm) => void): void {
    const target = this.vms.find(({ node }) => node.name === to)!
    const guarded = target.keepIn(() => { deliver(target) })
    if (this.random.next() < this.lostPart) return
    this.clock.schedule(this.clock.now() + 1 + this.random.next() * 40, () => {
      if (!target.cutFrom.has(from)) guarded()
    })
  }

  /** @returns what hands an answer to the process that asked, when it is not paused */
  returnTo<T> (vm: WorldVm, handle: (value: T) => void): (value: T) => void {
    let passed: T
    const guarded = vm.keepIn(() => { handle(passed) })
    return (value) => {
      passed = value
      guarded()
    }
  }

  /**
   * Lets callers send for a while.
   * @param perSecond of all callers together
   * @param troubles a second
   */
  async run (spanMs: number, perSecond: number, troubles: number): Promise<void> {
    const until = this.clock.now() + spanMs
    const stepMs = 5
    while (this.clock.now() < until) {
      for (let due = perSecond * stepMs / 1_000; this.random.next() < due; due--) this.choose().sendRequest()
      if (this.random.next() < troubles * stepMs / 1_000) this.startTrouble()
      await this.clock.runFor(stepMs)
    }
  }

  /** @returns the most requests that were both sent and run within any window */
  findMostInWindow (): number {
    const runs = [...this.runs].sort((left, right) => left.sentAt - right.sentAt)
    let most = 0
    for (const [from, { sentAt }] of runs.entries()) {
      const until = sentAt + TOLERANCE.windowMs
      let count = 0
      for (let index = from; index < runs.length && runs[index]!.sentAt <= until; index++) {
        if (runs[index]!.ranAt <= until) count++
      }
      most = Math.max(most, count)
    }
    return most
  }

  /** @returns the most that the quota and its tolerance allow in a window */
  get allowed (): number {
    const { ratePerSecond, burst } = this.quota
    return (ratePerSecond * TOLERANCE.windowMs / 1_000 + burst) * (1 + TOLERANCE.over) + TOLERANCE.slack
  }

  /** Cuts the keeper of each share, and one VM that asks it, off from the store for good. */
  breakKeepers (): void {
    for (const domain of REGIONS.keys()) {
      const members = this.vms.filter(({ node }) => node.domain === domain)
      const keeper = members.find((vm) => vm.countKept() > 0)!
      keeper.isCut = true
      members.find((vm) => vm !== keeper)!.isCut = true
    }
  }

  private choose (): WorldVm {
    return this.vms[Math.floor(this.random.next() * this.vms.length)]!
  }

  private startTrouble (): void {
    const kinds = [() => { this.breakStoreLink() }, () => { this.breakLinks() }, () => { this.choose().pause(this.random.next() * 9_000) }, () => { this.closeForAWhile() }]
    kinds[Math.floor(this.random.next() * kinds.length)]!()
  }

  private breakStoreLink (): void {
    const vm = this.choose()
    vm.isCut = true
    this.clock.schedule(this.clock.now() + this.random.next() * 12_000, () => { vm.isCut = false })
  }

  private breakLinks (): void {
    const vm = this.choose()
    const others = this.vms.filter((other) => other !== vm && this.random.next() < 0.5)
    for (const other of others) vm.cutFrom.add(other.node.name)
    this.clock.schedule(this.clock.now() + this.random.next() * 9_000, () => { vm.cutFrom.clear() })
  }

  private closeForAWhile (): void {
    const vm = this.choose()
    if (vm.isDead) return
    vm.stopProcess()
    this.clock.schedule(this.clock.now() + 500 + this.random.next() * 8_000, () => { vm.startProcess() })
  }
}
