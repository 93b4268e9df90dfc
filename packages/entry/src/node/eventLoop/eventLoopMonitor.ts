/**
 * Detects that the event loop is late, and defers work until it has read what arrived meanwhile.
 *
 * A turn of the event loop polls all sockets once. While a turn takes long, requests wait in the
 * kernel, and so does the end of a connection whose caller left. Node.js passes on a request before
 * it reads the end of the connection behind it, so that a late process would work for callers that
 * are gone. It also accepts one connection in each turn only, so that connections which come faster
 * than turns wait to be accepted, although no turn takes long.
 */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import type { ElapsedClock } from '@umberspar/base/common/elapsedClock'

/** Runs a function once, after the sockets have been polled and before they are polled again. */
export type TurnScheduler = (callback: () => void) => void

/** What a monitor is built from. */
export interface EventLoopMonitorOptions {
  readonly clock: IClock
  /** Measures delays; while the machine is suspended, nothing is read either. */
  readonly elapsed: ElapsedClock
  /** Called when a delay is over, with its length in milliseconds. */
  readonly onDelay: (delayMs: number) => void
  /** `setImmediate` by default. */
  readonly scheduleAfterPoll?: TurnScheduler
}

/** How often the monitor notes that everything which arrived earlier has been read. */
const MARK_INTERVAL_MS = 50
/** Longer times without a poll are delays. Must exceed the interval by what a quota of the processor may withhold at a time. */
const MAX_USUAL_DELAY_MS = 200
/** Polls after a delay in which what arrived meanwhile is read: a body may take more than one. */
const POLLS_AFTER_DELAY = 3
/** A connection is accepted in one poll, and the request that waited on it is read in the next one. */
const POLLS_UNTIL_FIRST_REQUEST = 2
/** Connections that waited longer to be accepted count as if they had waited this long: most of their callers have left. */
const MAX_ACCEPT_DELAY_MS = 1_000
/** Work on new requests per turn. Short turns, as each one accepts one connection. */
const MAX_WORK_PER_TURN_MS = 5

/** A connection that waited to be accepted. */
export interface LateConnection {
  /** When it may have been opened at the earliest, on the monotonic clock. */
  readonly openedAt: Instant
  /** Number of the poll up to which a request that waited on it has been read. */
  readonly readWithPoll: number
}

/** The event loop of this process. */
export class EventLoopMonitor implements IClosable {
  private readonly scheduleAfterPoll: TurnScheduler
  /** Everything that arrived before this instant has been read. On the elapsed clock, as all instants here. */
  private readUntil: Instant
  /** Noted before the poll that precedes the next {@link EventLoopMonitor.handlePolled}; undefined if that poll had begun. */
  private markedAt: Instant | undefined
  /** What is read now may have arrived since this instant; undefined while the event loop is not late. */
  private delayedSince: Instant | undefined
  private delayMs = 0
  private pollsLeft = 0
  /** Connections that were opened before this instant have been accepted. */
  private acceptedUntil: Instant
  private hasAccepted = false
  /** When the work on new requests in this turn must pause; undefined if there was none yet. */
  private workUntil: Instant | undefined
  private polls = 0
  private isPollExpected = false
  private isClosed = false
  private timer: ITimer | undefined
  /** Work added since the last poll, work for which that poll counts, and work that may run. */
  private added: Array<() => void> = []
  private awaiting: Array<() => void> = []
  private ready: Array<() => void> = []
  /** Work that may run only while everything that arrived lately has been read. */
  private awaitingCurrent: Array<() => void> = []
  /** Work that may run only while no connection waits to be accepted. */
  private awaitingAccepted: Array<() => void> = []
  private longestDelayMs = 0

  /** @param options what it is built from */
  constructor (private readonly options: EventLoopMonitorOptions) {
    this.scheduleAfterPoll = options.scheduleAfterPoll ?? setImmediate
    this.readUntil = options.elapsed.now()
    this.acceptedUntil = this.readUntil
  }

  /** Starts to measure. */
  start (): void {
    this.readUntil = this.options.elapsed.now()
    this.acceptedUntil = this.readUntil
    this.scheduleMark()
  }

  /** @returns the longest delay since the last call, in milliseconds; 0 if there was none */
  takeLongestDelayMs (): number {
    const { longestDelayMs } = this
    this.longestDelayMs = 0
    return longestDelayMs
  }

  /**
   * Records that a connection was accepted.
   * @returns what is known of it if it may have waited for that; undefined if it was accepted in time
   */
  acceptConnection (): LateConnection | undefined {
    const { clock, elapsed } = this.options
    const now = elapsed.now()
    this.checkDelay(now)
    this.hasAccepted = true
    this.expectPoll()
    const waitedMs = now - this.acceptedUntil
    if (waitedMs <= MAX_USUAL_DELAY_MS) return undefined
    return { openedAt: clock.now() - Math.min(MAX_ACCEPT_DELAY_MS, waitedMs), readWithPoll: this.polls + POLLS_UNTIL_FIRST_REQUEST }
  }

  /**
   * @param connection what is known of the connection if it was accepted late
   * @returns when what is read from a connection now may have arrived at the earliest, on the monotonic
   *   clock; the present instant unless the event loop is late
   */
  getEarliestArrival (connection?: LateConnection): Instant {
    const now = this.options.elapsed.now()
    this.checkDelay(now)
    const arrivedAt = this.options.clock.now() - (this.delayedSince === undefined ? 0 : now - this.delayedSince)
    const hasWaited = connection !== undefined && this.polls <= connection.readWithPoll
    return hasWaited ? Math.min(arrivedAt, connection.openedAt) : arrivedAt
  }

  /**
   * Runs a function that begins the work on a request: at once, or in a later turn if this turn has done enough
   * of such work; after the next poll if the request arrived some time ago.
   * @param arrivedAt from {@link EventLoopMonitor.getEarliestArrival}
   */
  runWhenRead (arrivedAt: Instant, callback: () => void): void {
    if (this.options.clock.now() - arrivedAt > MAX_USUAL_DELAY_MS) {
      this.runAfterPoll(callback)
      return
    }
    const now = this.options.elapsed.now()
    this.workUntil ??= now + MAX_WORK_PER_TURN_MS
    this.expectPoll()
    if (this.ready.length === 0 && now < this.workUntil) callback()
    else this.ready.push(callback)
  }

  /** @returns whether the event loop is late */
  isLate (): boolean {
    this.checkDelay(this.options.elapsed.now())
    return this.delayedSince !== undefined
  }

  /** Runs a function after all sockets have been polled once more. */
  runAfterPoll (callback: () => void): void {
    this.added.push(callback)
    this.expectPoll()
  }

  /** Runs a function at once, or as soon as everything that arrived until shortly before has been read. */
  runWhenCurrent (callback: () => void): void {
    const now = this.options.elapsed.now()
    this.checkDelay(now)
    if (!this.isStale(now)) {
      callback()
      return
    }
    this.awaitingCurrent.push(callback)
    this.expectPoll()
  }

  /** Runs a function right after a poll in which no connection waited to be accepted. */
  runWhenAccepted (callback: () => void): void {
    this.awaitingAccepted.push(callback)
    this.expectPoll()
  }

  /** Stops measuring and discards deferred work. */
  close (): void {
    this.isClosed = true
    this.timer?.close()
    this.added = []
    this.awaiting = []
    this.ready = []
    this.awaitingCurrent = []
    this.awaitingAccepted = []
  }

  private isStale (now: Instant): boolean {
    return now - this.readUntil > MAX_USUAL_DELAY_MS
  }

  private checkDelay (now: Instant): void {
    if (!this.isStale(now)) return
    this.delayedSince = this.readUntil
    this.delayMs = Math.max(this.delayMs, now - this.readUntil)
    this.longestDelayMs = Math.max(this.longestDelayMs, this.delayMs)
    this.pollsLeft = POLLS_AFTER_DELAY
    this.expectPoll()
  }

  private finishDelay (): void {
    const { delayMs } = this
    this.delayedSince = undefined
    this.delayMs = 0
    this.options.onDelay(delayMs)
  }

  private scheduleMark (): void {
    if (this.isClosed || this.timer !== undefined) return
    const { clock, elapsed } = this.options
    this.timer = clock.schedule(clock.now() + MARK_INTERVAL_MS, () => {
      this.timer = undefined
      const now = elapsed.now()
      this.checkDelay(now)
      this.markedAt ??= now
      this.expectPoll()
    })
  }

  private expectPoll (): void {
    if (this.isPollExpected || this.isClosed) return
    this.isPollExpected = true
    this.scheduleAfterPoll(() => { this.handlePolled() })
  }

  private handlePolled (): void {
    this.isPollExpected = false
    if (this.isClosed) return
    const startedAt = this.options.elapsed.now()
    this.checkDelay(startedAt)
    if (this.markedAt !== undefined) this.handleWholePoll(this.markedAt)
    const mayMoreWait = this.hasAccepted
    this.hasAccepted = false
    this.ready.push(...this.awaiting)
    this.awaiting = this.added
    this.added = []
    this.runCurrent()
    this.workUntil = startedAt + MAX_WORK_PER_TURN_MS
    this.runReady(this.workUntil)
    this.workUntil = undefined
    if (mayMoreWait || this.hasWork()) {
      this.markedAt = this.options.elapsed.now()
      this.expectPoll()
    }
    this.scheduleMark()
  }

  /** Handles the end of a poll that began after an instant. */
  private handleWholePoll (beganAfter: Instant): void {
    this.readUntil = beganAfter
    this.markedAt = undefined
    this.polls++
    if (!this.hasAccepted) this.handleAllAccepted(beganAfter)
    if (this.pollsLeft > 0 && --this.pollsLeft === 0) this.finishDelay()
  }

  /** Handles the end of a poll that began after an instant, and in which no connection was accepted. */
  private handleAllAccepted (beganAfter: Instant): void {
    this.acceptedUntil = beganAfter
    for (const callback of this.awaitingAccepted.splice(0)) callback()
  }

  private hasWork (): boolean {
    return this.pollsLeft > 0 || this.awaiting.length + this.added.length + this.ready.length + this.awaitingCurrent.length + this.awaitingAccepted.length > 0
  }

  private runCurrent (): void {
    const callbacks = this.awaitingCurrent
    this.awaitingCurrent = []
    for (const [index, callback] of callbacks.entries()) {
      if (this.isStale(this.options.elapsed.now())) {
        this.awaitingCurrent.push(...callbacks.slice(index))
        return
      }
      callback()
    }
  }

  private runReady (until: Instant): void {
    let count = 0
    for (const callback of this.ready) {
      if (count > 0 && this.options.elapsed.now() >= until) break
      count++
      callback()
    }
    this.ready.splice(0, count)
  }
}
