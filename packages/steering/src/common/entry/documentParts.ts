/**
 * The configuration in parts that change independently: each route, service and client
 * account, with the store's revision at which this VM saw it last change.
 *
 * Guards against congested links. Sent in full, a configuration of a thousand routes occupies
 * the links of the VMs that update others for seconds at each change, and worker updates and
 * requests on these links are delayed. So a VM that knows the configuration as of some
 * revision gets only the parts that changed after that.
 */
import { computeHash64 } from '../hash/xxHash.js'
import type { AccountPolicy, ClientLimits, RoutePolicy, ServicePolicy, SteeringDocument } from './steeringDocument.js'

/** Limit on remembered removals; a VM that may have missed a discarded one gets a full update. */
const MAX_TOMBSTONES = 8_192
const HEXADECIMAL_RADIX = 16

/** The kinds of parts. */
export enum PartKind {
  Route = 'route',
  Service = 'service',
  Account = 'account'
}

type PartValue = RoutePolicy | ServicePolicy | AccountPolicy

/** Functions that return a part's name, by kind; parts of one name replace each other. */
const PART_NAME_GETTERS: Readonly<Record<PartKind, (value: never) => string>> = {
  [PartKind.Route]: ({ host, prefix }: RoutePolicy) => `${host} ${prefix}`,
  [PartKind.Service]: ({ name }: ServicePolicy) => name,
  [PartKind.Account]: ({ name }: AccountPolicy) => name
}

/** The changes that lead from an earlier configuration to a later one. */
export interface DocumentDelta {
  /** The configuration's key in the store. */
  readonly key: string
  /** The store's revision of the later configuration. */
  readonly revision: number
  readonly version: number
  readonly limits: ClientLimits
  /** Whether callers need keys; there may be no valid key. */
  readonly hasAccounts: boolean
  /** Parts that were added or changed, by kind. */
  readonly written: Readonly<Record<PartKind, readonly PartValue[]>>
  /** Names of removed parts, by kind. */
  readonly removed: Readonly<Record<PartKind, readonly string[]>>
  /** Digest of the whole later configuration, to check whether the delta was applied to the right base. */
  readonly digest: string
}

/** The configuration's properties beside its parts. */
interface DocumentHeader {
  readonly version: number
  readonly limits: ClientLimits
  readonly hasAccounts: boolean
}

interface Part {
  readonly kind: PartKind
  readonly name: string
  readonly value: PartValue
  readonly text: string
  /** The part's contribution to the digest. */
  readonly hash: bigint
  /** The store's revision at which the part last changed, or a later one. */
  readonly revision: number
}

interface PartTombstone {
  readonly kind: PartKind
  readonly name: string
  readonly revision: number
}

function computeHash (text: string): bigint {
  return BigInt(`0x${computeHash64(text)}`)
}

function getPartName (kind: PartKind, value: PartValue): string {
  return PART_NAME_GETTERS[kind](value as never)
}

function createPart (kind: PartKind, value: PartValue, revision: number): Part {
  const text = JSON.stringify(value)
  return { kind, name: getPartName(kind, value), value, text, hash: computeHash(`${kind} ${text}`), revision }
}

function createPartId ({ kind, name }: { readonly kind: PartKind, readonly name: string }): string {
  return `${kind} ${name}`
}

function listValues ({ routes, services, accounts = [] }: SteeringDocument): Array<{ readonly kind: PartKind, readonly value: PartValue }> {
  return [
    ...routes.map((value) => ({ kind: PartKind.Route, value })),
    ...services.map((value) => ({ kind: PartKind.Service, value })),
    ...accounts.map((value) => ({ kind: PartKind.Account, value }))
  ]
}

function toHeader ({ version, limits, accounts }: SteeringDocument): DocumentHeader {
  return { version, limits, hasAccounts: accounts !== undefined }
}

/** Computes the digest, which does not depend on the order of the parts, since each VM has them in a different one. */
function computeDigest ({ version, limits, hasAccounts }: DocumentHeader, parts: Iterable<Part>): string {
  let sum = computeHash(JSON.stringify([version, limits, hasAccounts]))
  for (const { hash } of parts) sum ^= hash
  return sum.toString(HEXADECIMAL_RADIX)
}

function splitByKind<T, U> (items: Iterable<T>, getKind: (item: T) => PartKind, toItem: (item: T) => U): Record<PartKind, U[]> {
  const split: Record<PartKind, U[]> = { [PartKind.Route]: [], [PartKind.Service]: [], [PartKind.Account]: [] }
  for (const item of items) split[getKind(item)].push(toItem(item))
  return split
}

/** The newest configuration that one VM knows, in parts. */
export class DocumentParts {
  private parts = new Map<string, Part>()
  private readonly tombstones = new Map<string, PartTombstone>()
  /** Removals up to this revision may have been discarded. */
  private discardedRevision = 0

  /**
   * Takes over a complete configuration.
   * @param document the configuration
   * @param revision the store's revision at which it was written
   */
  putDocument (document: SteeringDocument, revision: number): void {
    const parts = new Map<string, Part>()
    for (const { kind, value } of listValues(document)) {
      const id = createPartId({ kind, name: getPartName(kind, value) })
      const known = this.parts.get(id)
      const isKnown = known !== undefined && (known.value === value || known.text === JSON.stringify(value))
      parts.set(id, isKnown ? known : createPart(kind, value, revision))
      this.tombstones.delete(id)
    }
    for (const [id, { kind, name }] of this.parts) {
      if (!parts.has(id)) this.recordTombstone({ kind, name, revision })
    }
    this.parts = parts
  }

  /**
   * Forgets which parts changed when.
   * @param revision VMs that know less than this need the complete configuration
   */
  clear (revision: number): void {
    this.parts.clear()
    this.tombstones.clear()
    this.discardedRevision = revision
  }

  /**
   * @param delta changes from a peer
   * @returns the later configuration; undefined if the delta does not fit the configuration
   *   known here
   */
  mergeDelta ({ version, limits, hasAccounts, written, removed, revision, digest }: DocumentDelta): SteeringDocument | undefined {
    const parts = new Map(this.parts)
    for (const kind of Object.values(PartKind)) {
      for (const name of removed[kind]) parts.delete(createPartId({ kind, name }))
      for (const value of written[kind]) {
        const part = createPart(kind, value, revision)
        parts.set(createPartId(part), part)
      }
    }
    if (computeDigest({ version, limits, hasAccounts }, parts.values()) !== digest) return undefined
    const values = splitByKind(parts.values(), ({ kind }) => kind, ({ value }) => value)
    return {
      version,
      limits,
      routes: values.route as RoutePolicy[],
      services: values.service as ServicePolicy[],
      ...(hasAccounts ? { accounts: values.account as AccountPolicy[] } : {})
    }
  }

  /**
   * Marks the parts of a delta as changed at its revision, even if they are the same here:
   * they may have changed and changed back since a VM that replicates from this one last got
   * an update.
   * @param delta the delta from which the configuration that was put last was built
   */
  markChanged ({ revision, written, removed }: DocumentDelta): void {
    for (const kind of Object.values(PartKind)) {
      for (const name of removed[kind]) this.recordTombstone({ kind, name, revision })
      for (const value of written[kind]) {
        const part = createPart(kind, value, revision)
        this.parts.set(createPartId(part), part)
      }
    }
  }

  /**
   * @param document the newest configuration, the one that was put last
   * @param location the configuration's key and revision in the store
   * @param knownRevision the revision up to which the peer knows everything
   * @returns the changes after that revision; undefined if the peer needs a full update
   */
  buildDeltaAfter (document: SteeringDocument, location: { readonly key: string, readonly revision: number }, knownRevision: number): DocumentDelta | undefined {
    if (knownRevision < this.discardedRevision) return undefined
    const header = toHeader(document)
    return {
      ...header,
      key: location.key,
      revision: location.revision,
      written: splitByKind([...this.parts.values()].filter(({ revision }) => revision > knownRevision), ({ kind }) => kind, ({ value }) => value),
      removed: splitByKind([...this.tombstones.values()].filter(({ revision }) => revision > knownRevision), ({ kind }) => kind, ({ name }) => name),
      digest: computeDigest(header, this.parts.values())
    }
  }

  private recordTombstone (tombstone: PartTombstone): void {
    const id = createPartId(tombstone)
    this.tombstones.delete(id)
    this.tombstones.set(id, tombstone)
    if (this.tombstones.size <= MAX_TOMBSTONES) return
    const [oldestId, oldest] = this.tombstones.entries().next().value!
    this.tombstones.delete(oldestId)
    this.discardedRevision = Math.max(this.discardedRevision, oldest.revision)
  }
}
