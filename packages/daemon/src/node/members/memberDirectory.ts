/**
 * Which entry VMs there are: the platform's VM list, which lags, joined with
 * the heartbeats of peers. The list alone adds and removes members; heartbeats
 * only say who can be named to callers just now.
 */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import { runDetached } from '@umberspar/base/common/detached'
import { Emitter } from '@umberspar/base/common/event'
import { type ILogger, logError, LogLevel } from '@umberspar/base/common/logger'
import { addJitter, type IRandomSource } from '@umberspar/base/common/random'
import { NodeState } from '@umberspar/steering/common/state/nodeState'
import { type IVmList, type VmEntry, VmRole, VmState } from '@umberspar/steering/common/ports/vmList'

const POLL_SPAN_MS = 1000
const POLL_JITTER = 0.2
const POLL_DEADLINE_MS = 2000
/** A peer that was heard and then is silent for so long is not named to callers. */
const SILENCE_SPAN_MS = 4000

/** One entry VM as this node knows it. */
export interface Member {
  readonly vm: VmEntry
  /** From heartbeats; undefined if the peer was never heard. */
  readonly heardState: NodeState | undefined
  /** When its silence makes it suspected; undefined if never heard. */
  readonly suspectAt: Deadline | undefined
  readonly configurationVersion: number
}

/** What a heartbeat told. */
export interface HeartbeatNews {
  readonly nodeId: string
  readonly state: NodeState
  readonly configurationVersion: number
}

/**
 * @param member a member other than this node
 * @param now the present
 * @returns its state as this node sees it
 */
export function computeMemberState (member: Member, now: Instant): NodeState {
  if (member.vm.state === VmState.Leaving) return NodeState.Leaving
  if (member.heardState === undefined || member.suspectAt === undefined) return NodeState.Joining
  return hasPassed(member.suspectAt, now) ? NodeState.Suspected : member.heardState
}

/** The members and the event of their change. */
export class MemberDirectory implements IClosable {
  private readonly members = new Map<string, Member>()
  private readonly upstreamStates = new Map<string, VmState>()
  private readonly didChange = new Emitter<void>()
  private poll: ITimer | undefined
  private listVersion = -1
  private isClosed = false

  /** Fires when a member came, went or changed its state. */
  readonly onDidChange = this.didChange.event

  constructor (
    private readonly vmList: IVmList,
    private readonly selfId: string,
    private readonly clock: IClock,
    private readonly random: IRandomSource,
    private readonly logger: ILogger
  ) {}

  /** Reads the list now and then again and again. */
  async start (): Promise<void> {
    await this.update()
    this.schedulePoll()
  }

  /** @returns all members of the list, this node included if listed */
  list (): Member[] {
    return [...this.members.values()]
  }

  /** @returns the members other than this node */
  listPeers (): Member[] {
    return this.list().filter((member) => member.vm.vmId !== this.selfId)
  }

  /**
   * @param nodeIds peers' ids
   * @returns those that are listed
   */
  findPeers (nodeIds: readonly string[]): Member[] {
    return nodeIds.flatMap((nodeId) => this.members.get(nodeId) ?? [])
  }

  /**
   * @param member a member
   * @param now the present
   * @returns whether callers may be sent to it
   */
  canServe (member: Member, now: Instant): boolean {
    if (member.vm.state === VmState.Leaving) return false
    if (member.vm.vmId === this.selfId) return true
    // A peer never heard may have just been listed: the platform's word counts
    // until its first heartbeat. A node that has only just started would
    // otherwise name nobody but itself.
    if (member.heardState === undefined || member.suspectAt === undefined) return true
    return member.heardState === NodeState.Live && !hasPassed(member.suspectAt, now)
  }

  /**
   * @param vm an upstream VM's id, or the `host:port` of its worker
   * @returns whether the platform announced that it leaves
   */
  isUpstreamLeaving (vm: string): boolean {
    return this.upstreamStates.get(vm) === VmState.Leaving
  }

  /**
   * Takes in what a peer's heartbeat told.
   * @param news the heartbeat
   */
  observeHeartbeat (news: HeartbeatNews): void {
    const member = this.members.get(news.nodeId)
    if (member === undefined) return
    const suspectAt = createDeadline(this.clock.now(), SILENCE_SPAN_MS)
    this.members.set(news.nodeId, {
      vm: member.vm,
      heardState: news.state,
      suspectAt,
      configurationVersion: Math.max(member.configurationVersion, news.configurationVersion)
    })
    if (member.heardState !== news.state) this.didChange.fire()
  }

  /** Reads the list now; a failure keeps the members known so far. */
  async update (): Promise<void> {
    const fetched = await this.vmList.fetch(createDeadline(this.clock.now(), POLL_DEADLINE_MS))
    if (this.isClosed) return
    if (!fetched.ok) {
      logError(this.logger, LogLevel.Warn, fetched.val)
      return
    }
    // The platform may answer from a replica that lags behind an earlier answer.
    if (fetched.val.version < this.listVersion) return
    const isChanged = fetched.val.version !== this.listVersion
    this.listVersion = fetched.val.version
    if (isChanged) this.merge(fetched.val.vms)
  }

  close (): void {
    this.isClosed = true
    this.poll?.close()
    this.didChange.close()
  }

  private merge (vms: readonly VmEntry[]): void {
    const listed = new Set<string>()
    this.upstreamStates.clear()
    for (const vm of vms) {
      if (vm.role === VmRole.Upstream) {
        this.upstreamStates.set(vm.vmId, vm.state)
        // Workers are configured by address; the platform's ids need not be theirs.
        this.upstreamStates.set(vm.address, vm.state)
        continue
      }
      listed.add(vm.vmId)
      const known = this.members.get(vm.vmId)
      this.members.set(vm.vmId, {
        vm,
        heardState: known?.heardState,
        suspectAt: known?.suspectAt,
        configurationVersion: known?.configurationVersion ?? 0
      })
    }
    for (const vmId of [...this.members.keys()]) {
      if (!listed.has(vmId)) this.members.delete(vmId)
    }
    this.didChange.fire()
  }

  private schedulePoll (): void {
    if (this.isClosed) return
    const at = createDeadline(this.clock.now(), addJitter(this.random, POLL_SPAN_MS, POLL_JITTER))
    this.poll = this.clock.schedule(at, () => {
      runDetached(() => this.update().finally(() => this.schedulePoll()), this.logger, 'read-vm-list')
    })
  }
}
