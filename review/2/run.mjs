/**
 * A machine gets SIGTERM while clients pipeline reads to it. On each connection a later request has been answered by its
 * worker before the SIGTERM, while the first one is still at its worker. What is sent behind these, is read and is
 * passed on to a worker must be answered before the connection ends.
 */
import { connect } from 'node:net'
import { Client, createRandom, isTroubled, now, Platform, sleep } from '../lib/harness.mjs'

const FOLDER = new URL('.', import.meta.url).pathname
const ZONES = { 'kigali-a': 'kigali', 'musanze-a': 'musanze', 'huye-a': 'huye' }
const HOST = 'hulo84.example'
const SERVICE = 'archive-api'
/** From the site file: how long a client waits for an archive read, and how long the operator wants it kept waiting. */
const DEADLINE_MS = 10_000
const TIMEOUT_MS = 3_000
const GRACE_MS = 6_000
const EXCUSED_UNTIL_MS = 3_000
const LAST_SIXTH_MS = GRACE_MS * 5 / 6
/** The site's reads take 1,920 ms on average, and 0.3 of that for an object that the worker has at hand. */
const SLOW_MS = 2_200
const QUICK_MS = 580
const WORKERS = 12
const STOPS = 2
const CLIENTS = 8

const random = createRandom(67)
const platform = new Platform(FOLDER, ZONES)
const { record } = platform
/** What the workers saw, by request. */
const runs = new Map()
const write = record.write.bind(record)
record.write = (what, details = {}) => {
  if (what === 'run') runs.set(details.id, { worker: details.worker })
  if (what === 'run-end') Object.assign(runs.get(details.id), { how: details.how, endedAt: now() })
  write(what, details)
}

let lastRequest = 0

/** One connection on which requests are sent before the ones before them are answered. */
class Pipeline {
  constructor (address) {
    this.address = address
    this.requests = []
    this.received = Buffer.alloc(0)
    const [host, port] = address.split(':')
    this.socket = connect({ host, port: Number(port), noDelay: true })
    this.isOpen = new Promise((resolve) => {
      this.socket.on('connect', () => { resolve(true) })
      this.socket.on('error', () => { resolve(false) })
    })
    this.isClosed = new Promise((resolve) => { this.socket.on('close', resolve) })
    this.socket.on('data', (chunk) => { this.read(chunk) })
    this.isClosed.then(() => {
      for (const request of this.requests) {
        if (request.endedAt !== undefined) continue
        Object.assign(request, { endedAt: now(), end: 'connection closed without an answer' })
        record.write('unanswered', { id: request.id, name: request.name, tookMs: Math.round(request.endedAt - request.sentAt) })
      }
    })
  }

  send (name, path) {
    // A client sends nothing more on a connection whose last answer said that it will be closed.
    if (this.socket.destroyed || this.isEnding) return
    const id = (0x5a41d07b00000 + ++lastRequest).toString(16)
    this.requests.push({ id, name, sentAt: now(), address: this.address })
    record.write('sent', { id, name, to: this.address, path })
    this.socket.write(`GET ${path} HTTP/1.1\r\nHost: ${HOST}\r\nX-Umberspar-Request-Id: ${id}\r\nCookie: X-Umberspar-Affinity-Key=${Math.floor(random() * 24)}\r\nX-Umberspar-Deadline-Ms: ${DEADLINE_MS}\r\n\r\n`)
  }

  read (chunk) {
    this.received = Buffer.concat([this.received, chunk])
    for (;;) {
      const end = this.received.indexOf('\r\n\r\n')
      if (end < 0) return
      const head = this.received.subarray(0, end).toString('latin1')
      const length = Number(/^content-length: *(\d+)/im.exec(head)?.[1] ?? 0)
      if (this.received.length < end + 4 + length) return
      this.received = this.received.subarray(end + 4 + length)
      this.isEnding ||= /^connection: *close/im.test(head)
      const request = this.requests.find(({ endedAt }) => endedAt === undefined)
      if (request === undefined) return record.write('foreign answer', { head: JSON.stringify(head) })
      Object.assign(request, { endedAt: now(), end: 'answered', status: Number(head.split(' ')[1]) })
      record.write('answered', { id: request.id, name: request.name, status: request.status, tookMs: Math.round(request.endedAt - request.sentAt) })
    }
  }
}

async function main () {
  await platform.start()
  const zones = Object.keys(ZONES)
  for (let index = 0; index < WORKERS; index++) {
    await platform.addWorker({ service: SERVICE, zone: zones[index % zones.length], slots: 3, getWorkMs: (head) => (head.includes('/slow') ? SLOW_MS : QUICK_MS) })
  }
  platform.putConfiguration([{ Host: HOST, Paths: [{ Name: 'archive-read', Prefix: '/leny950/', Kind: 'idempotent', Timeout: `${TIMEOUT_MS}ms`, Goal: '1200ms', Priority: 2, Service: SERVICE, Attempts: 2, Sticky: true, HomeRegions: [] }] }], [SERVICE])
  for (const zone of zones) platform.addMachine(zone)
  for (const machine of platform.machines) machine.start()
  if (!await platform.waitUntilReady()) return 2
  await sleep(2_000)

  const judged = []
  for (const machine of platform.machines.slice(0, STOPS)) {
    // Clients that keep the directory's answer for three times its `Ttl`; those that picked this machine are followed.
    const clients = Array.from({ length: CLIENTS }, () => new Client(platform, machine.zone, HOST, random, 3))
    for (const client of clients) await client.resolve()
    const pipelines = clients.filter((client) => client.addresses.includes(machine.listen.Front)).map(() => new Pipeline(machine.listen.Front))
    await Promise.all(pipelines.map(({ isOpen }) => isOpen))
    const stopAt = now() + 1_200
    const sendAt = async (name, path, ms) => {
      await sleep(stopAt + ms - now())
      for (const pipeline of pipelines) pipeline.send(name, path)
    }
    const sends = [sendAt('first', '/leny950/slow', -1_100), sendAt('second', '/leny950/quick', -800), sendAt('third', '/leny950/quick', 300), sendAt('fourth', '/leny950/quick', 2_900)]
    await sleep(stopAt - now())
    const stoppedAt = isTroubled ? machine.stop() : now()
    await Promise.all(sends)
    await Promise.race([Promise.all(pipelines.map(({ isClosed }) => isClosed)), sleep(GRACE_MS + 1_000)])
    for (const { requests, socket } of pipelines) {
      for (const request of requests) judged.push({ ...request, stoppedAt, machine })
      socket.destroy()
    }
    await sleep(4_000)
  }
  return judge(judged)
}

function judge (judged) {
  let lost = 0
  let answered = 0
  for (const { id, name, machine, stoppedAt, sentAt, endedAt, status, end } of judged) {
    const run = runs.get(id)
    if (end === 'answered') {
      if (status === 200) answered++
      continue
    }
    const isCut = endedAt !== undefined
    const atWorkInLastSixth = run !== undefined && run.endedAt - stoppedAt >= LAST_SIXTH_MS
    const isExcused = sentAt - stoppedAt <= EXCUSED_UNTIL_MS && atWorkInLastSixth
    const isOverTime = isCut && endedAt - sentAt >= TIMEOUT_MS
    const isInPlannedWork = isCut && endedAt - stoppedAt <= GRACE_MS + 1_000
    // What wasn't passed on to a worker and was sent behind another request isn't counted.
    const isLost = run !== undefined && run.how === 'answered' && !isExcused && !isOverTime && isInPlannedWork
    record.write('judged', { id, name, machine: machine.name, sentAfterSigtermMs: Math.round(sentAt - stoppedAt), endedAfterSigtermMs: Math.round(endedAt - stoppedAt), workerAnsweredAfterSigtermMs: run === undefined ? '-' : Math.round(run.endedAt - stoppedAt), passedOn: run !== undefined, lost: isLost })
    if (isLost) lost++
  }
  record.write('result', { answered, lost })
  return lost > 0 ? 1 : answered > 0 ? 0 : 2
}

let code = 2
try {
  code = await main()
} catch (error) {
  record.write('error', { text: JSON.stringify(String(error.stack)) })
} finally {
  await platform.close()
}
write('exit', { code })
process.exit(code)
