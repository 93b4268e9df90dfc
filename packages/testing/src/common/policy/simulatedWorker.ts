/**
 * A worker in simulated time, modelled on the observed behaviour of the users'
 * workers. It has slots, a short queue, and refuses requests when the queue is full.
 * It has an LRU cache of objects, and requests for other objects take three times as
 * long. An object is cached from the start of its first request.
 */
import type { Instant } from '@umberspar/base/common/clock'
import type { IRandomSource } from '@umberspar/base/common/random'
import type { EventQueue } from '../choice/eventQueue.js'

/** The properties shared by all workers of a service. */
export interface WorkerTraits {
  readonly slots: number
  readonly queueCapacity: number
  /** Maximum number of cached objects. */
  readonly cacheCapacity: number
  /** Mean service time on a cache miss. */
  readonly coldServiceMs: number
  /** Service time on a cache hit, relative to a cache miss. */
  readonly warmServiceRatio: number
}

/** A request at a worker. */
export interface SimulatedJob {
  /** Identifies the requested object. */
  readonly key: string
  /** When the caller stops waiting; the request is not started after that. */
  readonly deadline: Instant
  /**
   * @param hasRun whether the request ran; if not, it was refused
   * @param load the worker's load
   */
  onEnd(hasRun: boolean, load: WorkerLoad): void
}

/** The load that a worker reports with each answer. */
export interface WorkerLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** Undefined unless the pace of the worker's machine changes. */
  readonly pace?: number
}

/** Service times are distributed uniformly around the mean by up to this part of it. */
const SERVICE_TIME_SPREAD_RATIO = 0.25
/** Refusing a request takes almost no time. */
const REFUSAL_MS = 1

/** A worker with slots, a bounded queue and an LRU cache. */
export class SimulatedWorker {
  private readonly cachedKeys = new Set<string>()
  private readonly queuedJobs: SimulatedJob[] = []
  private runningCount = 0
  /** Factor on service times. */
  slowFactor = 1
  /** Share of requests refused although the queue has room, between 0 and 1. */
  refusedShare = 0
  isDown = false
  /** How many times longer than usual work takes at the moment; undefined for a machine that doesn't tell. */
  pace: number | undefined
  /** Incremented when all requests are cancelled, to ignore their end events. */
  private generation = 0

  /**
   * @param traits the properties shared by all workers of the service
   * @param events the queue of simulated events
   * @param random the source of service times and refusals
   */
  constructor (private readonly traits: WorkerTraits, private readonly events: EventQueue, private readonly random: IRandomSource) {}

  /** Clears the cache, as a restart does. */
  clearCache (): void {
    this.cachedKeys.clear()
  }

  /** Cancels all requests, as their connections were closed; the cache is kept. */
  cancelAll (): void {
    this.generation++
    this.runningCount = 0
    this.queuedJobs.length = 0
  }

  /**
   * Starts, queues or refuses a request.
   * @param job the request
   */
  accept (job: SimulatedJob): void {
    const isRefused = this.isDown || this.queuedJobs.length >= this.traits.queueCapacity || this.random.next() < this.refusedShare
    if (isRefused) this.events.schedule(this.events.now() + REFUSAL_MS, () => { job.onEnd(false, this.readLoad()) })
    else if (this.runningCount < this.traits.slots) this.start(job)
    else this.queuedJobs.push(job)
  }

  private start (job: SimulatedJob): void {
    this.runningCount++
    const { coldServiceMs, warmServiceRatio } = this.traits
    const isCached = this.cachedKeys.has(job.key)
    this.addToCache(job.key)
    const spreadFactor = 1 + SERVICE_TIME_SPREAD_RATIO * (2 * this.random.next() - 1)
    const endsAt = this.events.now() + coldServiceMs * (isCached ? warmServiceRatio : 1) * this.slowFactor * (this.pace ?? 1) * spreadFactor
    const { generation } = this
    this.events.schedule(Math.min(endsAt, job.deadline), () => {
      if (generation !== this.generation) return
      const load = this.readLoad()
      this.runningCount--
      this.startNext()
      job.onEnd(true, load)
    })
  }

  private startNext (): void {
    for (let next = this.queuedJobs.shift(); next !== undefined; next = this.queuedJobs.shift()) {
      if (next.deadline > this.events.now()) {
        this.start(next)
        return
      }
      next.onEnd(false, this.readLoad())
    }
  }

  private addToCache (key: string): void {
    this.cachedKeys.delete(key)
    this.cachedKeys.add(key)
    if (this.cachedKeys.size > this.traits.cacheCapacity) this.cachedKeys.delete(this.cachedKeys.values().next().value as string)
  }

  private readLoad (): WorkerLoad {
    return { running: this.runningCount, waiting: this.queuedJobs.length, slots: this.traits.slots, pace: this.pace }
  }
}
