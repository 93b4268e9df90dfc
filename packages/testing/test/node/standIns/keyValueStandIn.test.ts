import assert from 'node:assert/strict'
import { once } from 'node:events'
import { afterEach, beforeEach, describe, test } from 'node:test'
import type { ClientDuplexStream, ServiceError } from '@grpc/grpc-js'
import { credentials, status } from '@grpc/grpc-js'
import {
  Compare_CompareResult as CompareResult, Compare_CompareTarget as CompareTarget, Event_EventType as EventType,
  KVClient, LeaseClient, WatchClient
} from '@umberspar/adapters/node/generated/etcd/rpc'
import type { Compare, LeaseGrantResponse, RangeResponse, RequestOp, TxnRequest, TxnResponse, WatchRequest, WatchResponse } from '@umberspar/adapters/node/generated/etcd/rpc'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { KeyValueStandIn } from '../../../src/node/standIns/keyValueStandIn.js'

const NOTHING = Buffer.alloc(0)

function put (key: string, value: string, lease = 0n): RequestOp {
  return { requestPut: { key: Buffer.from(key), value: Buffer.from(value), lease, prevKv: false } }
}

function isAt (key: string, modRevision: bigint): Compare {
  return { key: Buffer.from(key), target: CompareTarget.MOD, result: CompareResult.EQUAL, modRevision }
}

function call<Response> (send: (callback: (error: ServiceError | null, response: Response) => void) => unknown): Promise<Response> {
  return new Promise((resolve, reject) => { send((error, response) => error === null ? resolve(response) : reject(error)) })
}

/** Reads a watch stream message by message. */
class WatchReader {
  private readonly received: Array<WatchResponse | ServiceError> = []
  private wake = (): void => {}

  constructor (private readonly stream: ClientDuplexStream<WatchRequest, WatchResponse>) {
    stream.on('data', (response: WatchResponse) => this.add(response))
    stream.on('error', (error: ServiceError) => this.add(error))
  }

  watch (key: string, startRevision: bigint): void {
    const createRequest = { key: Buffer.from(key), rangeEnd: Buffer.from([0]), startRevision, progressNotify: false, prevKv: false, watchId: 0n }
    this.stream.write({ createRequest })
  }

  async take (): Promise<WatchResponse> {
    const taken = await this.takeAny()
    if (taken instanceof Error) throw taken
    return taken
  }

  async takeAny (): Promise<WatchResponse | ServiceError> {
    while (this.received.length === 0) await new Promise<void>((resolve) => { this.wake = resolve })
    return this.received.shift() as WatchResponse | ServiceError
  }

  close (): void {
    this.stream.cancel()
  }

  private add (one: WatchResponse | ServiceError): void {
    this.received.push(one)
    this.wake()
  }
}

function listValues (response: WatchResponse): string[] {
  return response.events.map((event) => event.type === EventType.DELETE ? '(deleted)' : String(event.kv?.value))
}

describe('key-value stand-in', () => {
  let clock: ManualClock
  let store: KeyValueStandIn
  let keys: KVClient
  let leases: LeaseClient
  let watches: WatchClient

  beforeEach(async () => {
    clock = new ManualClock()
    store = new KeyValueStandIn({ clock, readsPerSecond: 20, writesPerSecond: 10 })
    const address = await store.start()
    keys = new KVClient(address, credentials.createInsecure())
    leases = new LeaseClient(address, credentials.createInsecure())
    watches = new WatchClient(address, credentials.createInsecure())
  })

  afterEach(() => {
    for (const client of [keys, leases, watches]) client.close()
    store.close()
  })

  const transact = (success: RequestOp[], compare: Compare[] = []): Promise<TxnResponse> => {
    const request: TxnRequest = { compare, success, failure: [] }
    return call<TxnResponse>((callback) => keys.txn(request, callback))
  }
  const read = (key: string, revision = 0n): Promise<RangeResponse> => call<RangeResponse>((callback) => {
    return keys.range({ key: Buffer.from(key), rangeEnd: NOTHING, limit: 0n, revision, serializable: false, keysOnly: false, countOnly: false }, callback)
  })
  const readValue = async (key: string, revision = 0n): Promise<string | undefined> => (await read(key, revision)).kvs[0]?.value.toString()
  const openLease = (seconds: bigint): Promise<LeaseGrantResponse> => call<LeaseGrantResponse>((callback) => leases.leaseGrant({ TTL: seconds, ID: 0n }, callback))

  test('of two writers that expect the same revision exactly one succeeds', async () => {
    await transact([put('head', 'one')])
    const { kvs } = await read('head')
    const seen = kvs[0]?.modRevision ?? 0n
    const answers = await Promise.all(['two', 'three'].map((value) => transact([put('head', value)], [isAt('head', seen)])))
    assert.deepEqual(answers.map((answer) => answer.succeeded).sort(), [false, true])
    assert.equal(await readValue('head'), answers[0]?.succeeded === true ? 'two' : 'three')
    assert.equal(await readValue('head', seen), 'one')
    const absent = await transact([put('head', 'four')], [isAt('head', 0n)])
    assert.equal(absent.succeeded, false)
    assert.equal(absent.header?.revision, seen + 1n)
  })

  test('a transaction with an oversized value or a key twice has no effect at all', async () => {
    const oversized = 'x'.repeat(1_048_577)
    await assert.rejects(transact([put('a', '1'), put('b', oversized)]), { code: status.INVALID_ARGUMENT })
    await assert.rejects(transact([put('a', '1'), put('a', '2')]), { code: status.INVALID_ARGUMENT })
    await assert.rejects(transact([put('a', '1', 99n)]), { code: status.NOT_FOUND })
    await assert.rejects(read('a', 9n), { code: status.OUT_OF_RANGE })
    assert.equal(await readValue('a'), undefined)
  })

  test('a watch that was cut goes on from its next revision without loss or repetition', async () => {
    const first = new WatchReader(watches.watch())
    first.watch('config/', 0n)
    assert.equal((await first.take()).created, true)
    await transact([put('config/a', '1'), put('config/b', '1')])
    const seen = await first.take()
    assert.deepEqual(listValues(seen), ['1', '1'])
    assert.equal(store.getCallCounts().waitingWatches, 1)
    store.closeWatches()
    assert.equal((await first.takeAny() as ServiceError).code, status.UNAVAILABLE)
    await transact([put('config/a', '2')])
    const second = new WatchReader(watches.watch())
    second.watch('config/', (seen.header?.revision ?? 0n) + 1n)
    assert.equal((await second.take()).created, true)
    await transact([put('config/a', '3')])
    assert.deepEqual([...listValues(await second.take()), ...listValues(await second.take())], ['2', '3'])
    second.close()
  })

  // A node that was cut off for long asks for changes the store has forgotten.
  // If it got silence in place of the answer, it would keep an old configuration.
  test('a watch from a compacted revision is told the revision to read anew from', async () => {
    for (const value of ['1', '2', '3']) await transact([put('config/a', value)])
    store.deleteHistory(4n)
    const reader = new WatchReader(watches.watch())
    reader.watch('config/', 3n)
    assert.equal((await reader.take()).created, true)
    const ended = await reader.take()
    assert.equal(ended.canceled, true)
    assert.equal(ended.compactRevision, 4n)
    await assert.rejects(read('config/a', 3n), { code: status.OUT_OF_RANGE })
    reader.watch('config/', 4n)
    assert.equal((await reader.take()).created, true)
    assert.deepEqual(listValues(await reader.take()), ['3'])
    reader.close()
  })

  // A plan holder is paused beyond its lease. Its key must be gone for others,
  // and what it writes under the lease on waking must be refused.
  test('a lease that is not renewed lapses with its keys at its deadline', async () => {
    const { ID } = await openLease(5n)
    await transact([put('holder', 'entry-1', ID)])
    clock.stepBy(4000)
    const renewals = leases.leaseKeepAlive()
    const answers: bigint[] = []
    const renew = (): Promise<void> => new Promise((resolve) => {
      renewals.once('data', ({ TTL }: { TTL: bigint }) => { answers.push(TTL); resolve() })
      renewals.write({ ID })
    })
    await renew()
    clock.stepBy(4999)
    assert.equal(await readValue('holder'), 'entry-1')
    clock.stepBy(1)
    assert.equal(await readValue('holder'), undefined)
    await renew()
    assert.deepEqual(answers, [5n, 0n])
    await assert.rejects(transact([put('holder', 'entry-1', ID)]), { code: status.NOT_FOUND })
    const isOver = once(renewals, 'end')
    renewals.end()
    await isOver
  })

  // An operator's patch is written, and the connection fails before the answer.
  // The client sees an error although the write is in force.
  test('a write whose answer is lost has taken effect, one that was dropped has not', async () => {
    store.setFault({ loseNextAnswers: 1 })
    await assert.rejects(transact([put('head', 'one')]), { code: status.UNAVAILABLE })
    assert.equal(await readValue('head'), 'one')
    store.setFault({ dropNextRequests: 1 })
    await assert.rejects(transact([put('head', 'two')]), { code: status.UNAVAILABLE })
    assert.equal(await readValue('head'), 'one')
  })

  test('calls above the rate are refused until the next tokens, and all are counted', async () => {
    const calls = Array.from({ length: 12 }, (_, index) => transact([put(`k${index}`, 'v')]))
    const settled = await Promise.allSettled(calls)
    const refused = settled.filter((one) => one.status === 'rejected')
    assert.deepEqual(refused.map((one) => (one.reason as ServiceError).code), [status.RESOURCE_EXHAUSTED, status.RESOURCE_EXHAUSTED])
    assert.equal(store.getCallCounts().writes, 12)
    assert.equal(store.getCallCounts().overRate, 2)
    clock.stepBy(100)
    await transact([put('later', 'v')])
  })

  test('an outage refuses calls and breaks watches; a restore goes back to the old revision', async () => {
    await transact([put('head', 'old')])
    const saved = store.saveState()
    await transact([put('head', 'new')])
    const reader = new WatchReader(watches.watch())
    reader.watch('head', 0n)
    await reader.take()
    store.setFault({ isDown: true })
    assert.equal((await reader.takeAny() as ServiceError).code, status.UNAVAILABLE)
    await assert.rejects(read('head'), { code: status.UNAVAILABLE })
    store.clearFaults()
    assert.equal(await readValue('head'), 'new')
    store.loadState(saved)
    assert.equal(await readValue('head'), 'old')
    assert.equal((await read('head')).header?.revision, saved.keys.revision)
  })
})
