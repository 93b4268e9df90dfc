/** Tracks the state of the workers of one service in one failure domain, as seen by one entry VM. */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline } from '@umberspar/base/common/deadline'
import { endExcessEjections, listEjectedWorkers, recordFailure, recordProbeFailure, recordSuccess } from './ejection.js'
import { createWorkerState, DEFAULT_WORKER_POLICY, type LoadReport, type MutableWorkerState, type WorkerPolicy, type WorkerState } from './workerState.js'

export { DEFAULT_WORKER_POLICY } from './workerState.js'
export type { LoadReport, WorkerPolicy, WorkerState } from './workerState.js'

/**
 * A report that a drain has ended must be this much newer than the report that it began.
 * Reports from peers carry their age without the transit time, so a delayed, outdated
 * "ready" could otherwise look newer than a drain that the worker reported directly.
 */
const DRAIN_END_MARGIN_MS = 1_000
/** A worker that was unreachable for this long is assumed to have restarted. */
const MIN_RESTART_OUTAGE_MS = 3_000

/** The weight of the latest response in the moving average of response times. */
const RESPONSE_TIME_SMOOTHING_RATIO = 0.1

/** A configured worker with the slots that are assigned to this VM. */
export interface WorkerAssignment {
  readonly address: string
  /** A change takes effect at once, without interrupting requests in flight. */
  readonly slots: number
}

/** The workers of one service in one failure domain. */
export class WorkerTable {
  private readonly states = new Map<string, MutableWorkerState>()
  /** Workers that were removed from the configuration while this VM had requests in flight there. */
  private readonly removed = new Map<string, MutableWorkerState>()
  private hasHadWorkers = false

  /** @param policy how workers are warmed up and ejected */
  constructor (private readonly policy: WorkerPolicy = DEFAULT_WORKER_POLICY) {}

  /**
   * Applies the configured workers and their assigned slots; workers that remain keep their
   * state. A worker that is added later starts cold. Those of the first update with any
   * workers count as warm: then the entry VM has just started, not the workers.
   * @param workers by worker id
   * @param now the current time
   */
  updateWorkers (workers: ReadonlyMap<string, WorkerAssignment>, now: Instant): void {
    for (const [workerId, state] of this.states) {
      if (workers.has(workerId)) continue
      this.states.delete(workerId)
      if (state.inFlight > 0) this.removed.set(workerId, state)
    }
    for (const [workerId, assignment] of workers) {
      const state = this.states.get(workerId)
      if (state !== undefined && state.address === assignment.address) state.slots = assignment.slots
      else this.addWorker(workerId, assignment, now)
    }
    this.hasHadWorkers ||= workers.size > 0
    endExcessEjections(this.states, now)
  }

  /** @returns all workers, the candidates for `chooseWorker` */
  list (): readonly WorkerState[] {
    return [...this.states.values()]
  }

  /**
   * @param workerId the worker's id
   * @returns its state, or undefined if it isn't configured
   */
  get (workerId: string): WorkerState | undefined {
    return this.states.get(workerId)
  }

  /**
   * Reserves a slot for one request; {@link release} returns it.
   * @param workerId the worker's id
   * @returns false if no slot is free or the worker isn't configured
   */
  reserve (workerId: string): boolean {
    const state = this.states.get(workerId)
    if (state === undefined || state.inFlight >= state.slots) return false
    state.inFlight++
    return true
  }

  /**
   * Returns the slot of a request that has ended.
   * @param workerId the worker's id
   */
  release (workerId: string): void {
    const state = this.states.get(workerId) ?? this.removed.get(workerId)
    if (state === undefined || state.inFlight === 0) return
    state.inFlight--
    if (state.inFlight === 0) this.removed.delete(workerId)
  }

  /**
   * Records a complete response.
   * @param workerId the id of the worker that responded
   * @param now the current time; if omitted, the response doesn't override failed probes
   */
  observeResponse (workerId: string, now = -Infinity): void {
    const state = this.states.get(workerId)
    if (state !== undefined) recordSuccess(state, now)
  }

  /**
   * Records how long a worker took to start a response. Only for requests whose body was
   * not streamed: otherwise a slow caller would make the worker look slow.
   * @param workerId the worker's id
   * @param elapsedMs from sending the request to receiving the response headers
   * @param now the current time
   */
  observeResponseTime (workerId: string, elapsedMs: number, now: Instant): void {
    const state = this.states.get(workerId)
    if (state === undefined) return
    const meanMs = state.answerTime?.meanMs ?? elapsedMs
    state.answerTime = { meanMs: meanMs + RESPONSE_TIME_SMOOTHING_RATIO * (elapsedMs - meanMs), updatedAt: now }
  }

  /**
   * Records a failed request: a connection reset, a truncated response, a server error or a
   * missed deadline.
   * @param workerId the id of the worker that failed
   * @param now the current time
   */
  observeFailure (workerId: string, now: Instant): void {
    const state = this.states.get(workerId)
    if (state !== undefined) recordFailure(this.states, state, this.policy, now)
  }

  /**
   * Records a successful probe. This alone doesn't end an ejection, as a worker may report
   * to be healthy and still fail its requests. A worker that was unreachable for long is
   * assumed to have restarted: it starts cold and may be tried before its ejection ends.
   * @param workerId the worker's id
   * @param isStarting whether the worker reports that it is starting
   * @param now the current time
   */
  observeProbe (workerId: string, isStarting: boolean, now: Instant): void {
    const state = this.states.get(workerId)
    if (state === undefined) return
    const { unreachableSince } = state
    state.consecutiveProbeFailures = 0
    state.unreachableSince = undefined
    if (unreachableSince !== undefined && now - unreachableSince >= MIN_RESTART_OUTAGE_MS) {
      state.ejectedUntil = Math.min(state.ejectedUntil, now)
      this.startWarmUp(state, now)
    }
    if (isStarting) this.renewWarmUp(state, now)
    else state.startingSince = undefined
  }

  /**
   * Records a probe without a valid response.
   * @param workerId the worker's id
   * @param now the current time
   */
  observeProbeFailure (workerId: string, now: Instant): void {
    const state = this.states.get(workerId)
    if (state !== undefined) recordProbeFailure(this.states, state, this.policy, now)
  }

  /**
   * Records a load report, unless a newer one is known: reports may arrive out of order.
   * @param workerId the worker's id
   * @param load the reported load; ignored if it isn't finite
   */
  observeLoad (workerId: string, load: LoadReport): void {
    const state = this.states.get(workerId)
    if (state === undefined || !Number.isFinite(load.utilization)) return
    if (state.load === undefined || load.takenAt >= state.load.takenAt) state.load = load
  }

  /**
   * Records that a worker asked this VM for no requests for a while. A shorter pause does not
   * end a longer one, and neither does a response.
   * @param workerId the worker's id
   * @param until when it may get requests again
   */
  pause (workerId: string, until: Deadline): void {
    const state = this.states.get(workerId)
    if (state !== undefined) state.pausedUntil = Math.max(state.pausedUntil, until)
  }

  /**
   * Records whether a worker reports that it drains, directly or through a peer. Reports may
   * arrive out of order.
   * @param workerId the worker's id
   * @param isDraining whether it drains
   * @param reportedAt when the worker reported it; for a probe, when the probe was sent
   */
  markDraining (workerId: string, isDraining: boolean, reportedAt: Instant): void {
    const state = this.states.get(workerId)
    if (state === undefined) return
    const isOutdated = state.isDrainReported && !isDraining
      ? reportedAt < state.drainReportedAt + DRAIN_END_MARGIN_MS
      : reportedAt < state.drainReportedAt
    if (isOutdated) return
    state.drainReportedAt = reportedAt
    state.isDrainReported = isDraining
    this.applyDrain(state, reportedAt)
  }

  /**
   * Records whether the platform removes the worker's VM; the worker counts as draining meanwhile.
   * @param workerId the worker's id
   * @param isBeingRemoved whether its VM is being removed
   * @param now the current time
   */
  markVmRemoval (workerId: string, isBeingRemoved: boolean, now: Instant): void {
    const state = this.states.get(workerId)
    if (state === undefined || state.isVmBeingRemoved === isBeingRemoved) return
    state.isVmBeingRemoved = isBeingRemoved
    this.applyDrain(state, now)
  }

  /**
   * Begins the warm-up of a worker that has started cold, and discards an earlier report that it drains.
   * @param workerId the worker's id
   * @param now the current time
   */
  markStarted (workerId: string, now: Instant): void {
    const state = this.states.get(workerId)
    if (state === undefined) return
    this.startWarmUp(state, now)
    state.isDrainReported = false
    this.applyDrain(state, now)
  }

  /**
   * @param now the current time
   * @returns how many workers are ejected and not draining
   */
  countEjected (now: Instant): number {
    return listEjectedWorkers(this.states, now).length
  }

  private addWorker (workerId: string, { address, slots }: WorkerAssignment, now: Instant): void {
    const previous = this.states.get(workerId) ?? this.removed.get(workerId)
    const state = createWorkerState(workerId, address, slots)
    // Requests that are still in flight at this worker id will be released by id. If the
    // count restarted at zero, the worker would get more requests than it has slots.
    state.inFlight = previous?.inFlight ?? 0
    this.removed.delete(workerId)
    this.states.set(workerId, state)
    if (this.hasHadWorkers) this.startWarmUp(state, now)
  }

  /**
   * Begins the warm-up again for a worker that reports to be starting, for at most one warm-up
   * period: a worker that reports this forever would otherwise never gain weight.
   */
  private renewWarmUp (state: MutableWorkerState, now: Instant): void {
    state.startingSince ??= now
    if (now - state.startingSince <= this.policy.warmUpMs) this.startWarmUp(state, now)
  }

  private startWarmUp (state: MutableWorkerState, now: Instant): void {
    state.warmUpStartedAt = now
    state.warmUpUntil = createDeadline(now, this.policy.warmUpMs)
  }

  private applyDrain (state: MutableWorkerState, now: Instant): void {
    state.isDraining = state.isDrainReported || state.isVmBeingRemoved
    endExcessEjections(this.states, now)
  }
}
