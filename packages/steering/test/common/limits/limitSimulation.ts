/**
 * Simulates several entry VMs of one region that share the limits of one place.
 * Each VM has a clock of its own, messages may be lost, delayed or duplicated, and
 * readings of the VM list may be outdated. Requests are counted at the workers.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { buildDivisionView } from '../../../src/common/limits/divisionView.js'
import { CLOCK_DRIFT_MARGIN_RATIO, type AcquiredSlot } from '../../../src/common/limits/loans.js'
import { DivisionTracker } from '../../../src/common/limits/divisionTracker.js'
import { PlaceLedger } from '../../../src/common/limits/placeLedger.js'
import { Roster, type RosterPolicy } from '../../../src/common/limits/roster.js'
import { buildPlaceKey, buildSlotKey, findPlaceKey } from '../../../src/common/limits/slotKey.js'
import { StartBarrier } from '../../../src/common/limits/startBarrier.js'
import { type VmListSnapshot, VmRole, VmState } from '../../../src/common/ports/vmList.js'
import type { SteeringConfiguration } from '../../../src/common/configuration/configurationSchema.js'
import { buildSampleConfiguration } from '../sampleConfiguration.js'

/** The last node is in another region, is always on the list and never restarts. */
export const NODE_IDS = ['n1', 'n2', 'n3', 'n4']
const STABLE_NODE = 'n4'
const SERVICE = 'escort-svc'
const DOMAIN = 'klang-a'
const REGION = 'klang'
const OTHER_REGION = 'penang'
const PLACE_KEY = buildPlaceKey(SERVICE, DOMAIN)
/** Scaled down; as in production, the grace period exceeds the maximum list age, the list's delay and the longest request together. */
const POLICY: RosterPolicy = { removalGraceMs: 700, maxListAgeMs: 300 }
const MAX_LIST_DELAY_MS = 150
export const MAX_REQUEST_MS = 200
/** Difference between the rates of two successive nodes' clocks; the margin for loans is wider. */
const CLOCK_RATE_SPREAD_RATIO = CLOCK_DRIFT_MARGIN_RATIO / 4

/** The limits that a configuration version sets. */
export interface Limits {
  readonly slots: number
  readonly entriesPerRegion: number
  readonly maxConcurrency: number | undefined
}

interface ConfigurationVersion {
  readonly configuration: SteeringConfiguration
  readonly limits: Limits
}

/** A request that is running at a worker. */
interface RunningRequest {
  readonly node: SimulatedNode
  readonly incarnation: number
  readonly slot: AcquiredSlot
  readonly endsAt: Instant
}

/** A delayed message. */
interface Message {
  readonly to: string
  handle(): void
}

function buildConfiguration (limits: Limits): SteeringConfiguration {
  const configuration = buildSampleConfiguration()
  configuration.entriesPerRegion = limits.entriesPerRegion
  const place = configuration.services[SERVICE]!.places[DOMAIN]!
  for (const worker of Object.values(place.workers)) worker.slots = limits.slots
  if (limits.maxConcurrency !== undefined) place.maxConcurrency = limits.maxConcurrency
  return configuration
}

/** The process of one entry VM. */
export class SimulatedNode {
  roster = new Roster(() => POLICY)
  division: DivisionTracker
  ledger = new PlaceLedger()
  barrier: StartBarrier
  version = 0
  private viewKey = ''

  constructor (private readonly simulation: LimitSimulation, readonly nodeId: string, private readonly offset: number, private readonly rate: number, public incarnation: number) {
    this.division = new DivisionTracker(nodeId)
    this.barrier = new StartBarrier(this.now())
  }

  /** The current time on the node's own clock. */
  now (): Instant {
    return this.offset + this.rate * this.simulation.time
  }

  /** Ids of the other entry VMs of all regions, including removed ones in their grace period. */
  private listPeers (): string[] {
    const all = [...this.roster.listMembers(REGION), ...this.roster.listMembers(OTHER_REGION)]
    return all.map(({ nodeId }) => nodeId).filter((nodeId) => nodeId !== this.nodeId)
  }

  clearState (): void {
    this.incarnation++
    this.viewKey = ''
    this.roster = new Roster(() => POLICY)
    this.division = new DivisionTracker(this.nodeId)
    this.ledger = new PlaceLedger()
    this.barrier = new StartBarrier(this.now())
    this.version = 0
  }

  update (): void {
    const now = this.now()
    this.roster.step(now)
    this.barrier.step(this.roster.listVersion, this.listPeers(), now, POLICY.removalGraceMs)
    const version = this.simulation.versions[this.version]
    if (version !== undefined && this.barrier.isOpen) {
      const input = { selfId: this.nodeId, region: REGION, configuration: version.configuration, configurationVersion: this.version, configurationDigest: '', listVersion: this.roster.listVersion, members: this.roster.listMembers(REGION) }
      const key = JSON.stringify([this.version, input.listVersion, input.members])
      if (key !== this.viewKey) {
        this.viewKey = key
        const view = buildDivisionView(input)
        this.simulation.versionByFingerprint.set(view.fingerprint, this.version)
        this.division.applyView(view)
      }
    }
    const mayUseShares = this.barrier.isOpen && this.roster.mayUseShares(this.nodeId, now)
    const keys = this.simulation.slotKeys
    this.ledger.setShares(new Map(keys.map((key) => [key, mayUseShares ? this.division.getShare(key) : { slots: 0, connections: 0 }])), mayUseShares ? this.division.getPlaceShare(PLACE_KEY) : 0)
    this.ledger.removeExpired(now)
  }

  findAcknowledgedFingerprint (): string | undefined {
    if (!this.barrier.isOpen) return undefined
    const slots = this.ledger.listUsage()
    const places = new Map<string, number>()
    for (const [key, count] of slots) places.set(findPlaceKey(key), (places.get(findPlaceKey(key)) ?? 0) + count)
    return this.division.findAcknowledgedView({ slots, places })?.fingerprint
  }
}

/** The VM list, the configuration versions, the workers and the messages between nodes. */
export class LimitSimulation {
  time: Instant = 0
  readonly versions: ConfigurationVersion[] = []
  readonly versionByFingerprint = new Map<string, number>()
  readonly slotKeys: string[]
  readonly nodes: SimulatedNode[]
  readonly counts = { started: 0, startedOnLoan: 0, settledAnew: 0, full: 0 }
  private running: RunningRequest[] = []
  private messages: Message[] = []
  private listed = new Set<string>()
  private listHistory: Array<{ readonly since: Instant, readonly snapshot: VmListSnapshot }> = []
  private nextLoan = 0

  constructor (limits: Limits, listed: readonly string[]) {
    this.versions.push({ configuration: buildConfiguration(limits), limits })
    this.slotKeys = Object.entries(this.versions[0]!.configuration.services[SERVICE]!.places[DOMAIN]!.workers).map(([id, { address }]) => buildSlotKey(SERVICE, DOMAIN, id, address))
    this.nodes = NODE_IDS.map((id, index) => new SimulatedNode(this, id, index * 1000, 1 + CLOCK_RATE_SPREAD_RATIO * (index - 1.5), 1))
    this.setListed(listed)
  }

  /** Sets the VMs on the list; a VM that is removed from it keeps running. */
  setListed (ids: readonly string[]): void {
    this.listed = new Set([...ids, STABLE_NODE])
    const vms = [...this.listed].map((vmId, index) => ({ vmId, role: VmRole.Entry, state: VmState.Live, region: vmId === STABLE_NODE ? OTHER_REGION : REGION, failureDomain: index % 2 === 0 ? 'klang-a' : 'klang-b', address: '' }))
    this.listHistory.push({ since: this.time, snapshot: { version: this.listHistory.length, vms } })
  }

  updateListed (id: string): void {
    const next = new Set(this.listed)
    if (next.has(id)) next.delete(id)
    else next.add(id)
    this.setListed([...next])
  }

  /** Lets a node read the list as it was up to {@link MAX_LIST_DELAY_MS} ago. */
  readList (node: SimulatedNode, delayMs: number): void {
    const asOf = this.time - Math.min(delayMs, MAX_LIST_DELAY_MS)
    const reading = this.listHistory.findLast(({ since }) => since <= asOf) ?? this.listHistory[0]!
    node.roster.observeList(reading.snapshot, node.now(), node.now())
    node.update()
  }

  publish (limits: Limits): void {
    this.versions.push({ configuration: buildConfiguration(limits), limits })
  }

  applyNewest (node: SimulatedNode): void {
    node.version = this.versions.length - 1
    node.update()
  }

  /** Sends a heartbeat and its answer; `fate` decides what happens to each of the two messages. */
  exchange (from: SimulatedNode, to: SimulatedNode, fate: number): void {
    const { nodeId, incarnation } = from
    this.send(to.nodeId, fate, () => {
      to.division.recordProcess({ nodeId, incarnation })
      to.update()
      const answer = { incarnation: to.incarnation, stamp: to.findAcknowledgedFingerprint(), holdsLoan: to.ledger.listBorrowed().some((loan) => loan.lenderId === nodeId), listVersion: to.roster.listVersion, gone: to.roster.listRemoved() }
      this.send(nodeId, Math.floor(fate / 4), () => {
        // The answer belongs to a call of the previous process if the sender has restarted.
        if (from.incarnation !== incarnation) return
        from.barrier.observe({ nodeId: to.nodeId, ...answer })
        if (!from.barrier.isOpen) from.roster.addRemoved(answer.gone, from.now())
        const peer = { nodeId: to.nodeId, incarnation: answer.incarnation }
        from.division.recordProcess(peer)
        if (answer.stamp !== undefined && from.division.recordAcknowledgement(peer, answer.stamp)) this.counts.settledAnew++
        from.update()
      })
    })
  }

  /** Sends a loan request; its answer is accepted once and only while the call is open. */
  borrow (from: SimulatedNode, to: SimulatedNode, spanMs: number, fate: number): void {
    const { incarnation } = from
    const sentAt = from.now()
    const loanId = `loan-${this.nextLoan++}`
    const slotKey = this.slotKeys[this.nextLoan % this.slotKeys.length]!
    let isOpen = true
    this.send(to.nodeId, fate, () => {
      to.update()
      const receivedAt = to.now()
      const request = { borrowerId: from.nodeId, loanId, workerId: slotKey, slots: 1 + fate % 2, connections: 2, deadline: receivedAt + spanMs }
      const answer = to.ledger.lend(request, receivedAt, 0)
      const span = Math.floor(Math.max(0, answer.deadline - receivedAt))
      const lenderIncarnation = to.incarnation
      this.send(from.nodeId, Math.floor(fate / 4), () => {
        // If the lender has restarted, its connection was closed and the answer never arrives.
        if (!isOpen || from.incarnation !== incarnation || to.incarnation !== lenderIncarnation || answer.slots === 0) return
        isOpen = false
        const deadline = sentAt + Math.min(span, spanMs) * (1 - CLOCK_DRIFT_MARGIN_RATIO)
        const { slots, connections } = answer
        from.ledger.addLoan({ loanId, lenderAddress: '', lenderId: to.nodeId, slotKey, slots, connections, deadline, inUse: 0, isClosing: false })
        from.update()
      })
    })
  }

  returnLoan (from: SimulatedNode, fate: number): void {
    const loan = from.ledger.listBorrowed().find(({ inUse }) => inUse === 0)
    if (loan === undefined) return
    from.ledger.removeLoan(loan.loanId)
    const to = this.nodes.find(({ nodeId }) => nodeId === loan.lenderId)!
    this.send(to.nodeId, fate, () => to.ledger.settleReturn({ borrowerId: from.nodeId, loanId: loan.loanId }, to.now()))
  }

  startRequest (node: SimulatedNode, spanMs: number): void {
    node.update()
    const durationMs = Math.min(spanMs, MAX_REQUEST_MS)
    for (const slotKey of this.slotKeys) {
      const slot = node.ledger.acquire(slotKey, node.now() + durationMs)
      if (slot === undefined) continue
      this.running.push({ node, incarnation: node.incarnation, slot, endsAt: this.time + durationMs / (1 + 2 * CLOCK_RATE_SPREAD_RATIO) })
      this.counts.started++
      if (slot.loan !== undefined) this.counts.startedOnLoan++
      return
    }
  }

  stopAndStart (node: SimulatedNode): void {
    if (node.nodeId === STABLE_NODE) return
    this.running = this.running.filter((request) => request.node !== node)
    node.clearState()
  }

  runFor (spanMs: number): void {
    this.time += spanMs
    const ended = this.running.filter(({ endsAt }) => endsAt <= this.time)
    this.running = this.running.filter(({ endsAt }) => endsAt > this.time)
    for (const { node, incarnation, slot } of ended) {
      if (node.incarnation === incarnation) node.ledger.release(slot)
    }
    for (const node of this.nodes) node.update()
  }

  /** Delivers the oldest delayed message; if `isCopied`, the message stays in the queue. */
  deliverDelayed (isCopied: boolean): void {
    const message = isCopied ? this.messages[0] : this.messages.shift()
    message?.handle()
  }

  /** @returns a description of a limit that is exceeded now, or undefined */
  findExcess (): string | undefined {
    const oldestVersion = Math.min(...this.nodes.flatMap((node) => node.division.activeFingerprints.slice(0, 1)).map((stamp) => this.versionByFingerprint.get(stamp) ?? Infinity), this.versions.length - 1)
    const activeLimits = this.versions.slice(oldestVersion).map(({ limits }) => limits)
    const slots = Math.max(...activeLimits.map((limits) => limits.slots))
    for (const slotKey of this.slotKeys) {
      const used = this.running.filter((request) => request.slot.slotKey === slotKey).length
      if (used === slots) this.counts.full++
      if (used > slots) return `${slotKey}: ${used} of ${slots}`
    }
    const maxConcurrency = Math.max(...activeLimits.map((limits) => limits.maxConcurrency ?? Infinity))
    return this.running.length > maxConcurrency ? `the place: ${this.running.length} of ${maxConcurrency}` : undefined
  }

  /**
   * Sends a message. By the remainder of `fate` divided by 8, it is delayed until
   * {@link LimitSimulation.deliverDelayed} (3), delivered at once and once more
   * later (6), lost (7), or delivered at once (otherwise).
   */
  private send (to: string, fate: number, deliver: () => void): void {
    const kind = fate % 8
    if (kind === 7) return
    if (kind === 3 || kind === 6) this.messages.push({ to, handle: deliver })
    if (kind !== 3) deliver()
  }
}
