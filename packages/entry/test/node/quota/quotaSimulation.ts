/**
 * Simulates entry VMs that divide quotas by a shared store: messages are delayed or lost,
 * links between VMs and to the store fail, VMs pause, crash and restart. The decisions are
 * those of the product; links, store and time are simulated.
 */
import { ManualClock } from '@umberspar/base/common/manualClock'
import { SeededRandom } from '@umberspar/base/common/random'
import type { AccountPolicy, AccountQuota as Quota } from '@umberspar/steering/common/entry/steeringDocument'
import { SimulatedStore } from './simulatedStore.js'
import { ACCOUNT, type ISimulation, type SimulationFlaws, REGIONS, type Run, TOLERANCE, SimulatedVm } from './simulatedVm.js'

/** A simulation with one seed. */
export class QuotaSimulation implements ISimulation {
  readonly clock = new ManualClock(0, 1_000_000)
  readonly random: SeededRandom
  readonly store = new SimulatedStore(this.clock)
  readonly runs: Run[] = []
  refused = 0
  lossRatio = 0
  readonly account: AccountPolicy
  private readonly vms: readonly SimulatedVm[]

  constructor (seed: number, private readonly quota: Quota, readonly flaws: SimulationFlaws = {}, vmCount = 9) {
    this.random = new SeededRandom(seed)
    this.account = { name: ACCOUNT, keyDigests: [], priority: undefined, quota, homeRegions: [] }
    const domains = [...REGIONS.keys()]
    this.vms = Array.from({ length: vmCount }, (_, index) => new SimulatedVm(this, { name: `vm-${index}`, address: '', peerAddress: `vm-${index}`, domain: domains[index % domains.length]! }))
  }

  /** Delivers a message to another VM after a delay, unless that VM is down or the link between them has failed. */
  send (from: string, to: string, deliver: (vm: SimulatedVm) => void): void {
    const target = this.vms.find(({ node }) => node.name === to)!
    const callback = target.createProcessCallback(() => { deliver(target) })
    if (this.random.next() < this.lossRatio) return
    this.clock.schedule(this.clock.now() + 1 + this.random.next() * 40, () => {
      if (!target.cutFrom.has(from)) callback()
    })
  }

  /** @returns a callback that passes a reply to the process that sent the request, once it is not paused */
  createReplyCallback<T> (vm: SimulatedVm, handle: (value: T) => void): (value: T) => void {
    let reply: T
    const callback = vm.createProcessCallback(() => { handle(reply) })
    return (value) => {
      reply = value
      callback()
    }
  }

  /**
   * Runs the simulation while callers send requests.
   * @param spanMs the duration, in milliseconds
   * @param perSecond requests of all callers per second
   * @param faultsPerSecond random faults per second
   */
  async run (spanMs: number, perSecond: number, faultsPerSecond: number): Promise<void> {
    const until = this.clock.now() + spanMs
    const stepMs = 5
    while (this.clock.now() < until) {
      for (let due = perSecond * stepMs / 1_000; this.random.next() < due; due--) this.chooseVm().sendRequest()
      if (this.random.next() < faultsPerSecond * stepMs / 1_000) this.startFault()
      await this.clock.runFor(stepMs)
    }
  }

  /** @returns the maximum number of requests that were both sent and run within any window */
  findMaxInWindow (): number {
    const runs = [...this.runs].sort((left, right) => left.sentAt - right.sentAt)
    let max = 0
    for (const [from, { sentAt }] of runs.entries()) {
      const until = sentAt + TOLERANCE.windowMs
      let count = 0
      for (let index = from; index < runs.length && runs[index]!.sentAt <= until; index++) {
        if (runs[index]!.ranAt <= until) count++
      }
      max = Math.max(max, count)
    }
    return max
  }

  /** @returns the maximum number of requests that the quota and its tolerance allow in a window */
  get allowed (): number {
    const { ratePerSecond, burst } = this.quota
    return (ratePerSecond * TOLERANCE.windowMs / 1_000 + burst) * (1 + TOLERANCE.over) + TOLERANCE.slack
  }

  /** Permanently disconnects the owner of each share, and one VM that requests tokens from it, from the store. */
  breakShareOwners (): void {
    for (const domain of REGIONS.keys()) {
      const members = this.vms.filter(({ node }) => node.domain === domain)
      const owner = members.find((vm) => vm.countOwned() > 0)!
      owner.isCutFromStore = true
      members.find((vm) => vm !== owner)!.isCutFromStore = true
    }
  }

  private chooseVm (): SimulatedVm {
    return this.vms[Math.floor(this.random.next() * this.vms.length)]!
  }

  private startFault (): void {
    const faults = [() => { this.breakStoreLink() }, () => { this.breakLinks() }, () => { this.chooseVm().pause(this.random.next() * 9_000) }, () => { this.stopTemporarily() }]
    faults[Math.floor(this.random.next() * faults.length)]!()
  }

  private breakStoreLink (): void {
    const vm = this.chooseVm()
    vm.isCutFromStore = true
    this.clock.schedule(this.clock.now() + this.random.next() * 12_000, () => { vm.isCutFromStore = false })
  }

  private breakLinks (): void {
    const vm = this.chooseVm()
    const others = this.vms.filter((other) => other !== vm && this.random.next() < 0.5)
    for (const other of others) vm.cutFrom.add(other.node.name)
    this.clock.schedule(this.clock.now() + this.random.next() * 9_000, () => { vm.cutFrom.clear() })
  }

  private stopTemporarily (): void {
    const vm = this.chooseVm()
    if (vm.isDead) return
    vm.stopProcess()
    this.clock.schedule(this.clock.now() + 500 + this.random.next() * 8_000, () => { vm.startProcess() })
  }
}
