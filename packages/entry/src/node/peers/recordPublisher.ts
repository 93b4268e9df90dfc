/**
 * Publishes the records and their changes to other entry VMs. Each subscriber keeps an
 * HTTP response of this VM open and receives a line for each change, and periodic
 * heartbeats that show that this VM is running and whether its records are current.
 */
import type { ServerResponse } from 'node:http'
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import type { RecordUpdate } from '@umberspar/steering/common/entry/recordUpdate'
import { isLaterPosition, NO_POSITION, type StorePosition } from '@umberspar/steering/common/entry/storePosition'
import { formatRecordLine } from '../../common/recordLines.js'
import type { EntryTelemetry } from '../telemetry/entryTelemetry.js'
import { encodeLine } from './compressedLine.js'

/** A subscriber that receives nothing for three intervals switches to another source. */
export const HEARTBEAT_INTERVAL_MS = 500
/** A smaller gain in freshness waits for the next line: subscribers receive it from two sources. */
const MIN_FRESHNESS_GAIN_MS = 400
/** The source tree assigns about eight subscribers to a VM. Up to this many connect when the other sources of a region are down. */
const MAX_SUBSCRIBERS = 48
/** A subscriber that reads nothing for this long is disconnected. It reconnects with the revision that it has. */
const STALL_TIMEOUT_MS = 10_000
/** Lines of at least this size are logged: sending one to ten VMs occupies a 7 Mbit/s link for 0.2 s. */
const LONG_LINE_BYTES = 16_384
const OK = 200
const UNAVAILABLE = 503

/** Receives the amount of published data. */
export type PublisherTelemetry = Pick<EntryTelemetry, 'countSentRecordBytes' | 'logLargeRecordUpdate'>

/** The records that are published. */
export interface PublisherSource {
  readonly position: StorePosition
  /** Whether records are known that the store has lost, so that a VM at the same position may lack them. */
  readonly hasUnconfirmed: boolean
  /** See {@link RecordLine.via}. */
  readonly via: readonly string[] | undefined
  /** See {@link RecordLine.holdMs}. */
  readonly holdMs: number
  /** See {@link RecordLine.proofAgeMs}. */
  readonly proofAgeMs: number | undefined
  /** See {@link RecordLine.configurationVersion}. */
  readonly configurationVersion: number | undefined
  /** @returns the update for a VM that has the given position; undefined if there is nothing new */
  readUpdateAfter(position: StorePosition): RecordUpdate | undefined
}

/** A VM that is subscribed to this one. */
interface Subscriber {
  readonly response: ServerResponse
  /** The last position that was sent. */
  sentPosition: StorePosition
  /** The last path that was sent. A different one is sent at once. */
  sentVia: string | undefined
  /** The last freshness that was sent: when the records were certainly up to date, on this VM's monotonic clock. */
  sentFreshAsOf: Instant
  /** When the subscriber is disconnected unless its write buffer has drained; undefined while the buffer has room. */
  drainDeadline: Deadline | undefined
}

/** A line, shared by all subscribers that have the same position. */
interface EncodedLine {
  readonly text: string
  readonly bytes: number
  readonly isWhole: boolean
  /** The number of VMs that it was sent to. */
  subscriberCount: number
}

/** @returns the position that a subscriber names; that of a VM without records if it is invalid */
function parsePosition (query: URLSearchParams): StorePosition {
  const [era, revision] = [Number(query.get('era')), Number(query.get('after'))]
  return [era, revision].every((value) => Number.isSafeInteger(value) && value >= 0) ? { era, revision } : NO_POSITION
}

/** Publishes this VM's records. */
export class RecordPublisher implements IClosable {
  private readonly subscribers = new Set<Subscriber>()
  private timer: ITimer | undefined
  private isClosed = false

  /**
   * @param clock for heartbeats and timeouts
   * @param source the records to publish
   * @param telemetry receives the amount of published data
   */
  constructor (private readonly clock: IClock, private readonly source: PublisherSource, private readonly telemetry: PublisherTelemetry) {}

  /** @returns the size of the largest write buffer of any subscriber, in bytes */
  countWaitingBytes (): number {
    return Math.max(0, ...[...this.subscribers].map(({ response }) => response.writableLength))
  }

  countSubscribers (): number {
    return this.subscribers.size
  }

  /**
   * Adds a subscriber.
   * @param query with `era` and `after`, the position that the subscriber has
   * @param response stays open for the lines
   */
  accept (query: URLSearchParams, response: ServerResponse): void {
    if (this.isClosed || this.subscribers.size >= MAX_SUBSCRIBERS) {
      response.writeHead(UNAVAILABLE, { 'Content-Length': 0 })
      response.end()
      return
    }
    const subscriber: Subscriber = { response, sentPosition: this.source.hasUnconfirmed ? NO_POSITION : parsePosition(query), sentVia: undefined, sentFreshAsOf: Number.NEGATIVE_INFINITY, drainDeadline: undefined }
    this.subscribers.add(subscriber)
    response.on('close', () => { this.subscribers.delete(subscriber) })
    response.on('error', () => { this.subscribers.delete(subscriber) })
    response.on('drain', () => { this.handleDrain(subscriber) })
    response.writeHead(OK, { 'Content-Type': 'application/x-ndjson' })
    this.sendUpdates([subscriber])
    this.timer ??= this.scheduleHeartbeat()
  }

  /** Sends each subscriber what has changed since its last line: records, their path, or a sufficient gain in freshness. */
  publish (): void {
    const { position } = this.source
    const via = this.formatVia()
    const newerThan = this.computeFreshAsOf() - MIN_FRESHNESS_GAIN_MS
    this.sendUpdates([...this.subscribers].filter(({ sentPosition, sentVia, sentFreshAsOf }) => isLaterPosition(position, sentPosition) || sentVia !== via || sentFreshAsOf < newerThan))
  }

  /** Ends all subscriptions. The subscribers switch to other sources at once. */
  close (): void {
    this.isClosed = true
    this.timer?.close()
    for (const { response } of this.subscribers) response.end()
    this.subscribers.clear()
  }

  private scheduleHeartbeat (): ITimer {
    return this.clock.schedule(this.clock.now() + HEARTBEAT_INTERVAL_MS, () => {
      this.timer = undefined
      if (this.isClosed) return
      this.removeStalled()
      this.sendUpdates(this.subscribers)
      if (this.subscribers.size > 0) this.timer = this.scheduleHeartbeat()
    })
  }

  private sendUpdates (targets: Iterable<Subscriber>): void {
    // A line queued behind a pending one would be out of date when it is sent, and would add to the load of the link.
    const subscribers = [...targets].filter(({ drainDeadline }) => drainDeadline === undefined)
    // Each line is built once: most subscribers have the same position, and full snapshots are large.
    const lines = new Map<string, EncodedLine>()
    for (const subscriber of subscribers) {
      const { era, revision } = subscriber.sentPosition
      const key = `${era} ${revision}`
      let line = lines.get(key)
      if (line === undefined) {
        line = this.createLine(subscriber.sentPosition)
        lines.set(key, line)
      }
      this.send(subscriber, line)
    }
    for (const line of lines.values()) this.logIfLong(line)
  }

  /** The write buffer has drained: sends what has changed since the subscriber's last line. */
  private handleDrain (subscriber: Subscriber): void {
    subscriber.drainDeadline = undefined
    if (this.subscribers.has(subscriber)) this.publish()
  }

  private removeStalled (): void {
    const now = this.clock.now()
    for (const subscriber of [...this.subscribers]) {
      if (subscriber.drainDeadline === undefined || !hasPassed(subscriber.drainDeadline, now)) continue
      this.subscribers.delete(subscriber)
      subscriber.response.destroy()
    }
  }

  private createLine (after: StorePosition): EncodedLine {
    const { via, position, holdMs, proofAgeMs, configurationVersion } = this.source
    const news = this.source.readUpdateAfter(after)
    const text = encodeLine(formatRecordLine({ via, ...position, holdMs, news, clockMs: this.clock.now(), proofAgeMs, configurationVersion }))
    return { text, bytes: Buffer.byteLength(text), isWhole: news?.isWhole === true, subscriberCount: 0 }
  }

  private logIfLong ({ bytes, isWhole, subscriberCount: listeners }: EncodedLine): void {
    if (bytes < LONG_LINE_BYTES || listeners === 0) return
    this.telemetry.logLargeRecordUpdate({ revision: this.source.position.revision, isWhole, bytes, listeners, waitingBytes: this.countWaitingBytes() })
  }

  private send (subscriber: Subscriber, line: EncodedLine): void {
    const hasRoom = subscriber.response.write(line.text)
    if (!hasRoom) subscriber.drainDeadline = createDeadline(this.clock.now(), STALL_TIMEOUT_MS)
    line.subscriberCount++
    this.telemetry.countSentRecordBytes(line.bytes)
    if (isLaterPosition(this.source.position, subscriber.sentPosition)) subscriber.sentPosition = this.source.position
    subscriber.sentVia = this.formatVia()
    subscriber.sentFreshAsOf = this.computeFreshAsOf()
  }

  private computeFreshAsOf (): Instant {
    const { proofAgeMs } = this.source
    return proofAgeMs === undefined ? Number.NEGATIVE_INFINITY : this.clock.now() - proofAgeMs
  }

  private formatVia (): string | undefined {
    return this.source.via?.join(' ')
  }
}
