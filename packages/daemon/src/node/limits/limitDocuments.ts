/** Encodes and decodes what daemons announce about limits in the documents of their heartbeats. */
import type { DivisionView } from '@umberspar/steering/common/limits/divisionView'
import type { EntryCandidate } from '@umberspar/steering/common/lookup/decideLookup'
import type { DocumentVersion } from '@umberspar/steering/common/membership/memberFacts'

/** The division that a node has acknowledged: version of the VM list and fingerprint. */
const ROSTER_DOCUMENT = 'roster'
/** The version of the VM list that a node uses. */
const VM_LIST_DOCUMENT = 'vm-list'
/** Followed by the node id of a lender from which the node has borrowed. */
const LOAN_PREFIX = 'loan/'
/** Followed by the id of a VM that is no longer listed but keeps its share for now; `changeId` holds its region and failure domain. */
const REMOVED_PREFIX = 'gone/'

/** What a node announces. */
export interface LimitAnnouncement {
  /** The division that the node has acknowledged, if any. */
  readonly acknowledgedView: DivisionView | undefined
  readonly lenderIds: readonly string[]
  /** Negative before the first list has been read. */
  readonly listVersion: number
  readonly removed: readonly EntryCandidate[]
}

/** What a node that has just started learns from a peer's announcement. */
export interface PeerLimitState {
  readonly holdsLoan: boolean
  readonly listVersion: number
  readonly removed: readonly EntryCandidate[]
}

/**
 * @param announcement what to announce
 * @returns the documents for the heartbeat
 */
export function buildLimitDocuments (announcement: LimitAnnouncement): DocumentVersion[] {
  const documents = [...new Set(announcement.lenderIds)].map((lenderId) => buildDocument(`${LOAN_PREFIX}${lenderId}`))
  for (const { nodeId, region, failureDomain } of announcement.removed) {
    documents.push(buildDocument(`${REMOVED_PREFIX}${nodeId}`, { changeId: `${region}/${failureDomain}` }))
  }
  if (announcement.listVersion >= 0) documents.push(buildDocument(VM_LIST_DOCUMENT, { version: announcement.listVersion }))
  if (announcement.acknowledgedView !== undefined) documents.push(buildDocument(ROSTER_DOCUMENT, { version: announcement.acknowledgedView.listVersion, digest: announcement.acknowledgedView.fingerprint }))
  return documents
}

const DOCUMENT_NAMES: ReadonlySet<string> = new Set([ROSTER_DOCUMENT, VM_LIST_DOCUMENT])

/**
 * @param name name of a document of a heartbeat
 * @returns whether it concerns limits; such documents are valid only from the node itself, not relayed
 */
export function isLimitDocument (name: string): boolean {
  return DOCUMENT_NAMES.has(name) || name.startsWith(LOAN_PREFIX) || name.startsWith(REMOVED_PREFIX)
}

/**
 * @param documents documents of a peer's heartbeat
 * @returns the fingerprint of the division that the peer has acknowledged, if any
 */
export function findFingerprint (documents: readonly DocumentVersion[]): string | undefined {
  return documents.find(({ name }) => name === ROSTER_DOCUMENT)?.digest
}

/**
 * @param documents documents of a peer's heartbeat
 * @param selfId the id of this node
 * @returns the peer's state as far as it concerns this node's start
 */
export function findPeerLimitState (documents: readonly DocumentVersion[], selfId: string): PeerLimitState {
  return {
    holdsLoan: documents.some(({ name }) => name === `${LOAN_PREFIX}${selfId}`),
    listVersion: documents.find(({ name }) => name === VM_LIST_DOCUMENT)?.version ?? -1,
    removed: documents.flatMap(parseRemoved)
  }
}

function parseRemoved ({ name, changeId }: DocumentVersion): EntryCandidate[] {
  if (!name.startsWith(REMOVED_PREFIX)) return []
  const [region = '', failureDomain = ''] = changeId.split('/')
  return [{ nodeId: name.slice(REMOVED_PREFIX.length), region, failureDomain }]
}

function buildDocument (name: string, details: Partial<DocumentVersion> = {}): DocumentVersion {
  return { name, version: 0, digest: '', changeId: '', ...details }
}
