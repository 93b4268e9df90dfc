import assert from 'node:assert/strict'
import { afterEach, describe, it } from 'node:test'
import type { ServerDuplexStream } from '@grpc/grpc-js'
import { Server, ServerCredentials, status } from '@grpc/grpc-js'
import fc from 'fast-check'
import { createDeadline } from '@umberspar/base/common/deadline'
import { ErrorCode } from '@umberspar/base/common/errors'
import { NULL_LOGGER } from '@umberspar/base/common/logger'
import type { IKeyValueStore, StoreChange } from '@umberspar/steering/common/ports/keyValueStore'
import { WatchEndReason } from '@umberspar/steering/common/ports/keyValueStore'
import { SystemClock } from '@umberspar/base/node/systemClock'
import type { KVServer, LeaseServer, RangeRequest, TxnRequest, WatchRequest, WatchResponse, WatchServer } from '../../../src/node/generated/etcd/rpc.js'
import { Event_EventType as EventType, KVService, LeaseService, WatchService } from '../../../src/node/generated/etcd/rpc.js'
import { computeRangeEnd } from '../../../src/node/store/etcdMessages.js'
import { createEtcdStore } from '../../../src/node/store/etcdStore.js'

const TEST_TIMEOUT_MS = 60_000
const clock = new SystemClock()
const header = { clusterId: 1n, memberId: 1n, revision: 42n, raftTerm: 1n }
const putWrite = { key: 'k', value: Buffer.from('v'), kind: 'put' as const }
const cleanUpSteps: Array<() => void> = []

afterEach(() => {
  for (const cleanUp of cleanUpSteps.splice(0).reverse()) cleanUp()
})

/** A fake etcd server; tests can replace its responses. */
interface FakeEtcd {
  readonly server: Server
  readonly address: string
  readonly ranges: RangeRequest[]
  readonly transactions: TxnRequest[]
  readonly watches: Array<ServerDuplexStream<WatchRequest, WatchResponse>>
  readonly created: WatchRequest[]
  onTransaction: KVServer['txn']
  leaseSeconds: bigint
}

function addServices (fake: FakeEtcd): void {
  const keyValues: KVServer = {
    range: (call, callback) => {
      fake.ranges.push(call.request)
      const pair = { key: Buffer.from('a/1'), value: Buffer.from('v'), modRevision: 7n, createRevision: 7n, version: 1n, lease: 0n }
      callback(null, { header, kvs: [pair], more: false, count: 1n })
    },
    txn: (call, callback) => {
      fake.transactions.push(call.request)
      fake.onTransaction(call, callback)
    }
  }
  const leases: LeaseServer = {
    leaseGrant: (call, callback) => { callback(null, { header, ID: 9n, TTL: call.request.TTL, error: '' }) },
    leaseRevoke: (_call, callback) => { callback(null, { header }) },
    leaseKeepAlive: (call) => {
      call.on('data', ({ ID }) => { call.write({ header, ID, TTL: fake.leaseSeconds }) })
      call.on('end', () => { call.end() })
    }
  }
  const watches: WatchServer = {
    watch: (call) => {
      fake.watches.push(call)
      call.on('data', (request: WatchRequest) => {
        fake.created.push(request)
        call.write(createWatchResponse({ created: true }))
        call.write(createWatchResponse({ events: [createEvent(EventType.PUT, 'a/1', 43n), createEvent(EventType.DELETE, 'a/1', 44n)] }))
      })
    }
  }
  fake.server.addService(KVService, keyValues)
  fake.server.addService(LeaseService, leases)
  fake.server.addService(WatchService, watches)
}

function createWatchResponse (changes: Partial<WatchResponse>): WatchResponse {
  return { header, watchId: 0n, created: false, canceled: false, compactRevision: 0n, cancelReason: '', events: [], ...changes }
}

function createEvent (type: EventType, key: string, modRevision: bigint): WatchResponse['events'][number] {
  return { type, kv: { key: Buffer.from(key), value: Buffer.from('v'), modRevision, createRevision: 1n, version: 1n, lease: 0n }, prevKv: undefined }
}

async function openFakeEtcd (): Promise<FakeEtcd> {
  const server = new Server()
  const fake = { server, address: '', ranges: [], transactions: [], watches: [], created: [], leaseSeconds: 10n, onTransaction: answerTransactionApplied }
  addServices(fake)
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (error, bound) => error === null ? resolve(bound) : reject(error))
  })
  cleanUpSteps.push(() => { server.forceShutdown() })
  return Object.assign(fake, { address: `127.0.0.1:${port}` })
}

const answerTransactionApplied: KVServer['txn'] = (_call, callback) => { callback(null, { header, succeeded: true, responses: [] }) }

/** Returns an address on which no server is listening any more. */
async function findClosedAddress (): Promise<string> {
  const fake = await openFakeEtcd()
  fake.server.forceShutdown()
  return fake.address
}

function openStore (...endpoints: string[]): IKeyValueStore {
  const store = createEtcdStore({ endpoints, clock, logger: NULL_LOGGER })
  cleanUpSteps.push(() => { store.close() })
  return store
}

function createTestDeadline (): number {
  return createDeadline(clock.now(), TEST_TIMEOUT_MS)
}

describe('EtcdStore, writes', () => {
  it('reports an unknown effect and does not retry when the response is lost', async () => {
    // The store applies an operator's patch and fails before it responds. A retry could apply
    // the patch twice, and reporting it as unavailable would hide that it was applied.
    const fake = await openFakeEtcd()
    fake.onTransaction = () => { fake.server.forceShutdown() }
    const second = await openFakeEtcd()
    const written = await openStore(fake.address, second.address).transact({ conditions: [{ key: 'k', modRevision: 0 }], writes: [putWrite] }, createTestDeadline())
    assert.ok(written.err)
    assert.deepEqual([written.val.code, written.val.peer], [ErrorCode.EffectUnknown, fake.address])
    assert.deepEqual([fake.transactions.length, second.transactions.length], [1, 0])
  })

  it('reports unavailable only if it can connect to no endpoint', async () => {
    const closed = await findClosedAddress()
    const refused = await openStore(closed).transact({ conditions: [], writes: [putWrite] }, createTestDeadline())
    assert.ok(refused.err)
    assert.equal(refused.val.code, ErrorCode.Unavailable)
    const fake = await openFakeEtcd()
    const written = await openStore(closed, fake.address).transact({ conditions: [], writes: [putWrite] }, createTestDeadline())
    assert.deepEqual(written.val, { isApplied: true, revision: 42 })
  })

  it('reports refusals by the server as calls without effect', async () => {
    const fake = await openFakeEtcd()
    const store = openStore(fake.address)
    const expected = [[status.RESOURCE_EXHAUSTED, ErrorCode.Exhausted], [status.NOT_FOUND, ErrorCode.NotFound], [status.INTERNAL, ErrorCode.EffectUnknown]] as const
    for (const [code, expectedCode] of expected) {
      fake.onTransaction = (_call, callback) => { callback({ code, details: 'refused' }) }
      const written = await store.transact({ conditions: [], writes: [putWrite] }, createTestDeadline())
      assert.ok(written.err)
      assert.equal(written.val.code, expectedCode)
    }
  })

  it('measures a lease from before its request, and detects an expired lease', async () => {
    const fake = await openFakeEtcd()
    const store = openStore(fake.address)
    const before = clock.now()
    const granted = await store.acquireLease(10, createTestDeadline())
    const renewed = await store.renewLease('9', createTestDeadline())
    const after = clock.now()
    for (const lease of [granted, renewed]) {
      assert.ok(lease.ok)
      assert.equal(lease.val.leaseId, '9')
      assert.ok(lease.val.deadline >= before + 10_000 && lease.val.deadline <= after + 10_000)
    }
    fake.leaseSeconds = 0n
    const lapsed = await store.renewLease('9', createTestDeadline())
    assert.ok(lapsed.err)
    assert.equal(lapsed.val.code, ErrorCode.NotFound)
    assert.ok((await store.releaseLease('9', createTestDeadline())).ok)
  })
})

describe('EtcdStore, reads and watches', () => {
  it('lists keys by prefix from the next endpoint when the first is unreachable', async () => {
    const fake = await openFakeEtcd()
    const store = openStore(await findClosedAddress(), fake.address)
    const listed = await store.list('a/', createTestDeadline())
    assert.ok(listed.ok)
    assert.equal(listed.val.revision, 42)
    assert.deepEqual(listed.val.values.map(({ key, modRevision }) => [key, modRevision]), [['a/1', 7]])
    const [range] = fake.ranges
    assert.deepEqual([range?.key.toString(), range?.rangeEnd.toString()], ['a/', 'a0'])
  })

  it('computes a range end that includes exactly the keys with the prefix', () => {
    const bytes = fc.uint8Array({ minLength: 1, maxLength: 6 })
    fc.assert(fc.property(bytes, bytes, (prefix, key) => {
      const end = computeRangeEnd(prefix)
      const hasPrefix = Buffer.from(key).subarray(0, prefix.length).equals(prefix)
      const isBelowEnd = end.equals(Buffer.from([0])) || Buffer.compare(key, end) < 0
      assert.equal(Buffer.compare(key, prefix) >= 0 && isBelowEnd, hasPrefix)
    }), { seed: 3, numRuns: 2000 })
  })

  it('delivers changes in order and ends the watch when the stream is interrupted', async () => {
    // A node watches the configuration while the store's member is stopped. If the watch did
    // not end, the node would wait indefinitely and keep using an outdated configuration.
    const fake = await openFakeEtcd()
    const watch = openStore(fake.address).watch('a/', 43)
    const changes: StoreChange[] = []
    const hasEnded = new Promise<WatchEndReason>((resolve) => { watch.onDidEnd(resolve) })
    watch.onDidChange((change) => {
      changes.push(change)
      if (changes.length === 2) fake.server.forceShutdown()
    })
    assert.equal(await hasEnded, WatchEndReason.Disconnected)
    assert.deepEqual(changes.map(({ modRevision, value }) => [modRevision, value?.toString()]), [[43, 'v'], [44, undefined]])
    assert.equal(fake.created[0]?.createRequest?.startRevision, 43n)
  })

  it('ends the watch as compacted when the store has discarded the revisions', async () => {
    const fake = await openFakeEtcd()
    const watch = openStore(fake.address).watch('a/', 1)
    const hasEnded = new Promise<WatchEndReason>((resolve) => { watch.onDidEnd(resolve) })
    watch.onDidChange(() => { fake.watches[0]?.write(createWatchResponse({ canceled: true, compactRevision: 40n })) })
    assert.equal(await hasEnded, WatchEndReason.Compacted)
  })

  it('ends the watch as interrupted when the member is unreachable', async () => {
    const watch = openStore(await findClosedAddress()).watch('a/', 1)
    assert.equal(await new Promise<WatchEndReason>((resolve) => { watch.onDidEnd(resolve) }), WatchEndReason.Disconnected)
  })
})
