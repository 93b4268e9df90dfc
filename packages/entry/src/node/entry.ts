/**
 * One entry process over the records of a store: the callers' listener, look-ups,
 * readiness, peers, metrics, and the stop. Adapters for the store and for how
 * callers speak are handed in.
 */
import type { IClock } from '@umberspar/base/common/clock'
import { CloseStack, type IClosable } from '@umberspar/base/common/closing'
import type { ElapsedClock } from '@umberspar/base/common/elapsedClock'
import { type ILogger, LogLevel } from '@umberspar/base/common/logger'
import type { IRandomSource } from '@umberspar/base/common/random'
import { chooseEntries } from '@umberspar/steering/common/entry/chooseEntries'
import { DomainDistances } from '@umberspar/steering/common/entry/domainDistances'
import { EntryView } from '@umberspar/steering/common/entry/entryView'
import { ViewChange, type ViewEvent } from '@umberspar/steering/common/entry/viewEvent'
import { type EntryNode, UpstreamState } from '@umberspar/steering/common/entry/records'
import type { ICallerProtocol } from '@umberspar/steering/common/ports/callerProtocol'
import type { INodeRegistration, IRecordWriter, ISteeringSource } from '@umberspar/steering/common/ports/steeringSource'
import type { EntrySettings } from '../common/entrySettings.js'
import { RECORDS_PATH } from '../common/recordLines.js'
import { createAccessBounds } from './accounts/accessBounds.js'
import { AccessGate } from './accounts/accessGate.js'
import { BeliefKeeper } from './beliefs/beliefKeeper.js'
import { RecordFollower } from './beliefs/recordFollower.js'
import { BodyRoom } from './front/bodyReader.js'
import type { EntryContext } from './front/entryContext.js'
import { FrontServer } from './front/frontServer.js'
import { RequestHeads } from './front/requestHead.js'
import { createLookupHandler, METRICS_TYPE, NOT_READY, QuestionServer, READY } from './lookup/questionServer.js'
import { RequestQuarantine } from './quarantine/requestQuarantine.js'
import { AccountQuotas } from './quota/accountQuotas.js'
import { QUOTA_PATH } from './quota/quotaMessages.js'
import { EntryStop } from './stop/entryStop.js'
import { EntryGauges } from './telemetry/entryGauges.js'
import type { EntryMetrics } from './telemetry/entryMetrics.js'
import { EntryTelemetry } from './telemetry/entryTelemetry.js'
import { UpstreamPools } from './upstream/upstreamPools.js'

/** What an entry process is built from. */
export interface EntryParts {
  readonly settings: EntrySettings
  readonly clock: IClock
  /** Counts suspensions; the source's instants are its. */
  readonly elapsed: ElapsedClock
  readonly random: IRandomSource
  readonly logger: ILogger
  readonly metrics: EntryMetrics
  readonly protocol: ICallerProtocol
  readonly source: ISteeringSource
  readonly registration: INodeRegistration
  readonly writer: IRecordWriter
}

/** The part of the memory that request bodies may take; the rest is for the runtime, answers and sockets. */
const BODY_MEMORY_PART = 0.3
const BYTES_PER_MB = 1_000_000
/** How long callers may keep a look-up, in milliseconds, if the operators allow as much: so long a VM that left is still used. */
const LOOKUP_CACHE_MS = 2_000
const METRICS_PATH = '/metrics'

/** One entry process. */
export class Entry implements IClosable {
  private readonly closing = new CloseStack()
  private readonly view: EntryView
  readonly keeper: BeliefKeeper
  /** Follows the records; whoever watches the store's health tells it. */
  readonly follower: RecordFollower
  private readonly front: FrontServer
  private readonly gate: AccessGate
  /** The quotas of client accounts; its gauge tells how many shares this VM keeps. */
  readonly quotas: AccountQuotas
  private readonly quarantine: RequestQuarantine
  private readonly pools: UpstreamPools
  private readonly telemetry: EntryTelemetry
  private readonly node: EntryNode
  private readonly regionOf: ReadonlyMap<string, string>
  private isLeaving = false
  private isRegistered = false
  private seeds: readonly string[]

  /** @param parts what it is built from */
  constructor (private readonly parts: EntryParts) {
    const { settings, clock, logger, metrics, protocol } = parts
    this.seeds = settings.seeds
    this.regionOf = new Map(Object.entries(settings.regions))
    const distances = new DomainDistances(settings.domain, this.regionOf)
    this.node = { name: settings.node, address: settings.listen.callers, peerAddress: settings.listen.peers, domain: settings.domain, linkMbps: settings.linkMbps }
    this.telemetry = new EntryTelemetry(logger, metrics)
    this.view = new EntryView({
      node: settings.node,
      domain: settings.domain,
      regionOf: this.regionOf,
      distances,
      coldTolerance: settings.coldTolerance,
      rateTolerance: settings.rateTolerance,
      budget: { ...settings.repeatBudget, windowMs: settings.repeatBudget.window }
    })
    this.gate = new AccessGate(this.view, createAccessBounds(settings), () => this.follower.proof.getAgeMs())
    this.quotas = this.closing.add(this.buildQuotas(distances))
    this.pools = this.closing.add(new UpstreamPools({ idHeader: protocol.headers.requestId }, clock))
    this.quarantine = this.closing.add(this.buildQuarantine())
    this.keeper = this.closing.add(new BeliefKeeper(clock, this.view, this.telemetry, (event) => { this.handleChange(event) }))
    this.follower = this.closing.add(this.buildFollower())
    this.front = this.closing.add(new FrontServer(this.buildContext(distances)))
  }

  /** Opens the listeners and begins to follow the store. */
  async start (): Promise<void> {
    const { settings, source, registration, protocol } = this.parts
    this.closing.add(source)
    this.closing.add(registration)
    const questions = this.buildQuestions()
    for (const address of new Set([settings.listen.lookups, settings.listen.readiness, settings.listen.peers, settings.listen.metrics])) {
      await questions(address)
    }
    await this.front.listen(settings.listen.callers)
    this.telemetry.logger.log(LogLevel.Info, { step: 'start', node: settings.node, domain: settings.domain, callers: settings.listen.callers, readiness: protocol.readinessPath }, 'entry process started')
    registration.start()
    this.follower.start()
  }

  /**
   * Stops without cutting off requests.
   * @param onEnd called when nothing is open, or the grace is nearly over
   */
  stop (onEnd: (cutRequests: number) => void): void {
    if (this.isLeaving) return
    const stop = new EntryStop(this.parts.clock, this.parts.settings.grace, {
      startLeaving: () => { this.startLeaving() },
      closeIdle: () => { this.front.closeIdle() },
      closeListener: () => { this.front.close() },
      countOpen: () => this.front.openRequests,
      end: (cutRequests) => {
        this.telemetry.logger.log(LogLevel.Info, { step: 'stop', cutRequests }, 'entry process ends')
        onEnd(cutRequests)
      }
    })
    stop.start()
  }

  /**
   * Takes changed settings over, as far as a running process can; listeners and names stay.
   * @param settings the settings as they are now
   */
  updateSettings (settings: EntrySettings): void {
    this.seeds = settings.seeds
    this.telemetry.logger.log(LogLevel.Info, { step: 'reload', node: settings.node, seeds: settings.seeds.length, logLevel: settings.logLevel }, 'settings read anew')
  }

  /** Gives up everything at once. */
  async close (): Promise<void> {
    await this.closing.close()
  }

  private startLeaving (): void {
    this.isLeaving = true
    this.telemetry.logger.log(LogLevel.Info, { step: 'stop', openRequests: this.front.openRequests }, 'entry process leaves')
    this.parts.registration.withdraw()
    this.follower.teller.close()
  }

  private buildFollower (): RecordFollower {
    const { clock, elapsed, random, source } = this.parts
    return new RecordFollower({
      clock,
      elapsed,
      random,
      telemetry: this.telemetry,
      source,
      keeper: this.keeper,
      place: {
        self: this.node,
        regionOf: this.regionOf,
        listNodes: () => this.view.nodes.values(),
        listSeeds: () => this.seeds,
        hasConfiguration: () => this.view.document !== undefined
      },
      onRead: () => { this.register() }
    })
  }

  private buildQuotas (distances: DomainDistances): AccountQuotas {
    const { clock, elapsed, random, logger, registration, settings } = this.parts
    const { window, over, slack } = settings.quotaTolerance
    return new AccountQuotas({
      clock,
      elapsed,
      logger,
      registration,
      distances,
      view: this.view,
      self: this.node,
      life: random.next().toString(36),
      regionOf: this.regionOf,
      tolerance: { windowMs: window, over, slack },
      startedAt: elapsed.now(),
      isLeaving: () => this.isLeaving
    })
  }

  private buildQuarantine (): RequestQuarantine {
    const { clock, logger, writer, settings } = this.parts
    return new RequestQuarantine({ clock, logger, writer, view: this.view, pools: this.pools, node: settings.node, quarantineSpanMs: settings.quarantineSpan })
  }

  private buildContext (distances: DomainDistances): EntryContext {
    const { settings, clock, random, protocol } = this.parts
    return {
      clock,
      random,
      protocol,
      heads: new RequestHeads(protocol.headers),
      view: this.view,
      gate: this.gate,
      quotas: this.quotas,
      quarantine: this.quarantine,
      distances,
      pools: this.pools,
      bodyRoom: new BodyRoom(settings.memoryMb * BYTES_PER_MB * BODY_MEMORY_PART),
      byteCosts: settings.byteCosts,
      telemetry: this.telemetry,
      getRecordsAge: () => this.keeper.getRecordsAge(),
      isLeaving: () => this.isLeaving
    }
  }

  /** One listener an address; each answers the questions that belong to it. */
  private buildQuestions (): (address: string) => Promise<void> {
    const { settings, protocol } = this.parts
    const { listen } = settings
    const questions = [
      { address: listen.readiness, path: protocol.readinessPath, handler: () => this.isReady() ? READY : NOT_READY },
      { address: listen.lookups, path: protocol.lookupPath, handler: this.buildLookups() },
      { address: listen.peers, path: QUOTA_PATH, handler: this.quotas.createHandler() },
      { address: listen.metrics, path: METRICS_PATH, handler: async () => ({ status: 200, contentType: METRICS_TYPE, body: await this.parts.metrics.read(this.buildGauges()) }) }
    ]
    return async (address) => {
      const server = this.closing.add(new QuestionServer())
      for (const question of questions) {
        if (question.address === address) server.register(question.path, question.handler)
      }
      if (listen.peers === address) server.registerStream(RECORDS_PATH, (query, response) => { this.follower.teller.accept(query, response) })
      await server.listen(address)
    }
  }

  private buildGauges (): EntryGauges {
    const { clock } = this.parts
    return new EntryGauges({ clock, view: this.view, keeper: this.keeper, follower: this.follower, quotas: this.quotas, quarantine: this.quarantine, front: this.front, isReady: () => this.isReady() })
  }

  private buildLookups () {
    const cacheMs = Math.min(LOOKUP_CACHE_MS, this.parts.settings.longestLookupCache)
    return createLookupHandler(this.parts.protocol, (region, domain) => {
      return { addresses: chooseEntries(this.listServing(), { region, domain }, this.regionOf), cacheMs }
    }, (hasAddresses) => { this.telemetry.metrics.countLookup(hasAddresses ? 'named' : 'none') })
  }

  /** The registered VMs; this one by what it knows of itself, which the store may not have yet or still has. */
  private listServing (): EntryNode[] {
    // The others have no configuration either then, or this VM knows too little to name them.
    if (this.view.document === undefined) return []
    const others = [...this.view.nodes.values()].filter(({ name }) => name !== this.node.name)
    return this.isReady() ? [...others, this.node] : others
  }

  private isReady (): boolean {
    if (this.isLeaving || this.view.document === undefined || !this.gate.isOpen) return false
    for (const { entry } of this.view.listTrackers()) {
      if (entry.state === UpstreamState.Ready) return true
    }
    return false
  }

  private handleChange (event: ViewEvent): void {
    const { change, subject } = event
    this.quotas.handleChange(change)
    this.quarantine.handleChange(event)
    if (change === ViewChange.DocumentAdopted && this.view.document !== undefined) {
      this.front.setLimits(this.view.document)
      this.telemetry.logUnknownKinds(this.view.document)
    }
    // A new life may have another address, and what is open there belongs to the old one.
    if (change === ViewChange.UpstreamLeft || change === ViewChange.UpstreamRestarted) this.pools.remove(subject)
    if (change === ViewChange.NodeJoined || change === ViewChange.NodeLeft) this.follower.handleNodesChanged()
    if (change !== ViewChange.NodeLeft || subject !== this.node.name) return
    this.isRegistered = false
    this.register()
  }

  /**
   * Makes this VM known as soon as it has read the records, though it may have to wait
   * for a configuration: VMs that start together learn from each other.
   */
  private register (): void {
    if (this.isRegistered || this.isLeaving) return
    this.isRegistered = true
    this.parts.registration.register(this.node)
  }
}
