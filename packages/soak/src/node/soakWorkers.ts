/** The workers of a soak run; entry VMs connect to each of them through a relay. */
import type { IClock, Instant } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import type { IRandomSource } from '@umberspar/base/common/random'
import { TcpRelay } from '@umberspar/testing/node/standIns/tcpRelay'
import { PlatformWorkerStandIn } from '@umberspar/testing/node/standIns/usersPlatform/platformWorkerStandIn'
import type { PlatformRecords } from '@umberspar/testing/node/standIns/usersPlatform/platformRecords'
import type { SoakChecker } from './soakChecker.js'

/** A started worker; a restart creates another object with the same id. */
export interface SoakWorker {
  readonly id: string
  readonly service: string
  readonly domain: string
  readonly address: string
  readonly worker: PlatformWorkerStandIn
  readonly link: TcpRelay
  isLeaving: boolean
  /** When its cold start ends. */
  readonly coldUntil: Instant
  /** When it started, in milliseconds of wall-clock time; distinguishes its starts under the same id. */
  readonly startedAt: number
}

/** Requests per second that a cold worker can serve, and the limit with tolerance; both as in the settings of the entry processes. */
const COLD_PER_SECOND = 7
const COLD_LIMIT_PER_SECOND = COLD_PER_SECOND * 1.5 + 5
const COLD_MS = 3_000
const MIN_WORK_MS = 5
const MAX_WORK_MS = 60
const BODY_BYTES = 4_000

/** The workers of a run. */
export class SoakWorkers implements IClosable {
  private readonly workersById = new Map<string, SoakWorker>()
  /** Relays to all workers, including ended ones, whose relays no longer reach a listener. */
  private readonly openLinks = new Set<TcpRelay>()
  private startCount = 0

  constructor (
    private readonly records: PlatformRecords,
    private readonly checker: SoakChecker,
    private readonly clock: IClock,
    private readonly random: IRandomSource
  ) {}

  /** @returns the workers that are neither draining nor ended */
  list (): SoakWorker[] {
    return [...this.workersById.values()].filter(({ isLeaving }) => !isLeaving)
  }

  /** @returns the complete body of the answer to a request, long enough that a truncated answer is detected */
  buildBody (requestId: string): string {
    return `answer to ${requestId} `.padEnd(BODY_BYTES, '.')
  }

  /**
   * Starts a worker and registers it.
   * @param isCold whether it announces itself as cold
   */
  async add (service: string, domain: string, isCold: boolean): Promise<SoakWorker> {
    const worker = this.create(service)
    worker.workMs = MIN_WORK_MS + (MAX_WORK_MS - MIN_WORK_MS) * this.random.next()
    return await this.register(worker, service, domain, isCold)
  }

  /** Restarts an ended worker, cold and under the same id at another address. */
  async startAgain (ended: SoakWorker): Promise<void> {
    const worker = this.createWithId(ended.id)
    worker.workMs = ended.worker.workMs
    await this.register(worker, ended.service, ended.domain, true)
  }

  private async register (worker: PlatformWorkerStandIn, service: string, domain: string, isCold: boolean): Promise<SoakWorker> {
    const { id } = worker
    const link = new TcpRelay(await worker.listen())
    this.openLinks.add(link)
    const address = await link.start()
    const coldUntil = this.clock.now() + (isCold ? COLD_MS : 0)
    const started = { id, service, domain, address, worker, link, isLeaving: false, coldUntil, startedAt: Math.floor(this.clock.getWallTime()) }
    this.workersById.set(id, started)
    if (isCold) this.checker.setCold(id, { perSecond: COLD_LIMIT_PER_SECOND, until: coldUntil })
    this.renewRecord(started)
    return started
  }

  /** Writes a worker's registration again, unless the worker is draining or has ended. */
  renewRecord (worker: SoakWorker): void {
    if (this.workersById.get(worker.id) === worker && !worker.isLeaving) this.putRecord(worker, false)
  }

  /** Starts a worker of another service at the address of an ended one, since platforms reuse addresses. */
  async startAtAddress (previous: SoakWorker, service: string): Promise<void> {
    const worker = this.create(service)
    const { id } = worker
    previous.link.setTarget(await worker.listen())
    const started = { ...previous, id, service, worker, isLeaving: false, coldUntil: this.clock.now(), startedAt: Math.floor(this.clock.getWallTime()) }
    this.workersById.set(id, started)
    this.records.putWorker({ id, service, domain: previous.domain, address: previous.address })
  }

  /** Sets the rate limit that a worker announces in its responses; undefined for none. */
  setRateLimit ({ id, worker }: SoakWorker, perSecond: number | undefined): void {
    worker.rateLimit = perSecond
    this.checker.recordRateLimit(id, perSecond)
  }

  /** Announces that a worker drains; it continues to serve. */
  startDrain (draining: SoakWorker): void {
    draining.isLeaving = true
    draining.worker.isDraining = true
    this.putRecord(draining, true)
    this.checker.recordDrain(draining.id)
  }

  /** Announces that a worker drains, in its responses only; its registration still says that it is ready. */
  startUnregisteredDrain (draining: SoakWorker): void {
    draining.isLeaving = true
    draining.worker.isDraining = true
    this.renewReadyRecord(draining)
  }

  /** Writes the registration of a worker as ready, whatever the worker announces. */
  renewReadyRecord (worker: SoakWorker): void {
    this.putRecord(worker, false)
  }

  /** Ends a worker and its connections; its registration remains until {@link SoakWorkers.removeRecord}. */
  end (ended: SoakWorker): void {
    ended.isLeaving = true
    ended.worker.close()
    this.workersById.delete(ended.id)
    this.checker.recordWorkerEnd(ended.id)
  }

  /** Removes a worker's registration, as its expiry would. */
  removeRecord ({ id }: SoakWorker): void {
    this.records.removeWorker(id)
  }

  async close (): Promise<void> {
    for (const { worker } of this.workersById.values()) worker.close()
    await Promise.all([...this.openLinks].map(async (link) => { await link.close() }))
  }

  /** Writes a worker's registration, with what is left of its cold start. */
  private putRecord ({ id, service, domain, address, startedAt, coldUntil }: SoakWorker, isLeaving: boolean): void {
    this.records.putWorker({ id, service, domain, address, isLeaving, coldMs: Math.ceil(Math.max(0, coldUntil - this.clock.now())), startedAt })
  }

  private create (service: string): PlatformWorkerStandIn {
    return this.createWithId(`${service}-${++this.startCount}`)
  }

  private createWithId (id: string): PlatformWorkerStandIn {
    const worker = new PlatformWorkerStandIn(id, this.checker)
    worker.buildBody = (requestId) => this.buildBody(requestId)
    return worker
  }
}
