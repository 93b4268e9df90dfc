/**
 * Which entry VMs there are: the platform's VM list, which lags and may be wrong,
 * joined with what nodes report of themselves and of each other. The list adds
 * members and, after a hold, removes them; reports say in which state each is.
 */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import { runDetached } from '@umberspar/base/common/detached'
import { Emitter } from '@umberspar/base/common/event'
import { type ILogger, logError, LogLevel } from '@umberspar/base/common/logger'
import { addJitter, type IRandomSource } from '@umberspar/base/common/random'
import { type BelievedList, EMPTY_BELIEVED_LIST, stepBelievedList } from '@umberspar/steering/common/membership/believedList'
import type { MemberReport } from '@umberspar/steering/common/membership/memberReport'
import { MemberTable } from '@umberspar/steering/common/membership/memberTable'
import type { DemandReport, DocumentVersion } from '@umberspar/steering/common/membership/memberFacts'
import { type IVmList, type VmEntry, type VmListSnapshot, VmRole, VmState } from '@umberspar/steering/common/ports/vmList'
import { SMALL_FLEET } from '@umberspar/steering/common/spread/neighbours'
import type { SpreadNode } from '@umberspar/steering/common/spread/spreadNode'
import { NodeState } from '@umberspar/steering/common/state/nodeState'

const POLL_SPAN_MS = 1000
const MAX_POLL_SPAN_MS = 30_000
const POLL_JITTER = 0.2
const POLL_DEADLINE_MS = 2000
/** A VM that was listed and never heard of for so long is suspected. */
const FIRST_WORD_SPAN_MS = 10_000
/** The name under which nodes announce the configuration that they have. */
const CONFIGURATION_DOCUMENT = 'configuration'

/** One entry VM as this node knows it. */
export interface Member {
  readonly vm: VmEntry
  /** What it last announced; undefined if it was never heard of. */
  readonly heardState: NodeState | undefined
  /** Its silence makes it suspected from here on. */
  readonly suspectAt: Deadline | undefined
  /** Silent beyond its deadline, or said to be so by its neighbours. */
  readonly isSuspected: boolean
  readonly configurationVersion: number
  /** The documents that it last announced, with its versions of them. */
  readonly documents: readonly DocumentVersion[]
  /** What it last announced of its demand. */
  readonly demand: readonly DemandReport[]
  /** Its start; 0 if it was never heard of. */
  readonly incarnation: number
}

/** One answer of the platform's list. */
export interface ListReading {
  readonly snapshot: VmListSnapshot
  /** When it was asked for. */
  readonly askedAt: Instant
}

const NEVER_HEARD: Omit<Member, 'vm' | 'isSuspected'> = {
  heardState: undefined,
  suspectAt: undefined,
  configurationVersion: 0,
  documents: [],
  demand: [],
  incarnation: 0
}

/**
 * @param member a member other than this node
 * @returns its state as this node sees it
 */
export function computeMemberState (member: Member): NodeState {
  if (member.vm.state === VmState.Leaving) return NodeState.Leaving
  if (member.isSuspected) return NodeState.Suspected
  return member.heardState ?? NodeState.Joining
}

/** The members and the event of their change. */
export class MemberDirectory implements IClosable {
  private readonly table: MemberTable
  private readonly upstreamStates = new Map<string, VmState>()
  /** By when a member must have been heard of for the first time. */
  private readonly hearBy = new Map<string, Deadline>()
  private readonly didChange = new Emitter<void>()
  private readonly didRead = new Emitter<ListReading>()
  private believed: BelievedList = EMPTY_BELIEVED_LIST
  private poll: ITimer | undefined
  private isClosed = false

  /** Fires when a member came, went or changed its state. */
  readonly onDidChange = this.didChange.event

  /** Fires after each answer of the list, also an unchanged one. */
  readonly onDidRead = this.didRead.event

  constructor (
    private readonly vmList: IVmList,
    private readonly selfId: string,
    private readonly clock: IClock,
    private readonly random: IRandomSource,
    private readonly logger: ILogger
  ) {
    this.table = new MemberTable(selfId)
  }

  /** @returns whether the platform's list was read at least once */
  get isListed (): boolean {
    return this.believed !== EMPTY_BELIEVED_LIST
  }

  /** Reads the list now and then again and again. */
  async start (): Promise<void> {
    await this.update()
    this.schedulePoll()
  }

  /** @returns all members that are believed to exist, this node included if listed */
  list (): Member[] {
    return [...this.believed.vms.values()].map(({ vm }) => this.buildMember(vm))
  }

  /** @returns the members other than this node */
  listPeers (): Member[] {
    return this.list().filter((member) => member.vm.vmId !== this.selfId)
  }

  /**
   * @param vmId an entry VM
   * @returns the member, if it is believed to exist
   */
  get (vmId: string): Member | undefined {
    const known = this.believed.vms.get(vmId)
    return known === undefined ? undefined : this.buildMember(known.vm)
  }

  /** @returns the nodes that take part in the spread of documents: neither leaving nor suspected */
  listActive (): SpreadNode[] {
    const members = this.list().filter((member) => member.vm.vmId === this.selfId || isActive(computeMemberState(member)))
    return members.map(({ vm }) => ({ nodeId: vm.vmId, region: vm.region }))
  }

  /**
   * @param member a member
   * @param _now the present
   * @returns whether callers may be sent to it
   */
  canServe (member: Member, _now: Instant): boolean {
    if (member.vm.state === VmState.Leaving) return false
    if (member.vm.vmId === this.selfId) return true
    // A peer never heard of may have just been listed: the platform's word counts
    // until its first report, or until that is overdue. A node that has only just
    // started would otherwise name nobody but itself.
    if (member.heardState === undefined) return !member.isSuspected
    return member.heardState === NodeState.Live && !member.isSuspected
  }

  /**
   * @param vm an upstream VM's id, or the `host:port` of its worker
   * @returns whether the platform announced that it leaves
   */
  isUpstreamLeaving (vm: string): boolean {
    return this.upstreamStates.get(vm) === VmState.Leaving
  }

  /**
   * Takes in what a node said of itself, first-hand or relayed.
   * @param reports the reports
   */
  observeReports (reports: readonly MemberReport[]): void {
    const now = this.clock.now()
    let isChanged = false
    for (const report of reports) {
      // A stranger, or a message that decodes to nonsense, must not fill the memory.
      if (!this.believed.vms.has(report.nodeId)) continue
      if (this.table.observe(report, now)) isChanged = true
    }
    if (isChanged) this.didChange.fire()
  }

  /** @returns the reports of others to hand on in a digest */
  listRelayed (): MemberReport[] {
    return this.table.listRelayed(this.clock.now())
  }

  /**
   * Notes which members have fallen silent.
   * @param ring the nodes that this one speaks to in every round
   */
  updateSilence (ring: readonly string[]): void {
    const now = this.clock.now()
    this.table.updateSize(this.believed.vms.size, ring)
    const silent = this.table.markSilent(now)
    const overdue = this.takeOverdue(now)
    this.table.removeGone((nodeId) => this.believed.vms.has(nodeId), now)
    for (const nodeId of silent) this.logger.log(LogLevel.Warn, { step: 'suspect-peer', peer: nodeId }, 'peer is silent')
    if (silent.length > 0 || overdue > 0) this.didChange.fire()
  }

  /** Reads the list now; a failure keeps the members known so far. */
  async update (): Promise<void> {
    const askedAt = this.clock.now()
    const fetched = await this.vmList.fetch(createDeadline(this.clock.now(), POLL_DEADLINE_MS))
    if (this.isClosed) return
    if (!fetched.ok) {
      logError(this.logger, LogLevel.Warn, fetched.val)
      return
    }
    this.didRead.fire({ snapshot: fetched.val, askedAt })
    this.merge(fetched.val.version, fetched.val.vms)
  }

  close (): void {
    this.isClosed = true
    this.poll?.close()
    this.didChange.close()
    this.didRead.close()
  }

  private buildMember (vm: VmEntry): Member {
    const record = this.table.get(vm.vmId)
    if (record === undefined) return { ...NEVER_HEARD, vm, isSuspected: this.isOverdue(vm.vmId) }
    const { state, documents, demand, incarnation } = record.report
    return {
      vm,
      heardState: state,
      suspectAt: record.suspectAt,
      isSuspected: this.table.isSuspected(vm.vmId, this.clock.now()),
      configurationVersion: documents.find((document) => document.name === CONFIGURATION_DOCUMENT)?.version ?? 0,
      documents,
      demand,
      incarnation
    }
  }

  private isOverdue (vmId: string): boolean {
    return vmId !== this.selfId && hasPassed(this.hearBy.get(vmId) ?? Infinity, this.clock.now())
  }

  private merge (version: number, vms: readonly VmEntry[]): void {
    const now = this.clock.now()
    const before = this.believed
    const entries = vms.filter((vm) => vm.role === VmRole.Entry)
    const isHeard = (vmId: string): boolean => vmId === this.selfId || (this.table.get(vmId) !== undefined && !this.table.isSuspected(vmId, now))
    this.believed = stepBelievedList(before, { version, vms: entries }, { now, isHeard })
    if (this.believed.resetAt !== undefined) return
    this.updateUpstreams(vms)
    this.updateHearBy(now)
    if (before === EMPTY_BELIEVED_LIST || before.version !== version || before.vms.size !== this.believed.vms.size) this.didChange.fire()
  }

  private updateUpstreams (vms: readonly VmEntry[]): void {
    this.upstreamStates.clear()
    for (const vm of vms) {
      if (vm.role !== VmRole.Upstream) continue
      this.upstreamStates.set(vm.vmId, vm.state)
      // Workers are configured by address; the platform's ids need not be theirs.
      this.upstreamStates.set(vm.address, vm.state)
    }
  }

  private updateHearBy (now: Instant): void {
    for (const vmId of this.believed.vms.keys()) {
      if (!this.hearBy.has(vmId)) this.hearBy.set(vmId, createDeadline(now, FIRST_WORD_SPAN_MS))
    }
    for (const vmId of [...this.hearBy.keys()]) {
      if (!this.believed.vms.has(vmId)) this.hearBy.delete(vmId)
    }
  }

  /** Counts members whose first word has become overdue; each is counted once. */
  private takeOverdue (now: Instant): number {
    let count = 0
    for (const [vmId, deadline] of this.hearBy) {
      if (vmId === this.selfId || deadline === 0 || !hasPassed(deadline, now)) continue
      this.hearBy.set(vmId, 0)
      if (this.table.get(vmId) === undefined) count += 1
    }
    return count
  }

  private schedulePoll (): void {
    if (this.isClosed) return
    const spanMs = Math.min(MAX_POLL_SPAN_MS, POLL_SPAN_MS * Math.max(1, this.believed.vms.size / SMALL_FLEET))
    const at = createDeadline(this.clock.now(), addJitter(this.random, spanMs, POLL_JITTER))
    this.poll = this.clock.schedule(at, () => {
      runDetached(() => this.update().finally(() => this.schedulePoll()), this.logger, 'read-vm-list')
    })
  }
}

function isActive (state: NodeState): boolean {
  return state === NodeState.Live || state === NodeState.Joining
}
