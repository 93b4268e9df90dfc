/**
 * Ends requests whose body does not come on. A sender that gives one byte a
 * minute would hold a slot of a worker until its deadline; an honest slow upload
 * (a phone in a basement) makes some progress in every span and goes on.
 */
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import type { IncomingMessage } from 'node:http'

/** Looks this often within one span. */
const LOOKS_PER_SPAN = 8

interface OpenBody {
  readonly request: IncomingMessage
  /** Bytes of the connection at the last check. */
  bytesThen: number
  checkAt: Deadline
}

/** Watches the bodies that are being received. */
export class BodyProgress implements IClosable {
  private readonly open = new Set<OpenBody>()
  private timer: ITimer | undefined

  /**
   * @param clock the source of time
   * @param span within which progress is expected, in milliseconds
   * @param minBytes the least progress
   * @param onStall called for each request ended because its body stood still
   */
  constructor (
    private readonly clock: IClock,
    private readonly span: number,
    private readonly minBytes: number,
    private readonly onStall: () => void
  ) {}

  /**
   * Watches a request until its body has come whole or its connection has closed.
   * @param request just received
   */
  watch (request: IncomingMessage): void {
    if (!hasBody(request)) return
    const entry = { request, bytesThen: request.socket.bytesRead, checkAt: createDeadline(this.clock.now(), this.span) }
    this.open.add(entry)
    const remove = (): void => { this.open.delete(entry) }
    request.once('end', remove)
    request.once('close', remove)
    this.scheduleLook()
  }

  close (): void {
    this.timer?.close()
    this.timer = undefined
    this.open.clear()
  }

  private scheduleLook (): void {
    if (this.timer !== undefined || this.open.size === 0) return
    this.timer = this.clock.schedule(createDeadline(this.clock.now(), this.span / LOOKS_PER_SPAN), () => {
      this.timer = undefined
      this.checkAll()
      this.scheduleLook()
    })
  }

  private checkAll (): void {
    const now = this.clock.now()
    for (const entry of this.open) {
      if (hasPassed(entry.checkAt, now)) this.check(entry, now)
    }
  }

  private check (entry: OpenBody, now: number): void {
    const { request } = entry
    const received = request.socket.bytesRead
    // A full buffer means that the upstream, not the sender, is slow: the parser
    // has paused the socket, and no sender could make progress then.
    const isHeldBack = request.readableLength >= request.readableHighWaterMark
    if (!isHeldBack && received - entry.bytesThen < this.minBytes) {
      this.onStall()
      this.open.delete(entry)
      request.destroy(new Error('the body made no progress'))
      return
    }
    entry.bytesThen = received
    entry.checkAt = createDeadline(now, this.span)
  }
}

function hasBody ({ headers }: IncomingMessage): boolean {
  if (headers['transfer-encoding'] !== undefined) return true
  return Number(headers['content-length'] ?? 0) > 0
}
