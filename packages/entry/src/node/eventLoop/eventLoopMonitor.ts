/**
 * Detects that the event loop is late, and defers work until it has read what arrived meanwhile.
 *
 * A turn of the event loop polls all sockets once. While a turn takes long, requests wait in the
 * kernel, and so does the end of a connection whose caller left. Node.js passes on a request before
 * it reads the end of the connection behind it, so that a late process would work for callers that
 * are gone.
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
/** A connection that waited is accepted in one poll, its request is read in the next one, and its end in a third. */
const POLLS_AFTER_DELAY = 3
/** Deferred work per turn: longer turns would be delays themselves. */
const MAX_DEFERRED_WORK_MS = 50

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
  private isPollExpected = false
  private isClosed = false
  private timer: ITimer | undefined
  /** Work added since the last poll, work for which that poll counts, and work that may run. */
  private added: Array<() => void> = []
  private awaiting: Array<() => void> = []
  private ready: Array<() => void> = []
  /** Work that may run only while everything that arrived lately has been read. */
  private awaitingCurrent: Array<() => void> = []
  private longestDelayMs = 0

  /** @param options what it is built from */
  constructor (private readonly options: EventLoopMonitorOptions) {
    this.scheduleAfterPoll = options.scheduleAfterPoll ?? setImmediate
    this.readUntil = options.elapsed.now()
  }

  /** Starts to measure. */
  start (): void {
    this.readUntil = this.options.elapsed.now()
    this.scheduleMark()
  }

  /** @returns the longest delay since the last call, in milliseconds; 0 if there was none */
  takeLongestDelayMs (): number {
    const { longestDelayMs } = this
    this.longestDelayMs = 0
    return longestDelayMs
  }

  /** @returns when what is read now may have arrived at the earliest, on the monotonic clock; the present instant unless the event loop is late */
  getEarliestArrival (): Instant {
    const now = this.options.elapsed.now()
    this.checkDelay(now)
    return this.options.clock.now() - (this.delayedSince === undefined ? 0 : now - this.delayedSince)
  }

  /** Runs a function at once, or after the next poll if the event loop is late. */
  runAfterDelay (callback: () => void): void {
    this.checkDelay(this.options.elapsed.now())
    if (this.delayedSince === undefined) callback()
    else this.runAfterPoll(callback)
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

  /** Stops measuring and discards deferred work. */
  close (): void {
    this.isClosed = true
    this.timer?.close()
    this.added = []
    this.awaiting = []
    this.ready = []
    this.awaitingCurrent = []
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
    if (this.markedAt !== undefined) {
      this.readUntil = this.markedAt
      this.markedAt = undefined
      if (this.pollsLeft > 0 && --this.pollsLeft === 0) this.finishDelay()
    }
    this.ready.push(...this.awaiting)
    this.awaiting = this.added
    this.added = []
    this.runCurrent()
    this.runReady(startedAt + MAX_DEFERRED_WORK_MS)
    if (this.hasWork()) {
      this.markedAt = this.options.elapsed.now()
      this.expectPoll()
    }
    this.scheduleMark()
  }

  private hasWork (): boolean {
    return this.pollsLeft > 0 || this.awaiting.length + this.added.length + this.ready.length + this.awaitingCurrent.length > 0
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
