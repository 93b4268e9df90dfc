/**
 * A worker in simulated time, as the users' workers were seen to be: slots, a short
 * queue beyond which it refuses, a bounded number of objects at hand of which the
 * longest unused goes first, and work that is three times as long on others. An
 * object is at hand from the beginning of its first request on.
 */
import type { Instant } from '@umberspar/base/common/clock'
import type { IRandomSource } from '@umberspar/base/common/random'
import type { EventQueue } from '../choice/eventQueue.js'

/** What all workers of a service have in common. */
export interface WorkerTraits {
  readonly slots: number
  readonly queue: number
  /** Objects that it keeps at hand. */
  readonly keeps: number
  /** Work on an object that is not at hand, in milliseconds. */
  readonly workMs: number
  /** Work on one that is, as a part of the above. */
  readonly warmPart: number
}

/** One request at a worker. */
export interface WorkerJob {
  readonly key: string
  /** When nobody waits any more: it is not begun after that. */
  readonly latestAt: Instant
  /** @param isRun whether it ran; if not it was refused */
  onEnd(isRun: boolean, load: WorkerLoad): void
}

/** What a worker tells with an answer. */
export interface WorkerLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
}

/** Work spreads evenly by this part around its mean. */
const WORK_SPREAD = 0.25
/** A refusal takes next to nothing. */
const REFUSE_MS = 1

/** One worker. */
export class ModelWorker {
  private readonly atHand = new Set<string>()
  private readonly waiting: WorkerJob[] = []
  private running = 0
  /** Multiplies its work. */
  slowFactor = 1
  /** The part of requests that it refuses without need. */
  refusedPart = 0
  isDown = false
  /** Rises when what is under way is dropped. */
  private epoch = 0

  /**
   * @param traits what all workers of its service have in common
   * @param events simulated time
   * @param random for work and refusals
   */
  constructor (private readonly traits: WorkerTraits, private readonly events: EventQueue, private readonly random: IRandomSource) {}

  /** Loses what it has at hand, as a restart does. */
  clear (): void {
    this.atHand.clear()
  }

  /** Drops what is under way, as its callers' connections have ended; what is at hand stays. */
  cancelAll (): void {
    this.epoch++
    this.running = 0
    this.waiting.length = 0
  }

  /** Takes a request. */
  accept (job: WorkerJob): void {
    const isRefused = this.isDown || this.waiting.length >= this.traits.queue || this.random.next() < this.refusedPart
    if (isRefused) this.events.schedule(this.events.now() + REFUSE_MS, () => { job.onEnd(false, this.readLoad()) })
    else if (this.running < this.traits.slots) this.start(job)
    else this.waiting.push(job)
  }

  private start (job: WorkerJob): void {
    this.running++
    const { workMs, warmPart } = this.traits
    const isWarm = this.atHand.has(job.key)
    this.keep(job.key)
    const spread = 1 + WORK_SPREAD * (2 * this.random.next() - 1)
    const endsAt = this.events.now() + workMs * (isWarm ? warmPart : 1) * this.slowFactor * spread
    const { epoch } = this
    this.events.schedule(Math.min(endsAt, job.latestAt), () => {
      if (epoch !== this.epoch) return
      const load = this.readLoad()
      this.running--
      this.startNext()
      job.onEnd(true, load)
    })
  }

  private startNext (): void {
    for (let next = this.waiting.shift(); next !== undefined; next = this.waiting.shift()) {
      if (next.latestAt > this.events.now()) {
        this.start(next)
        return
      }
      next.onEnd(false, this.readLoad())
    }
  }

  private keep (key: string): void {
    this.atHand.delete(key)
    this.atHand.add(key)
    if (this.atHand.size > this.traits.keeps) this.atHand.delete(this.atHand.values().next().value as string)
  }

  private readLoad (): WorkerLoad {
    return { running: this.running, waiting: this.waiting.length, slots: this.traits.slots }
  }
}
