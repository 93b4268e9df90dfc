/** One `umberspard` daemon: creates its parts, starts them, and stops them in order. */
import type { IClock } from '@umberspar/base/common/clock'
import { CloseStack, type IClosable } from '@umberspar/base/common/closing'
import { runDetached } from '@umberspar/base/common/detached'
import type { StepError } from '@umberspar/base/common/errors'
import { type ILogger, LogLevel } from '@umberspar/base/common/logger'
import { type IMetrics, NULL_METRICS } from '@umberspar/base/common/metrics'
import type { IRandomSource } from '@umberspar/base/common/random'
import { Ok, type Result } from '@umberspar/base/common/result'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { createSystemRandom } from '@umberspar/base/node/systemRandom'
import { StatsdMetrics } from '@umberspar/adapters/node/metrics/statsdMetrics'
import type { DaemonSettings } from '@umberspar/adapters/node/settings/daemonSettings'
import { createDigester } from '@umberspar/steering/common/configuration/canonicalJson'
import { LookupIndex, type LookupNode } from '@umberspar/steering/common/lookup/decideLookup'
import { computeRoundIntervalMs, MAX_SMALL_FLEET_VMS } from '@umberspar/steering/common/gossip/neighbours'
import { NodeState } from '@umberspar/steering/common/state/nodeState'
import { VmState } from '@umberspar/steering/common/ports/vmList'
import type { AdmissionPolicy } from './places/admissionQueue.js'
import { createDaemonParts, type DaemonParts } from './daemonParts.js'
import { buildViews } from './operators/operatorViews.js'
import { buildOperatorApp } from './operators/operatorServer.js'
import { HttpListener, splitAddress } from './httpListener.js'
import { buildCallerApp } from './callers/callerServer.js'
import { DaemonStop, type StopReport, type StopTarget } from './stop/daemonStop.js'
import { createLeavingListener } from './stop/leavingListener.js'
import { LookupLifetime } from './stop/lookupLifetime.js'
import { DaemonTls, TlsSide } from './tls/daemonTls.js'

/** Number of heartbeat rounds in which a state propagates through a large fleet. */
const PROPAGATION_ROUNDS = 4

/** Services that a daemon uses, some of them replaceable in tests. */
export interface DaemonDependencies {
  readonly logger: ILogger
  readonly clock?: IClock
  readonly random?: IRandomSource
  /** How long requests may wait for a slot; set only by measurements. */
  readonly admission?: AdmissionPolicy
}

/** The addresses on which a daemon listens. */
export interface DaemonAddresses {
  readonly callers: string
  readonly peers: string
  readonly operators: string
}

/** A running daemon. */
export class Daemon implements IClosable {
  private readonly owned = new CloseStack()
  private parts: DaemonParts | undefined
  private tls: DaemonTls | undefined
  private callers: HttpListener | undefined
  private listenAddresses: DaemonAddresses | undefined
  private readonly lifetime = new LookupLifetime()
  private stopController: DaemonStop | undefined
  private stopping: Promise<StopReport> | undefined
  /** Set before the first shutdown step, so that the VM list doesn't revert the state that the step sets. */
  private isStopping = false
  private hasCompletedInitialSync = false
  /** Set once the first table of client blocks is built. Later tables replace it when they are complete. */
  private hasClientBlocks = false

  constructor (
    private readonly settings: DaemonSettings,
    private readonly logger: ILogger,
    private readonly clock: IClock,
    private readonly random: IRandomSource,
    private readonly admission?: AdmissionPolicy
  ) {}

  /** @returns the addresses on which it listens, once started */
  get addresses (): DaemonAddresses | undefined {
    return this.listenAddresses
  }

  /** @returns whether it has everything it needs to serve callers */
  isReady (): boolean {
    const parts = this.parts
    if (parts?.configurationManager.current === undefined || parts.peerService.state !== NodeState.Live) return false
    this.hasClientBlocks ||= parts.regions.isCurrent
    return this.hasClientBlocks && parts.limits.isReady
  }

  /**
   * Opens the listeners, then loads members and configuration. It listens before it
   * is ready, so that probes and operators can see why it isn't ready.
   * @returns a promise that settles when it listens and has read the VM list, peers and the store once
   */
  async start (): Promise<Result<void, StepError>> {
    const digester = await createDigester()
    const loaded = await DaemonTls.load({ settings: this.settings, clock: this.clock, random: this.random, logger: this.logger })
    if (!loaded.ok) return loaded
    const tls = this.owned.add(loaded.val)
    this.tls = tls
    const metrics = this.createMetrics()
    const parts = createDaemonParts({ settings: this.settings, digester, logger: this.logger, metrics, clock: this.clock, random: this.random, tls, admission: this.admission }, this.owned)
    this.parts = parts
    this.stopController = this.createStop(parts)
    parts.configurationManager.onDidAdopt(() => this.applyState())
    parts.members.onDidChange(() => this.applyState())
    const opened = await this.openListeners(parts, tls, metrics)
    if (!opened.ok) {
      await this.close()
      return opened
    }
    await parts.members.start()
    // Peers are asked before the store: they may have a version that a restored store
    // lacks, and they save the store one read per node when all nodes start at once.
    await parts.heartbeats.start()
    await parts.planWatcher.start()
    await parts.watcher.start()
    this.hasCompletedInitialSync = true
    parts.limits.start((peerId) => parts.peerService.buildDigest(peerId))
    parts.prober.start()
    parts.planHolder.start()
    this.applyState()
    return new Ok(undefined)
  }

  /**
   * Shuts down gracefully: leaves look-ups first, then serves until cached look-ups
   * have expired and the last open request has ended.
   * @returns how many requests were aborted: none unless `stopWaiting` was called or a time limit passed
   */
  stop (): Promise<StopReport> {
    if (this.stopping !== undefined) return this.stopping
    this.isStopping = true
    this.stopping = this.runStop()
    return this.stopping
  }

  /** Forces a shutdown in progress: requests that are still open are aborted. */
  stopWaiting (): void {
    this.stopController?.stopWaiting()
  }

  /** Reloads all certificates, as on SIGHUP. Invalid ones are logged, and the previous ones stay in use. */
  async renewCertificates (): Promise<void> {
    await this.tls?.renew()
  }

  /** Closes everything at once, including open requests. */
  async close (): Promise<void> {
    await this.owned.close()
  }

  private async runStop (): Promise<StopReport> {
    const report = await this.stopController?.run() ?? { cutRequests: 0 }
    await this.close()
    this.logger.log(LogLevel.Info, { step: 'stop', ...report }, 'stopped')
    return report
  }

  private createStop (parts: DaemonParts): DaemonStop {
    const target: StopTarget = {
      startLeaving: () => {
        parts.peerService.state = NodeState.Leaving
        parts.limits.leave()
        this.applyState()
      },
      publishState: () => this.publishState(parts),
      getPropagationTimeMs: () => computeRoundIntervalMs(parts.members.list().length) * PROPAGATION_ROUNDS,
      stopListening: () => this.callers?.stop(),
      countOpenRequests: () => parts.requests.inFlight,
      countConnections: async () => await this.callers?.countConnections() ?? 0
    }
    return new DaemonStop(target, this.lifetime, this.clock, this.logger)
  }

  /** Sends this node's state to all nodes of a small fleet. In a large one only neighbours receive it, and it propagates from them. */
  private async publishState (parts: DaemonParts): Promise<boolean> {
    const others = parts.members.listActive().filter(({ nodeId }) => nodeId !== this.settings.nodeId)
    if (others.length < MAX_SMALL_FLEET_VMS) return await parts.heartbeats.sendToAll(others.map(({ nodeId }) => nodeId))
    await parts.heartbeats.sendRound()
    return false
  }

  /** Applies this VM's state in the VM list: when the platform announces its removal, it leaves look-ups, and it returns if that is withdrawn. */
  private applyOwnVmState (parts: DaemonParts): void {
    const { peerService, members } = parts
    if (peerService.state === NodeState.Joining && this.canGoLive(parts)) peerService.state = NodeState.Live
    const listedState = members.list().find((member) => member.vm.vmId === this.settings.nodeId)?.vm.state
    if (this.isStopping || listedState === undefined) return
    if (listedState === VmState.Live && peerService.state === NodeState.Leaving) peerService.state = NodeState.Live
    else if (listedState === VmState.Leaving && peerService.state === NodeState.Live) runDetached(() => this.stopController!.leave(), this.logger, 'leave')
  }

  private createMetrics (): IMetrics {
    const { statsd } = this.settings
    if (statsd === undefined) return NULL_METRICS
    return new StatsdMetrics({ ...statsd, tags: { node: this.settings.nodeId }, logger: this.logger })
  }

  private async openListeners (parts: DaemonParts, tls: DaemonTls, metrics: IMetrics): Promise<Result<void, StepError>> {
    const { clock, logger, settings } = this
    const isForwarder = (address: string): boolean => parts.regions.isForwarder(address)
    const listener = createLeavingListener(buildCallerApp(parts.lookups, parts.requests), () => parts.peerService.state === NodeState.Leaving)
    const callers = this.owned.add(new HttpListener('callers', listener, { limits: settings.callers.limits, tls: tls.get(TlsSide.Callers), isForwarder, clock, logger, metrics }))
    this.callers = callers
    const operatorApp = buildOperatorApp(buildViews(this.settings, parts, this.clock), parts.patches)
    const operators = this.owned.add(new HttpListener('operators', operatorApp.handler.bind(operatorApp) as never, { limits: settings.operators.limits, tls: tls.get(TlsSide.Operators), clock, logger, metrics }))
    const peerAddress = await parts.peerServer.listen()
    if (!peerAddress.ok) return peerAddress
    const operatorAddress = await operators.listen(this.settings.operators.address)
    if (!operatorAddress.ok) return operatorAddress
    const callerAddress = await callers.listen(this.settings.callers.address)
    if (!callerAddress.ok) return callerAddress
    this.listenAddresses = { callers: callerAddress.val, peers: `${splitAddress(this.settings.peers.address).host}:${peerAddress.val}`, operators: operatorAddress.val }
    this.logger.log(LogLevel.Info, { step: 'listen', ...this.listenAddresses }, 'listening')
    return new Ok(undefined)
  }

  /** Updates look-ups, places, plans and probes to the current configuration and members. */
  private applyState (): void {
    const parts = this.parts
    const current = parts?.configurationManager.current
    if (parts === undefined || current === undefined) return
    this.applyOwnVmState(parts)
    this.lifetime.update(current.body.lookupCacheMs, this.clock.now())
    const nodes = this.listNodes(parts)
    const roster = nodes.map((node) => ({ ...node, state: NodeState.Live }))
    const workers = parts.places.update(current.body, parts.limits, roster)
    parts.reports.update(workers)
    parts.reports.applyVmStates((vm) => parts.members.isUpstreamLeaving(vm))
    parts.prober.update(workers)
    parts.measurementCollector.setConfiguration(current.body)
    parts.limits.update()
    parts.plans.update(current.body)
    parts.regions.update(current.body)
    parts.lookups.update(LookupIndex.build(current.body, current.head.version, nodes))
  }

  /**
   * Whether this node may start serving. It asks its neighbours and the store first,
   * because the first version that it receives could be older than the one it served
   * before a restart. Without the VM list it would act as if it were the only node.
   */
  private canGoLive (parts: DaemonParts): boolean {
    return this.hasCompletedInitialSync && parts.members.hasReadList
  }

  private listNodes (parts: DaemonParts): LookupNode[] {
    const now = this.clock.now()
    return parts.members.list().map((member) => ({
      nodeId: member.vm.vmId,
      region: member.vm.region,
      failureDomain: member.vm.failureDomain,
      address: member.vm.address,
      state: this.getNodeState(parts, member.vm.vmId, parts.members.canServe(member, now), member.vm.state)
    }))
  }

  private getNodeState (parts: DaemonParts, vmId: string, canServe: boolean, listedState: VmState): NodeState {
    const isSelfLeaving = vmId === this.settings.nodeId && parts.peerService.state === NodeState.Leaving
    if (isSelfLeaving || listedState === VmState.Leaving) return NodeState.Leaving
    return canServe ? NodeState.Live : NodeState.Joining
  }
}

/**
 * @param settings the validated settings
 * @param dependencies the logger, and optionally a clock and a random source for tests
 * @returns a daemon that hasn't been started
 */
export function createDaemon (settings: DaemonSettings, dependencies: DaemonDependencies): Daemon {
  const logger = dependencies.logger.createChild({ node: settings.nodeId })
  return new Daemon(settings, logger, dependencies.clock ?? new SystemClock(), dependencies.random ?? createSystemRandom(), dependencies.admission)
}
