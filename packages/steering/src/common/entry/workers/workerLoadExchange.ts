/** Passes load reports of workers on to other VMs, and applies those of other VMs to this VM's view. */
import type { IClock, Instant } from '@umberspar/base/common/clock'
import { type ExchangeContent, type ExchangeRow, ExchangeTopic, type IFleetExchange } from '../exchange/exchangeRow.js'
import { isSameIncarnation } from './departedWorkers.js'
import type { UpstreamTracker } from './upstreamTracker.js'
import type { LoadReport } from './workerLoad.js'

/** More requests for each slot than any worker queues; a report beyond that is invalid. */
const MAX_REQUESTS_PER_SLOT = 16
const PERCENT = 100
/** Stands for a pace that the worker doesn't tell. */
const UNKNOWN_PACE = -1
/** Stands for a start time that the sender doesn't know. */
const UNKNOWN_START = 0
const FIELD_COUNT = 5
/** Reports of free slots are repeated after this time, before the ones that other VMs have expire. */
const FREE_RENEWAL_MS = 600
/** From this pace on, each report counts, as slow phases are short. */
const SLOW_PACE = 1.2
/** Limit on the workers whose last report is remembered, about 100 bytes each. */
const MAX_WORKERS = 10_000

/** A report as it is sent: running, waiting, slots, pace in percent, and the worker's start time in milliseconds since 1970. */
type LoadContent = readonly [number, number, number, number, number]

function isLoadContent (content: ExchangeContent): content is LoadContent {
  return Array.isArray(content) && content.length === FIELD_COUNT && content.every((field) => typeof field === 'number' && Number.isFinite(field))
}

/** @returns whether the next request would start at once and run as fast as usual */
function hasFreeSlot ({ running, waiting, slots, pace = 1 }: LoadReport): boolean {
  return waiting === 0 && running < slots && pace < SLOW_PACE
}

/**
 * @param report a worker's load
 * @param startedAt when the worker started; undefined if that isn't known
 * @returns the content of its row
 */
export function encodeLoad ({ running, waiting, slots, pace }: LoadReport, startedAt: number | undefined): LoadContent {
  return [running, waiting, slots, pace === undefined ? UNKNOWN_PACE : Math.round(pace * PERCENT), startedAt ?? UNKNOWN_START]
}

/**
 * @param content the content of a row
 * @param tracker the worker that it is about
 * @returns the report; undefined if it is malformed, implausible or about another incarnation
 */
export function decodeLoad (content: ExchangeContent, { registration }: UpstreamTracker): LoadReport | undefined {
  if (!isLoadContent(content)) return undefined
  const [running, waiting, slots, pacePercent, startedAt] = content
  const isPlausible = running >= 0 && waiting >= 0 && slots > 0 && running + waiting <= MAX_REQUESTS_PER_SLOT * registration.slots
  if (!isPlausible || !isSameIncarnation(startedAt === UNKNOWN_START ? undefined : startedAt, registration.startedAt)) return undefined
  return { running, waiting, slots, pace: pacePercent > 0 ? pacePercent / PERCENT : undefined }
}

/** Whether a worker has had free slots, by the newest report that was exchanged. */
interface ExchangedState {
  readonly hasFreeSlot: boolean
  readonly at: Instant
}

/** Connects this VM's view of the workers' load to the exchange. */
export class WorkerLoadExchange {
  private readonly exchangedStates = new Map<string, ExchangedState>()

  /**
   * @param exchange carries the reports; it keeps only the newest one of a worker for its next message
   * @param clock the clock that the instants of rows refer to
   * @param findTracker finds a registered worker by its id
   */
  constructor (private readonly exchange: IFleetExchange, private readonly clock: Pick<IClock, 'now'>, private readonly findTracker: (workerId: string) => UpstreamTracker | undefined) {
    exchange.onDidReceive(ExchangeTopic.WorkerLoad, (row) => { this.apply(row) })
  }

  /**
   * @param tracker the worker that sent the report to this VM
   * @param report its load
   * @param now when the report arrived
   */
  publish ({ registration }: UpstreamTracker, report: LoadReport, now: Instant): void {
    if (!this.shouldPublish(registration.id, report, now)) return
    this.recordState(registration.id, report, now)
    this.exchange.publish({ topic: ExchangeTopic.WorkerLoad, key: registration.id, content: encodeLoad(report, registration.startedAt), at: now })
  }

  /** A report of free slots repeats what all VMs know while one is young. */
  private shouldPublish (workerId: string, report: LoadReport, now: Instant): boolean {
    const known = this.exchangedStates.get(workerId)
    return known === undefined || !known.hasFreeSlot || !hasFreeSlot(report) || now - known.at >= FREE_RENEWAL_MS
  }

  private recordState (workerId: string, report: LoadReport, at: Instant): void {
    const known = this.exchangedStates.get(workerId)
    if (known === undefined && this.exchangedStates.size >= MAX_WORKERS) this.exchangedStates.clear()
    if (known === undefined || at > known.at) this.exchangedStates.set(workerId, { hasFreeSlot: hasFreeSlot(report), at })
  }

  private apply ({ key, content, at }: ExchangeRow): void {
    const tracker = this.findTracker(key)
    if (tracker === undefined || !(at <= this.clock.now())) return
    const report = decodeLoad(content, tracker)
    if (report === undefined) return
    tracker.load.recordShared(report, at)
    this.recordState(key, report, at)
  }
}
