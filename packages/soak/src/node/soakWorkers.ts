/** The workers of a soak run, each behind a relay that stands for the way to it. */
import type { IClock } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import type { IRandomSource } from '@umberspar/base/common/random'
import { TcpRelay } from '@umberspar/testing/node/standIns/tcpRelay'
import { PlatformWorkerStandIn } from '@umberspar/testing/node/standIns/usersPlatform/platformWorkerStandIn'
import type { PlatformRecords } from '@umberspar/testing/node/standIns/usersPlatform/platformRecords'
import type { SoakJudge } from './soakJudge.js'

/** One start of a worker. */
export interface SoakWorker {
  readonly id: string
  readonly service: string
  readonly domain: string
  readonly address: string
  readonly worker: PlatformWorkerStandIn
  readonly way: TcpRelay
  isLeaving: boolean
  /** When it started, in milliseconds of wall time: tells its lives under one id apart. */
  readonly startedAt: number
}

/** Requests a second that a cold worker bears, and what may go beyond: as in the settings of the entry processes. */
const COLD_PER_SECOND = 7
const COLD_TOLERATED = COLD_PER_SECOND * 1.5 + 5
const COLD_MS = 3_000
const LEAST_WORK_MS = 5
const MOST_WORK_MS = 60
const BODY_BYTES = 4_000

/** All workers. */
export class SoakWorkers implements IClosable {
  private readonly all = new Map<string, SoakWorker>()
  /** Also those of workers that are gone: nobody answers there any more. */
  private readonly ways = new Set<TcpRelay>()
  private started = 0

  constructor (
    private readonly records: PlatformRecords,
    private readonly judge: SoakJudge,
    private readonly clock: IClock,
    private readonly random: IRandomSource
  ) {}

  /** @returns workers that neither leave nor are gone */
  list (): SoakWorker[] {
    return [...this.all.values()].filter(({ isLeaving }) => !isLeaving)
  }

  /** @returns the whole answer to a request, long enough that a short one shows */
  buildBody (requestId: string): string {
    return `answer to ${requestId} `.padEnd(BODY_BYTES, '.')
  }

  /**
   * Starts a worker and registers it.
   * @param isCold whether it says that it is cold
   */
  async add (service: string, domain: string, isCold: boolean): Promise<SoakWorker> {
    const worker = this.create(service)
    worker.workMs = LEAST_WORK_MS + (MOST_WORK_MS - LEAST_WORK_MS) * this.random.next()
    return await this.register(worker, service, domain, isCold)
  }

  /** Starts a worker that has ended once more, under its id, at another address and cold. */
  async startAgain (gone: SoakWorker): Promise<void> {
    const worker = this.createAs(gone.id)
    worker.workMs = gone.worker.workMs
    await this.register(worker, gone.service, gone.domain, true)
  }

  private async register (worker: PlatformWorkerStandIn, service: string, domain: string, isCold: boolean): Promise<SoakWorker> {
    const { id } = worker
    const way = new TcpRelay(await worker.listen())
    this.ways.add(way)
    const started = { id, service, domain, address: await way.start(), worker, way, isLeaving: false, startedAt: Math.floor(this.clock.getWallTime()) }
    this.all.set(id, started)
    if (isCold) this.judge.setCold(id, { perSecond: COLD_TOLERATED, until: this.clock.now() + COLD_MS })
    this.renewRecord(started, isCold ? COLD_MS : 0)
    return started
  }

  /** Writes a worker's registration, unless it is gone or leaves. */
  renewRecord (worker: SoakWorker, coldMs = 0): void {
    if (this.all.get(worker.id) !== worker || worker.isLeaving) return
    const { id, service, domain, address, startedAt } = worker
    this.records.putWorker({ id, service, domain, address, coldMs, startedAt })
  }

  /** Registers a worker of another service at the address of one that has ended, as platforms reuse addresses. */
  async putAtAddress (old: SoakWorker, service: string): Promise<void> {
    const worker = this.create(service)
    const { id } = worker
    old.way.setTarget(await worker.listen())
    const started = { ...old, id, service, worker, isLeaving: false, startedAt: Math.floor(this.clock.getWallTime()) }
    this.all.set(id, started)
    this.records.putWorker({ id, service, domain: old.domain, address: old.address })
  }

  /** Says for a worker that it leaves; it goes on serving. */
  startLeaving (leaving: SoakWorker): void {
    leaving.isLeaving = true
    const { id, service, domain, address } = leaving
    this.records.putWorker({ id, service, domain, address, isLeaving: true })
    this.judge.recordLeaving(id)
  }

  /** Ends a worker with its connections; its registration stays until it lapses. */
  end (gone: SoakWorker): void {
    gone.isLeaving = true
    gone.worker.close()
    this.all.delete(gone.id)
    this.judge.recordGone(gone.id)
  }

  /** Removes a worker's registration. */
  removeRecord ({ id }: SoakWorker): void {
    this.records.removeWorker(id)
  }

  async close (): Promise<void> {
    for (const { worker } of this.all.values()) worker.close()
    await Promise.all([...this.ways].map(async (way) => { await way.close() }))
  }

  private create (service: string): PlatformWorkerStandIn {
    return this.createAs(`${service}-${++this.started}`)
  }

  private createAs (id: string): PlatformWorkerStandIn {
    const worker = new PlatformWorkerStandIn(id, this.judge)
    worker.buildBody = (requestId) => this.buildBody(requestId)
    return worker
  }
}
