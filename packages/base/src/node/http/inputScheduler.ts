/**
 * Divides the turns of the event loop among the connections that have something to parse. Without
 * limits, one read of 64 kB holds hundreds of requests that are all parsed before anything else runs.
 */
import type { IClock, Instant, ITimer } from '../../common/clock.js'
import type { IClosable } from '../../common/closing.js'

/** Input that could not be read or parsed in an earlier turn. */
export interface WaitingInput {
  /** Parses more: one request, or what there is of a body. */
  resume(): void
  /** Reads more. */
  resumeReading(): void
}

/** Parsing per turn, beside which other events are handled. */
const MAX_PARSING_PER_TURN_MS = 5
/**
 * Input is read at up to 64 MB a second. Each read takes a block of its own, which is garbage soon after;
 * faster than this, blocks are taken faster than they are collected.
 */
const READING_INTERVAL_MS = 10
const MAX_BYTES_PER_INTERVAL = 655_360
/** The largest block that Node.js reads at a time. */
export const MAX_READ_BYTES = 65_536

/** The connections of one process that wait for their turn. */
export class InputScheduler implements IClosable {
  private readonly waiting = new Set<WaitingInput>()
  /** When the parsing of this turn must pause. */
  private pauseAt: Instant = Number.NEGATIVE_INFINITY
  private parsedAt: Instant = Number.NEGATIVE_INFINITY
  private isTurnExpected = false
  private readonly paced = new Set<WaitingInput>()
  private intervalStartedAt: Instant = Number.NEGATIVE_INFINITY
  private readBytes = 0
  private timer: ITimer | undefined
  private isClosed = false

  /**
   * @param clock measures the turns
   * @param scheduleTurn runs a function once, in the next turn; `setImmediate` by default
   */
  constructor (private readonly clock: IClock, private readonly scheduleTurn: (callback: () => void) => void = setImmediate) {}

  /** @returns whether input may be parsed in this turn; otherwise add it */
  mayParse (): boolean {
    const now = this.clock.now()
    // A turn that parses without a break asks again sooner.
    if (now - this.parsedAt > MAX_PARSING_PER_TURN_MS) this.pauseAt = now + MAX_PARSING_PER_TURN_MS
    return now < this.pauseAt
  }

  /** Records that something was parsed just now. */
  recordParsing (): void {
    this.parsedAt = this.clock.now()
  }

  /** Lets input go on in a later turn, behind all that wait already. */
  add (input: WaitingInput): void {
    this.waiting.add(input)
    this.expectTurn()
  }

  /**
   * Records what was read of a connection.
   * @returns whether more may be read of it now; otherwise it is resumed later
   */
  recordRead (input: WaitingInput, bytes: number): boolean {
    const now = this.clock.now()
    if (now - this.intervalStartedAt >= READING_INTERVAL_MS) {
      this.intervalStartedAt = now
      this.readBytes = 0
    }
    this.readBytes += bytes
    if (this.readBytes <= MAX_BYTES_PER_INTERVAL || this.isClosed) return true
    this.paced.add(input)
    this.timer ??= this.scheduleReading()
    return false
  }

  /** Forgets the input of a connection that has closed. */
  remove (input: WaitingInput): void {
    this.waiting.delete(input)
    this.paced.delete(input)
  }

  close (): void {
    this.isClosed = true
    this.timer?.close()
    this.paced.clear()
  }

  private scheduleReading (): ITimer {
    return this.clock.schedule(this.intervalStartedAt + READING_INTERVAL_MS, () => {
      this.timer = undefined
      this.intervalStartedAt = this.clock.now()
      this.readBytes = 0
      let readers = MAX_BYTES_PER_INTERVAL / MAX_READ_BYTES
      for (const input of this.paced) {
        if (readers-- <= 0) break
        this.paced.delete(input)
        input.resumeReading()
      }
      if (this.paced.size > 0) this.timer = this.scheduleReading()
    })
  }

  private expectTurn (): void {
    if (this.isTurnExpected) return
    this.isTurnExpected = true
    this.scheduleTurn(() => { this.handleTurn() })
  }

  private handleTurn (): void {
    this.isTurnExpected = false
    this.parsedAt = Number.NEGATIVE_INFINITY
    for (const input of [...this.waiting]) {
      if (!this.mayParse()) break
      this.waiting.delete(input)
      input.resume()
    }
    if (this.waiting.size > 0) this.expectTurn()
  }
}
