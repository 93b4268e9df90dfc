/**
 * The configuration in parts that change alone: each route, service and client account,
 * with the store's revision at which this VM saw it last change.
 *
 * Guards against this failure: told whole, a configuration of a thousand routes fills
 * the links of the VMs that tell others for seconds at each change, and the news of
 * workers and the requests on these links wait behind it. A VM that knows the
 * configuration as of some revision is told the parts that changed after that.
 */
import { computeHash64 } from '../hash/xxHash.js'
import type { AccountPolicy, ClientLimits, RoutePolicy, ServicePolicy, SteeringDocument } from './steeringDocument.js'

/** Removed parts that are remembered; a VM that may not have heard of a forgotten one is told everything. */
const MAX_TOMBSTONES = 8_192
const HEXADECIMAL_RADIX = 16

/** What a part is of. */
export enum PartKind {
  Route = 'route',
  Service = 'service',
  Account = 'account'
}

type PartValue = RoutePolicy | ServicePolicy | AccountPolicy

/** Names by kind; parts of one name replace each other. */
const GET_PART_NAME: Readonly<Record<PartKind, (value: never) => string>> = {
  [PartKind.Route]: ({ host, prefix }: RoutePolicy) => `${host} ${prefix}`,
  [PartKind.Service]: ({ name }: ServicePolicy) => name,
  [PartKind.Account]: ({ name }: AccountPolicy) => name
}

/** What a VM that knows an earlier configuration is told of a later one. */
export interface DocumentDelta {
  /** Where the configuration lies in the store. */
  readonly key: string
  /** The store's revision of this configuration. */
  readonly revision: number
  readonly version: number
  readonly limits: ClientLimits
  /** Whether callers need keys; there may be none that holds. */
  readonly hasAccounts: boolean
  /** What changed or came, by kind. */
  readonly written: Readonly<Record<PartKind, readonly PartValue[]>>
  /** Names of what went, by kind. */
  readonly removed: Readonly<Record<PartKind, readonly string[]>>
  /** Of the whole configuration, to find out whether it was put together rightly. */
  readonly digest: string
}

/** What stands beside the parts. */
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
  /** Its share of the digest. */
  readonly hash: bigint
  /** The store's revision at which it last changed, or a later one. */
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
  return GET_PART_NAME[kind](value as never)
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

/** The same whatever the order of the parts, since VMs put them together in different ones. */
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
  /** Removals up to this revision may have been forgotten. */
  private discardedRevision = 0

  /**
   * Takes over a configuration that was read whole.
   * @param document the configuration
   * @param revision at which it was written
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
   * @param change what another VM tells
   * @returns the configuration that it leads to; undefined if what is known here is not what it was told for
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
   * Notes that what a change holds changed with it, though it may have stood here already:
   * it may have changed and changed back since a VM that learns from this one heard of it.
   * @param change from which the configuration that was put last was put together
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
   * @param location where it lies in the store, and at which revision
   * @param knownRevision the revision that the VM which is told knows
   * @returns what changed after that; undefined if it has to be told everything
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
