/**
 * One service in one failure domain, as this entry VM may use it: its own and
 * borrowed shares of each worker's slots, the requests that wait for a slot, and
 * the choice of the worker. The shares of all entry VMs never add up to more than
 * a worker's slots, so workers can't be overloaded.
 */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { Emitter } from '@umberspar/base/common/event'
import type { IRandomSource } from '@umberspar/base/common/random'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import type { PlaceConfiguration, WorkerConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import { AdmissionError } from '@umberspar/steering/common/limits/admissionError'
import type { SlotShare } from '@umberspar/steering/common/limits/divideSlots'
import type { AcquiredSlot } from '@umberspar/steering/common/limits/loans'
import { DemandMean } from '@umberspar/steering/common/limits/demandMean'
import { PlaceLedger } from '@umberspar/steering/common/limits/placeLedger'
import { buildPlaceKey, buildSlotKey } from '@umberspar/steering/common/limits/slotKey'
import { chooseWorker } from '@umberspar/steering/common/workers/chooseWorker'
import { DEFAULT_WORKER_POLICY, type WorkerState, WorkerTable } from '@umberspar/steering/common/workers/workerTable'
import { type AdmissionPolicy, AdmissionQueue } from './admissionQueue.js'
import type { PlaceKey, SlotGrant, SlotRequest } from './slotGrant.js'

export type { PlaceKey, SlotGrant, SlotRequest } from './slotGrant.js'

/** Requests on borrowed slots must end this long before the loan does. */
const LOAN_END_MARGIN_MS = 500
/** Retry-After if there are workers but none can accept a request. */
const NO_WORKER_RETRY_AFTER_MS = 1000

/** Whether slots can be borrowed from peers. */
export enum BorrowState {
  /** There is no peer that could lend. */
  Impossible = 'impossible',
  Possible = 'possible',
  /** All peers that were asked have just refused. */
  Refused = 'refused'
}

/** Manages slots and waiting requests of one place at this entry VM. */
export class PlacePool implements IClosable {
  readonly table: WorkerTable
  readonly ledger = new PlaceLedger()
  private readonly queue: AdmissionQueue
  private readonly didRunOut = new Emitter<PlacePool>()
  private workers: Readonly<Record<string, WorkerConfiguration>> = {}
  private refusals = 0
  private readonly demand = new DemandMean()
  /** Timers of slots that are held for requests which may still run at their workers. */
  private readonly delayedReleases = new Set<ITimer>()
  /** The latest deadline of all requests that have asked for a slot. */
  latestDeadline: Deadline = -Infinity
  /** Set by the component that borrows slots from peers. */
  borrowState = BorrowState.Impossible

  /** Fires when a request finds no free slot. */
  readonly onDidRunOut = this.didRunOut.event

  constructor (
    readonly key: PlaceKey,
    private readonly clock: IClock,
    private readonly random: IRandomSource,
    warmUpSpanMs: number,
    admission?: AdmissionPolicy
  ) {
    this.table = new WorkerTable({ ...DEFAULT_WORKER_POLICY, warmUpMs: warmUpSpanMs })
    this.queue = new AdmissionQueue(buildPlaceKey(key.service, key.failureDomain), clock, {
      countSlots: () => this.countUsableSlots(),
      mayBorrow: () => this.borrowState === BorrowState.Possible
    }, admission)
  }

  /** @returns number of requests that currently hold a slot */
  get inFlight (): number {
    return this.queue.running
  }

  /** @returns number of requests that wait for a slot */
  get waiting (): number {
    return this.queue.waiting
  }

  /** @returns number of slots that this entry VM may currently use, including borrowed ones */
  get slots (): number {
    return this.countUsableSlots()
  }

  /**
   * @param now the current time
   * @returns the recent mean number of requests that hold a slot or wait for one
   */
  getMeanDemand (now: Instant): number {
    return this.demand.getMean(now)
  }

  /** @returns workers of the place, by id */
  get configuredWorkers (): Readonly<Record<string, WorkerConfiguration>> {
    return this.workers
  }

  /**
   * Marks a worker as not draining because a lender, which has first-hand knowledge of the worker, lends its slots.
   * @param slotKey the worker's slots
   */
  markReady (slotKey: string): void {
    const workerId = this.findWorkerId(slotKey)
    if (workerId !== undefined) this.table.markDraining(workerId, false, this.clock.now())
  }

  /**
   * @param slotKey a worker's slots
   * @returns whether the worker is draining and accepts no new requests
   */
  isDraining (slotKey: string): boolean {
    const workerId = this.findWorkerId(slotKey)
    return workerId !== undefined && this.table.get(workerId)?.isDraining === true
  }

  /** @returns number of requests refused for lack of a slot since the last call */
  takeRefusals (): number {
    const refusals = this.refusals
    this.refusals = 0
    return refusals
  }

  /**
   * Sets the place's workers; {@link update} sets their shares afterwards.
   * @param place the configuration of the place
   */
  updateWorkers (place: PlaceConfiguration): void {
    this.workers = place.workers
  }

  /**
   * Sets this node's shares. If a share becomes smaller than the slots in use,
   * running requests finish, and no new ones start on the excess slots.
   * @param shares shares of the workers' slots, by slot key
   * @param placeShare share of the place's own limit; Infinity if none is configured
   * @param maxQueue maximum number of waiting requests
   */
  update (shares: ReadonlyMap<string, SlotShare>, placeShare: number, maxQueue: number): void {
    this.queue.maxQueue = maxQueue
    this.ledger.setShares(shares, placeShare)
    this.applyLedger()
  }

  /** Applies changes of the ledger, such as new or expired loans. */
  applyLedger (): void {
    const now = this.clock.now()
    this.ledger.removeExpired(now)
    const workers = new Map(Object.entries(this.workers).map(([workerId, worker]) =>
      [workerId, { address: worker.address, slots: this.ledger.countSlots(this.getSlotKey(workerId), now) }]))
    this.table.updateWorkers(workers, now)
    this.queue.updateLimits()
  }

  /**
   * @param workerId one of the place's workers
   * @returns the key of its slots, the same at all entry VMs
   */
  getSlotKey (workerId: string): string {
    return buildSlotKey(this.key.service, this.key.failureDomain, workerId, this.workers[workerId]?.address ?? '')
  }

  /**
   * Waits for a slot.
   * @param request priority, deadline and workers to exclude
   * @returns a slot of the chosen worker, or an error if there is none; nothing has been sent to a worker then
   */
  async acquire (request: SlotRequest): Promise<Result<SlotGrant, StepError>> {
    if (request.signal.aborted) return new Err(this.createError(ErrorCode.Cancelled, 'the caller has disconnected'))
    if (hasPassed(request.deadline, this.clock.now())) return new Err(this.createError(ErrorCode.DeadlinePassed, 'the deadline has passed'))
    this.updateDemand(1)
    this.latestDeadline = Math.max(this.latestDeadline, request.deadline)
    if (this.queue.running >= this.countUsableSlots()) this.didRunOut.fire(this)
    const refused = this.queue.checkAdmission(request)
    if (refused !== undefined) return this.refuse(refused)
    return new Promise((resolve) => {
      const holdSlot = async (): Promise<void> => {
        const grant = this.reserveSlot(request, this.clock.now())
        if (!grant.ok) {
          resolve(grant)
          return
        }
        const deferred = createDeferred()
        resolve(new Ok(this.createGrant(grant.val.workerId, grant.val.slot, deferred.resolve)))
        await deferred.promise
      }
      this.queue.add(request, holdSlot, (error) => resolve(this.refuseAfterWait(request, error)))
    })
  }

  /** Discards all waiting requests and held slots. */
  close (): void {
    for (const timer of this.delayedReleases) timer.close()
    this.queue.close()
    this.didRunOut.close()
  }

  private refuse (error: StepError): Result<SlotGrant, StepError> {
    this.refusals++
    return new Err(error)
  }

  private refuseAfterWait (request: SlotRequest, error: AdmissionError): Result<SlotGrant, StepError> {
    if (request.signal.aborted) return new Err(this.createError(ErrorCode.Cancelled, 'the caller has disconnected'))
    if (hasPassed(request.deadline, this.clock.now())) return new Err(this.createError(ErrorCode.DeadlinePassed, 'no slot became free in time'))
    return this.refuse(error)
  }

  /** Counts the slots of workers that accept requests, and slots of other workers only while they are in use. */
  private countUsableSlots (): number {
    const now = this.clock.now()
    let usableSlots = 0
    let slotsStillInUse = 0
    for (const worker of this.table.list()) {
      const isUsable = !worker.isDraining && hasPassed(worker.ejectedUntil, now) && hasPassed(worker.pausedUntil, now)
      if (isUsable) usableSlots += worker.slots
      else slotsStillInUse += worker.inFlight
    }
    return Math.min(usableSlots + slotsStillInUse, this.ledger.countPlaceSlots(now))
  }

  private reserveSlot (request: SlotRequest, now: Instant): Result<{ workerId: string, slot: AcquiredSlot }, StepError> {
    if (request.signal.aborted) return new Err(this.createError(ErrorCode.Cancelled, 'the caller has disconnected'))
    if (hasPassed(request.deadline, now)) return new Err(this.createError(ErrorCode.DeadlinePassed, 'no slot became free in time'))
    const minLoanDeadline = createDeadline(request.deadline, LOAN_END_MARGIN_MS)
    const candidates = this.listCandidates(minLoanDeadline)
    const workerId = chooseWorker(candidates, now, this.random, request.excluded)
    const slot = workerId === undefined ? undefined : this.ledger.acquire(this.getSlotKey(workerId), minLoanDeadline)
    if (workerId === undefined || slot === undefined) {
      this.refusals++
      return new Err(new AdmissionError(this.placeName, 'no worker in this place can accept a request', NO_WORKER_RETRY_AFTER_MS))
    }
    if (this.table.reserve(workerId)) return new Ok({ workerId, slot })
    this.ledger.release(slot)
    return new Err(new AdmissionError(this.placeName, 'no worker in this place can accept a request', NO_WORKER_RETRY_AFTER_MS))
  }

  private listCandidates (minLoanDeadline: Deadline): WorkerState[] {
    return this.table.list().filter((worker) => this.ledger.countFree(this.getSlotKey(worker.workerId), minLoanDeadline) > 0)
  }

  private findWorkerId (slotKey: string): string | undefined {
    return Object.keys(this.workers).find((id) => this.getSlotKey(id) === slotKey)
  }

  private createGrant (workerId: string, slot: AcquiredSlot, release: () => void): SlotGrant {
    let isHeld = true
    const releaseSlot = (): void => {
      this.table.release(workerId)
      this.ledger.release(slot)
      this.updateDemand(-1)
      // The slot of a closing loan ends with its request; a waiting request must not start on it.
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
        else this.scheduleRelease(heldUntil, releaseSlot)
      }
    }
  }

  private scheduleRelease (heldUntil: Instant, releaseSlot: () => void): void {
    const timer = this.clock.schedule(heldUntil, () => {
      this.delayedReleases.delete(timer)
      releaseSlot()
    })
    this.delayedReleases.add(timer)
  }

  /** @param change the coming change of the number of running and waiting requests */
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

/** @returns a promise and the function that resolves it */
function createDeferred (): { promise: Promise<void>, resolve: () => void } {
  let settle: () => void = () => {}
  const promise = new Promise<void>((resolve) => { settle = resolve })
  return { promise, resolve: settle }
}
