/**
 * A worker on the users' platform: adds its seal and the request's id to its responses, rejects
 * requests for another worker, and fails in the ways that faulty workers do. It writes raw
 * bytes, since most faulty responses violate the protocol.
 */
import { createServer, type Server, type Socket } from 'node:net'
import type { IClosable } from '@umberspar/base/common/closing'
import { ANSWERS } from './workerAnswers.js'
import { WorkerFault } from './workerFault.js'

export { WorkerFault } from './workerFault.js'

/** One run of a request. */
export interface WorkerRun {
  readonly requestId: string
  readonly method: string
  readonly path: string
  readonly bodyLength: number
  readonly leftMs: number
  /** The client account that the entry VM named; empty if none. */
  readonly account: string
  /** The field with the caller's key, which must not be forwarded; empty if it was not. */
  readonly authorization: string
}

/** What a response announces beside the answer. */
export interface Announcement {
  readonly isDraining: boolean
  /** How long the worker wants no requests from the VM, in milliseconds; undefined if it did not ask for that. */
  readonly coolDownMs: number | undefined
  /** Whether it names a rate limit. */
  readonly hasRateLimit?: boolean
}

/** Observes what a worker does, as it happens. */
export interface WorkerObserver {
  /** A response is about to be written. */
  onResponse?(workerId: string, requestId: string, announcement: Announcement): void
  /** The worker refuses a request without running it. */
  onRefused(workerId: string, requestId: string): void
  onRun(workerId: string, run: WorkerRun): void
  /** @param isAnswered whether the worker wrote a response, even a faulty one */
  onRunEnd(workerId: string, requestId: string, fault: WorkerFault, isAnswered: boolean): void
}

const HEAD_END = '\r\n\r\n'
const MS_PER_SECOND = 1_000
const LENGTH = /^content-length: *(\d+)/im

function getField (head: string, name: string): string {
  return new RegExp(`^${name}: *(.*)$`, 'im').exec(head)?.[1]?.trim() ?? ''
}

/** @returns all values of a field, so that a duplicate field is noticed */
function getFields (head: string, name: string): string {
  return [...head.matchAll(new RegExp(`^${name}: *(.*)$`, 'gim'))].map((match) => match[1]!.trim()).join(', ')
}

/** One start of a worker. */
export class PlatformWorkerStandIn implements IClosable {
  private readonly server: Server
  private readonly sockets = new Set<Socket>()
  fault = WorkerFault.None
  /** The path of the requests to which the fault applies; undefined for all. */
  faultPath: string | undefined
  /** Running a request for this path ends the worker. */
  crashPath: string | undefined
  /** How long a request takes, in milliseconds. */
  workMs = 0
  /** How many requests it works on at a time, in order of arrival; its responses then report its real load. Undefined for no limit. */
  slots: number | undefined
  /** When the requests end that hold or wait for a slot, in ascending order. */
  private endTimes: number[] = []
  body = 'the whole answer'
  /** @returns the body of the response to a request; `body` by default */
  buildBody: (requestId: string) => string = () => this.body
  readonly runs: WorkerRun[] = []
  /** The rate limit that its responses announce, in requests per second; undefined for none. */
  rateLimit: number | undefined
  /** Whether its responses announce that it drains. */
  isDraining = false
  /** The values of `Retry-After` on its refusals, one field each. */
  retryAfter: readonly string[] = []
  /** Whether its refusals say that the request did not run. */
  saysNotRun = true
  /** The load that its responses report. */
  load = '1,0,4'
  hasCrashed = false
  /** Requests that arrived, refused ones included. */
  arrivals = 0
  /** Requests whose connection ended before they were answered. */
  cancelled = 0
  /** Requests that it responded to, including faulty responses. */
  answered = 0
  /** Bytes of responses without end that the operating system took. */
  endlessBytes = 0

  /**
   * @param id its id, new with each start
   * @param observer observes the worker
   */
  constructor (readonly id: string, private readonly observer?: WorkerObserver) {
    this.server = createServer((socket) => { this.accept(socket) })
  }

  /**
   * @param port where to listen; any free port if left out
   * @returns `127.0.0.1:port` once it listens
   */
  async listen (port = 0): Promise<string> {
    await new Promise<void>((resolve) => { this.server.listen(port, '127.0.0.1', resolve) })
    const address = this.server.address()
    return `127.0.0.1:${typeof address === 'object' ? address?.port : ''}`
  }

  /** @returns the number of open connections */
  get openSockets (): number {
    return this.sockets.size
  }

  /** Crashes: closes the listener and all connections. */
  private endAbruptly (): void {
    this.hasCrashed = true
    this.close()
  }

  close (): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  private accept (socket: Socket): void {
    let received = Buffer.alloc(0)
    // Joined only once the request can be complete, as joining a long body with each read would take quadratic time.
    let parts: Buffer[] = []
    let unjoinedBytes = 0
    let neededBytes = 0
    this.sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => { this.sockets.delete(socket) })
    socket.on('data', (chunk) => {
      parts.push(chunk)
      unjoinedBytes += chunk.length
      if (received.length + unjoinedBytes < neededBytes) return
      received = Buffer.concat([received, ...parts])
      parts = []
      unjoinedBytes = 0
      neededBytes = 0
      for (;;) {
        const end = received.indexOf(HEAD_END)
        if (end < 0) return
        const head = received.subarray(0, end).toString('latin1')
        const length = Number(LENGTH.exec(head)?.[1] ?? 0)
        const bodyFrom = end + HEAD_END.length
        neededBytes = bodyFrom + length
        if (received.length < neededBytes) return
        received = received.subarray(neededBytes)
        neededBytes = 0
        this.handle(socket, head, length)
      }
    })
  }

  private handle (socket: Socket, head: string, bodyLength: number): void {
    this.arrivals++
    const requestId = getField(head, 'X-Umberspar-Request-Id')
    const [method, path] = head.split(' ')
    const expected = getField(head, 'X-Umberspar-Expect-Instance')
    if (expected !== '' && expected !== this.id) {
      socket.write(this.format(421, requestId, '', []))
      return
    }
    if (this.fault === WorkerFault.Shed) {
      this.observer?.onRefused(this.id, requestId)
      this.reportResponse(requestId, this.retryAfter)
      socket.write(this.formatRefusal(requestId))
      return
    }
    const run = { requestId, method: method ?? '', path: path ?? '', bodyLength, leftMs: Number(getField(head, 'X-Umberspar-Deadline-Ms')), account: getFields(head, 'X-Umberspar-Tenant'), authorization: getFields(head, 'Authorization') }
    this.observer?.onRun(this.id, run)
    this.runs.push(run)
    if (run.path === this.crashPath) {
      this.endAbruptly()
      return
    }
    // The fault at the start of the run: if the worker begins to refuse meanwhile, it must not deny that this request ran.
    const fault = this.faultPath === undefined || this.faultPath === run.path ? this.fault : WorkerFault.None
    if (this.workMs === 0) {
      this.answer(socket, requestId, fault)
      return
    }
    const onClose = (): void => {
      clearTimeout(timer)
      this.cancelled++
      this.observer?.onRunEnd(this.id, requestId, fault, false)
    }
    const timer = setTimeout(() => {
      socket.off('close', onClose)
      this.answer(socket, requestId, fault)
    }, this.planWork())
    socket.once('close', onClose)
  }

  /** @returns how long a request that arrives now takes, with its wait for a slot, in milliseconds */
  private planWork (): number {
    if (this.slots === undefined) return this.workMs
    const now = performance.now()
    this.endTimes = this.endTimes.filter((endTime) => endTime > now)
    const endTime = Math.max(now, this.endTimes.at(-this.slots) ?? now) + this.workMs
    this.endTimes.push(endTime)
    this.endTimes.sort((one, other) => one - other)
    return endTime - now
  }

  private describeLoad (): string {
    if (this.slots === undefined) return this.load
    const now = performance.now()
    const open = this.endTimes.filter((endTime) => endTime > now).length
    return `${Math.min(open, this.slots)},${Math.max(0, open - this.slots)},${this.slots}`
  }

  private answer (socket: Socket, requestId: string, fault: WorkerFault): void {
    this.answered++
    // Reported first, as the fault may cause what the caller observes next.
    this.observer?.onRunEnd(this.id, requestId, fault, true)
    this.reportResponse(requestId, [])
    ANSWERS[fault](this, socket, requestId)
  }

  private reportResponse (requestId: string, retryAfter: readonly string[]): void {
    const coolDownSeconds = retryAfter.map(Number).find(Number.isFinite)
    this.observer?.onResponse?.(this.id, requestId, { isDraining: this.isDraining, hasRateLimit: this.rateLimit !== undefined, coolDownMs: coolDownSeconds === undefined ? undefined : coolDownSeconds * MS_PER_SECOND })
  }

  /** @returns the bytes of a refusal */
  formatRefusal (requestId: string): string {
    return this.format(503, requestId, '', [...(this.saysNotRun ? ['X-Umberspar-Not-Run: 1'] : []), ...this.retryAfter.map((value) => `Retry-After: ${value}`)])
  }

  /** @returns an answer's bytes */
  format (status: number, requestId: string, body: string, fields: readonly string[], isSealed = true): string {
    const lines = [
      `HTTP/1.1 ${status} Status`,
      `X-Umberspar-Request-Id: ${requestId}`,
      `X-Umberspar-Instance-Id: ${this.id}`,
      `X-Umberspar-Server-Load: ${this.describeLoad()}`,
      ...(this.rateLimit === undefined ? [] : [`X-Umberspar-Server-Limit: ${this.rateLimit}`]),
      ...(this.isDraining ? ['Server-Leaving: 1'] : []),
      `Content-Length: ${Buffer.byteLength(body)}`,
      ...(isSealed ? [`X-Umberspar-Server-Seal: seal-${this.id}-${requestId}`] : []),
      ...fields
    ]
    return `${lines.join('\r\n')}${HEAD_END}${body}`
  }
}
