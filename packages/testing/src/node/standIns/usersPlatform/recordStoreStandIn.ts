/**
 * The users' store over HTTP, with faults to inject. Several listeners share one state, one
 * for each entry VM, so that some VMs can be refused while others are served.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { IClosable } from '@umberspar/base/common/closing'
import { RecordStoreState, type StoreCopy, type StoredItem, TransactionEnd } from './recordStoreState.js'
import { resetSocket } from '../../resetSocket.js'

/** The fault of a listener. */
export enum StoreFault {
  None = 'none',
  /** Responds with 503 without executing the call. */
  Busy = 'busy',
  /** Responds with 429 without executing the call. */
  TooMany = 'too-many',
  /** Resets the connection without executing the call. */
  Reset = 'reset',
  /** Never responds and does not execute the call. */
  Silent = 'silent',
  /** Executes the call and never responds. */
  AnswerLost = 'answer-lost'
}

interface Waiting {
  readonly response: ServerResponse
  readonly prefix: string
  readonly after: number
  readonly timer: NodeJS.Timeout
}

const MOST_PAGE_ITEMS = 500
const LEASE_CHECK_MS = 100
/** Keys of the operator and of the workers; all others are the entry VMs' own. */
const WRITER_PREFIXES = ['op/', 'servers/']
const EMPTY = JSON.stringify({})

type Handler = (listener: RecordStoreListener, request: IncomingMessage, url: URL, body: string, response: ServerResponse) => void

function toWire (item: StoredItem): object {
  const { key, value, revision, created, lease, isRemoved } = item
  if (isRemoved) return { Key: key, Rev: revision, Tombstone: true }
  return { Key: key, Value: Buffer.from(value).toString('base64'), Rev: revision, Created: created, Lease: lease }
}

function answer (response: ServerResponse, status: number, body: string): void {
  response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) })
  response.end(body)
}

/** One listener of the store. */
export class RecordStoreListener implements IClosable {
  private readonly server: Server
  private readonly sockets = new Set<Socket>()
  readonly waiting = new Set<Waiting>()
  fault = StoreFault.None
  /** Calls by path, for tests that bound them. */
  readonly calls = new Map<string, number>()

  /** @param store what it serves */
  constructor (readonly store: RecordStoreStandIn) {
    this.server = createServer((request, response) => { this.handle(request, response) })
    this.server.on('connection', (socket) => {
      this.sockets.add(socket)
      socket.on('close', () => { this.sockets.delete(socket) })
    })
  }

  /** @returns `127.0.0.1:port` once it listens */
  async listen (): Promise<string> {
    await new Promise<void>((resolve) => { this.server.listen(0, '127.0.0.1', resolve) })
    const address = this.server.address()
    return `127.0.0.1:${typeof address === 'object' ? address?.port : ''}`
  }

  /** @param fault how calls are treated from now on; watches that wait are cut unless the store falls silent */
  setFault (fault: StoreFault): void {
    this.fault = fault
    if (fault !== StoreFault.None && fault !== StoreFault.Silent) this.closeWatches()
  }

  /** Resets the connections of pending watches. */
  closeWatches (): void {
    for (const { response, timer } of this.waiting) {
      clearTimeout(timer)
      response.destroy()
    }
    this.waiting.clear()
  }

  /** Resets all connections. */
  closeConnections (): void {
    this.closeWatches()
    for (const socket of this.sockets) socket.destroy()
  }

  close (): void {
    this.closeConnections()
    this.server.close()
  }

  private handle (request: IncomingMessage, response: ServerResponse): void {
    const chunks: Buffer[] = []
    request.on('data', (chunk: Buffer) => { chunks.push(chunk) })
    request.on('end', () => {
      const url = new URL(request.url ?? '/', 'http://store')
      this.calls.set(url.pathname, (this.calls.get(url.pathname) ?? 0) + 1)
      if (this.store.sendsEra) response.setHeader('Store-Era', this.store.state.era)
      FAULT_HANDLERS[this.fault](this, request, url, Buffer.concat(chunks).toString(), response)
    })
  }
}

const serve: Handler = (listener, request, url, body, response) => {
  const path = url.pathname.replace(/\/\d+$/, '/{}')
  const handler = CALL_HANDLERS[`${request.method} ${path}`]
  if (handler === undefined) answer(response, 404, EMPTY)
  else handler(listener, request, url, body, response)
}

const FAULT_HANDLERS: Readonly<Record<StoreFault, Handler>> = {
  [StoreFault.None]: serve,
  [StoreFault.Busy]: (_listener, _request, _url, _body, response) => { answer(response, 503, EMPTY) },
  [StoreFault.TooMany]: (_listener, _request, _url, _body, response) => { answer(response, 429, EMPTY) },
  [StoreFault.Reset]: (_listener, request) => { resetSocket(request.socket) },
  [StoreFault.Silent]: () => {},
  [StoreFault.AnswerLost]: (listener, request, url, body, response) => {
    response.end = () => response
    serve(listener, request, url, body, response)
  }
}

const CALL_HANDLERS: Readonly<Record<string, Handler>> = {
  'GET /umberspar/kv-range': ({ store }, _request, url, _body, response) => {
    const isCheap = url.searchParams.get('Serializable') === '1'
    const { items, revision } = store.listItems(url.searchParams.get('Prefix') ?? '', url.searchParams.get('after') ?? '', isCheap)
    const page = items.slice(0, MOST_PAGE_ITEMS)
    answer(response, 200, JSON.stringify({ items: page.map(toWire), Truncated: items.length > page.length, AsOf: revision }))
  },
  'GET /umberspar/kv-watch': (listener, _request, url, _body, response) => {
    const prefix = url.searchParams.get('Prefix') ?? ''
    const after = Number(url.searchParams.get('after'))
    if (listener.store.answerWatch(response, prefix, after)) return
    const waiting = { response, prefix, after, timer: setTimeout(() => { listener.store.endWatch(listener, waiting) }, Number(url.searchParams.get('WaitMs'))) }
    listener.waiting.add(waiting)
    response.on('close', () => {
      clearTimeout(waiting.timer)
      listener.waiting.delete(waiting)
    })
  },
  'POST /umberspar/kv-txn': ({ store }, _request, _url, body, response) => {
    const { Expected, Puts, Remove } = JSON.parse(body) as { Expected: Array<{ Key: string, Rev: number }>, Puts: Array<{ Key: string, Value: string, Lease?: number }>, Remove: string[] }
    const end = store.state.transact({
      expected: Expected.map(({ Key, Rev }) => ({ key: Key, revision: Rev })),
      puts: Puts.map(({ Key, Value, Lease }) => ({ key: Key, value: Buffer.from(Value, 'base64').toString(), lease: Lease ?? 0 })),
      removals: Remove
    })
    answer(response, STATUS_BY_END[end], JSON.stringify({ Rev: store.state.revision }))
    store.answerWatches()
  },
  'POST /umberspar/kv-lease': ({ store }, _request, _url, body, response) => {
    const ttlMs = Number.parseInt((JSON.parse(body) as { Ttl_time: string }).Ttl_time, 10)
    answer(response, 200, JSON.stringify({ Lease: store.state.createLease(ttlMs, performance.now()), Ttl_time: `${ttlMs}ms` }))
  },
  'POST /umberspar/kv-keep/{}': ({ store }, _request, url, _body, response) => {
    const ttlMs = store.state.renewLease(Number(url.pathname.split('/').at(-1)), performance.now())
    answer(response, ttlMs === undefined ? 404 : 200, ttlMs === undefined ? EMPTY : JSON.stringify({ Ttl_time: `${ttlMs}ms` }))
  },
  'DELETE /umberspar/kv-lease-end/{}': ({ store }, _request, url, _body, response) => {
    const hasEnded = store.state.endLease(Number(url.pathname.split('/').at(-1)))
    answer(response, hasEnded ? 200 : 404, EMPTY)
    store.answerWatches()
  }
}

const STATUS_BY_END: Readonly<Record<TransactionEnd, number>> = {
  [TransactionEnd.Done]: 200,
  [TransactionEnd.ConditionFailed]: 412,
  [TransactionEnd.NoLease]: 404
}

/** The store and its listeners. */
export class RecordStoreStandIn implements IClosable {
  readonly state = new RecordStoreState()
  /** The staleness of serializable reads, in milliseconds. */
  staleReadMs = 0
  /** Whether all answers name the store's era. */
  sendsEra = true
  private readonly listeners: RecordStoreListener[] = []
  private readonly timer = setInterval(() => {
    this.state.endDueLeases(performance.now())
    this.answerWatches()
  }, LEASE_CHECK_MS)

  /** @returns the items that a read returns, and their revision */
  listItems (prefix: string, after: string, isCheap: boolean): { readonly items: StoredItem[], readonly revision: number } {
    if (isCheap && this.staleReadMs > 0) return this.state.listAsOf(prefix, after, performance.now() - this.staleReadMs)
    return { items: this.state.list(prefix, after), revision: this.state.revision }
  }

  /** Adds a listener. */
  addListener (): RecordStoreListener {
    const listener = new RecordStoreListener(this)
    this.listeners.push(listener)
    return listener
  }

  /** Writes as the operator or a worker does. */
  put (key: string, value: unknown): void {
    this.putText(key, JSON.stringify(value))
  }

  /** Writes any text, as a foreign writer might. */
  putText (key: string, text: string): void {
    this.state.put(key, text)
    this.answerWatches()
  }

  /** Removes as the operator does, or as a worker that ends. */
  remove (key: string): void {
    this.state.remove(key)
    this.answerWatches()
  }

  /** Comes back from an older copy after a moment in which all connections broke. */
  resetTo (copy: StoreCopy): void {
    for (const listener of this.listeners) listener.closeConnections()
    this.state.resetTo(copy, performance.now())
  }

  /**
   * Writes the registrations of workers once more as they are, so that the revision rises by changes that nobody
   * has to write again after the store has gone back.
   * @param count how many of them
   */
  writeUnchanged (count: number): void {
    for (const { key, value } of this.state.list('servers/').slice(0, count)) this.state.put(key, value)
    this.answerWatches()
  }

  /**
   * Writes again what the operator and the workers had written or removed before the store went back,
   * unless they have written it since.
   * @param lost the state before
   * @param copy the state that the store came back with
   */
  writeAgain (lost: StoreCopy, copy: StoreCopy): void {
    const present = new Map([...this.state.list(''), ...this.state.listRemovalsAfter(copy.revision)].map((item) => [item.key, item]))
    const isOwned = (key: string): boolean => WRITER_PREFIXES.some((prefix) => key.startsWith(prefix))
    const isUnchanged = (key: string): boolean => (present.get(key)?.revision ?? 0) <= copy.revision
    for (const [key, { value }] of lost.items) {
      if (isOwned(key) && isUnchanged(key) && this.state.get(key)?.value !== value) this.state.put(key, value)
    }
    for (const key of copy.items.keys()) {
      if (isOwned(key) && isUnchanged(key) && !lost.items.has(key)) this.state.remove(key)
    }
    this.answerWatches()
  }

  /** Responds to pending watches that have new events. */
  answerWatches (): void {
    for (const listener of this.listeners) {
      if (listener.fault !== StoreFault.None) continue
      for (const waiting of [...listener.waiting]) {
        if (!this.answerWatch(waiting.response, waiting.prefix, waiting.after)) continue
        clearTimeout(waiting.timer)
        listener.waiting.delete(waiting)
      }
    }
  }

  /** @returns whether there were events to respond with */
  answerWatch (response: ServerResponse, prefix: string, after: number): boolean {
    const changes = this.state.listChanges(prefix, after)
    if (changes === undefined) answer(response, 410, EMPTY)
    else if (changes.length === 0) return false
    else answer(response, 200, JSON.stringify({ events: changes.map(toWire), AsOf: this.state.revision }))
    return true
  }

  /** Responds to a watch that timed out without events. */
  endWatch (listener: RecordStoreListener, waiting: Waiting): void {
    listener.waiting.delete(waiting)
    if (listener.fault === StoreFault.None) answer(waiting.response, 200, JSON.stringify({ events: [], AsOf: this.state.revision }))
  }

  close (): void {
    clearInterval(this.timer)
    for (const listener of this.listeners) listener.close()
  }
}
