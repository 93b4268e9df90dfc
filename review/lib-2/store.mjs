/**
 * A stand-in for the platform's metadata store, as PROTOCOL.md describes it. Each machine has a listener
 * (a `door`) of its own, so that a script can delay or silence the store for some machines only.
 */
import { createServer } from 'node:http'

const PAGE_ITEMS = 500
const LEASE_CHECK_MS = 50
const FOREIGN_PREFIXES = ['op/', 'servers/']

function send (response, status, body) {
  const text = JSON.stringify(body)
  response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) })
  response.end(text)
}

/** The items, their history and the leases. */
export class Store {
  revision = 1
  items = new Map()
  history = []
  leases = new Map()
  doors = []
  isPaused = false
  #lastLease = 100
  #checkedAt = performance.now()
  #timer = setInterval(() => { this.#endLeases() }, LEASE_CHECK_MS)

  /** Writes as the operator or a worker. @returns the revision, which acknowledges it */
  put (key, value, lease = 0) {
    const bytes = Buffer.isBuffer(value) ? value : Buffer.from(JSON.stringify(value))
    const item = { Key: key, Value: bytes.toString('base64'), Rev: ++this.revision, Created: this.items.get(key)?.Created ?? this.revision, Lease: lease }
    this.items.set(key, item)
    this.history.push(item)
    this.#wake()
    return this.revision
  }

  remove (key) {
    if (!this.items.delete(key)) return this.revision
    this.history.push({ Key: key, Rev: ++this.revision, Tombstone: true })
    this.#wake()
    return this.revision
  }

  list (prefix, after = '') {
    return [...this.items.values()].filter(({ Key }) => Key.startsWith(prefix) && Key > after).sort((left, right) => left.Key < right.Key ? -1 : 1)
  }

  transact ({ Expected = [], Puts = [], Remove = [] }) {
    if ([...Puts.map(({ Key }) => Key), ...Remove].some((key) => FOREIGN_PREFIXES.some((prefix) => key.startsWith(prefix)))) return [403, {}]
    if (Expected.some(({ Key, Rev }) => (this.items.get(Key)?.Rev ?? 0) !== Rev)) return [412, { items: Expected.flatMap(({ Key }) => this.items.get(Key) ?? []) }]
    if (Puts.some(({ Lease = 0 }) => Lease !== 0 && !this.leases.has(Lease))) return [404, {}]
    for (const { Key, Value, Lease = 0 } of Puts) this.put(Key, Buffer.from(Value, 'base64'), Lease)
    for (const key of Remove) this.remove(key)
    return [200, { Rev: this.revision }]
  }

  createLease (ttlMs) {
    this.leases.set(++this.#lastLease, { ttlMs, leftMs: ttlMs })
    return this.#lastLease
  }

  endLease (id) {
    if (!this.leases.delete(id)) return false
    for (const { Key, Lease } of [...this.items.values()]) if (Lease === id) this.remove(Key)
    return true
  }

  close () {
    clearInterval(this.#timer)
    for (const door of this.doors) door.close()
  }

  /** While the store is down, leases pause. */
  #endLeases () {
    const now = performance.now()
    const passedMs = now - this.#checkedAt
    this.#checkedAt = now
    if (this.isPaused) return
    for (const [id, lease] of this.leases) {
      lease.leftMs -= passedMs
      if (lease.leftMs <= 0) this.endLease(id)
    }
  }

  #wake () {
    for (const door of this.doors) door.wake()
  }
}

/** One machine's way to the store. */
export class Door {
  isSilent = false
  delayMs = 0
  /** Changes what the machine sees of an item; used to give machines different addresses for one worker. */
  rewrite = (item) => item
  #store
  #waiting = new Set()
  #sockets = new Set()
  #server = createServer((request, response) => { this.#accept(request, response) })

  constructor (store) {
    this.#store = store
    store.doors.push(this)
    this.#server.keepAliveTimeout = 60_000
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket)
      socket.on('close', () => { this.#sockets.delete(socket) })
    })
  }

  async listen (host) {
    await new Promise((resolve) => { this.#server.listen(0, host, resolve) })
    return `${host}:${this.#server.address().port}`
  }

  wake () {
    for (const watch of [...this.#waiting]) this.#answerWatch(watch)
  }

  close () {
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  #accept (request, response) {
    const chunks = []
    request.on('data', (chunk) => { chunks.push(chunk) })
    request.on('end', () => {
      if (this.isSilent) return
      const url = new URL(request.url, 'http://store')
      setTimeout(() => { this.#handle(request.method, url, Buffer.concat(chunks).toString(), response) }, this.delayMs)
    })
  }

  #handle (method, url, body, response) {
    const store = this.#store
    const query = (name) => url.searchParams.get(name) ?? ''
    const path = url.pathname.slice('/umberspar/'.length)
    if (path === 'kv-key') {
      const item = store.items.get(query('Key'))
      return item === undefined ? send(response, 404, {}) : send(response, 200, this.rewrite(item))
    }
    if (path === 'kv-range') {
      const items = store.list(query('Prefix'), query('after'))
      return send(response, 200, { items: items.slice(0, PAGE_ITEMS).map(this.rewrite), Truncated: items.length > PAGE_ITEMS, AsOf: store.revision })
    }
    if (path === 'kv-watch') return this.#watch(response, query('Prefix'), Number(query('after')), Number(query('WaitMs')))
    if (path === 'kv-txn') return send(response, ...store.transact(JSON.parse(body)))
    if (path === 'kv-lease' && method === 'POST') {
      const ttlMs = parseMs(JSON.parse(body).Ttl_time)
      return send(response, 200, { Lease: store.createLease(ttlMs), Ttl_time: `${ttlMs}ms` })
    }
    const id = Number(path.split('/')[1])
    if (path.startsWith('kv-keep/')) {
      const lease = store.leases.get(id)
      if (lease === undefined) return send(response, 404, {})
      lease.leftMs = lease.ttlMs
      return send(response, 200, { Ttl_time: `${lease.ttlMs}ms` })
    }
    if (path.startsWith('kv-lease-end/')) return send(response, store.endLease(id) ? 200 : 404, {})
    send(response, 404, {})
  }

  #watch (response, prefix, after, waitMs) {
    const watch = { response, prefix, after, timer: setTimeout(() => { this.#answerWatch(watch, true) }, waitMs) }
    this.#waiting.add(watch)
    response.on('close', () => {
      clearTimeout(watch.timer)
      this.#waiting.delete(watch)
    })
    this.#answerWatch(watch)
  }

  #answerWatch (watch, isDue = false) {
    const events = this.#store.history.filter(({ Key, Rev }) => Rev > watch.after && Key.startsWith(watch.prefix))
    if (this.isSilent || (events.length === 0 && !isDue)) return
    clearTimeout(watch.timer)
    this.#waiting.delete(watch)
    const AsOf = this.#store.revision
    setTimeout(() => { if (!this.isSilent) send(watch.response, 200, { events: events.map(this.rewrite), AsOf }) }, this.delayMs)
  }
}

function parseMs (text) {
  const [, digits, unit] = /^([\d.]+)(ms|s)$/.exec(text)
  return Number(digits) * (unit === 's' ? 1_000 : 1)
}
