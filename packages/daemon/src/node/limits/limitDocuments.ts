/** What daemons tell each other of limits, as documents of their heartbeats. */
import type { DivisionView } from '@umberspar/steering/common/limits/divisionView'
import type { EntryCandidate } from '@umberspar/steering/common/lookup/decideLookup'
import type { DocumentVersion } from '@umberspar/steering/common/membership/memberFacts'

/** The division by which a node is bound: version of the VM list and stamp. */
const ROSTER_DOCUMENT = 'roster'
/** The version of the VM list that a node acts on. */
const LIST_DOCUMENT = 'vm-list'
/** Followed by the node id of a lender whose loan the node holds. */
const LOAN_PREFIX = 'loan/'
/** Followed by the id of a VM that the list has lost and that keeps its part for now; its place stands in `changeId`. */
const GONE_PREFIX = 'gone/'

/** What a node tells. */
export interface LimitNews {
  /** Undefined if nothing binds it yet. */
  readonly bound: DivisionView | undefined
  readonly lenderIds: readonly string[]
  /** Below 0 before the first list. */
  readonly listVersion: number
  readonly gone: readonly EntryCandidate[]
}

/** What a node that has just started learns from a peer. */
export interface TaughtMemory {
  readonly holdsLoan: boolean
  readonly listVersion: number
  readonly gone: readonly EntryCandidate[]
}

/**
 * @param news what to tell
 * @returns its documents
 */
export function buildLimitDocuments (news: LimitNews): DocumentVersion[] {
  const documents = [...new Set(news.lenderIds)].map((lenderId) => buildDocument(`${LOAN_PREFIX}${lenderId}`))
  for (const { nodeId, region, failureDomain } of news.gone) {
    documents.push(buildDocument(`${GONE_PREFIX}${nodeId}`, { changeId: `${region}/${failureDomain}` }))
  }
  if (news.listVersion >= 0) documents.push(buildDocument(LIST_DOCUMENT, { version: news.listVersion }))
  if (news.bound !== undefined) documents.push(buildDocument(ROSTER_DOCUMENT, { version: news.bound.listVersion, digest: news.bound.stamp }))
  return documents
}

const NAMES: ReadonlySet<string> = new Set([ROSTER_DOCUMENT, LIST_DOCUMENT])

/**
 * @param name of a document of a heartbeat
 * @returns whether it concerns limits, which count first-hand only
 */
export function isLimitDocument (name: string): boolean {
  return NAMES.has(name) || name.startsWith(LOAN_PREFIX) || name.startsWith(GONE_PREFIX)
}

/**
 * @param documents of a peer's heartbeat
 * @returns the stamp of the division that binds the peer, if any
 */
export function findStamp (documents: readonly DocumentVersion[]): string | undefined {
  return documents.find(({ name }) => name === ROSTER_DOCUMENT)?.digest
}

/**
 * @param documents of a peer's heartbeat
 * @param selfId this node
 * @returns what the peer remembers
 */
export function findMemory (documents: readonly DocumentVersion[], selfId: string): TaughtMemory {
  return {
    holdsLoan: documents.some(({ name }) => name === `${LOAN_PREFIX}${selfId}`),
    listVersion: documents.find(({ name }) => name === LIST_DOCUMENT)?.version ?? -1,
    gone: documents.flatMap(findGone)
  }
}

function findGone ({ name, changeId }: DocumentVersion): EntryCandidate[] {
  if (!name.startsWith(GONE_PREFIX)) return []
  const [region = '', failureDomain = ''] = changeId.split('/')
  return [{ nodeId: name.slice(GONE_PREFIX.length), region, failureDomain }]
}

function buildDocument (name: string, details: Partial<DocumentVersion> = {}): DocumentVersion {
  return { name, version: 0, digest: '', changeId: '', ...details }
}
