/**
 * Longest-prefix match of client addresses, on typed arrays. A table is never
 * changed; a new one is built in slices, and from the one before it as far as
 * groups are the same in both.
 */
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { AddressFamily, parseAddress, WORDS_PER_IPV6 } from './addressWords.js'
import { parseClientPrefix } from './clientPrefix.js'
import type { PrefixIntervals } from './prefixIntervals.js'
import { buildIntervals } from './prefixIntervals.js'
import { mergeInSlices, PrefixList, sortInSlices, STEPS_PER_SLICE } from './prefixList.js'

/** A prefix and the group of clients (in umberspar the region) that it belongs to. */
export interface ClientBlock {
  /** CIDR, IPv4 or IPv6. */
  readonly prefix: string
  readonly group: string
}

/** All prefixes of one group. */
export interface ClientBlockGroup {
  readonly group: string
  /** CIDR, IPv4 or IPv6. */
  readonly prefixes: readonly string[]
}

/** The prefixes of both families. */
interface PrefixLists {
  readonly ipv4: PrefixList
  readonly ipv6: PrefixList
}

/** What a table is made from; kept, so that the next table can be made from it. */
interface TableSource {
  readonly lists: PrefixLists
  /** Empty if the table cannot be compared with the next one. */
  readonly groups: readonly ClientBlockGroup[]
}

/** The address that is being parsed; all reading is synchronous. */
const parsedWords = new Uint32Array(WORDS_PER_IPV6)

function addPrefix (lists: PrefixLists, text: string, group: number): void {
  const prefix = parseClientPrefix(text, parsedWords)
  if (prefix === undefined) throw createPrefixError(text)
  const list = prefix.family === AddressFamily.IPv4 ? lists.ipv4 : lists.ipv6
  list.add(parsedWords, prefix.length, group)
}

function createLists (capacity: number): PrefixLists {
  return { ipv4: new PrefixList(1, capacity), ipv6: new PrefixList(WORDS_PER_IPV6, capacity) }
}

function * parseInSlices (groups: readonly ClientBlockGroup[], wanted: ReadonlySet<number>): Generator<void, PrefixLists> {
  const capacity = groups.reduce((sum, { prefixes }, index) => sum + (wanted.has(index + 1) ? prefixes.length : 0), 0)
  const lists = createLists(capacity)
  let steps = 0
  for (const [index, { prefixes }] of groups.entries()) {
    if (!wanted.has(index + 1)) continue
    for (const prefix of prefixes) {
      addPrefix(lists, prefix, index + 1)
      if (++steps % STEPS_PER_SLICE === 0) yield
    }
  }
  return { ipv4: yield * sortInSlices(lists.ipv4), ipv6: yield * sortInSlices(lists.ipv6) }
}

function hasSameNames (left: readonly ClientBlockGroup[], right: readonly ClientBlockGroup[]): boolean {
  return left.length === right.length && left.every(({ group }, index) => group === right[index]?.group)
}

/** Numbers (from 1) of the groups whose prefixes differ. */
function * findChangedGroups (left: readonly ClientBlockGroup[], right: readonly ClientBlockGroup[]): Generator<void, Set<number>> {
  const changed = new Set<number>()
  let steps = 0
  for (const [index, { prefixes }] of right.entries()) {
    const before = left[index]?.prefixes ?? []
    let isSame = before.length === prefixes.length
    for (let at = 0; isSame && at < prefixes.length; at++) {
      isSame = before[at] === prefixes[at]
      if (++steps % STEPS_PER_SLICE === 0) yield
    }
    if (!isSame) changed.add(index + 1)
  }
  return changed
}

/** An immutable table from client addresses to groups. */
export class ClientBlockTable {
  private constructor (
    private readonly names: ReadonlyArray<string | undefined>,
    private readonly ipv4: PrefixIntervals,
    private readonly ipv6: PrefixIntervals,
    private readonly source: TableSource
  ) {}

  /** @returns the number of prefixes the table was built from */
  get size (): number {
    return this.source.lists.ipv4.size + this.source.lists.ipv6.size
  }

  /**
   * Builds a table at one go: for few prefixes, and where nothing else waits.
   * @param blocks prefixes in any order; of two equal ones the later counts
   * @returns the table
   * @throws StepError (Invalid) for a prefix that is not CIDR; a validated configuration has none
   */
  static build (blocks: Iterable<ClientBlock>): ClientBlockTable {
    const all = [...blocks]
    const lists = createLists(all.length)
    const names: Array<string | undefined> = [undefined]
    const indexByName = new Map<string, number>()
    for (const { prefix, group } of all) {
      let index = indexByName.get(group)
      if (index === undefined) {
        index = names.push(group) - 1
        indexByName.set(group, index)
      }
      addPrefix(lists, prefix, index)
    }
    const sorted = { ipv4: finishSlices(sortInSlices(lists.ipv4)), ipv6: finishSlices(sortInSlices(lists.ipv6)) }
    return finishSlices(ClientBlockTable.createInSlices(names, { lists: sorted, groups: [] }))
  }

  /**
   * Builds a table in slices of well under a millisecond; the caller decides
   * what runs between them.
   * @param groups all groups; of two equal prefixes the one of the later group counts
   * @param previous the table before; groups that are the same in it are not parsed and sorted anew
   * @returns the table
   * @throws StepError (Invalid) for a prefix that is not CIDR; a validated configuration has none
   */
  static * buildInSlices (groups: readonly ClientBlockGroup[], previous?: ClientBlockTable): Generator<void, ClientBlockTable> {
    const names = [undefined, ...groups.map(({ group }) => group)]
    if (previous === undefined || !hasSameNames(previous.source.groups, groups)) {
      const lists = yield * parseInSlices(groups, new Set(groups.map((_, index) => index + 1)))
      return yield * ClientBlockTable.createInSlices(names, { lists, groups })
    }
    const changed = yield * findChangedGroups(previous.source.groups, groups)
    const { lists } = previous.source
    // The new groups replace equal old ones, so that the configuration before can be freed.
    if (changed.size === 0) return new ClientBlockTable(names, previous.ipv4, previous.ipv6, { lists, groups })
    const added = yield * parseInSlices(groups, changed)
    const ipv4 = yield * mergeInSlices(lists.ipv4, changed, added.ipv4)
    const ipv6 = yield * mergeInSlices(lists.ipv6, changed, added.ipv6)
    return yield * ClientBlockTable.createInSlices(names, { lists: { ipv4, ipv6 }, groups })
  }

  private static * createInSlices (names: ReadonlyArray<string | undefined>, source: TableSource): Generator<void, ClientBlockTable> {
    const ipv4 = yield * buildIntervals(source.lists.ipv4)
    const ipv6 = yield * buildIntervals(source.lists.ipv6)
    return new ClientBlockTable(names, ipv4, ipv6, source)
  }

  /**
   * @param address an IPv4 or IPv6 address, also IPv4-mapped
   * @returns the group of the longest prefix that holds the address, or undefined
   */
  find (address: string): string | undefined {
    const family = parseAddress(address, parsedWords)
    if (family === undefined) return undefined
    if (family === AddressFamily.IPv4) return this.names[this.ipv4.findNumber(parsedWords[0] as number)]
    return this.names[this.ipv6.findWords(parsedWords)]
  }
}

/**
 * @param work work in slices
 * @returns its result, after all slices at one go
 */
export function finishSlices<T> (work: Generator<void, T>): T {
  let next = work.next()
  while (next.done !== true) next = work.next()
  return next.value
}

function createPrefixError (prefix: string): StepError {
  return new StepError({
    code: ErrorCode.Invalid,
    step: 'build-client-blocks',
    peer: 'local',
    message: `expected a CIDR prefix, got '${prefix}'`
  })
}
