/**
 * Longest-prefix match of client addresses, based on typed arrays. Tables are
 * immutable. A new table is built in slices and reuses the prefixes of groups that
 * are unchanged since the previous table.
 */
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { AddressFamily, parseAddress, WORDS_PER_IPV6 } from './addressWords.js'
import { parseClientPrefix } from './clientPrefix.js'
import type { PrefixIntervals } from './prefixIntervals.js'
import { buildIntervals } from './prefixIntervals.js'
import { mergeInSlices, PrefixList, sortInSlices, OPERATIONS_PER_SLICE } from './prefixList.js'

/** A prefix and the group of clients (here, the region) that it belongs to. */
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

/** The input of a table, kept so that the next table can reuse it. */
interface TableSource {
  readonly lists: PrefixLists
  /** Empty if the next table can't reuse the lists. */
  readonly groups: readonly ClientBlockGroup[]
}

/** The address being parsed. It can be shared by all calls, because parsing is synchronous. */
const parsedWords = new Uint32Array(WORDS_PER_IPV6)

function addPrefix (lists: PrefixLists, text: string, groupNumber: number): void {
  const prefix = parseClientPrefix(text, parsedWords)
  if (prefix === undefined) throw createPrefixError(text)
  const list = prefix.family === AddressFamily.IPv4 ? lists.ipv4 : lists.ipv6
  list.add(parsedWords, prefix.length, groupNumber)
}

function createLists (capacity: number): PrefixLists {
  return { ipv4: new PrefixList(1, capacity), ipv6: new PrefixList(WORDS_PER_IPV6, capacity) }
}

function * parseInSlices (groups: readonly ClientBlockGroup[], groupNumbers: ReadonlySet<number>): Generator<void, PrefixLists> {
  const capacity = groups.reduce((sum, { prefixes }, index) => sum + (groupNumbers.has(index + 1) ? prefixes.length : 0), 0)
  const lists = createLists(capacity)
  let operations = 0
  for (const [index, { prefixes }] of groups.entries()) {
    if (!groupNumbers.has(index + 1)) continue
    for (const prefix of prefixes) {
      addPrefix(lists, prefix, index + 1)
      if (++operations % OPERATIONS_PER_SLICE === 0) yield
    }
  }
  return { ipv4: yield * sortInSlices(lists.ipv4), ipv6: yield * sortInSlices(lists.ipv6) }
}

function hasSameGroupNames (left: readonly ClientBlockGroup[], right: readonly ClientBlockGroup[]): boolean {
  return left.length === right.length && left.every(({ group }, index) => group === right[index]?.group)
}

/** Finds the numbers, from 1, of the groups whose prefixes differ. */
function * findChangedGroups (left: readonly ClientBlockGroup[], right: readonly ClientBlockGroup[]): Generator<void, Set<number>> {
  const changed = new Set<number>()
  let operations = 0
  for (const [index, { prefixes }] of right.entries()) {
    const before = left[index]?.prefixes ?? []
    let isSame = before.length === prefixes.length
    for (let prefixIndex = 0; isSame && prefixIndex < prefixes.length; prefixIndex++) {
      isSame = before[prefixIndex] === prefixes[prefixIndex]
      if (++operations % OPERATIONS_PER_SLICE === 0) yield
    }
    if (!isSame) changed.add(index + 1)
  }
  return changed
}

/** An immutable table from client addresses to groups. */
export class ClientBlockTable {
  private constructor (
    private readonly groupNames: ReadonlyArray<string | undefined>,
    private readonly ipv4: PrefixIntervals,
    private readonly ipv6: PrefixIntervals,
    private readonly source: TableSource
  ) {}

  /** @returns the number of prefixes in the table */
  get size (): number {
    return this.source.lists.ipv4.size + this.source.lists.ipv6.size
  }

  /**
   * Builds a table without yielding, for small tables and callers that block no other work.
   * @param blocks prefixes in any order; of two equal ones the later counts
   * @returns the table
   * @throws StepError (Invalid) for a prefix that is not CIDR; a validated configuration has none
   */
  static build (blocks: Iterable<ClientBlock>): ClientBlockTable {
    const all = [...blocks]
    const lists = createLists(all.length)
    const groupNames: Array<string | undefined> = [undefined]
    const numberByGroup = new Map<string, number>()
    for (const { prefix, group } of all) {
      let groupNumber = numberByGroup.get(group)
      if (groupNumber === undefined) {
        groupNumber = groupNames.push(group) - 1
        numberByGroup.set(group, groupNumber)
      }
      addPrefix(lists, prefix, groupNumber)
    }
    const sorted = { ipv4: finishSlices(sortInSlices(lists.ipv4)), ipv6: finishSlices(sortInSlices(lists.ipv6)) }
    return finishSlices(ClientBlockTable.createInSlices(groupNames, { lists: sorted, groups: [] }))
  }

  /**
   * Builds a table in slices of well under a millisecond; the caller can run other
   * work between them.
   * @param groups all groups; of two equal prefixes the one of the later group counts
   * @param previous the previous table; groups that are unchanged since then are not parsed and sorted again
   * @returns the table
   * @throws StepError (Invalid) for a prefix that is not CIDR; a validated configuration has none
   */
  static * buildInSlices (groups: readonly ClientBlockGroup[], previous?: ClientBlockTable): Generator<void, ClientBlockTable> {
    const groupNames = [undefined, ...groups.map(({ group }) => group)]
    if (previous === undefined || !hasSameGroupNames(previous.source.groups, groups)) {
      const lists = yield * parseInSlices(groups, new Set(groups.map((_, index) => index + 1)))
      return yield * ClientBlockTable.createInSlices(groupNames, { lists, groups })
    }
    const changed = yield * findChangedGroups(previous.source.groups, groups)
    const { lists } = previous.source
    // The new groups replace the equal old ones, so that the previous configuration can be garbage-collected.
    if (changed.size === 0) return new ClientBlockTable(groupNames, previous.ipv4, previous.ipv6, { lists, groups })
    const added = yield * parseInSlices(groups, changed)
    const ipv4 = yield * mergeInSlices(lists.ipv4, changed, added.ipv4)
    const ipv6 = yield * mergeInSlices(lists.ipv6, changed, added.ipv6)
    return yield * ClientBlockTable.createInSlices(groupNames, { lists: { ipv4, ipv6 }, groups })
  }

  private static * createInSlices (groupNames: ReadonlyArray<string | undefined>, source: TableSource): Generator<void, ClientBlockTable> {
    const ipv4 = yield * buildIntervals(source.lists.ipv4)
    const ipv6 = yield * buildIntervals(source.lists.ipv6)
    return new ClientBlockTable(groupNames, ipv4, ipv6, source)
  }

  /**
   * @param address an IPv4 or IPv6 address, also IPv4-mapped
   * @returns the group of the longest prefix that contains the address, or undefined
   */
  find (address: string): string | undefined {
    const family = parseAddress(address, parsedWords)
    if (family === undefined) return undefined
    if (family === AddressFamily.IPv4) return this.groupNames[this.ipv4.findIPv4(parsedWords[0] as number)]
    return this.groupNames[this.ipv6.findIPv6(parsedWords)]
  }
}

/**
 * Runs all slices without a pause.
 * @param generator the work in slices
 * @returns its result
 */
export function finishSlices<T> (generator: Generator<void, T>): T {
  let next = generator.next()
  while (next.done !== true) next = generator.next()
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
