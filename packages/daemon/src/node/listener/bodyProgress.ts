/**
 * Aborts requests whose body stalls. A client that sends one byte a minute would
 * occupy a worker's slot until the request's deadline. A legitimate slow upload (a
 * phone with poor reception) makes some progress in every interval and continues.
 */
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import type { IncomingMessage } from 'node:http'

/** How often all bodies are checked within one interval. */
const CHECKS_PER_INTERVAL = 8

interface WatchedBody {
  readonly request: IncomingMessage
  /** Bytes received on the connection at the last check. */
  bytesAtLastCheck: number
  nextCheckAt: Deadline
}

/** Monitors the request bodies that are being received. */
export class BodyProgress implements IClosable {
  private readonly watched = new Set<WatchedBody>()
  private timer: ITimer | undefined

  /**
   * @param clock the time source
   * @param intervalMs the interval in which progress is expected
   * @param minBytes the minimum progress in one interval
   * @param onStall called for each request aborted because its body stalled
   */
  constructor (
    private readonly clock: IClock,
    private readonly intervalMs: number,
    private readonly minBytes: number,
    private readonly onStall: () => void
  ) {}

  /**
   * Monitors a request until its body is complete or its connection is closed.
   * @param request a request just received
   */
  watch (request: IncomingMessage): void {
    if (!hasBody(request)) return
    const entry = { request, bytesAtLastCheck: request.socket.bytesRead, nextCheckAt: createDeadline(this.clock.now(), this.intervalMs) }
    this.watched.add(entry)
    const remove = (): void => { this.watched.delete(entry) }
    request.once('end', remove)
    request.once('close', remove)
    this.scheduleCheck()
  }

  close (): void {
    this.timer?.close()
    this.timer = undefined
    this.watched.clear()
  }

  private scheduleCheck (): void {
    if (this.timer !== undefined || this.watched.size === 0) return
    this.timer = this.clock.schedule(createDeadline(this.clock.now(), this.intervalMs / CHECKS_PER_INTERVAL), () => {
      this.timer = undefined
      this.checkAll()
      this.scheduleCheck()
    })
  }

  private checkAll (): void {
    const now = this.clock.now()
    for (const entry of this.watched) {
      if (hasPassed(entry.nextCheckAt, now)) this.check(entry, now)
    }
  }

  private check (entry: WatchedBody, now: number): void {
    const { request } = entry
    const received = request.socket.bytesRead
    // A full buffer means that the upstream is slow, not the client: the parser has
    // paused the socket, so the client can't make progress.
    const isPaused = request.readableLength >= request.readableHighWaterMark
    if (!isPaused && received - entry.bytesAtLastCheck < this.minBytes) {
      this.onStall()
      this.watched.delete(entry)
      request.destroy(new Error('the request body stalled'))
      return
    }
    entry.bytesAtLastCheck = received
    entry.nextCheckAt = createDeadline(now, this.intervalMs)
  }
}

function hasBody ({ headers }: IncomingMessage): boolean {
  if (headers['transfer-encoding'] !== undefined) return true
  return Number(headers['content-length'] ?? 0) > 0
}
