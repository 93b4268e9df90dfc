/** A stand-in for a worker, as PROTOCOL.md describes it. A script may replace how it answers. */
import { createServer } from 'node:http'

const HEARTBEAT_MS = 1_500
const ID = 'x-umberspar-request-id'

/** One incarnation of a worker. */
export class Worker {
  /** Called for each request that begins to run. */
  onRun = () => {}
  /** Writes the answer of a request that has run; by default the whole body at once. */
  answer = (request, response, fields) => {
    const body = `answer to ${request.headers[ID]}\n`
    response.writeHead(200, { ...fields, 'Content-Length': Buffer.byteLength(body) })
    response.end(body)
  }

  running = 0
  state = 'ready'
  #sequence = 0
  #sockets = new Set()
  #queue = []
  #timer
  #server = createServer((request, response) => { this.#accept(request, response) })

  constructor (store, { id, service, zone, slots = 4, queue = 12, workMs = 50, idleMs = 30_000 }) {
    Object.assign(this, { store, id, service, zone, slots, queue, workMs })
    this.#server.keepAliveTimeout = idleMs
    this.#server.on('connection', (socket) => {
      socket.setNoDelay(true)
      this.#sockets.add(socket)
      socket.on('close', () => { this.#sockets.delete(socket) })
    })
  }

  async start (host) {
    await new Promise((resolve) => { this.#server.listen(0, host, resolve) })
    this.address = `${host}:${this.#server.address().port}`
    this.register()
    this.#timer = setInterval(() => { this.register() }, HEARTBEAT_MS)
  }

  /** Writes its entry. */
  register () {
    const { id, service, address, zone, slots, state } = this
    this.store.put(`servers/${id}`, { Service: service, Addr: address, Zone: zone, Version: 'v1', Slots: slots, State: state, ColdLeft: '0ms', Seq: ++this.#sequence })
  }

  /** Loses power: it says nothing more, and its connections stay as they are. Its entry goes after three heartbeats. */
  fallSilent () {
    clearInterval(this.#timer)
    this.isDark = true
    for (const socket of this.#sockets) socket.pause()
    setTimeout(() => { this.store.remove(`servers/${this.id}`) }, 3 * HEARTBEAT_MS).unref()
  }

  close () {
    clearInterval(this.#timer)
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  #accept (request, response) {
    if (this.isDark) return
    const { headers } = request
    if (request.url === '/healthz') {
      response.writeHead(this.state === 'ready' ? 200 : 503, { 'X-Umberspar-Instance-Id': this.id, 'Content-Length': 0 })
      return response.end()
    }
    const expected = headers['x-umberspar-expect-instance']
    if (headers[ID] === undefined) return this.#reject(request, response, 400)
    if (expected !== undefined && expected !== this.id) return this.#reject(request, response, 421)
    const deadline = performance.now() + Number(headers['x-umberspar-deadline-ms'] ?? 60_000)
    const chunks = []
    request.on('data', (chunk) => { chunks.push(chunk) })
    request.on('end', () => {
      if (this.isDark) return
      if (this.running >= this.slots && this.#queue.length >= this.queue) return this.#reject(request, response, 503)
      this.#queue.push({ request, response, deadline, body: Buffer.concat(chunks) })
      this.#startNext()
    })
  }

  #reject (request, response, status) {
    request.resume()
    response.writeHead(status, { ...this.listFields(request), 'X-Umberspar-Not-Run': '1', 'Content-Length': 0 })
    response.end()
  }

  listFields ({ headers }) {
    return { [ID]: headers[ID] ?? '', 'X-Umberspar-Server-Load': `${this.running},${this.#queue.length},${this.slots}`, ...this.state === 'draining' ? { Connection: 'close' } : {} }
  }

  #startNext () {
    while (this.running < this.slots && this.#queue.length > 0) {
      const job = this.#queue.shift()
      if (job.response.destroyed) continue
      if (performance.now() >= job.deadline) this.#reject(job.request, job.response, 503)
      else this.#run(job)
    }
  }

  #run ({ request, response, deadline, body }) {
    this.running++
    this.onRun(request, body)
    let isEnded = false
    const end = () => {
      if (isEnded) return
      isEnded = true
      clearTimeout(timer)
      this.running--
      this.#startNext()
    }
    const timer = setTimeout(() => {
      if (this.isDark || response.destroyed) return end()
      const fields = { ...this.listFields(request), 'X-Umberspar-Server-Seal': `seal.${this.id}.${request.headers[ID]}` }
      if (performance.now() >= deadline) {
        response.writeHead(504, { ...fields, 'Content-Length': 0 })
        response.end()
      } else this.answer(request, response, fields)
      response.once('close', end)
      if (response.writableFinished) end()
    }, Math.min(this.workMs, Math.max(0, deadline - performance.now())))
    response.once('close', end)
  }
}
