/**
 * This node's side of the conversation between daemons: heartbeats with the
 * versions each has, and the configuration handed on to whoever is behind.
 */
import type { IClock } from '@umberspar/base/common/clock'
import type { MemberReport } from '@umberspar/steering/common/membership/memberReport'
import type { AnnouncedState, DocumentVersion } from '@umberspar/steering/common/membership/memberFacts'
import type { Digest, IPeerService, LoanAnswer, LoanRequest, LoanReturn, PeerDocument } from '@umberspar/steering/common/ports/peers'
import { NodeState } from '@umberspar/steering/common/state/nodeState'
import { type ConfigurationKeeper, type ConfigurationText, LearnSource } from '../configuration/configurationKeeper.js'
import { isLimitDocument } from '../limits/limitDocuments.js'
import type { LimitKeeper } from '../limits/limitKeeper.js'
import type { MemberDirectory } from '../members/memberDirectory.js'
import type { WorkerReports } from '../places/workerReports.js'
import type { DocumentRegistry } from './documentRegistry.js'

/** The name under which the configuration travels between daemons. */
export const CONFIGURATION_DOCUMENT = 'configuration'

/** Who this node is. */
export interface NodeIdentity {
  readonly nodeId: string
  readonly region: string
  readonly failureDomain: string
  /** Grows with every start, so that an old process's messages are told apart. */
  readonly incarnation: number
}

/** Answers peers. */
export class PeerService implements IPeerService {
  /** This node's state as peers are told it. */
  state: AnnouncedState = NodeState.Joining
  private beat = 0

  constructor (
    private readonly identity: NodeIdentity,
    private readonly keeper: ConfigurationKeeper,
    private readonly members: MemberDirectory,
    private readonly reports: WorkerReports,
    private readonly limits: LimitKeeper,
    private readonly registry: DocumentRegistry,
    private readonly clock: IClock
  ) {}

  /** Begins a round: the next digest is a new sign of life. */
  startRound (): void {
    this.beat += 1
  }

  /** @returns the documents that this node has, with its versions of them */
  listDocuments (): DocumentVersion[] {
    const head = this.keeper.current?.head
    const configuration = head === undefined ? [] : [{ name: CONFIGURATION_DOCUMENT, ...head }]
    return [...configuration, ...this.limits.listDocuments(), ...this.registry.list()]
  }

  /**
   * @param peerId whom it is for
   * @returns this node's heartbeat
   */
  buildDigest (peerId: string): Digest {
    return {
      ...this.identity,
      beat: this.beat,
      state: this.state,
      documents: this.listDocuments(),
      workers: this.reports.listFor(peerId),
      demand: this.registry.listDemand(),
      members: this.members.listRelayed(),
      confirmedAt: this.keeper.confirmedAt
    }
  }

  /**
   * Takes in a peer's heartbeat.
   * @param digest what the peer said
   * @param isAnswer whether it answers a heartbeat of this node
   * @returns the configuration version that the peer has
   */
  observe (digest: Digest, isAnswer: boolean): number {
    this.limits.observe(digest, isAnswer)
    const version = digest.documents.find((document) => document.name === CONFIGURATION_DOCUMENT)?.version ?? 0
    this.members.observeReports([toReport(digest), ...digest.members])
    // Patches wait until this node has the highest version seen; a stranger's word must not stop them.
    if (this.members.get(digest.nodeId) !== undefined) this.keeper.observePeer(version, digest.confirmedAt, this.clock.now())
    this.reports.observe(digest.workers)
    this.registry.observe(digest)
    return version
  }

  exchange (digest: Digest): Digest {
    this.observe(digest, false)
    return this.buildDigest(digest.nodeId)
  }

  fetch (name: string, aboveVersion: number): PeerDocument | undefined {
    if (name !== CONFIGURATION_DOCUMENT) return this.fetchOther(name, aboveVersion)
    const current = this.keeper.currentText
    if (current === undefined) return undefined
    return current.head.version > aboveVersion ? encodeDocument(current) : undefined
  }

  async push (document: PeerDocument): Promise<number> {
    if (document.document.name !== CONFIGURATION_DOCUMENT) return this.registry.apply(document, 'peer')
    this.keeper.apply(decodeDocument(document), 'peer', { source: LearnSource.Push, route: document.route })
    return this.keeper.version
  }

  borrow (request: LoanRequest): LoanAnswer {
    return this.limits.lend(request)
  }

  returnLoan (loan: LoanReturn): void {
    this.limits.settleReturn(loan)
  }

  private fetchOther (name: string, aboveVersion: number): PeerDocument | undefined {
    const found = this.registry.get(name)
    return found !== undefined && found.document.version > aboveVersion ? found : undefined
  }
}

function toReport (digest: Digest): MemberReport {
  const { nodeId, incarnation, beat, state, demand } = digest
  // What concerns limits counts only from the node itself. Loans come and go with
  // the traffic; relayed, each would make the report news to the whole fleet, and
  // every heartbeat would carry all members.
  const documents = digest.documents.filter(({ name }) => !isLimitDocument(name))
  return { nodeId, incarnation, beat, state, documents, demand, isSuspected: false }
}

/**
 * @param configuration head and text
 * @returns the form in which it travels
 */
export function encodeDocument (configuration: ConfigurationText): PeerDocument {
  return {
    document: { name: CONFIGURATION_DOCUMENT, ...configuration.head },
    body: new TextEncoder().encode(configuration.text)
  }
}

/**
 * @param document a configuration as it travelled
 * @returns head and text, not yet checked
 */
export function decodeDocument (document: PeerDocument): ConfigurationText {
  const { version, changeId, digest } = document.document
  return { head: { version, changeId, digest }, text: new TextDecoder().decode(document.body) }
}
