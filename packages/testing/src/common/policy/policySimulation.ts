/**
 * Simulates a load pattern against a steering policy, to compare policies by the
 * worth of the answers that callers get. Each entry VM has its own view of the
 * workers and learns only from its own requests.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { SeededRandom } from '@umberspar/base/common/random'
import { FULL_SATURATION, type shouldAdmit } from '@umberspar/steering/common/entry/admission/admission'
import { estimateRoom } from '@umberspar/steering/common/entry/retry/retryDelay'
import type { Candidate, UpstreamChoice, ChoiceContext } from '@umberspar/steering/common/entry/workers/chooseUpstream'
import { DomainRoundTrips } from '@umberspar/steering/common/entry/placement/domainRoundTrips'
import { EntryView } from '@umberspar/steering/common/entry/entryView'
import { mayRetryAfterRefusal } from '@umberspar/steering/common/entry/retry/mayRetry'
import { observeResponse } from '@umberspar/steering/common/entry/workers/observeResponse'
import { WorkerLoadExchange } from '@umberspar/steering/common/entry/workers/workerLoadExchange'
import { RouteKind, type RoutePolicy } from '@umberspar/steering/common/entry/steeringDocument'
import { UpstreamState } from '@umberspar/steering/common/entry/records'
import { EventQueue } from '../choice/eventQueue.js'
import type { LoadPattern } from './loadPattern.js'
import { SimulatedExchange } from './simulatedExchange.js'
import { SimulatedWorker, type WorkerLoad } from './simulatedWorker.js'

/** Chooses a worker among the candidates. */
export type UpstreamChooser = (candidates: readonly Candidate[], need: ChoiceContext) => UpstreamChoice | undefined

/** The decisions in which policies can differ. */
export interface SteeringPolicy {
  readonly choose: UpstreamChooser
  readonly shouldOffer: typeof shouldAdmit
}

/** The result of a simulation; all but the count are shares of the requests, between 0 and 1. */
export interface PolicyResult {
  readonly requestCount: number
  readonly inTime: number
  readonly late: number
  readonly unserved: number
  /** Worth of all answers relative to that of all requests; a late answer is worth a fifth. */
  readonly worth: number
  /** Mean number of requests waiting at a worker at the end of a request; not a share. */
  readonly meanWaiting: number
}

const SERVICE = 'service'
const REGIONS = ['a', 'b', 'c']
/** One-way network delay within a region. */
const IN_REGION_DELAY_MS = 1
const LATE_ANSWER_WORTH_RATIO = 0.2
/** After an outage of all VMs, callers reconnect within this time. */
const MAX_RECONNECT_DELAY_MS = 500
const RETRY_BUDGET = { ratio: 0.2, windowMs: 10_000, slack: 60 }
/** Callers wait for at most this part of their remaining time before a retry, even if told to wait longer. */
const MAX_RETRY_DELAY_RATIO = 1 / 3
/** Part of the time in which a machine is slow, and how slow it is then. */
const SLOW_PHASE_SHARE = 0.2
const SLOW_PACE = 2
/** Number of retries of callers that ignore retry delays. */
const MAX_IMMEDIATE_RETRIES = 3

const ROUTE: RoutePolicy = {
  name: 'route',
  host: 'host',
  prefix: '/',
  kind: RouteKind.Idempotent,
  parts: [{ service: SERVICE, weight: 1 }],
  timeoutMs: 0,
  goalMs: 0,
  attempts: 2,
  priority: 1,
  isSticky: true,
  homeRegions: [],
  isOpen: false
}

interface VmLocation {
  readonly name: string
  readonly domain: string
}

interface SimulatedVm extends VmLocation {
  view: EntryView
  loads: WorkerLoadExchange | undefined
}

interface SimulatedRequest {
  readonly key: string
  readonly region: string
  readonly startedAt: Instant
  readonly isRetriedImmediately: boolean
  retriesLeft: number
  isDone: boolean
}

/** Simulates one load pattern with one policy. */
export class PolicySimulation {
  private readonly events = new EventQueue()
  private readonly random: SeededRandom
  private readonly regionOf: Map<string, string>
  private readonly workers = new Map<string, { readonly domain: string, readonly worker: SimulatedWorker }>()
  private readonly vms: readonly SimulatedVm[]
  private readonly route: RoutePolicy
  private arrivalRateFactor = 1
  /** Requests at workers, to be retried after an outage of all VMs. */
  private readonly inFlight = new Set<SimulatedRequest>()
  private outageEndsAt: Instant = 0
  private requestCount = 0
  private inTimeCount = 0
  private lateCount = 0
  private readonly waiting = { sum: 0, count: 0 }
  private readonly exchange: SimulatedExchange | undefined

  /**
   * @param pattern the load pattern
   * @param policy the steering policy
   * @param seed random seed of arrivals, objects, service times and refusals
   */
  constructor (private readonly pattern: LoadPattern, private readonly policy: SteeringPolicy, seed: number) {
    this.random = new SeededRandom(seed)
    this.exchange = pattern.exchange === undefined ? undefined : new SimulatedExchange(pattern.exchange, this.events)
    this.route = { ...ROUTE, goalMs: pattern.goalMs, timeoutMs: pattern.callerTimeoutMs }
    this.regionOf = new Map(REGIONS.flatMap((region) => Array.from({ length: pattern.domainsPerRegion }, (_, index) => [`${region}-${index}`, region] as const)))
    for (const [domain, region] of this.regionOf) {
      for (let index = 0; index < pattern.workersPerDomain[REGIONS.indexOf(region)]!; index++) {
        this.workers.set(`${domain}-w${index}`, { domain, worker: new SimulatedWorker(pattern.traits, this.events, this.random) })
      }
    }
    const locations = [...this.regionOf.keys()].flatMap((domain) => Array.from({ length: pattern.vmsPerDomain }, (_, index) => ({ name: `${domain}-v${index}`, domain })))
    this.vms = locations.map((location) => ({ ...location, ...this.buildState(location, locations, Number.NEGATIVE_INFINITY) }))
  }

  /** @returns the result as callers see it */
  run (): PolicyResult {
    for (const region of REGIONS) this.scheduleArrival(region)
    for (const step of this.pattern.steps) this.scheduleStep(step)
    const { restartAt, outageMs = 0 } = this.pattern
    if (restartAt !== undefined) this.events.schedule(restartAt - outageMs, () => { this.resetVms(restartAt) })
    if (this.pattern.paceIntervalMs !== undefined) this.schedulePace(this.pattern.paceIntervalMs)
    this.events.runUntil(this.pattern.durationMs + this.pattern.callerTimeoutMs)
    const { requestCount, inTimeCount, lateCount } = this
    return { requestCount, inTime: inTimeCount / requestCount, late: lateCount / requestCount, unserved: 1 - (inTimeCount + lateCount) / requestCount, worth: (inTimeCount + LATE_ANSWER_WORTH_RATIO * lateCount) / requestCount, meanWaiting: this.waiting.sum / this.waiting.count }
  }

  private buildState (location: VmLocation, locations: readonly VmLocation[], startedAt: Instant): Pick<SimulatedVm, 'view' | 'loads'> {
    const view = this.buildView(location, locations, startedAt)
    return { view, loads: this.exchange && new WorkerLoadExchange(this.exchange.createEnd(location.name), this.events, (id) => view.findUpstream(id)) }
  }

  private buildView ({ name, domain }: VmLocation, locations: readonly VmLocation[], startedAt: Instant): EntryView {
    const view = new EntryView({
      mayShare: () => true,
      node: name,
      domain,
      regionByDomain: this.regionOf,
      roundTrips: new DomainRoundTrips(domain, this.regionOf),
      coldTolerance: { factor: 1.5, slack: 5 },
      rateTolerance: { factor: 1.5, slack: 5 },
      retryBudget: RETRY_BUDGET,
      startedAt
    })
    const now = this.events.now()
    for (const [id, worker] of this.workers) {
      view.putUpstream({ id, service: SERVICE, address: id, domain: worker.domain, slots: this.pattern.traits.slots, state: UpstreamState.Ready, coldMs: 0 }, now)
    }
    for (const location of locations) view.putNode({ ...location, address: location.name, peerAddress: location.name }, now)
    return view
  }

  /** Restarts all VMs without state at the given instant; in an outage, requests in flight are lost and retried. */
  private resetVms (restartAt: Instant): void {
    this.outageEndsAt = restartAt
    for (const vm of this.vms) Object.assign(vm, this.buildState(vm, this.vms, this.events.now()))
    if (this.pattern.outageMs === undefined) return
    for (const { worker } of this.workers.values()) worker.cancelAll()
    for (const request of this.inFlight) this.startAttempt(request)
    this.inFlight.clear()
  }

  private scheduleStep ({ at, until, affectedShare, slowFactor, refusedShare, isDown, arrivalRateFactor }: LoadPattern['steps'][number]): void {
    // Workers are ordered by region, so that the affected workers are in the same region where possible.
    const affectedWorkers = [...this.workers.values()].slice(0, Math.round(affectedShare * this.workers.size)).map(({ worker }) => worker)
    const apply = (isStart: boolean): void => {
      this.arrivalRateFactor = isStart ? arrivalRateFactor ?? 1 : 1
      for (const worker of affectedWorkers) {
        worker.slowFactor = isStart ? slowFactor ?? 1 : 1
        worker.refusedShare = isStart ? refusedShare ?? 0 : 0
        if (isDown === true) {
          worker.isDown = isStart
          worker.clearCache()
        }
      }
    }
    this.events.schedule(at, () => { apply(true) })
    this.events.schedule(until, () => { apply(false) })
  }

  private schedulePace (intervalMs: number): void {
    for (const { worker } of this.workers.values()) worker.pace = this.random.next() < SLOW_PHASE_SHARE ? SLOW_PACE : 1
    const nextAt = this.events.now() + intervalMs
    if (nextAt < this.pattern.durationMs) this.events.schedule(nextAt, () => { this.schedulePace(intervalMs) })
  }

  private scheduleArrival (region: string): void {
    const arrivalsPerMs = this.pattern.requestsPerSecond * this.arrivalRateFactor / REGIONS.length / 1_000
    const at = this.events.now() - Math.log(1 - this.random.next()) / arrivalsPerMs
    if (at > this.pattern.durationMs) return
    this.events.schedule(at, () => {
      this.scheduleArrival(region)
      const isRetriedImmediately = this.random.next() < this.pattern.immediateRetryShare
      const key = `${region}/${Math.floor(this.random.next() * this.pattern.objectsPerRegion)}`
      if (at >= this.pattern.measureFromMs) this.requestCount++
      this.startAttempt({ key, region, startedAt: at, isRetriedImmediately, retriesLeft: isRetriedImmediately ? MAX_IMMEDIATE_RETRIES : 1, isDone: false })
    })
  }

  private startAttempt (request: SimulatedRequest): void {
    if (this.events.now() < this.outageEndsAt) {
      this.events.schedule(this.outageEndsAt + this.random.next() * MAX_RECONNECT_DELAY_MS, () => { this.startAttempt(request) })
      return
    }
    const localVms = this.vms.filter(({ domain }) => this.regionOf.get(domain) === request.region)
    const vm = localVms[Math.floor(this.random.next() * localVms.length)]!
    vm.view.getRetryBudget(SERVICE).recordFirstAttempt(this.events.now())
    this.sendNext(vm, request, new Set())
  }

  private sendNext (vm: SimulatedVm, request: SimulatedRequest, triedWorkerIds: Set<string>): void {
    const { view } = vm
    const now = this.events.now()
    const work = view.getServiceTimes(this.route, SERVICE)
    const roster = view.getPool(SERVICE)
    const latestAt = request.startedAt + this.pattern.callerTimeoutMs
    const candidates = roster.listCandidates({ homeRegions: [], key: request.key, triedWorkers: triedWorkerIds }, work, view.evacuatedDomains, now)
    const busyness = roster.getSaturation(now)
    const need = { now, goalAt: request.startedAt + this.pattern.goalMs, deadline: latestAt, bytes: 5_000, saturation: busyness }
    const choice = this.policy.choose(candidates, need)
    const isAdmitted = choice !== undefined && this.policy.shouldOffer(choice, { now, deadline: latestAt, hasEnoughSamples: work.hasEnoughSamples, wasSent: triedWorkerIds.size > 0, saturation: busyness })
    if (!isAdmitted || (triedWorkerIds.size > 0 && !view.getRetryBudget(SERVICE).take(now))) {
      this.handleRefusal(vm, request, choice)
      return
    }
    this.sendTo(vm, request, triedWorkerIds, choice, latestAt)
  }

  private sendTo (vm: SimulatedVm, request: SimulatedRequest, triedWorkerIds: Set<string>, choice: UpstreamChoice, latestAt: Instant): void {
    const { tracker } = choice.candidate
    const { id, domain } = tracker.registration
    const sentAt = this.events.now()
    const networkDelayMs = this.regionOf.get(domain) === request.region ? IN_REGION_DELAY_MS : this.pattern.crossRegionDelayMs
    const trackedRequest = tracker.startRequest(sentAt, choice.expectedMs)
    triedWorkerIds.add(id)
    this.inFlight.add(request)
    const handleEnd = (hasRun: boolean, load: WorkerLoad): void => {
      const now = this.events.now()
      this.inFlight.delete(request)
      tracker.finishRequest(trackedRequest)
      tracker.recordReport(load, now)
      vm.loads?.publish(tracker, load, now)
      this.recordWaiting(load, now)
      tracker.recordResult(!hasRun, now)
      if (!hasRun) {
        if (mayRetryAfterRefusal(this.route, { sent: triedWorkerIds.size, unsent: 0 })) this.sendNext(vm, request, triedWorkerIds)
        else this.handleRefusal(vm, request, choice)
        return
      }
      const roster = vm.view.getPool(SERVICE)
      observeResponse({ choice, key: request.key, tookMs: now - sentAt, bytes: 5_000, report: load, now }, roster, vm.view.getServiceTimes(this.route, SERVICE))
      vm.view.callerReturns.getSchedule(SERVICE).recordAnswer(now)
      this.finish(request, now)
    }
    this.events.schedule(sentAt + networkDelayMs, () => {
      this.workers.get(id)!.worker.accept({ key: request.key, deadline: latestAt, onEnd: (hasRun, load) => { this.events.schedule(this.events.now() + networkDelayMs, () => { handleEnd(hasRun, load) }) } })
    })
  }

  private recordWaiting ({ waiting }: WorkerLoad, now: Instant): void {
    if (now < this.pattern.measureFromMs) return
    this.waiting.sum += waiting
    this.waiting.count++
  }

  private handleRefusal (vm: SimulatedVm, request: SimulatedRequest, choice: UpstreamChoice | undefined): void {
    if (request.retriesLeft === 0 || request.isDone) return
    request.retriesLeft--
    const now = this.events.now()
    const deadline = request.startedAt + this.pattern.callerTimeoutMs
    const hasFreeSlots = vm.view.getPool(SERVICE).getSaturation(now) < FULL_SATURATION
    const { delayMs: retryAfterMs } = vm.view.callerReturns.getSchedule(SERVICE).reserve({ ...estimateRoom(choice, now), now, hasFreeSlots, deadline }, this.random)
    const remainingMs = deadline - now
    const retryDelayMs = request.isRetriedImmediately ? 0 : Math.min(retryAfterMs, remainingMs * MAX_RETRY_DELAY_RATIO)
    this.events.schedule(now + retryDelayMs + 2 * IN_REGION_DELAY_MS, () => { this.startAttempt(request) })
  }

  private finish (request: SimulatedRequest, now: Instant): void {
    if (request.isDone || request.startedAt < this.pattern.measureFromMs) return
    request.isDone = true
    const tookMs = now - request.startedAt
    if (tookMs <= this.pattern.goalMs) this.inTimeCount++
    else if (tookMs < this.pattern.callerTimeoutMs) this.lateCount++
  }
}
