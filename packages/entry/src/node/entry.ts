/**
 * An entry process: the server for callers, the endpoints for look-ups, readiness, other entry VMs
 * and metrics, and the graceful shutdown. The adapters for the store and for the protocol of callers
 * are passed in.
 */
import type { IClock } from '@umberspar/base/common/clock'
import { CloseStack, type IClosable } from '@umberspar/base/common/closing'
import type { ConnectionResources } from '@umberspar/base/node/http/connectionResources'
import { LogLevel } from '@umberspar/base/common/logger'
import { FleetUsage } from '@umberspar/steering/common/entry/admission/fleetUsage'
import { ServiceGates } from '@umberspar/steering/common/entry/admission/serviceGates'
import { DomainRoundTrips } from '@umberspar/steering/common/entry/placement/domainRoundTrips'
import type { EntryView } from '@umberspar/steering/common/entry/entryView'
import { ViewChange, type ViewEvent } from '@umberspar/steering/common/entry/viewEvent'
import type { EntryNode } from '@umberspar/steering/common/entry/records'
import type { EntrySettings } from '../common/entrySettings.js'
import type { EntryDependencies } from './entryDependencies.js'
import { createAccessBounds } from './accounts/accessBounds.js'
import { createEntryView } from './createEntryView.js'
import { AccessController } from './accounts/accessController.js'
import { ProofWaiter } from './accounts/proofWaiter.js'
import { ViewUpdater } from './replica/viewUpdater.js'
import { NodeRegistrar } from './replica/nodeRegistrar.js'
import { RecordSynchronizer } from './replica/recordSynchronizer.js'
import { BodyMemoryBudget } from './front/bodyReader.js'
import { ResponseMemory } from './front/responseMemory.js'
import { createCallerLimits, createConnectionResources } from './front/connectionShares.js'
import type { EntryContext } from './front/entryContext.js'
import { createFleetExchange } from './exchange/createFleetExchange.js'
import type { FleetExchange } from './exchange/fleetExchange.js'
import { FleetReports } from './exchange/fleetReports.js'
import { CallerServer } from './front/callerServer.js'
import { HeaderRewriter } from './front/headerRewriter.js'
import { PlaceWaiter } from './front/placeWaiter.js'
import { EventLoopMonitor } from './eventLoop/eventLoopMonitor.js'
import { TimeoutClock } from './eventLoop/timeoutClock.js'
import { listenForEndpoints } from './lookup/entryEndpoints.js'
import { ServingNodes } from './lookup/servingNodes.js'
import { RequestQuarantine } from './quarantine/requestQuarantine.js'
import type { AccountQuotas } from './quota/accountQuotas.js'
import { createAccountQuotas } from './quota/createAccountQuotas.js'
import { FleetSharing } from './sharing/fleetSharing.js'
import { GracefulShutdown } from './stop/gracefulShutdown.js'
import { EntryGauges } from './telemetry/entryGauges.js'
import { RelayPeers } from './relay/relayPeers.js'
import { RelayServer } from './relay/relayServer.js'
import { EntryTelemetry } from './telemetry/entryTelemetry.js'
import { AdvisoryRecorder } from './upstream/advisoryRecorder.js'
import { openSocket } from './upstream/upstreamPool.js'
import { UpstreamLinks } from './upstream/upstreamLinks.js'
import { UpstreamPools } from './upstream/upstreamPools.js'

/** An entry process. */
export class Entry implements IClosable {
  private readonly closeStack = new CloseStack()
  private readonly view: EntryView
  readonly viewUpdater: ViewUpdater
  /** Keeps the records up to date; the adapter that monitors the store reports its health here. */
  readonly synchronizer: RecordSynchronizer
  private readonly callerServer: CallerServer
  private readonly accessController: AccessController
  private readonly proofWaiter: ProofWaiter
  private readonly placeWaiter: PlaceWaiter
  readonly quotas: AccountQuotas
  private readonly quarantine: RequestQuarantine
  private readonly advisoryRecorder: AdvisoryRecorder
  private readonly pools: UpstreamPools
  private readonly gates: ServiceGates
  private readonly upstreamLinks: UpstreamLinks
  private readonly relayPeers: RelayPeers
  private readonly servingNodes: ServingNodes
  /** Undefined if the settings name no address for it. */
  private readonly exchange: FleetExchange | undefined
  private readonly reports: FleetReports
  private readonly sharing: FleetSharing
  private readonly telemetry: EntryTelemetry
  private readonly timeoutClock: IClock
  private readonly connectionResources: ConnectionResources
  /** Knows when what arrived has been read. */
  readonly eventLoop: EventLoopMonitor
  private readonly node: EntryNode
  private readonly registrar: NodeRegistrar
  private readonly regionByDomain: ReadonlyMap<string, string>
  private shutdown: GracefulShutdown | undefined
  private readonly isStopping = (): boolean => this.shutdown !== undefined
  private seeds: readonly string[]

  /** @param dependencies the services that it is built from */
  constructor (private readonly dependencies: EntryDependencies) {
    const { settings, clock, logger, metrics, protocol } = dependencies
    this.seeds = settings.seeds
    this.regionByDomain = new Map(Object.entries(settings.regions))
    const roundTrips = new DomainRoundTrips(settings.domain, this.regionByDomain)
    this.node = { name: settings.node, address: settings.listen.callers, peerAddress: settings.listen.peers, domain: settings.domain, linkMbps: settings.linkMbps, exchangeAddress: settings.listen.exchange }
    this.registrar = new NodeRegistrar(dependencies.registration, this.node)
    this.telemetry = new EntryTelemetry(logger, metrics)
    this.connectionResources = this.closeStack.add(createConnectionResources(settings, clock, metrics))
    this.eventLoop = this.closeStack.add(new EventLoopMonitor({ clock, elapsed: dependencies.elapsed, onDelay: (delayMs) => { this.telemetry.logEventLoopDelay(delayMs) } }))
    this.timeoutClock = new TimeoutClock(clock, () => this.eventLoop)
    this.view = createEntryView(settings, this.regionByDomain, roundTrips, dependencies.startedAt, (windowMs) => this.sharing.mayShare(windowMs), this.telemetry)
    this.exchange = settings.listen.exchange === undefined ? undefined : this.closeStack.add(createFleetExchange({ clock, self: this.node, regionByDomain: this.regionByDomain, roundTrips, view: this.view, telemetry: this.telemetry, isLate: () => this.eventLoop.isLate() }))
    this.accessController = new AccessController(this.view, createAccessBounds(settings), () => this.view.isConfigurationOutdated ? Infinity : this.synchronizer.freshness.getAgeMs())
    this.servingNodes = new ServingNodes(this.view, this.node, { isDraining: this.isStopping, canAdmitKeys: () => this.accessController.canAdmitKeys })
    this.quotas = this.closeStack.add(createAccountQuotas({ ...dependencies, view: this.view, self: this.node, regionByDomain: this.regionByDomain, roundTrips, timeoutClock: this.timeoutClock, isLeaving: this.isStopping }))
    this.advisoryRecorder = new AdvisoryRecorder({ clock, view: this.view, protocol, telemetry: this.telemetry })
    this.gates = new ServiceGates(new FleetUsage(this.exchange, settings.domain), dependencies.random, (account) => this.view.accounts?.getShareWeight(account) ?? 1)
    this.pools = this.closeStack.add(new UpstreamPools({ idHeader: protocol.headers.requestId }, this.timeoutClock, this.advisoryRecorder, dependencies.openWorkerSocket ?? openSocket, settings.maxLinkSilence))
    this.upstreamLinks = this.closeStack.add(new UpstreamLinks({ clock, random: dependencies.random, view: this.view, pools: this.pools, roundTrips, eventLoop: this.eventLoop, telemetry: this.telemetry }))
    this.reports = this.closeStack.add(new FleetReports({ clock, exchange: this.exchange, view: this.view, gates: this.gates, links: this.upstreamLinks.links, regionByDomain: this.regionByDomain, telemetry: this.telemetry, node: settings.node, isPlacementAdaptive: settings.maxShift !== undefined }))
    this.upstreamLinks.onDidChange(() => this.reports.lostServices.report())
    this.relayPeers = this.closeStack.add(new RelayPeers(settings.node, () => this.view.nodes.values(), { idHeader: protocol.headers.requestId }, this.timeoutClock, settings.maxLinkSilence, (service) => this.reports.lostServices.listVmsWithout(service)))
    this.quarantine = this.closeStack.add(this.buildQuarantine())
    this.viewUpdater = this.closeStack.add(new ViewUpdater(clock, this.view, this.telemetry, (event) => { this.handleChange(event) }))
    this.synchronizer = this.closeStack.add(this.buildSynchronizer())
    this.sharing = this.closeStack.add(new FleetSharing({ ...dependencies, view: this.view, self: { name: settings.node, domain: settings.domain }, getRecordsAgeMs: () => this.viewUpdater.getRecordsAge().ageMs, isLeaving: this.isStopping }))
    this.proofWaiter = this.closeStack.add(new ProofWaiter(clock, { isProofExpected: () => this.synchronizer.isProofExpected, askForProof: () => { dependencies.source.readPosition() } }, (end) => { metrics.countProofWait(end) }))
    this.synchronizer.freshness.onDidProve(() => { this.proofWaiter.handleProof() })
    this.placeWaiter = this.closeStack.add(new PlaceWaiter(clock, (end, priority, waitedMs) => { metrics.countPlaceWait(end, priority, waitedMs) }))
    this.callerServer = this.closeStack.add(new CallerServer(this.buildContext(roundTrips)))
  }

  /** Starts the servers and begins to follow the records. */
  async start (): Promise<void> {
    const { settings, source, registration, protocol } = this.dependencies
    this.closeStack.add(source)
    this.closeStack.add(registration)
    await listenForEndpoints({
      settings,
      protocol,
      regionByDomain: this.regionByDomain,
      servingNodes: this.servingNodes,
      quotaHandler: this.quotas.createPeerHandler(),
      relayServer: this.buildRelayServer(),
      publisher: this.synchronizer.publisher,
      telemetry: this.telemetry,
      connectionResources: this.connectionResources,
      readMetrics: async () => await this.dependencies.metrics.read(this.buildGauges())
    }, this.closeStack)
    await this.callerServer.listen(settings.listen.callers)
    this.telemetry.logger.log(LogLevel.Info, { step: 'start', node: settings.node, domain: settings.domain, callers: settings.listen.callers, readiness: protocol.readinessPath }, 'entry process started')
    this.eventLoop.start()
    this.upstreamLinks.start()
    this.reports.start()
    registration.start()
    this.synchronizer.start()
    this.sharing.start()
  }

  /**
   * Stops gracefully: finishes requests in flight, as far as the grace period allows.
   * @param onShutdown called when no requests are in flight or the grace period is nearly over, with the number of requests cut off
   */
  stop (onShutdown: (cutRequests: number) => void): void {
    if (this.shutdown !== undefined) return
    this.shutdown = new GracefulShutdown(this.dependencies.clock, this.dependencies.settings.grace, {
      startDraining: () => { this.startDraining() },
      closeIdle: () => { this.eventLoop.runWhenCurrent(() => { this.callerServer.closeIdle() }) },
      closeListener: (onClosed) => { this.callerServer.closeListener(onClosed) },
      isLate: () => this.eventLoop.isLate(),
      countInFlight: () => this.callerServer.inFlightRequests,
      end: (cutRequests) => {
        this.telemetry.logger.log(LogLevel.Info, { step: 'stop', cutRequests }, 'entry process stopped')
        onShutdown(cutRequests)
      }
    })
    this.shutdown.start()
  }

  /**
   * Applies changed settings that don't require a restart.
   * @param settings the new settings
   */
  updateSettings (settings: EntrySettings): void {
    this.seeds = settings.seeds
    this.telemetry.logger.log(LogLevel.Info, { step: 'reload', node: settings.node, seeds: settings.seeds.length, logLevel: settings.logLevel }, 'settings reloaded')
  }

  /** Closes everything at once. */
  async close (): Promise<void> {
    await this.closeStack.close()
  }

  private startDraining (): void {
    this.telemetry.logger.log(LogLevel.Info, { step: 'stop', openRequests: this.callerServer.inFlightRequests }, 'entry process is draining')
    this.registrar.withdraw()
    this.synchronizer.publisher.close()
  }

  private buildSynchronizer (): RecordSynchronizer {
    const { clock, elapsed, random, source } = this.dependencies
    return new RecordSynchronizer({
      clock,
      timeoutClock: this.timeoutClock,
      elapsed,
      random,
      telemetry: this.telemetry,
      source,
      viewUpdater: this.viewUpdater,
      fleet: {
        self: this.node,
        regionByDomain: this.regionByDomain,
        listNodes: () => this.view.nodes.values(),
        listSeeds: () => this.seeds,
        hasConfiguration: () => this.view.document !== undefined,
        listNodesWithNewerConfiguration: () => this.view.nodeLists.listNewerThan(this.view.document?.version ?? 0)
      },
      onFirstRead: () => { this.registrar.register() }
    })
  }

  private buildQuarantine (): RequestQuarantine {
    const { clock, logger, writer, settings } = this.dependencies
    return new RequestQuarantine({ clock, links: this.upstreamLinks.links, logger, writer, view: this.view, pools: this.pools, node: settings.node, quarantineDurationMs: settings.quarantineSpan })
  }

  private buildContext (roundTrips: DomainRoundTrips): EntryContext {
    const { settings, clock, random, protocol } = this.dependencies
    return {
      clock,
      random,
      protocol,
      timeoutClock: this.timeoutClock,
      eventLoop: this.eventLoop,
      headerRewriter: new HeaderRewriter(protocol.headers),
      view: this.view,
      accessController: this.accessController,
      proofWaiter: this.proofWaiter,
      quotas: this.quotas,
      quarantine: this.quarantine,
      roundTrips,
      pools: this.pools,
      gates: this.gates,
      reports: this.reports,
      workerLoads: this.reports.workerLoads,
      links: this.upstreamLinks.links,
      openAttempts: this.upstreamLinks.openAttempts,
      advisoryRecorder: this.advisoryRecorder,
      rateLimitReporter: this.sharing.rateLimitReporter,
      relayPeers: this.relayPeers,
      location: { domain: settings.domain, regionByDomain: this.regionByDomain },
      placeWaiter: this.placeWaiter,
      bodyMemoryBudget: BodyMemoryBudget.create(settings.memoryMb),
      responseMemory: ResponseMemory.create(settings.memoryMb),
      callerLimits: createCallerLimits(settings, this.connectionResources, this.view),
      byteCosts: settings.byteCosts,
      telemetry: this.telemetry,
      getRecordsAge: () => this.viewUpdater.getRecordsAge(),
      isDraining: this.isStopping,
      canAnswer: (deadline) => this.shutdown?.canAnswer(deadline) ?? true
    }
  }

  private buildRelayServer (): RelayServer {
    return new RelayServer({
      isBusy: () => !this.servingNodes.isReady() || this.eventLoop.isLate(),
      acceptRelayed: (request, response, origin) => { this.callerServer.acceptRelayed(request, response, origin) }
    }, this.telemetry)
  }

  private buildGauges (): EntryGauges {
    return new EntryGauges({ ...this.dependencies, view: this.view, viewUpdater: this.viewUpdater, synchronizer: this.synchronizer, quotas: this.quotas, quarantine: this.quarantine, callerServer: this.callerServer, placeWaiter: this.placeWaiter, eventLoop: this.eventLoop, links: this.upstreamLinks.links, relayPeers: this.relayPeers, exchange: this.exchange, gates: this.gates, isReady: () => this.servingNodes.isReady() })
  }

  private handleChange (event: ViewEvent): void {
    const { change, subject } = event
    if (change === ViewChange.EraBegan) this.dependencies.registration.checkLease()
    this.quotas.handleChange(change)
    this.quarantine.handleChange(event)
    this.sharing.handleChange(change)
    if (change === ViewChange.DocumentAdopted && this.view.document !== undefined) {
      this.callerServer.setLimits(this.view.document)
      this.telemetry.logUnknownKinds(this.view.document)
      this.synchronizer.handleConfigurationChanged()
      this.registrar.setConfigurationVersion(this.view.document.version, this.viewUpdater.isConfigurationUnconfirmed)
    }
    // A restarted worker may have another address, and open connections belong to the process before the restart.
    if (change === ViewChange.UpstreamLeft || change === ViewChange.UpstreamRestarted) this.pools.remove(subject)
    if (change === ViewChange.NodeJoined || change === ViewChange.NodeLeft) {
      this.synchronizer.handleNodesChanged()
      this.exchange?.updateNodes()
    }
    if (change === ViewChange.NodeLeft) this.relayPeers.remove(subject)
    if (change === ViewChange.NodeLeft && subject === this.node.name) this.registrar.registerAgain()
  }
}
