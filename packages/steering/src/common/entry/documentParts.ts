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
const MOST_REMOVALS = 8_192
const HEXADECIMAL = 16

/** What a part is of. */
export enum PartKind {
  Route = 'route',
  Service = 'service',
  Account = 'account'
}

type PartValue = RoutePolicy | ServicePolicy | AccountPolicy

/** Names by kind; parts of one name replace each other. */
const PART_NAMES: Readonly<Record<PartKind, (value: never) => string>> = {
  [PartKind.Route]: ({ host, prefix }: RoutePolicy) => `${host} ${prefix}`,
  [PartKind.Service]: ({ name }: ServicePolicy) => name,
  [PartKind.Account]: ({ name }: AccountPolicy) => name
}

/** What a VM that knows an earlier configuration is told of a later one. */
export interface DocumentChange {
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
interface Frame {
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

interface RemovedPart {
  readonly kind: PartKind
  readonly name: string
  readonly revision: number
}

function computeHash (text: string): bigint {
  return BigInt(`0x${computeHash64(text)}`)
}

function readName (kind: PartKind, value: PartValue): string {
  return PART_NAMES[kind](value as never)
}

function createPart (kind: PartKind, value: PartValue, revision: number): Part {
  const text = JSON.stringify(value)
  return { kind, name: readName(kind, value), value, text, hash: computeHash(`${kind} ${text}`), revision }
}

function createId ({ kind, name }: { readonly kind: PartKind, readonly name: string }): string {
  return `${kind} ${name}`
}

function listValues ({ routes, services, accounts = [] }: SteeringDocument): Array<{ readonly kind: PartKind, readonly value: PartValue }> {
  return [
    ...routes.map((value) => ({ kind: PartKind.Route, value })),
    ...services.map((value) => ({ kind: PartKind.Service, value })),
    ...accounts.map((value) => ({ kind: PartKind.Account, value }))
  ]
}

function toFrame ({ version, limits, accounts }: SteeringDocument): Frame {
  return { version, limits, hasAccounts: accounts !== undefined }
}

/** The same whatever the order of the parts, since VMs put them together in different ones. */
function computeDigest ({ version, limits, hasAccounts }: Frame, parts: Iterable<Part>): string {
  let sum = computeHash(JSON.stringify([version, limits, hasAccounts]))
  for (const { hash } of parts) sum ^= hash
  return sum.toString(HEXADECIMAL)
}

function splitByKind<T, U> (items: Iterable<T>, getKind: (item: T) => PartKind, toItem: (item: T) => U): Record<PartKind, U[]> {
  const split: Record<PartKind, U[]> = { [PartKind.Route]: [], [PartKind.Service]: [], [PartKind.Account]: [] }
  for (const item of items) split[getKind(item)].push(toItem(item))
  return split
}

/** The newest configuration that one VM knows, in parts. */
export class DocumentParts {
  private parts = new Map<string, Part>()
  private readonly removals = new Map<string, RemovedPart>()
  /** Removals up to this revision may have been forgotten. */
  private forgottenRevision = 0

  /**
   * Takes over a configuration that was read whole.
   * @param document the configuration
   * @param revision at which it was written
   */
  putDocument (document: SteeringDocument, revision: number): void {
    const parts = new Map<string, Part>()
    for (const { kind, value } of listValues(document)) {
      const id = createId({ kind, name: readName(kind, value) })
      const known = this.parts.get(id)
      const isKnown = known !== undefined && (known.value === value || known.text === JSON.stringify(value))
      parts.set(id, isKnown ? known : createPart(kind, value, revision))
      this.removals.delete(id)
    }
    for (const [id, { kind, name }] of this.parts) {
      if (!parts.has(id)) this.recordRemoval({ kind, name, revision })
    }
    this.parts = parts
  }

  /**
   * @param change what another VM tells
   * @returns the configuration that it leads to; undefined if what is known here is not what it was told for
   */
  mergeChange ({ version, limits, hasAccounts, written, removed, revision, digest }: DocumentChange): SteeringDocument | undefined {
    const parts = new Map(this.parts)
    for (const kind of Object.values(PartKind)) {
      for (const name of removed[kind]) parts.delete(createId({ kind, name }))
      for (const value of written[kind]) {
        const part = createPart(kind, value, revision)
        parts.set(createId(part), part)
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
  markChanged ({ revision, written, removed }: DocumentChange): void {
    for (const kind of Object.values(PartKind)) {
      for (const name of removed[kind]) this.recordRemoval({ kind, name, revision })
      for (const value of written[kind]) {
        const part = createPart(kind, value, revision)
        this.parts.set(createId(part), part)
      }
    }
  }

  /**
   * @param document the newest configuration, the one that was put last
   * @param place where it lies in the store, and at which revision
   * @param known the revision that the VM which is told knows
   * @returns what changed after that; undefined if it has to be told everything
   */
  readChangeAfter (document: SteeringDocument, place: { readonly key: string, readonly revision: number }, known: number): DocumentChange | undefined {
    if (known < this.forgottenRevision) return undefined
    const frame = toFrame(document)
    return {
      ...frame,
      key: place.key,
      revision: place.revision,
      written: splitByKind([...this.parts.values()].filter(({ revision }) => revision > known), ({ kind }) => kind, ({ value }) => value),
      removed: splitByKind([...this.removals.values()].filter(({ revision }) => revision > known), ({ kind }) => kind, ({ name }) => name),
      digest: computeDigest(frame, this.parts.values())
    }
  }

  private recordRemoval (removal: RemovedPart): void {
    const id = createId(removal)
    this.removals.delete(id)
    this.removals.set(id, removal)
    if (this.removals.size <= MOST_REMOVALS) return
    const [oldestId, oldest] = this.removals.entries().next().value!
    this.removals.delete(oldestId)
    this.forgottenRevision = Math.max(this.forgottenRevision, oldest.revision)
  }
}
