/**
 * One service in one failure domain, as this entry VM may use it: the part of
 * each worker's slots that is its own or borrowed, the requests that wait for
 * one, and the choice of the worker. The sum of all entry VMs' parts never
 * exceeds a worker's slots, so waiting here never overloads it.
 */
import type { IClock, Instant } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { Emitter } from '@umberspar/base/common/event'
import type { IRandomSource } from '@umberspar/base/common/random'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import type { PlaceConfiguration, WorkerConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import { AdmissionError } from '@umberspar/steering/common/limits/admissionError'
import type { SlotShare } from '@umberspar/steering/common/limits/divideSlots'
import type { TakenSlot } from '@umberspar/steering/common/limits/loans'
import { DemandMean } from '@umberspar/steering/common/limits/demandMean'
import { PlaceLedger } from '@umberspar/steering/common/limits/placeLedger'
import { buildPlaceKey, buildSlotKey } from '@umberspar/steering/common/limits/slotKey'
import { chooseWorker } from '@umberspar/steering/common/workers/chooseWorker'
import { DEFAULT_WORKER_POLICY, type WorkerState, WorkerTable } from '@umberspar/steering/common/workers/workerTable'
import { type AdmissionPolicy, AdmissionQueue } from './admissionQueue.js'
import type { PlaceKey, SlotGrant, SlotRequest } from './slotGrant.js'

export type { PlaceKey, SlotGrant, SlotRequest } from './slotGrant.js'

/** A request on a loan must have ended so long before the loan does, in milliseconds. */
const LOAN_END_MARGIN_MS = 500
/** Retry-After where workers are there but none may take a request, in milliseconds. */
const NO_WORKER_SPAN_MS = 1000

/** Whether slots may come from peers. */
export enum BorrowState {
  /** Nobody has any to lend. */
  Impossible = 'impossible',
  Possible = 'possible',
  /** All who could lend have just refused. */
  Refused = 'refused'
}

/** Slots and waiting requests of one place at this entry VM. */
export class PlacePool implements IClosable {
  readonly table: WorkerTable
  readonly ledger = new PlaceLedger()
  private readonly queue: AdmissionQueue
  private readonly didLack = new Emitter<PlacePool>()
  private workers: Readonly<Record<string, WorkerConfiguration>> = {}
  private refusals = 0
  private readonly demand = new DemandMean()
  /** The latest deadline of a request that asked. */
  neededUntil: Deadline = -Infinity
  /** Set by whoever asks peers for slots. */
  borrowState = BorrowState.Impossible

  /** Fires when a request found no free slot. */
  readonly onDidLack = this.didLack.event

  constructor (
    readonly key: PlaceKey,
    private readonly clock: IClock,
    private readonly random: IRandomSource,
    warmUpSpanMs: number,
    admission?: AdmissionPolicy
  ) {
    this.table = new WorkerTable({ ...DEFAULT_WORKER_POLICY, warmUpSpanMs })
    this.queue = new AdmissionQueue(buildPlaceKey(key.service, key.failureDomain), clock, {
      countSlots: () => this.countUsable(),
      mayBorrow: () => this.borrowState === BorrowState.Possible
    }, admission)
  }

  /** @returns requests that hold a slot here now */
  get inFlight (): number {
    return this.queue.running
  }

  /** @returns requests that wait for a slot */
  get waiting (): number {
    return this.queue.waiting
  }

  /** @returns slots that this entry VM may use now, borrowed ones included */
  get slots (): number {
    return this.countUsable()
  }

  /**
   * @param now the present
   * @returns the mean number of requests that held a slot or waited lately
   */
  getMeanDemand (now: Instant): number {
    return this.demand.getMean(now)
  }

  /** @returns workers of the place, by id */
  get configuredWorkers (): Readonly<Record<string, WorkerConfiguration>> {
    return this.workers
  }

  /**
   * Notes that a lender, who knows the worker at first hand, takes it for ready.
   * @param slotKey the worker's slots
   */
  applyReady (slotKey: string): void {
    const workerId = this.findWorker(slotKey)
    if (workerId !== undefined) this.table.markDraining(workerId, false, this.clock.now())
  }

  /**
   * @param slotKey a worker's slots
   * @returns whether the worker takes no new requests
   */
  isDraining (slotKey: string): boolean {
    const workerId = this.findWorker(slotKey)
    return workerId !== undefined && this.table.get(workerId)?.isDraining === true
  }

  /** @returns requests refused for lack of a slot since the last call */
  takeRefusals (): number {
    const refusals = this.refusals
    this.refusals = 0
    return refusals
  }

  /**
   * Takes over the place's workers; their parts follow by `update`.
   * @param place the place as configured
   */
  updateWorkers (place: PlaceConfiguration): void {
    this.workers = place.workers
  }

  /**
   * Takes over this node's parts. Slots in use beyond a smaller part run out by
   * themselves; nothing new starts on them.
   * @param parts by slot key
   * @param placePart the part of the place's own limit; Infinity where the operators set none
   * @param maxQueue how many requests may wait
   */
  update (parts: ReadonlyMap<string, SlotShare>, placePart: number, maxQueue: number): void {
    this.queue.maxQueue = maxQueue
    this.ledger.setParts(parts, placePart)
    this.applyLedger()
  }

  /** Applies what changed in the ledger: loans that came or ended. */
  applyLedger (): void {
    const now = this.clock.now()
    this.ledger.removeEnded(now)
    const known = new Map(Object.entries(this.workers).map(([workerId, worker]) =>
      [workerId, { address: worker.address, slots: this.ledger.countSlots(this.getSlotKey(workerId), now) }]))
    this.table.updateWorkers(known, now)
    this.queue.updateLimits()
  }

  /**
   * @param workerId one of the place's workers
   * @returns the name of its slots among entry VMs
   */
  getSlotKey (workerId: string): string {
    return buildSlotKey(this.key.service, this.key.failureDomain, workerId, this.workers[workerId]?.address ?? '')
  }

  /**
   * Waits for a slot.
   * @param request priority, deadline and workers to leave out
   * @returns a slot of the chosen worker, or why there is none; no byte has left then
   */
  async acquire (request: SlotRequest): Promise<Result<SlotGrant, StepError>> {
    if (request.signal.aborted) return new Err(this.createError(ErrorCode.Cancelled, 'the caller has gone'))
    if (hasPassed(request.deadline, this.clock.now())) return new Err(this.createError(ErrorCode.DeadlinePassed, 'the deadline has passed'))
    this.updateDemand(1)
    this.neededUntil = Math.max(this.neededUntil, request.deadline)
    if (this.queue.running >= this.countUsable()) this.didLack.fire(this)
    const refused = this.queue.checkRoom(request)
    if (refused !== undefined) return this.refuse(refused)
    return new Promise((resolve) => {
      const holdSlot = async (): Promise<void> => {
        const grant = this.take(request, this.clock.now())
        if (!grant.ok) {
          resolve(grant)
          return
        }
        const released = createReleasable()
        resolve(new Ok(this.createGrant(grant.val.workerId, grant.val.slot, released.resolve)))
        await released.promise
      }
      this.queue.add(request, holdSlot, (error) => resolve(this.refuseLate(request, error)))
    })
  }

  /** Refuses whatever still waits. */
  close (): void {
    this.queue.close()
    this.didLack.close()
  }

  private refuse (error: StepError): Result<SlotGrant, StepError> {
    this.refusals++
    return new Err(error)
  }

  private refuseLate (request: SlotRequest, error: AdmissionError): Result<SlotGrant, StepError> {
    if (request.signal.aborted) return new Err(this.createError(ErrorCode.Cancelled, 'the caller has gone'))
    if (hasPassed(request.deadline, this.clock.now())) return new Err(this.createError(ErrorCode.DeadlinePassed, 'no slot came free in time'))
    return this.refuse(error)
  }

  /** Slots of workers that take requests; a draining worker's are of no use to anybody. */
  private countUsable (): number {
    const now = this.clock.now()
    let sum = 0
    let held = 0
    for (const worker of this.table.list()) {
      const isUsable = !worker.isDraining && hasPassed(worker.ejectedUntil, now)
      if (isUsable) sum += worker.slots
      else held += worker.inFlight
    }
    return Math.min(sum + held, this.ledger.countPlaceSlots(now))
  }

  private take (request: SlotRequest, now: Instant): Result<{ workerId: string, slot: TakenSlot }, StepError> {
    if (request.signal.aborted) return new Err(this.createError(ErrorCode.Cancelled, 'the caller has gone'))
    if (hasPassed(request.deadline, now)) return new Err(this.createError(ErrorCode.DeadlinePassed, 'no slot came free in time'))
    const until = createDeadline(request.deadline, LOAN_END_MARGIN_MS)
    const candidates = this.listCandidates(until)
    const workerId = chooseWorker(candidates, now, this.random, request.excluded)
    const slot = workerId === undefined ? undefined : this.ledger.take(this.getSlotKey(workerId), until)
    if (workerId === undefined || slot === undefined) {
      this.refusals++
      return new Err(new AdmissionError(this.placeName, 'no worker here can take a request', NO_WORKER_SPAN_MS))
    }
    if (this.table.reserve(workerId)) return new Ok({ workerId, slot })
    this.ledger.release(slot)
    return new Err(new AdmissionError(this.placeName, 'no worker here can take a request', NO_WORKER_SPAN_MS))
  }

  private listCandidates (until: Deadline): WorkerState[] {
    return this.table.list().filter((worker) => this.ledger.countFree(this.getSlotKey(worker.workerId), until) > 0)
  }

  private findWorker (slotKey: string): string | undefined {
    return Object.keys(this.workers).find((id) => this.getSlotKey(id) === slotKey)
  }

  private createGrant (workerId: string, slot: TakenSlot, release: () => void): SlotGrant {
    let isHeld = true
    const releaseSlot = (): void => {
      this.table.release(workerId)
      this.ledger.release(slot)
      this.updateDemand(-1)
      // Its slot is gone with the request: a waiting one must not start in its place.
      if (slot.loan?.isClosing === true) this.applyLedger()
      release()
    }
    return {
      workerId,
      worker: this.workers[workerId]!,
      table: this.table,
      release: (heldUntil?: Instant) => {
        if (!isHeld) return
        isHeld = false
        if (heldUntil === undefined || hasPassed(heldUntil, this.clock.now())) releaseSlot()
        else this.clock.schedule(heldUntil, releaseSlot)
      }
    }
  }

  /** @param change what is about to be added to, or taken from, the requests here */
  private updateDemand (change: number): void {
    this.demand.update(Math.max(0, this.inFlight + this.waiting + change), this.clock.now())
  }

  private get placeName (): string {
    return buildPlaceKey(this.key.service, this.key.failureDomain)
  }

  private createError (code: ErrorCode, message: string): StepError {
    return new StepError({ code, step: 'acquire-slot', peer: this.placeName, message })
  }
}

/** @returns a promise and the function that settles it */
function createReleasable (): { promise: Promise<void>, resolve: () => void } {
  let settle: () => void = () => {}
  const promise = new Promise<void>((resolve) => { settle = resolve })
  return { promise, resolve: settle }
}
