/**
 * One service in one failure domain, as this entry VM may use it: the part of
 * each worker's slots that is its own, the requests that wait for one, and the
 * choice of the worker. The sum of all entry VMs' parts never exceeds a
 * worker's slots, so waiting here never overloads it.
 */
import type { IClock, Instant } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import type { IRandomSource } from '@umberspar/base/common/random'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import type { PlaceConfiguration, RequestKind, WorkerConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import type { SlotShare } from '@umberspar/steering/common/limits/divideSlots'
import { chooseWorker } from '@umberspar/steering/common/workers/chooseWorker'
import { DEFAULT_WORKER_POLICY, WorkerTable } from '@umberspar/steering/common/workers/workerTable'
import PQueue from 'p-queue'

/** Where the place is. */
export interface PlaceKey {
  readonly service: string
  readonly failureDomain: string
}

/** What a request needs of a place. */
export interface SlotRequest {
  /** 0 first, 9 last. */
  readonly priority: number
  /** What it mainly occupies. */
  readonly kind: RequestKind
  /** The latest instant at which it may still start. */
  readonly deadline: Deadline
  /** Workers that this request has tried already. */
  readonly excluded: ReadonlySet<string>
  /** Aborted when the caller has gone. */
  readonly signal: AbortSignal
}

/** A slot of one worker, held until released. */
export interface SlotGrant {
  readonly workerId: string
  readonly worker: WorkerConfiguration
  readonly table: WorkerTable
  /**
   * Gives the slot back; a second call does nothing.
   * @param heldUntil when nothing new may start on it earlier: the worker may still run what was cancelled
   */
  release(heldUntil?: Instant): void
}

/** Slots and waiting requests of one place at this entry VM. */
export class PlacePool implements IClosable {
  readonly table: WorkerTable
  private readonly queue = new PQueue({ concurrency: 1 })
  private workers: Readonly<Record<string, WorkerConfiguration>> = {}
  private parts: ReadonlyMap<string, SlotShare> = new Map()
  private maxQueue = 0

  constructor (
    readonly key: PlaceKey,
    private readonly clock: IClock,
    private readonly random: IRandomSource,
    warmUpSpanMs: number
  ) {
    this.table = new WorkerTable({ ...DEFAULT_WORKER_POLICY, warmUpSpanMs })
  }

  /** @returns requests that hold a slot here now */
  get inFlight (): number {
    let sum = 0
    for (const worker of this.table.list()) sum += worker.inFlight
    return sum
  }

  /** @returns requests that wait for a slot */
  get waiting (): number {
    return this.queue.size
  }

  /** @returns slots that are this entry VM's own */
  get slots (): number {
    let sum = 0
    for (const part of this.parts.values()) sum += part.slots
    return sum
  }

  /**
   * Takes over a new configuration or division. Slots in use beyond a smaller
   * part run out by themselves; nothing new starts on them.
   * @param place the place's workers and limits
   * @param parts this entry VM's part of each worker
   * @param maxQueue how many requests may wait
   */
  update (place: PlaceConfiguration, parts: ReadonlyMap<string, SlotShare>, maxQueue: number): void {
    this.workers = place.workers
    this.parts = parts
    this.maxQueue = maxQueue
    const known = new Map(Object.entries(place.workers).map(([workerId, worker]) =>
      [workerId, { address: worker.address, slots: parts.get(workerId)?.slots ?? 0 }]))
    this.table.updateWorkers(known, this.clock.now())
    this.setConcurrency(Math.min(this.slots, place.maxConcurrency ?? this.slots))
  }

  /**
   * Waits for a slot.
   * @param request priority, deadline and workers to leave out
   * @returns a slot of the chosen worker, or why there is none; no byte has left then
   */
  async acquire (request: SlotRequest): Promise<Result<SlotGrant, StepError>> {
    const refused = this.checkRoom()
    if (refused !== undefined) return new Err(refused)
    const waiting = new AbortController()
    const cancel = (): void => waiting.abort()
    const timer = this.clock.schedule(request.deadline, cancel)
    request.signal.addEventListener('abort', cancel, { once: true })
    try {
      return await this.runQueued(request, waiting.signal, () => {
        timer.close()
        request.signal.removeEventListener('abort', cancel)
      })
    } finally {
      timer.close()
      request.signal.removeEventListener('abort', cancel)
    }
  }

  /** Refuses whatever still waits. */
  close (): void {
    this.queue.clear()
  }

  private runQueued (request: SlotRequest, signal: AbortSignal, onStart: () => void): Promise<Result<SlotGrant, StepError>> {
    return new Promise((resolve) => {
      const holdSlot = async (): Promise<void> => {
        // From here on the slot is held: p-queue frees a running task's place
        // when its signal is aborted, which would let a second request onto it.
        onStart()
        const grant = this.take(request, this.clock.now())
        if (!grant.ok) {
          resolve(grant)
          return
        }
        const { promise: released, resolve: release } = createReleasable()
        resolve(new Ok(this.createGrant(grant.val, release)))
        await released
      }
      const options = { priority: -request.priority, signal }
      this.queue.add(holdSlot, options).catch(() => {
        resolve(new Err(this.createError(ErrorCode.DeadlinePassed, 'no slot came free in time')))
      })
    })
  }

  private checkRoom (): StepError | undefined {
    if (this.slots === 0) return this.createError(ErrorCode.Exhausted, 'this entry VM has no slot here')
    if (this.queue.pending >= this.queue.concurrency && this.queue.size >= this.maxQueue) {
      return this.createError(ErrorCode.Exhausted, `${this.queue.size} requests wait already`)
    }
    return undefined
  }

  private take (request: SlotRequest, now: Instant): Result<string, StepError> {
    if (request.signal.aborted) return new Err(this.createError(ErrorCode.Cancelled, 'the caller has gone'))
    if (hasPassed(request.deadline, now)) return new Err(this.createError(ErrorCode.DeadlinePassed, 'no slot came free in time'))
    const workerId = chooseWorker(this.table.list(), now, this.random, request.excluded)
    if (workerId === undefined || !this.table.reserve(workerId)) return new Err(this.createError(ErrorCode.Exhausted, 'no worker here can take a request'))
    return new Ok(workerId)
  }

  private createGrant (workerId: string, release: () => void): SlotGrant {
    let isHeld = true
    const worker = this.workers[workerId]!
    return {
      workerId,
      worker,
      table: this.table,
      release: (heldUntil) => {
        if (!isHeld) return
        isHeld = false
        const returnSlot = (): void => {
          this.table.release(workerId)
          release()
        }
        if (heldUntil === undefined || hasPassed(heldUntil, this.clock.now())) returnSlot()
        else this.clock.schedule(heldUntil, returnSlot)
      }
    }
  }

  private setConcurrency (slots: number): void {
    if (slots === 0) {
      this.queue.pause()
      return
    }
    this.queue.concurrency = slots
    this.queue.start()
  }

  private createError (code: ErrorCode, message: string): StepError {
    return new StepError({ code, step: 'acquire-slot', peer: `${this.key.service}/${this.key.failureDomain}`, message })
  }
}

/** @returns a promise and the function that settles it */
function createReleasable (): { promise: Promise<void>, resolve: () => void } {
  let settle: () => void = () => {}
  const promise = new Promise<void>((resolve) => { settle = resolve })
  return { promise, resolve: settle }
}
