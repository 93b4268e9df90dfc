/**
 * The entry VMs of the fleet: the platform's VM list, which lags behind and may be
 * wrong, combined with the nodes' reports on themselves and on each other. The list
 * adds members and, after a grace period, removes them; reports give their states.
 */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import { runDetached } from '@umberspar/base/common/detached'
import { Emitter } from '@umberspar/base/common/event'
import { type ILogger, logError, LogLevel } from '@umberspar/base/common/logger'
import { addJitter, type IRandomSource } from '@umberspar/base/common/random'
import { type EffectiveVmList, EMPTY_EFFECTIVE_VM_LIST, updateEffectiveVmList } from '@umberspar/steering/common/membership/effectiveVmList'
import type { MemberReport } from '@umberspar/steering/common/membership/memberReport'
import { MemberTable } from '@umberspar/steering/common/membership/memberTable'
import type { DemandReport, DocumentVersion } from '@umberspar/steering/common/membership/memberFacts'
import { type IVmList, type VmEntry, type VmListSnapshot, VmRole, VmState } from '@umberspar/steering/common/ports/vmList'
import { MAX_SMALL_FLEET_VMS } from '@umberspar/steering/common/gossip/neighbours'
import type { NodeLocation } from '@umberspar/steering/common/gossip/nodeLocation'
import { NodeState } from '@umberspar/steering/common/state/nodeState'

const MIN_POLL_INTERVAL_MS = 1000
const MAX_POLL_INTERVAL_MS = 30_000
const POLL_JITTER_RATIO = 0.2
const POLL_TIMEOUT_MS = 2000
/** A listed VM without any report for this long is suspected. */
const FIRST_REPORT_TIMEOUT_MS = 10_000
/** The document name under which nodes announce their configuration version. */
const CONFIGURATION_DOCUMENT = 'configuration'

/** An entry VM as this node knows it. */
export interface Member {
  readonly vm: VmEntry
  /** The state that it last announced; undefined if no report has been received. */
  readonly announcedState: NodeState | undefined
  /** When it becomes suspected unless another report is received; undefined if none has been received. */
  readonly suspectAt: Deadline | undefined
  /** Whether it has been silent beyond its deadline, or its neighbours report that it has. */
  readonly isSuspected: boolean
  readonly configurationVersion: number
  /** The documents that it last announced, with their versions. */
  readonly documents: readonly DocumentVersion[]
  /** The demand that it last announced. */
  readonly demand: readonly DemandReport[]
  /** Identifies the start of its process; 0 if no report has been received. */
  readonly incarnation: number
}

/** A snapshot of the platform's VM list. */
export interface VmListReading {
  readonly snapshot: VmListSnapshot
  /** When the request was sent. */
  readonly requestedAt: Instant
}

const UNREPORTED_MEMBER: Omit<Member, 'vm' | 'isSuspected'> = {
  announcedState: undefined,
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
  return member.announcedState ?? NodeState.Joining
}

/** Maintains the members and notifies of their changes. */
export class MemberDirectory implements IClosable {
  private readonly table: MemberTable
  private readonly upstreamStates = new Map<string, VmState>()
  /** Deadlines for the first report of each member; 0 after one has passed. */
  private readonly firstReportDeadlines = new Map<string, Deadline>()
  private readonly didChange = new Emitter<void>()
  private readonly didRead = new Emitter<VmListReading>()
  private effectiveList: EffectiveVmList = EMPTY_EFFECTIVE_VM_LIST
  private pollTimer: ITimer | undefined
  private isClosed = false

  /** Fires when a member was added, was removed or changed its state. */
  readonly onDidChange = this.didChange.event

  /** Fires each time the list was read, even if it has not changed. */
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

  /** @returns whether the platform's list has been read at least once */
  get hasReadList (): boolean {
    return this.effectiveList !== EMPTY_EFFECTIVE_VM_LIST
  }

  /** Reads the list now and then periodically. */
  async start (): Promise<void> {
    await this.update()
    this.schedulePoll()
  }

  /** @returns all members of the effective VM list, including this node if listed */
  list (): Member[] {
    return [...this.effectiveList.vms.values()].map(({ vm }) => this.buildMember(vm))
  }

  /** @returns the members other than this node */
  listPeers (): Member[] {
    return this.list().filter((member) => member.vm.vmId !== this.selfId)
  }

  /**
   * @param vmId an entry VM
   * @returns the member, if it is in the effective VM list
   */
  get (vmId: string): Member | undefined {
    const listed = this.effectiveList.vms.get(vmId)
    return listed === undefined ? undefined : this.buildMember(listed.vm)
  }

  /** @returns the nodes to which documents are pushed: this node and those that are neither leaving nor suspected */
  listActive (): NodeLocation[] {
    const members = this.list().filter((member) => member.vm.vmId === this.selfId || isActive(computeMemberState(member)))
    return members.map(({ vm }) => ({ nodeId: vm.vmId, region: vm.region }))
  }

  /**
   * @param member a member
   * @param _now the current time
   * @returns whether callers may be sent to it
   */
  canServe (member: Member, _now: Instant): boolean {
    if (member.vm.state === VmState.Leaving) return false
    if (member.vm.vmId === this.selfId) return true
    // A peer without a report may have just been listed. The platform's list is trusted
    // until its first report, or until that is overdue; a node that has just started
    // would otherwise return no entry VM but itself to callers.
    if (member.announcedState === undefined) return !member.isSuspected
    return member.announcedState === NodeState.Live && !member.isSuspected
  }

  /**
   * @param vm an upstream VM's id, or the `host:port` of its worker
   * @returns whether the platform lists it as leaving
   */
  isUpstreamLeaving (vm: string): boolean {
    return this.upstreamStates.get(vm) === VmState.Leaving
  }

  /**
   * Records nodes' reports on themselves, first-hand or relayed.
   * @param reports the reports
   */
  observeReports (reports: readonly MemberReport[]): void {
    const now = this.clock.now()
    let isChanged = false
    for (const report of reports) {
      // Reports on unlisted nodes, or garbled messages, must not fill the memory.
      if (!this.effectiveList.vms.has(report.nodeId)) continue
      if (this.table.observe(report, now)) isChanged = true
    }
    if (isChanged) this.didChange.fire()
  }

  /** @returns reports of other nodes to relay in a digest */
  listRelayed (): MemberReport[] {
    return this.table.listReportsToRelay(this.clock.now())
  }

  /**
   * Marks members as suspected that have been silent for too long.
   * @param ring the neighbours that this node exchanges digests with in every round
   */
  markSilentMembers (ring: readonly string[]): void {
    const now = this.clock.now()
    this.table.updateFleetSize(this.effectiveList.vms.size, ring)
    const silent = this.table.markSuspected(now)
    const overdueCount = this.countNewlyOverdue(now)
    this.table.removeExpired((nodeId) => this.effectiveList.vms.has(nodeId), now)
    for (const nodeId of silent) this.logger.log(LogLevel.Warn, { step: 'suspect-peer', peer: nodeId }, 'suspecting a peer that has been silent beyond its deadline')
    if (silent.length > 0 || overdueCount > 0) this.didChange.fire()
  }

  /** Reads the list now; if that fails, the known members are kept. */
  async update (): Promise<void> {
    const requestedAt = this.clock.now()
    const fetched = await this.vmList.fetch(createDeadline(this.clock.now(), POLL_TIMEOUT_MS))
    if (this.isClosed) return
    if (!fetched.ok) {
      logError(this.logger, LogLevel.Warn, fetched.val)
      return
    }
    this.didRead.fire({ snapshot: fetched.val, requestedAt })
    this.merge(fetched.val.version, fetched.val.vms)
  }

  close (): void {
    this.isClosed = true
    this.pollTimer?.close()
    this.didChange.close()
    this.didRead.close()
  }

  private buildMember (vm: VmEntry): Member {
    const record = this.table.get(vm.vmId)
    if (record === undefined) return { ...UNREPORTED_MEMBER, vm, isSuspected: this.isOverdue(vm.vmId) }
    const { state, documents, demand, incarnation } = record.report
    return {
      vm,
      announcedState: state,
      suspectAt: record.suspectAt,
      isSuspected: this.table.isSuspected(vm.vmId, this.clock.now()),
      configurationVersion: documents.find((document) => document.name === CONFIGURATION_DOCUMENT)?.version ?? 0,
      documents,
      demand,
      incarnation
    }
  }

  private isOverdue (vmId: string): boolean {
    return vmId !== this.selfId && hasPassed(this.firstReportDeadlines.get(vmId) ?? Infinity, this.clock.now())
  }

  private merge (version: number, vms: readonly VmEntry[]): void {
    const now = this.clock.now()
    const previous = this.effectiveList
    const entries = vms.filter((vm) => vm.role === VmRole.Entry)
    const isResponding = (vmId: string): boolean => vmId === this.selfId || (this.table.get(vmId) !== undefined && !this.table.isSuspected(vmId, now))
    this.effectiveList = updateEffectiveVmList(previous, { version, vms: entries }, { now, isResponding })
    if (this.effectiveList.resetAt !== undefined) return
    this.updateUpstreams(vms)
    this.updateFirstReportDeadlines(now)
    if (previous === EMPTY_EFFECTIVE_VM_LIST || previous.version !== version || previous.vms.size !== this.effectiveList.vms.size) this.didChange.fire()
  }

  private updateUpstreams (vms: readonly VmEntry[]): void {
    this.upstreamStates.clear()
    for (const vm of vms) {
      if (vm.role !== VmRole.Upstream) continue
      this.upstreamStates.set(vm.vmId, vm.state)
      // Workers are configured by address; their ids may differ from the platform's.
      this.upstreamStates.set(vm.address, vm.state)
    }
  }

  private updateFirstReportDeadlines (now: Instant): void {
    for (const vmId of this.effectiveList.vms.keys()) {
      if (!this.firstReportDeadlines.has(vmId)) this.firstReportDeadlines.set(vmId, createDeadline(now, FIRST_REPORT_TIMEOUT_MS))
    }
    for (const vmId of [...this.firstReportDeadlines.keys()]) {
      if (!this.effectiveList.vms.has(vmId)) this.firstReportDeadlines.delete(vmId)
    }
  }

  /** Counts members whose first report has become overdue; each is counted only once. */
  private countNewlyOverdue (now: Instant): number {
    let count = 0
    for (const [vmId, deadline] of this.firstReportDeadlines) {
      if (vmId === this.selfId || deadline === 0 || !hasPassed(deadline, now)) continue
      this.firstReportDeadlines.set(vmId, 0)
      if (this.table.get(vmId) === undefined) count += 1
    }
    return count
  }

  private schedulePoll (): void {
    if (this.isClosed) return
    const intervalMs = Math.min(MAX_POLL_INTERVAL_MS, MIN_POLL_INTERVAL_MS * Math.max(1, this.effectiveList.vms.size / MAX_SMALL_FLEET_VMS))
    const at = createDeadline(this.clock.now(), addJitter(this.random, intervalMs, POLL_JITTER_RATIO))
    this.pollTimer = this.clock.schedule(at, () => {
      runDetached(() => this.update().finally(() => this.schedulePoll()), this.logger, 'read-vm-list')
    })
  }
}

function isActive (state: NodeState): boolean {
  return state === NodeState.Live || state === NodeState.Joining
}
