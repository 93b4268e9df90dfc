/**
 * What one entry VM knows of the workers of one service in one failure domain.
 * Ejection keeps away from workers that fail again and again; a floor keeps it
 * from emptying the domain when the fault lies on our side.
 */
import type { Instant } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import { createDeadline, hasPassed } from '@umberspar/base/common/deadline'

/** How workers are judged. Spans in milliseconds. */
export interface WorkerPolicy {
  /** A worker that starts cold comes to full weight over this. */
  readonly warmUpSpanMs: number
  /** Failures in a row that eject a worker. */
  readonly failuresToEject: number
  /** How long the first ejection lasts; each further one in a row twice as long. */
  readonly ejectionSpanMs: number
  readonly longestEjectionSpanMs: number
}

/** Used where nothing else is configured. */
export const DEFAULT_WORKER_POLICY: WorkerPolicy = {
  warmUpSpanMs: 10_000,
  failuresToEject: 5,
  ejectionSpanMs: 5_000,
  longestEjectionSpanMs: 60_000
}

/** The greatest part of a domain's workers that may be ejected at a time. */
const MAX_EJECTED_PART = 0.5

/** What a worker said of its load. */
export interface LoadReport {
  /** 0 idle to 1 full; above 1 overloaded. */
  readonly utilization: number
  /** When the worker measured it, by our clock. */
  readonly takenAt: Instant
}

/** One worker as this entry VM sees it. */
export interface WorkerState {
  readonly workerId: string
  /** `host:port`. */
  readonly address: string
  /** Our part of its slots. */
  readonly slots: number
  /** Our own requests at it. */
  readonly inFlight: number
  readonly load: LoadReport | undefined
  /** When the warm-up began and when it ends. */
  readonly warmUpFrom: Instant
  readonly warmUpUntil: Deadline
  readonly failuresInRow: number
  readonly ejectionsInRow: number
  /** Not chosen before this. */
  readonly ejectedUntil: Deadline
  readonly isDraining: boolean
}

type MutableState = { -readonly [Field in keyof WorkerState]: WorkerState[Field] }

/** A worker to know of. */
export interface KnownWorker {
  readonly address: string
  /** Our part of its slots; changes apply at once, requests in flight stay. */
  readonly slots: number
}

const LONG_PAST = -Infinity

/** The workers of one service in one failure domain. */
export class WorkerTable {
  private readonly states = new Map<string, MutableState>()

  /** @param policy how workers are judged */
  constructor (private readonly policy: WorkerPolicy = DEFAULT_WORKER_POLICY) {}

  /**
   * Takes the workers from the configuration and our parts of them; what is
   * known of a worker that stays is kept.
   * @param workers by worker id
   * @param now the present
   */
  updateWorkers (workers: ReadonlyMap<string, KnownWorker>, now: Instant): void {
    for (const workerId of this.states.keys()) {
      if (!workers.has(workerId)) this.states.delete(workerId)
    }
    for (const [workerId, { address, slots }] of workers) {
      const state = this.states.get(workerId)
      if (state !== undefined && state.address === address) state.slots = slots
      else this.states.set(workerId, createState(workerId, address, slots))
    }
    this.releaseBeyondFloor(now)
  }

  /** @returns all workers, as candidates for `chooseWorker` */
  list (): readonly WorkerState[] {
    return [...this.states.values()]
  }

  /**
   * @param workerId the worker
   * @returns what is known of it
   */
  get (workerId: string): WorkerState | undefined {
    return this.states.get(workerId)
  }

  /**
   * Takes one of our slots for a request; `release` gives it back.
   * @param workerId the worker
   * @returns false if no slot is free
   */
  reserve (workerId: string): boolean {
    const state = this.states.get(workerId)
    if (state === undefined || state.inFlight >= state.slots) return false
    state.inFlight++
    return true
  }

  /** @param workerId the worker at which a request has ended */
  release (workerId: string): void {
    const state = this.states.get(workerId)
    if (state !== undefined && state.inFlight > 0) state.inFlight--
  }

  /**
   * Notes a whole answer.
   * @param workerId the worker that answered
   * @param load what the answer said of the load
   */
  observeAnswer (workerId: string, load?: LoadReport): void {
    const state = this.states.get(workerId)
    if (state === undefined) return
    state.failuresInRow = 0
    state.ejectionsInRow = 0
    state.ejectedUntil = LONG_PAST
    if (load !== undefined) this.observeLoad(workerId, load)
  }

  /**
   * Notes a reset, a truncated answer or a missed deadline, and ejects the worker
   * after too many in a row unless half of the domain is ejected already.
   * @param workerId the worker that failed
   * @param now the present
   */
  observeFailure (workerId: string, now: Instant): void {
    const state = this.states.get(workerId)
    if (state === undefined) return
    state.failuresInRow++
    if (state.failuresInRow < this.policy.failuresToEject || !hasPassed(state.ejectedUntil, now)) return
    if (!state.isDraining && this.countEjected(now) + 1 > this.getEjectionFloor()) return
    const spanMs = this.policy.ejectionSpanMs * 2 ** state.ejectionsInRow
    state.ejectedUntil = createDeadline(now, Math.min(spanMs, this.policy.longestEjectionSpanMs))
    state.ejectionsInRow++
    state.failuresInRow = 0
  }

  /**
   * Keeps a report unless a newer one is known: answers overtake each other.
   * @param workerId the worker
   * @param load what it reported
   */
  observeLoad (workerId: string, load: LoadReport): void {
    const state = this.states.get(workerId)
    if (state === undefined || !Number.isFinite(load.utilization)) return
    if (state.load === undefined || load.takenAt >= state.load.takenAt) state.load = load
  }

  /**
   * @param workerId a worker that announced its drain, or takes work again
   * @param isDraining whether it drains
   * @param now the present
   */
  markDraining (workerId: string, isDraining: boolean, now: Instant): void {
    const state = this.states.get(workerId)
    if (state === undefined) return
    state.isDraining = isDraining
    this.releaseBeyondFloor(now)
  }

  /**
   * Begins the slow start of a worker that came up cold or gets moved traffic.
   * @param workerId the worker
   * @param now the present
   */
  markStarted (workerId: string, now: Instant): void {
    const state = this.states.get(workerId)
    if (state === undefined) return
    state.warmUpFrom = now
    state.warmUpUntil = createDeadline(now, this.policy.warmUpSpanMs)
    state.isDraining = false
    state.failuresInRow = 0
    state.ejectionsInRow = 0
    state.ejectedUntil = LONG_PAST
    this.releaseBeyondFloor(now)
  }

  /**
   * @param now the present
   * @returns workers that are ejected and not draining
   */
  countEjected (now: Instant): number {
    return this.listEjected(now).length
  }

  /** At most so many workers may be ejected; draining ones take no work and do not count. */
  private getEjectionFloor (): number {
    let count = 0
    for (const state of this.states.values()) {
      if (!state.isDraining) count++
    }
    return Math.floor(count * MAX_EJECTED_PART)
  }

  private listEjected (now: Instant): MutableState[] {
    return [...this.states.values()].filter((state) => !state.isDraining && !hasPassed(state.ejectedUntil, now))
  }

  /** Where workers left or drain, the floor sinks; those whose ejection ends first come back. */
  private releaseBeyondFloor (now: Instant): void {
    const ejected = this.listEjected(now).sort((left, right) => left.ejectedUntil - right.ejectedUntil)
    const surplus = Math.max(0, ejected.length - this.getEjectionFloor())
    for (const state of ejected.slice(0, surplus)) state.ejectedUntil = LONG_PAST
  }
}

function createState (workerId: string, address: string, slots: number): MutableState {
  return {
    workerId,
    address,
    slots,
    inFlight: 0,
    load: undefined,
    warmUpFrom: LONG_PAST,
    warmUpUntil: LONG_PAST,
    failuresInRow: 0,
    ejectionsInRow: 0,
    ejectedUntil: LONG_PAST,
    isDraining: false
  }
}
