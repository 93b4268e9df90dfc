/**
 * Plays a load pattern in simulated time against the product's own decisions: each
 * entry VM has a view of its own and learns from its own requests only. Compares
 * ways of choosing a worker by the worth that callers get.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { SeededRandom } from '@umberspar/base/common/random'
import type { shouldOffer } from '@umberspar/steering/common/entry/admission'
import type { computeRetry } from '@umberspar/steering/common/entry/comeBack'
import type { Candidate, Choice, Need } from '@umberspar/steering/common/entry/chooseUpstream'
import { DomainDistances } from '@umberspar/steering/common/entry/domainDistances'
import { EntryView } from '@umberspar/steering/common/entry/entryView'
import { mayOfferAfterRefusal } from '@umberspar/steering/common/entry/offerAgain'
import { observeAnswer } from '@umberspar/steering/common/entry/offerLesson'
import { RouteKind, type RoutePolicy } from '@umberspar/steering/common/entry/steeringDocument'
import { UpstreamState } from '@umberspar/steering/common/entry/records'
import { EventQueue } from '../choice/eventQueue.js'
import type { LoadPattern } from './loadPattern.js'
import { ModelWorker, type WorkerLoad } from './modelWorker.js'

/** How a worker is chosen among the candidates. */
export type Chooser = (candidates: readonly Candidate[], need: Need) => Choice | undefined

/** The decisions that are compared. */
export interface ModelPolicy {
  readonly choose: Chooser
  readonly shouldOffer: typeof shouldOffer
  readonly computeRetry: typeof computeRetry
}

/** What callers got, as parts of what was asked. */
export interface PolicyResult {
  readonly asked: number
  readonly inTime: number
  readonly late: number
  readonly unserved: number
  /** Worth of all answers over that of all requests; a late answer has a fifth. */
  readonly worth: number
}

const SERVICE = 'service'
const REGIONS = ['a', 'b', 'c']
/** One way within a region, in milliseconds. */
const NEAR_MS = 1
const LATE_WORTH = 0.2
/** Callers that found all VMs dark reach one within this time of their return, in milliseconds. */
const LATE_OPEN_MS = 500
const BUDGET = { ratio: 0.2, windowMs: 10_000, slack: 60 }
/** Callers honour up to this part of the time that they have left. */
const HONOURED_PART = 1 / 3
/** Callers that repeat at once do so this often. */
const ABUSE_REPEATS = 3

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

interface VmPlace {
  readonly name: string
  readonly domain: string
}

interface ModelVm extends VmPlace {
  view: EntryView
}

interface ModelRequest {
  readonly key: string
  readonly region: string
  readonly startedAt: Instant
  readonly isAbusive: boolean
  retriesLeft: number
  isDone: boolean
}

/** One run. */
export class PolicyModel {
  private readonly events = new EventQueue()
  private readonly random: SeededRandom
  private readonly regionOf: Map<string, string>
  private readonly workers = new Map<string, { readonly domain: string, readonly worker: ModelWorker }>()
  private readonly vms: readonly ModelVm[]
  private readonly route: RoutePolicy
  private rateFactor = 1
  /** Requests at workers, so that they can be asked again if all VMs end. */
  private readonly underWay = new Set<ModelRequest>()
  private darkUntil: Instant = 0
  private asked = 0
  private inTime = 0
  private late = 0

  /**
   * @param pattern the load
   * @param policy the decisions
   * @param seed of arrivals, objects, work and refusals
   */
  constructor (private readonly pattern: LoadPattern, private readonly policy: ModelPolicy, seed: number) {
    this.random = new SeededRandom(seed)
    this.route = { ...ROUTE, goalMs: pattern.goalMs, timeoutMs: pattern.patienceMs }
    this.regionOf = new Map(REGIONS.flatMap((region) => Array.from({ length: pattern.domainsPerRegion }, (_, index) => [`${region}-${index}`, region] as const)))
    for (const [domain, region] of this.regionOf) {
      for (let index = 0; index < pattern.workersPerDomain[REGIONS.indexOf(region)]!; index++) {
        this.workers.set(`${domain}-w${index}`, { domain, worker: new ModelWorker(pattern.traits, this.events, this.random) })
      }
    }
    const places = [...this.regionOf.keys()].flatMap((domain) => Array.from({ length: pattern.vmsPerDomain }, (_, index) => ({ name: `${domain}-v${index}`, domain })))
    this.vms = places.map((place) => ({ ...place, view: this.buildView(place, places) }))
  }

  /** @returns what callers got */
  run (): PolicyResult {
    for (const region of REGIONS) this.scheduleArrival(region)
    for (const step of this.pattern.steps) this.scheduleStep(step)
    const { forgetAt, darkMs = 0 } = this.pattern
    if (forgetAt !== undefined) this.events.schedule(forgetAt - darkMs, () => { this.clearVms(forgetAt) })
    this.events.runUntil(this.pattern.spanMs + this.pattern.patienceMs)
    const { asked, inTime, late } = this
    return { asked, inTime: inTime / asked, late: late / asked, unserved: 1 - (inTime + late) / asked, worth: (inTime + LATE_WORTH * late) / asked }
  }

  private buildView ({ name, domain }: VmPlace, places: readonly VmPlace[]): EntryView {
    const view = new EntryView({
      node: name,
      domain,
      regionOf: this.regionOf,
      distances: new DomainDistances(domain, this.regionOf),
      coldTolerance: { factor: 1.5, slack: 5 },
      rateTolerance: { factor: 1.5, slack: 5 },
      budget: BUDGET
    })
    const now = this.events.now()
    for (const [id, worker] of this.workers) {
      view.putUpstream({ id, service: SERVICE, address: id, domain: worker.domain, slots: this.pattern.traits.slots, state: UpstreamState.Ready, coldMs: 0 }, now)
    }
    for (const place of places) view.putNode({ ...place, address: place.name, peerAddress: place.name })
    return view
  }

  /** Ends all VMs, with what is under way; they know nothing when they begin again. */
  private clearVms (beginAt: Instant): void {
    this.darkUntil = beginAt
    for (const vm of this.vms) vm.view = this.buildView(vm, this.vms)
    if (this.pattern.darkMs === undefined) return
    for (const { worker } of this.workers.values()) worker.cancelAll()
    for (const request of this.underWay) this.startAttempt(request)
    this.underWay.clear()
  }

  private scheduleStep ({ at, until, part, slowFactor, refusedPart, isDown, rateFactor }: LoadPattern['steps'][number]): void {
    // Those of one region first, as in the loss of a region.
    const concerned = [...this.workers.values()].slice(0, Math.round(part * this.workers.size)).map(({ worker }) => worker)
    const apply = (isBegin: boolean): void => {
      this.rateFactor = isBegin ? rateFactor ?? 1 : 1
      for (const worker of concerned) {
        worker.slowFactor = isBegin ? slowFactor ?? 1 : 1
        worker.refusedPart = isBegin ? refusedPart ?? 0 : 0
        if (isDown === true) {
          worker.isDown = isBegin
          worker.clear()
        }
      }
    }
    this.events.schedule(at, () => { apply(true) })
    this.events.schedule(until, () => { apply(false) })
  }

  private scheduleArrival (region: string): void {
    const perMs = this.pattern.requestsPerSecond * this.rateFactor / REGIONS.length / 1_000
    const at = this.events.now() - Math.log(1 - this.random.next()) / perMs
    if (at > this.pattern.spanMs) return
    this.events.schedule(at, () => {
      this.scheduleArrival(region)
      const isAbusive = this.random.next() < this.pattern.abusePart
      const key = `${region}/${Math.floor(this.random.next() * this.pattern.objectsPerRegion)}`
      if (at >= this.pattern.countFromMs) this.asked++
      this.startAttempt({ key, region, startedAt: at, isAbusive, retriesLeft: isAbusive ? ABUSE_REPEATS : 1, isDone: false })
    })
  }

  private startAttempt (request: ModelRequest): void {
    if (this.events.now() < this.darkUntil) {
      this.events.schedule(this.darkUntil + this.random.next() * LATE_OPEN_MS, () => { this.startAttempt(request) })
      return
    }
    const near = this.vms.filter(({ domain }) => this.regionOf.get(domain) === request.region)
    const vm = near[Math.floor(this.random.next() * near.length)]!
    vm.view.readRepeats(SERVICE).recordFirst(this.events.now())
    this.sendNext(vm, request, new Set())
  }

  private sendNext (vm: ModelVm, request: ModelRequest, tried: Set<string>): void {
    const { view } = vm
    const now = this.events.now()
    const work = view.readWork(this.route, SERVICE)
    const roster = view.readRoster(SERVICE)
    const latestAt = request.startedAt + this.pattern.patienceMs
    const candidates = roster.listCandidates({ homeRegions: [], key: request.key, tried }, work, view.evacuated, now)
    const busyness = roster.getBusyness(now)
    const need = { now, goalAt: request.startedAt + this.pattern.goalMs, latestAt, bytes: 5_000, busyness }
    const choice = this.policy.choose(candidates, need)
    const isOffered = choice !== undefined && this.policy.shouldOffer(choice, { now, latestAt, isLearned: work.isLearned, wasSent: tried.size > 0, busyness })
    if (!isOffered || (tried.size > 0 && !view.readRepeats(SERVICE).take(now))) {
      this.refuse(request, this.policy.computeRetry(choice, this.random))
      return
    }
    this.sendTo(vm, request, tried, choice, latestAt)
  }

  private sendTo (vm: ModelVm, request: ModelRequest, tried: Set<string>, choice: Choice, latestAt: Instant): void {
    const { tracker } = choice.candidate
    const { id, domain } = tracker.entry
    const sentAt = this.events.now()
    const wayMs = this.regionOf.get(domain) === request.region ? NEAR_MS : this.pattern.farMs
    const open = tracker.start(sentAt, choice.expectedMs)
    tried.add(id)
    this.underWay.add(request)
    const handleEnd = (isRun: boolean, load: WorkerLoad): void => {
      const now = this.events.now()
      this.underWay.delete(request)
      tracker.finish(open)
      tracker.recordReport(load, now)
      tracker.recordResult(!isRun, now)
      if (!isRun) {
        if (mayOfferAfterRefusal(this.route, { sent: tried.size, unsent: 0 })) this.sendNext(vm, request, tried)
        else this.refuse(request, this.policy.computeRetry(choice, this.random))
        return
      }
      const roster = vm.view.readRoster(SERVICE)
      observeAnswer({ choice, key: request.key, tookMs: now - sentAt, bytes: 5_000, now }, roster, vm.view.readWork(this.route, SERVICE))
      this.finish(request, now)
    }
    this.events.schedule(sentAt + wayMs, () => {
      this.workers.get(id)!.worker.accept({ key: request.key, latestAt, onEnd: (isRun, load) => { this.events.schedule(this.events.now() + wayMs, () => { handleEnd(isRun, load) }) } })
    })
  }

  private refuse (request: ModelRequest, retryAfterMs: number): void {
    if (request.retriesLeft === 0 || request.isDone) return
    request.retriesLeft--
    const now = this.events.now()
    const leftMs = request.startedAt + this.pattern.patienceMs - now
    const pauseMs = request.isAbusive ? 0 : Math.min(retryAfterMs, leftMs * HONOURED_PART)
    this.events.schedule(now + pauseMs + 2 * NEAR_MS, () => { this.startAttempt(request) })
  }

  private finish (request: ModelRequest, now: Instant): void {
    if (request.isDone || request.startedAt < this.pattern.countFromMs) return
    request.isDone = true
    const tookMs = now - request.startedAt
    if (tookMs <= this.pattern.goalMs) this.inTime++
    else if (tookMs < this.pattern.patienceMs) this.late++
  }
}
