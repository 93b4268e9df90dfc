import assert from 'node:assert/strict'
import fc from 'fast-check'
import { describe, it } from 'node:test'
import { RecordKind, type SteeringRecord } from '../../../src/common/entry/records.js'
import { RecordReplica } from '../../../src/common/entry/recordReplica.js'
import { type AccountPolicy, RouteKind, type RoutePolicy, type SteeringDocument } from '../../../src/common/entry/steeringDocument.js'

const SEED = 20261204
const KEY = 'configuration'

function createRoute (name: string, timeoutMs: number): RoutePolicy {
  return { name, host: 'h.example', prefix: `/${name}/`, kind: RouteKind.Idempotent, parts: [{ service: 's', weight: 1 }], timeoutMs, goalMs: 400, attempts: 2, priority: 2, isSticky: true, homeRegions: [], isOpen: false }
}

function createAccount (name: string, keyDigests: readonly string[]): AccountPolicy {
  return { name, keyDigests, priority: undefined, quota: undefined, homeRegions: [] }
}

function createDocument (version: number, routes: readonly RoutePolicy[], accounts?: readonly AccountPolicy[]): SteeringDocument {
  const document = { version, routes, services: [], limits: { headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1 } }
  return accounts === undefined ? document : { ...document, accounts }
}

function createRecord (value: SteeringDocument, revision: number): SteeringRecord {
  return { kind: RecordKind.Document, key: KEY, revision, value }
}

/** The configuration of a VM, independent of the order of its parts. */
function toComparable (table: RecordReplica): unknown {
  const record = table.get(KEY)
  if (record?.kind !== RecordKind.Document) return undefined
  const { version, routes, accounts } = record.value
  return { version, routes: routes.map((route) => JSON.stringify(route)).sort(), accounts: accounts?.map((account) => JSON.stringify(account)).sort() }
}

/** Encodes and decodes a value as in a message between VMs. */
function toDecoded<T> (value: T): T {
  return JSON.parse(JSON.stringify(value)) as T
}

/** Updates one replica from another; requests a full update if a partial one does not fit. */
function applyUpdateFrom (receiver: RecordReplica, sender: RecordReplica): void {
  const update = sender.buildUpdateAfter({ era: 1, revision: receiver.revision })
  if (update === undefined || receiver.applyUpdate(toDecoded(update), 0) !== undefined) return
  const fullUpdate = sender.buildUpdateAfter({ era: 1, revision: 0 })
  assert.notEqual(receiver.applyUpdate(toDecoded(fullUpdate!), 0), undefined)
}

function expectReplicated (receiver: RecordReplica, sender: RecordReplica): void {
  applyUpdateFrom(receiver, sender)
  if (receiver.revision === sender.revision) assert.deepEqual(toComparable(receiver), toComparable(sender))
}

describe('a configuration sent in parts', () => {
  it('sends only the parts that changed', () => {
    const routes = Array.from({ length: 1_000 }, (_, index) => createRoute(`r${index}`, 1_000))
    const sender = new RecordReplica()
    const receiver = new RecordReplica()
    for (const table of [sender, receiver]) table.applySnapshot({ era: 1, revision: 5, records: [createRecord(createDocument(1, routes), 5)] }, 0)
    const later = createDocument(2, [...routes.slice(2), createRoute('r0', 2_000), createRoute('new', 1_000)])
    sender.applyChanges({ era: 1, revision: 6, written: [createRecord(later, 6)], removed: [] }, 0)
    const update = sender.buildUpdateAfter({ era: 1, revision: 5 })!
    assert.deepEqual(update.written, [])
    assert.deepEqual(update.document?.written.route.map((value) => (value as RoutePolicy).name), ['r0', 'new'])
    assert.deepEqual(update.document?.removed.route, ['h.example /r1/'])
    expectReplicated(receiver, sender)
  })

  it('distinguishes that callers need no keys from having no valid key', () => {
    const sender = new RecordReplica()
    const receiver = new RecordReplica()
    for (const [index, accounts] of [undefined, [createAccount('a', ['k'])], [], undefined].entries()) {
      sender.applyChanges({ era: 1, revision: index + 5, written: [createRecord(createDocument(index + 1, [], accounts), index + 5)], removed: [] }, 0)
      expectReplicated(receiver, sender)
      const record = receiver.get(KEY)
      assert.deepEqual(record?.kind === RecordKind.Document ? record.value.accounts?.map(({ name }) => name) : 'none', accounts?.map(({ name }) => name))
    }
  })

  it('is not applied to another base than it was built for', () => {
    // Two VMs watch the store. One reads a snapshot and misses that a route changed and changed back; a third VM
    // got the change from the other one. If it received only the changes that the first VM saw, it would keep
    // the route's wrong state forever.
    const before = createDocument(1, [createRoute('a', 1_000), createRoute('b', 1_000)])
    const between = createDocument(2, [createRoute('a', 9_000), createRoute('b', 1_000)])
    const after = createDocument(3, [createRoute('a', 1_000), createRoute('b', 2_000)])
    const sender = new RecordReplica()
    sender.applySnapshot({ era: 1, revision: 5, records: [createRecord(before, 5)] }, 0)
    sender.applyChanges({ era: 1, revision: 9, written: [createRecord(after, 9)], removed: [] }, 0)
    const receiver = new RecordReplica()
    receiver.applySnapshot({ era: 1, revision: 7, records: [createRecord(between, 7)] }, 0)
    assert.equal(receiver.applyUpdate(toDecoded(sender.buildUpdateAfter({ era: 1, revision: 7 })!), 0), undefined)
    assert.equal(receiver.revision, 7)
    expectReplicated(receiver, sender)
  })

  it('is the same at all VMs whichever of its changes each has seen', () => {
    // Two VMs read the store, by single changes or snapshots; two others replicate from them and from each
    // other.
    const steps = fc.array(fc.record({
      action: fc.constantFrom('change', 'change', 'change back', 'add', 'remove', 'accounts', 'watch 0', 'watch 1', 'read 0', 'read 1', 'update 2 0', 'update 2 1', 'update 3 0', 'update 3 2', 'update 2 3', 'restart 3'),
      route: fc.integer({ min: 0, max: 4 }).map(String)
    }), { maxLength: 120 })
    fc.assert(fc.property(steps, (list) => {
      let revision = 1
      let version = 1
      let accounts: AccountPolicy[] | undefined
      const routes = new Map<string, RoutePolicy>()
      const written = [createRecord(createDocument(version, []), revision)]
      const tables = Array.from({ length: 4 }, () => new RecordReplica())
      const put = (): void => { written.push(createRecord(createDocument(++version, [...routes.values()], accounts), ++revision)) }
      const actions: Readonly<Record<string, (route: string, one: number, other: number) => void>> = {
        change: (route) => { if (routes.has(route)) { routes.set(route, createRoute(route, revision)); put() } },
        'change back': (route) => { if (routes.has(route)) { routes.set(route, createRoute(route, 1)); put() } },
        add: (route) => { routes.set(route, createRoute(route, 1)); put() },
        remove: (route) => { if (routes.delete(route)) put() },
        accounts: (route) => { accounts = accounts === undefined ? [createAccount(route, [route])] : accounts.length === 0 ? undefined : []; put() },
        watch: (_route, one) => { tables[one]!.applyChanges({ era: 1, revision, written: written.filter((record) => record.revision > tables[one]!.revision), removed: [] }, 0) },
        read: (_route, one) => { tables[one]!.applySnapshot({ era: 1, revision, records: [written.at(-1)!] }, 0) },
        update: (_route, one, other) => { expectReplicated(tables[one]!, tables[other]!) },
        restart: (_route, one) => { tables[one] = new RecordReplica() }
      }
      for (const { action, route } of list) {
        const [verb, one, other] = action.split(' ')
        const handler = actions[action] ?? actions[verb!]!
        handler(route, Number(one), Number(other))
      }
      tables[0]!.applySnapshot({ era: 1, revision, records: [written.at(-1)!] }, 0)
      expectReplicated(tables[2]!, tables[0]!)
      expectReplicated(tables[3]!, tables[2]!)
      for (const table of [tables[2]!, tables[3]!]) assert.deepEqual(toComparable(table), toComparable(tables[0]!))
    }), { seed: SEED, numRuns: 3_000 })
  })
})
