/** Receives records from one other entry VM until that VM disconnects or stops sending. */
import { get, type ClientRequest, type IncomingMessage } from 'node:http'
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import type { ElapsedClock } from '@umberspar/base/common/elapsedClock'
import type { StepError } from '@umberspar/base/common/errors'
import type { StorePosition } from '@umberspar/steering/common/entry/storePosition'
import { PeerClock } from '@umberspar/steering/common/entry/peerClock'
import { parseRecordLine, type RecordLine, RECORDS_PATH } from '../../common/recordLines.js'
import { splitAddress } from '../address.js'
import { decodeLine } from './compressedLine.js'
import { HEARTBEAT_INTERVAL_MS } from './recordPublisher.js'

/** A VM that sends nothing for three heartbeats is paused, partitioned or down. */
const SILENCE_TIMEOUT_MS = 3 * HEARTBEAT_INTERVAL_MS
/** A running VM responds within milliseconds. One that is down must not delay the attempt at another one. */
const LATE_AFTER_MS = 600
/** A VM that lacks processor time responds late. Asking it again would cost it the response once more. */
const OPEN_TIMEOUT_MS = 4_000
/** Longer lines are rejected. A line with 3,500 workers takes about 1 MB. */
const MAX_LINE_LENGTH = 16_777_216
const OK = 200

/** Receives the lines and the end of a subscription. */
export interface SubscriptionListener {
  /** @param freshAsOf the latest instant at which the publisher's records were certainly up to date, on this VM's {@link ElapsedClock} */
  onLine(line: RecordLine, freshAsOf: Instant): void
  /** Called if the other VM has not responded in the usual time; it may still do so. */
  onLate(): void
  /** Called once, when the subscription has ended; with an error if a line could not be parsed. */
  onEnd(error: StepError | undefined): void
}

/** A subscription to the records of one VM. */
export class RecordSubscription implements IClosable {
  private readonly publisherClock: PeerClock
  private readonly request: ClientRequest
  private timer: ITimer
  private isEnded = false
  private text = ''

  /**
   * @param address `host:port` of the other VM's listener for peers
   * @param position the position that this VM has; only later changes are sent
   * @param clock for timeouts
   * @param elapsed for the freshness of records
   * @param listener receives the lines
   */
  constructor (
    private readonly address: string,
    position: StorePosition,
    private readonly clock: IClock,
    private readonly elapsed: ElapsedClock,
    private readonly listener: SubscriptionListener
  ) {
    this.publisherClock = new PeerClock(elapsed.now())
    this.request = get({ ...splitAddress(address), path: `${RECORDS_PATH}?era=${position.era}&after=${position.revision}`, agent: false }, (response) => { this.handleResponse(response) })
    // Not logged: there are several sources, and the subscriber tries the next one.
    this.request.on('error', () => { this.end(undefined) })
    this.timer = this.clock.schedule(this.clock.now() + LATE_AFTER_MS, () => {
      this.timer = this.scheduleEnd(OPEN_TIMEOUT_MS - LATE_AFTER_MS)
      listener.onLate()
    })
  }

  /** @returns whether a new subscription would determine the freshness of the records noticeably more precisely */
  get isClockUncertain (): boolean {
    return this.publisherClock.isUncertain(this.elapsed.now())
  }

  /** Ends the subscription without telling the listener. */
  close (): void {
    this.isEnded = true
    this.timer.close()
    this.request.destroy()
  }

  private scheduleEnd (timeoutMs: number): ITimer {
    return this.clock.schedule(this.clock.now() + timeoutMs, () => { this.end(undefined) })
  }

  private handleResponse (response: IncomingMessage): void {
    response.on('error', () => { this.end(undefined) })
    response.on('close', () => { this.end(undefined) })
    if (response.statusCode !== OK) {
      this.end(undefined)
      return
    }
    response.setEncoding('utf8')
    response.on('data', (chunk: string) => { this.handleText(chunk) })
  }

  private handleText (chunk: string): void {
    if (this.isEnded) return
    this.timer.close()
    this.timer = this.scheduleEnd(SILENCE_TIMEOUT_MS)
    const lines = (this.text + chunk).split('\n')
    this.text = lines.pop()!
    if (this.text.length > MAX_LINE_LENGTH) this.end(undefined)
    for (const line of lines) this.handleLine(line)
  }

  private handleLine (text: string): void {
    if (this.isEnded) return
    const decoded = decodeLine(text, this.address)
    const line = decoded.ok ? parseRecordLine(decoded.val, this.address) : decoded
    if (line.ok) this.listener.onLine(line.val, this.computeFreshAsOf(line.val))
    else this.end(line.val)
  }

  private computeFreshAsOf ({ clockMs, proofAgeMs }: RecordLine): Instant {
    this.publisherClock.recordReading(clockMs, this.elapsed.now())
    return proofAgeMs === undefined ? Number.NEGATIVE_INFINITY : this.publisherClock.toLocalInstant(clockMs - proofAgeMs)
  }

  private end (error: StepError | undefined): void {
    if (this.isEnded) return
    this.close()
    this.listener.onEnd(error)
  }
}
