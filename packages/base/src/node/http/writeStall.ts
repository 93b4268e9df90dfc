/** Notices that a client reads nothing of what is sent to it. */
import type { Socket } from 'node:net'
import type { Instant } from '../../common/clock.js'
import { createDeadline, type Deadline, hasPassed } from '../../common/deadline.js'

/** Disconnects clients whose socket has been blocked this long. */
const WRITE_STALL_TIMEOUT_MS = 10_000

/** Watches the output of one connection. */
export class WriteStall {
  private sentBytes = 0
  private deadline: Deadline | undefined

  /** @param socket the connection */
  constructor (private readonly socket: Socket) {}

  /**
   * Call from time to time while responses are in flight.
   * @returns whether nothing was read for too long although something is to be sent
   */
  isStalled (now: Instant): boolean {
    const { bytesWritten, writableLength } = this.socket
    const sentBytes = bytesWritten - writableLength
    if (writableLength === 0 || sentBytes !== this.sentBytes) this.deadline = undefined
    this.sentBytes = sentBytes
    if (writableLength === 0) return false
    this.deadline ??= createDeadline(now, WRITE_STALL_TIMEOUT_MS)
    return hasPassed(this.deadline, now)
  }
}
