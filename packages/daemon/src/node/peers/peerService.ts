/**
 * Serves peers' calls: exchanges heartbeats with the versions of documents that
 * each node has, provides and accepts documents, and handles loans.
 */
import type { IClock } from '@umberspar/base/common/clock'
import type { MemberReport } from '@umberspar/steering/common/membership/memberReport'
import type { AnnouncedState, DocumentVersion } from '@umberspar/steering/common/membership/memberFacts'
import type { Heartbeat, IPeerService, LoanAnswer, LoanRequest, LoanReturn, PeerDocument } from '@umberspar/steering/common/ports/peers'
import { NodeState } from '@umberspar/steering/common/state/nodeState'
import { type ConfigurationManager, type SerializedConfiguration, ConfigurationSource } from '../configuration/configurationManager.js'
import { isLimitDocument } from '../limits/limitDocuments.js'
import type { LimitManager } from '../limits/limitManager.js'
import type { MemberDirectory } from '../members/memberDirectory.js'
import type { WorkerReports } from '../places/workerReports.js'
import type { DocumentRegistry } from './documentRegistry.js'

/** The document name of the configuration between daemons. */
export const CONFIGURATION_DOCUMENT = 'configuration'

/** The identity of this node. */
export interface NodeIdentity {
  readonly nodeId: string
  readonly region: string
  readonly failureDomain: string
  /** Increases with every start, so that messages of an earlier process can be recognized. */
  readonly incarnation: number
}

/** Answers peers' calls and builds this node's heartbeats. */
export class PeerService implements IPeerService {
  /** The state that this node announces to peers. */
  state: AnnouncedState = NodeState.Joining
  private beat = 0

  constructor (
    private readonly identity: NodeIdentity,
    private readonly configurationManager: ConfigurationManager,
    private readonly members: MemberDirectory,
    private readonly reports: WorkerReports,
    private readonly limits: LimitManager,
    private readonly registry: DocumentRegistry,
    private readonly clock: IClock
  ) {}

  /** Begins a round, so that the next digest counts as a new heartbeat. */
  startRound (): void {
    this.beat += 1
  }

  /** @returns the documents that this node has, with their versions */
  listDocuments (): DocumentVersion[] {
    const head = this.configurationManager.current?.head
    const configuration = head === undefined ? [] : [{ name: CONFIGURATION_DOCUMENT, ...head }]
    return [...configuration, ...this.limits.listDocuments(), ...this.registry.list()]
  }

  /**
   * @param peerId the receiving peer
   * @returns this node's heartbeat
   */
  buildDigest (peerId: string): Heartbeat {
    return {
      ...this.identity,
      beat: this.beat,
      state: this.state,
      documents: this.listDocuments(),
      workers: this.reports.listFor(peerId),
      demand: this.registry.listDemand(),
      members: this.members.listRelayed(),
      confirmedAt: this.configurationManager.confirmedAt
    }
  }

  /**
   * Records a peer's heartbeat.
   * @param digest the heartbeat
   * @param isAnswer whether it answers a heartbeat of this node
   * @returns the configuration version that the peer has
   */
  observe (digest: Heartbeat, isAnswer: boolean): number {
    this.limits.observe(digest, isAnswer)
    const version = digest.documents.find((document) => document.name === CONFIGURATION_DOCUMENT)?.version ?? 0
    this.members.observeReports([toMemberReport(digest), ...digest.members])
    // Patches wait until this node has the highest version seen; an unlisted node must not be able to block them.
    if (this.members.get(digest.nodeId) !== undefined) this.configurationManager.observePeer(version, digest.confirmedAt, this.clock.now())
    this.reports.observe(digest.workers)
    this.registry.observe(digest)
    return version
  }

  exchange (digest: Heartbeat): Heartbeat {
    this.observe(digest, false)
    return this.buildDigest(digest.nodeId)
  }

  fetch (name: string, aboveVersion: number): PeerDocument | undefined {
    if (name !== CONFIGURATION_DOCUMENT) return this.fetchRegistered(name, aboveVersion)
    const current = this.configurationManager.currentText
    if (current === undefined) return undefined
    return current.head.version > aboveVersion ? encodeDocument(current) : undefined
  }

  async push (document: PeerDocument): Promise<number> {
    if (document.document.name !== CONFIGURATION_DOCUMENT) return this.registry.apply(document, 'peer')
    this.configurationManager.apply(decodeDocument(document), 'peer', { source: ConfigurationSource.Push, route: document.route })
    return this.configurationManager.version
  }

  borrow (request: LoanRequest): LoanAnswer {
    return this.limits.lend(request)
  }

  returnLoan (loan: LoanReturn): void {
    this.limits.settleReturn(loan)
  }

  private fetchRegistered (name: string, aboveVersion: number): PeerDocument | undefined {
    const document = this.registry.get(name)
    return document !== undefined && document.document.version > aboveVersion ? document : undefined
  }
}

function toMemberReport (digest: Heartbeat): MemberReport {
  const { nodeId, incarnation, beat, state, demand } = digest
  // Documents on limits are valid only from the node itself. Loans change with the
  // traffic; if they were relayed, each change would spread the report to the whole
  // fleet, and every heartbeat would contain all members.
  const documents = digest.documents.filter(({ name }) => !isLimitDocument(name))
  return { nodeId, incarnation, beat, state, documents, demand, isSuspected: false }
}

/**
 * @param configuration head and text of a configuration
 * @returns the document that is sent to peers
 */
export function encodeDocument (configuration: SerializedConfiguration): PeerDocument {
  return {
    document: { name: CONFIGURATION_DOCUMENT, ...configuration.head },
    body: new TextEncoder().encode(configuration.text)
  }
}

/**
 * @param document a configuration from a peer
 * @returns its head and text, not yet validated
 */
export function decodeDocument (document: PeerDocument): SerializedConfiguration {
  const { version, changeId, digest } = document.document
  return { head: { version, changeId, digest }, text: new TextDecoder().decode(document.body) }
}
