/**
 * A worker that answers some long requests before it has read their bodies, keeps the connection and reads on later,
 * as PROTOCOL.md and RULES.md allow. It reads its connections by itself, as a server of Node.js would read at once.
 */
import { createServer } from 'node:net'

const HEAD_END = '\r\n\r\n'
const HEARTBEAT_MS = 1_500

/** One worker. */
export class EarlyWorker {
  /** Called with the id of each request whose head has been read. */
  onArrive = () => {}
  /** Decides whether a request is rejected before its body is read. */
  isEarly = () => false
  #sockets = new Set()
  #sequence = 0
  #server = createServer({ noDelay: true }, (socket) => { this.#accept(socket) })

  constructor (store, { id, service, zone, slots = 6, workMs, readOnAfterMs, minLongBytes }) {
    Object.assign(this, { store, id, service, zone, slots, workMs, readOnAfterMs, minLongBytes })
  }

  async start (host) {
    await new Promise((resolve) => { this.#server.listen(0, host, resolve) })
    const address = `${host}:${this.#server.address().port}`
    const register = () => this.store.put(`servers/${this.id}`, { Service: this.service, Addr: address, Zone: this.zone, Version: 'v1', Slots: this.slots, State: 'ready', ColdLeft: '0ms', Seq: ++this.#sequence })
    register()
    this.timer = setInterval(register, HEARTBEAT_MS)
  }

  close () {
    clearInterval(this.timer)
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  #accept (socket) {
    this.#sockets.add(socket)
    const connection = { socket, bytes: Buffer.alloc(0), job: undefined, isWaiting: false }
    socket.on('error', () => {})
    socket.on('close', () => { this.#sockets.delete(socket) })
    socket.on('data', (chunk) => {
      connection.bytes = Buffer.concat([connection.bytes, chunk])
      this.#read(connection)
    })
  }

  #read (connection) {
    while (!connection.isWaiting) {
      if (connection.job === undefined && !this.#readHead(connection)) return
      const { job } = connection
      if (connection.isWaiting || connection.bytes.length < job.length) return
      connection.bytes = connection.bytes.subarray(job.length)
      connection.job = undefined
      if (!job.isAnswered) this.#run(connection, job)
    }
  }

  #readHead (connection) {
    const end = connection.bytes.indexOf(HEAD_END)
    if (end < 0) return false
    const head = connection.bytes.subarray(0, end).toString('latin1')
    connection.bytes = connection.bytes.subarray(end + HEAD_END.length)
    const id = /^x-umberspar-request-id: (\S+)$/im.exec(head)?.[1]
    const job = { id, length: Number(/^content-length: (\d+)$/im.exec(head)?.[1] ?? 0), isAnswered: false }
    connection.job = job
    this.onArrive(id)
    if (job.length >= this.minLongBytes && this.isEarly()) {
      job.isAnswered = true
      this.#answer(connection, job, '503 Service Unavailable', 'X-Umberspar-Not-Run: 1\r\n', '')
      this.#pause(connection, this.readOnAfterMs)
    }
    return true
  }

  #run (connection, job) {
    this.#pause(connection, this.workMs, () => {
      this.#answer(connection, job, '200 OK', `X-Umberspar-Server-Seal: seal.${this.id}.${job.id}\r\n`, `stored ${job.id}\n`)
    })
  }

  #pause (connection, ms, callback = () => {}) {
    connection.isWaiting = true
    connection.socket.pause()
    setTimeout(() => {
      callback()
      connection.isWaiting = false
      connection.socket.resume()
      this.#read(connection)
    }, ms)
  }

  #answer ({ socket }, { id }, status, fields, body) {
    if (socket.writable) socket.write(`HTTP/1.1 ${status}\r\nX-Umberspar-Request-Id: ${id}\r\n${fields}Content-Length: ${body.length}\r\n\r\n${body}`)
  }
}
