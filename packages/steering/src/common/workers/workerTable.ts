/** What one entry VM knows of the workers of one service in one failure domain. */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline } from '@umberspar/base/common/deadline'
import { listEjected, recordFailure, recordProbeFailure, recordSuccess, releaseBeyondFloor } from './ejection.js'
import { createWorkerState, DEFAULT_WORKER_POLICY, type LoadReport, type MutableWorkerState, type WorkerPolicy, type WorkerState } from './workerState.js'

export { DEFAULT_WORKER_POLICY } from './workerState.js'
export type { LoadReport, WorkerPolicy, WorkerState } from './workerState.js'

/**
 * A word that a drain is over must be so much newer than the word that it began.
 * What peers tell carries its age but not its time on the way; an older "ready"
 * that travelled long would otherwise look newer than a drain heard directly.
 */
const DRAIN_WITHDRAWN_MARGIN_MS = 1_000
/** A worker that was out of reach for so long has been started anew when it comes back. */
const RESTART_SPAN_MS = 3_000

/** How much the newest answer counts in the moving mean of answer times. */
const ANSWER_TIME_GAIN = 0.1

/** A worker to know of. */
export interface KnownWorker {
  readonly address: string
  /** Our part of its slots; changes apply at once, requests in flight stay. */
  readonly slots: number
}

/** The workers of one service in one failure domain. */
export class WorkerTable {
  private readonly states = new Map<string, MutableWorkerState>()
  /** Taken out of the configuration while requests of ours were open there. */
  private readonly removed = new Map<string, MutableWorkerState>()
  private hasWorkers = false

  /** @param policy how workers are judged */
  constructor (private readonly policy: WorkerPolicy = DEFAULT_WORKER_POLICY) {}

  /**
   * Takes the workers from the configuration and our parts of them; what is
   * known of a worker that stays is kept. A worker that is new beside known ones
   * starts cold. In a table's first update all are new to us only: the entry VM
   * has just started, the workers have not.
   * @param workers by worker id
   * @param now the present
   */
  updateWorkers (workers: ReadonlyMap<string, KnownWorker>, now: Instant): void {
    for (const [workerId, state] of this.states) {
      if (workers.has(workerId)) continue
      this.states.delete(workerId)
      if (state.inFlight > 0) this.removed.set(workerId, state)
    }
    for (const [workerId, known] of workers) {
      const state = this.states.get(workerId)
      if (state !== undefined && state.address === known.address) state.slots = known.slots
      else this.addWorker(workerId, known, now)
    }
    this.hasWorkers ||= workers.size > 0
    releaseBeyondFloor(this.states, now)
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
    const state = this.states.get(workerId) ?? this.removed.get(workerId)
    if (state === undefined || state.inFlight === 0) return
    state.inFlight--
    if (state.inFlight === 0) this.removed.delete(workerId)
  }

  /**
   * Notes a whole answer.
   * @param workerId the worker that answered
   * @param now the present; without it the answer does not outweigh failed probes
   */
  observeAnswer (workerId: string, now = -Infinity): void {
    const state = this.states.get(workerId)
    if (state !== undefined) recordSuccess(state, now)
  }

  /**
   * Notes how long a worker took to begin an answer, for requests whose body was
   * not streamed: a slow caller is no slow worker.
   * @param workerId the worker
   * @param elapsedMs from sending the request to the answer's headers
   * @param now the present
   */
  observeAnswerTime (workerId: string, elapsedMs: number, now: Instant): void {
    const state = this.states.get(workerId)
    if (state === undefined) return
    const meanMs = state.answerTime?.meanMs ?? elapsedMs
    state.answerTime = { meanMs: meanMs + ANSWER_TIME_GAIN * (elapsedMs - meanMs), updatedAt: now }
  }

  /**
   * Notes a reset, a truncated answer, an answer of a server's error or a missed deadline.
   * @param workerId the worker that failed
   * @param now the present
   */
  observeFailure (workerId: string, now: Instant): void {
    const state = this.states.get(workerId)
    if (state !== undefined) recordFailure(this.states, state, this.policy, now)
  }

  /**
   * Notes a probe that was answered. It ends no ejection: a worker may call
   * itself healthy and fail its requests. A worker that comes back after having
   * been out of reach starts cold, and may be tried before its ejection ends.
   * @param workerId the worker
   * @param isStarting whether it says that it is starting
   * @param now the present
   */
  observeProbe (workerId: string, isStarting: boolean, now: Instant): void {
    const state = this.states.get(workerId)
    if (state === undefined) return
    const { unreachableSince } = state
    state.probeFailuresInRow = 0
    state.unreachableSince = undefined
    if (unreachableSince !== undefined && now - unreachableSince >= RESTART_SPAN_MS) {
      state.ejectedUntil = Math.min(state.ejectedUntil, now)
      this.startWarmUp(state, now)
    }
    if (isStarting) this.observeStarting(state, now)
    else state.startingSince = undefined
  }

  /**
   * Notes a probe without a sensible answer.
   * @param workerId the worker
   * @param now the present
   */
  observeProbeFailure (workerId: string, now: Instant): void {
    const state = this.states.get(workerId)
    if (state !== undefined) recordProbeFailure(this.states, state, this.policy, now)
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
   * Notes a worker's own word of its drain, first-hand or from a peer; the words
   * may come in any order.
   * @param workerId the worker
   * @param isDraining whether it drains
   * @param heardAt when the worker said so; for an answered probe, when it was sent
   */
  markDraining (workerId: string, isDraining: boolean, heardAt: Instant): void {
    const state = this.states.get(workerId)
    if (state === undefined) return
    const isOutdated = state.isDrainAnnounced && !isDraining
      ? heardAt < state.drainHeardAt + DRAIN_WITHDRAWN_MARGIN_MS
      : heardAt < state.drainHeardAt
    if (isOutdated) return
    state.drainHeardAt = heardAt
    state.isDrainAnnounced = isDraining
    this.applyDrain(state, heardAt)
  }

  /**
   * Notes what the platform says of the worker's VM.
   * @param workerId the worker
   * @param isVmLeaving whether its VM leaves
   * @param now the present
   */
  markVmLeaving (workerId: string, isVmLeaving: boolean, now: Instant): void {
    const state = this.states.get(workerId)
    if (state === undefined || state.isVmLeaving === isVmLeaving) return
    state.isVmLeaving = isVmLeaving
    this.applyDrain(state, now)
  }

  /**
   * Begins the slow start of a worker that came up cold.
   * @param workerId the worker
   * @param now the present
   */
  markStarted (workerId: string, now: Instant): void {
    const state = this.states.get(workerId)
    if (state === undefined) return
    this.startWarmUp(state, now)
    state.isDrainAnnounced = false
    this.applyDrain(state, now)
  }

  /**
   * @param now the present
   * @returns workers that are ejected and not draining
   */
  countEjected (now: Instant): number {
    return listEjected(this.states, now).length
  }

  private addWorker (workerId: string, { address, slots }: KnownWorker, now: Instant): void {
    const before = this.states.get(workerId) ?? this.removed.get(workerId)
    const state = createWorkerState(workerId, address, slots)
    // Requests that are still open at the worker of this id are released by id:
    // counted from zero, the worker would be given more than its slots.
    state.inFlight = before?.inFlight ?? 0
    this.removed.delete(workerId)
    this.states.set(workerId, state)
    if (this.hasWorkers) this.startWarmUp(state, now)
  }

  /**
   * While a worker says that it is starting, its warm-up begins anew; but not for
   * longer than one warm-up, or a worker that says so for ever would stay at the
   * least weight for ever.
   */
  private observeStarting (state: MutableWorkerState, now: Instant): void {
    state.startingSince ??= now
    if (now - state.startingSince <= this.policy.warmUpSpanMs) this.startWarmUp(state, now)
  }

  private startWarmUp (state: MutableWorkerState, now: Instant): void {
    state.warmUpFrom = now
    state.warmUpUntil = createDeadline(now, this.policy.warmUpSpanMs)
  }

  private applyDrain (state: MutableWorkerState, now: Instant): void {
    state.isDraining = state.isDrainAnnounced || state.isVmLeaving
    releaseBeyondFloor(this.states, now)
  }
}
