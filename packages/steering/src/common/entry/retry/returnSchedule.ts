/**
 * Tells refused callers of one service when to come back: when room is expected, spread over the
 * time in which it comes.
 *
 * Guards against synchronized retries: if many callers were refused at the same moment with the
 * same delay, they would return together and find the same queue. Each refusal takes the next
 * place of the room that this VM expects, so that returns are never faster than the room.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline } from '@umberspar/base/common/deadline'
import type { IRandomSource } from '@umberspar/base/common/random'
import { MAX_RETRY_DELAY_RATIO, MIN_RETRY_DELAY_MS } from './retryDelay.js'

/** Time after which a past answer has lost all but 1/e of its weight in the rate of answers. */
const RATE_TIME_CONSTANT_MS = 5_000
/** The rate is unknown until answers have been observed for this long. */
const MIN_OBSERVED_MS = 500
/** Below this rate of answers a second, the room is unknown. */
const MIN_KNOWN_RATE = 0.2
/** While the room is unknown, returns are spread over this fraction of the delay. */
const UNKNOWN_ROOM_SPREAD_RATIO = 0.5
/** Longest time over which returns are spread while the room is unknown. */
const MAX_UNKNOWN_ROOM_SPREAD_MS = 500
/** Longest delay: later ones are rarely exact. */
const MAX_DELAY_MS = 60_000
const MS_PER_SECOND = 1_000

/** A caller that is refused. */
export interface RefusedCaller {
  readonly now: Instant
  /** When room is expected at the earliest: the end of a pause, or the drain of a queue. */
  readonly roomAt: Instant
  /** Whether the service has free slots, so that the rate of its answers says how much is asked, not how much room there is. */
  readonly hasFreeSlots?: boolean
  /** When the caller stops waiting. */
  readonly deadline: Deadline
  /** Expected time from its return to its answer, in milliseconds. */
  readonly expectedMs: number
}

/** When a refused caller may return. */
export interface ReturnTime {
  /** Delay before the return, in milliseconds. */
  readonly delayMs: number
  /** Whether the caller can be expected to return then, and be answered before its deadline. */
  readonly isUseful: boolean
}

/** The returns of the callers that this VM refused at one service. */
export class ReturnSchedule {
  /** Answers in the recent past, decayed. */
  private answers = 0
  private answersAt: Instant = Number.NEGATIVE_INFINITY
  /** When the first answer was recorded; before it, none could count. */
  private firstAnswerAt: Instant | undefined
  /** From when on no return has been told to a caller yet. */
  private nextReturnAt: Instant = Number.NEGATIVE_INFINITY

  /** @param now when the service answered a request */
  recordAnswer (now: Instant): void {
    this.firstAnswerAt ??= now
    this.answers = this.countAnswers(now) + 1
    this.answersAt = now
  }

  /**
   * @param caller the caller
   * @param random spreads returns within the time for which each has a place
   * @returns when it may return; its place is taken only if the return is useful
   */
  reserve ({ now, roomAt, hasFreeSlots = false, deadline, expectedMs }: RefusedCaller, random: IRandomSource): ReturnTime {
    const earliestAt = now + Math.min(MAX_DELAY_MS, Math.max(MIN_RETRY_DELAY_MS, roomAt - now))
    const isRoomNear = roomAt - now <= MIN_RETRY_DELAY_MS
    const intervalMs = hasFreeSlots && isRoomNear ? undefined : this.computeIntervalMs(now)
    const returnAt = intervalMs === undefined ? earliestAt : Math.max(earliestAt, this.nextReturnAt)
    const spreadMs = intervalMs ?? Math.min(MAX_UNKNOWN_ROOM_SPREAD_MS, UNKNOWN_ROOM_SPREAD_RATIO * (earliestAt - now))
    const told = Math.min(MAX_DELAY_MS, returnAt - now) + spreadMs * random.next()
    const timeLeftMs = deadline - now
    const latestMs = Math.min(timeLeftMs * MAX_RETRY_DELAY_RATIO, timeLeftMs - expectedMs)
    const isUseful = returnAt - now <= latestMs
    // Without a place in time, the caller may try as late as it can.
    if (!isUseful) return { delayMs: earliestAt - now <= latestMs ? Math.min(told, latestMs) : told, isUseful }
    if (intervalMs !== undefined) this.nextReturnAt = createDeadline(returnAt, intervalMs)
    return { delayMs: Math.max(returnAt - now, Math.min(told, latestMs)), isUseful }
  }

  /** @returns the time between two places, in milliseconds; undefined while it is unknown */
  private computeIntervalMs (now: Instant): number | undefined {
    if (this.firstAnswerAt === undefined || now - this.firstAnswerAt < MIN_OBSERVED_MS) return undefined
    // The decayed length of the time in which answers were counted.
    const observedMs = RATE_TIME_CONSTANT_MS * (1 - Math.exp(-(now - this.firstAnswerAt) / RATE_TIME_CONSTANT_MS))
    const perSecond = this.countAnswers(now) * MS_PER_SECOND / observedMs
    return perSecond < MIN_KNOWN_RATE ? undefined : MS_PER_SECOND / perSecond
  }

  /** @returns the number of answers, decayed up to now */
  private countAnswers (now: Instant): number {
    return this.answers === 0 ? 0 : this.answers * Math.exp(-Math.max(0, now - this.answersAt) / RATE_TIME_CONSTANT_MS)
  }
}
