/** Holds requests back that no worker may get yet, until the first place is expected. */
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import { compareWaiting, type WaitingRequest } from '@umberspar/steering/common/entry/admission/placeWait'

/** Limit on the requests that wait at the same time; their bodies count against the memory for bodies. */
const MAX_WAITING = 256

/** How a wait ended. */
export enum PlaceWaitEnd {
  /** A place was expected; the request was decided again. */
  Released = 'released',
  /** The request ended meanwhile. */
  Left = 'left',
  /** Too many requests were waiting. */
  Full = 'full'
}

/** A request that is held back. */
export interface HeldRequest extends WaitingRequest {
  readonly service: string
  readonly bodyBytes: number
  /** Decides the request again. */
  readonly resume: () => void
}

interface Waiting extends HeldRequest {
  readonly since: number
}

/** The requests of one service that wait for the same instant. */
interface WaitingGroup {
  timer: ITimer
  readonly waiting: Set<Waiting>
}

/** The requests of one process that wait for a place. */
export class PlaceWaiter implements IClosable {
  private readonly groups = new Map<string, WaitingGroup>()
  private count = 0
  private bytes = 0

  /**
   * @param clock schedules the ends of the waits
   * @param onWaitEnd called for each wait that is over, with the time waited in milliseconds
   */
  constructor (private readonly clock: IClock, private readonly onWaitEnd: (end: PlaceWaitEnd, priority: number, waitedMs: number) => void) {}

  /** @returns the number of requests that wait, and the size of their bodies in bytes */
  readCounts (): { readonly count: number, readonly bytes: number } {
    return { count: this.count, bytes: this.bytes }
  }

  /**
   * @param request the request
   * @param placeAt when a place is expected; the request is resumed then, after those that go first
   * @returns ends the wait if the request ends; undefined if too many requests wait
   */
  hold (request: HeldRequest, placeAt: Deadline): IClosable | undefined {
    if (this.count >= MAX_WAITING) {
      this.onWaitEnd(PlaceWaitEnd.Full, request.rank.priority, 0)
      return undefined
    }
    const waiting: Waiting = { ...request, since: this.clock.now() }
    const name = `${request.service} ${placeAt}`
    const group = this.getGroup(name, placeAt)
    group.waiting.add(waiting)
    this.count++
    this.bytes += request.bodyBytes
    return { close: () => { this.leave(name, group, waiting) } }
  }

  close (): void {
    for (const { timer } of this.groups.values()) timer.close()
    this.groups.clear()
    this.count = 0
    this.bytes = 0
  }

  private leave (name: string, group: WaitingGroup, waiting: Waiting): void {
    if (!group.waiting.delete(waiting)) return
    if (group.waiting.size === 0 && this.groups.get(name) === group) {
      group.timer.close()
      this.groups.delete(name)
    }
    this.end(waiting, PlaceWaitEnd.Left)
  }

  private getGroup (name: string, placeAt: Deadline): WaitingGroup {
    let group = this.groups.get(name)
    if (group === undefined) {
      group = { waiting: new Set(), timer: this.scheduleRelease(name, placeAt) }
      this.groups.set(name, group)
    }
    return group
  }

  private scheduleRelease (name: string, placeAt: Deadline): ITimer {
    return this.clock.schedule(placeAt, () => { this.release(name, placeAt) })
  }

  private release (name: string, placeAt: Deadline): void {
    const group = this.groups.get(name)
    if (group === undefined) return
    // Timers of Node.js may fire up to a millisecond early.
    if (!hasPassed(placeAt, this.clock.now())) {
      group.timer = this.scheduleRelease(name, placeAt)
      return
    }
    this.groups.delete(name)
    for (const waiting of [...group.waiting].sort(compareWaiting)) {
      // It may have ended while another one was resumed.
      if (!group.waiting.delete(waiting)) continue
      this.end(waiting, PlaceWaitEnd.Released)
      waiting.resume()
    }
  }

  private end ({ rank, bodyBytes, since }: Waiting, end: PlaceWaitEnd): void {
    this.count--
    this.bytes -= bodyBytes
    this.onWaitEnd(end, rank.priority, this.clock.now() - since)
  }
}
