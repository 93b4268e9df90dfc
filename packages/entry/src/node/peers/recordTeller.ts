/**
 * Tells other entry VMs of the records as they change: each holds an answer of this
 * VM open and gets a line for each change, and one now and then that shows that this
 * VM lives and whether its records are the newest.
 */
import type { ServerResponse } from 'node:http'
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import type { RecordNews } from '@umberspar/steering/common/entry/recordNews'
import { formatRecordLine } from '../../common/recordLines.js'
import type { EntryTelemetry } from '../telemetry/entryTelemetry.js'
import { encodeLine } from './packedLine.js'

/** Between two lines at least, in milliseconds; a VM that hears nothing for three of them asks elsewhere. */
export const BEAT_MS = 500
/** A proof that is newer by less waits for the next line: VMs hear of one from two sources, in milliseconds. */
const LEAST_PROOF_MS = 400
/**
 * VMs told at once. The tree of sources gives a VM some eight; this many come when
 * the others of a region are gone.
 */
const MOST_LISTENERS = 48
/** A VM that has not taken what was written to it for so long is let go, in milliseconds: it comes back with the revision that it has. */
const STUCK_MS = 10_000
/** Lines from this length on are told of: on the way to ten VMs one takes a link of 7 Mbit/s for 0.2 s. */
const LONG_BYTES = 16_384
const OK = 200
const UNAVAILABLE = 503

/** Who learns how much is told. */
export type TellerTelemetry = Pick<EntryTelemetry, 'countTold' | 'logLongLine'>

/** What this VM knows. */
export interface TellerSource {
  readonly revision: number
  /** See `RecordLine`. */
  readonly via: readonly string[] | undefined
  /** See `RecordLine`. */
  readonly holdMs: number
  /** See `RecordLine`. */
  readonly proofAgeMs: number | undefined
  /** @returns what a VM that knows a revision has to be told */
  readNewsAfter(revision: number): RecordNews | undefined
}

/** One VM that is told. */
interface Listener {
  readonly response: ServerResponse
  /** The revision up to which it was told. */
  toldRevision: number
  /** The way of the records as it was told; another one is told of at once. */
  toldVia: string | undefined
  /** On this VM's steady clock, when the records were proven to be the newest, as it was told. */
  toldProof: Instant
  /** Until when it has to take what was written to it; undefined while its connection has room. */
  takenUntil: Deadline | undefined
}

/** One line, written to all that know the same. */
interface Telling {
  readonly text: string
  readonly bytes: number
  readonly isWhole: boolean
  /** VMs it was written to. */
  listeners: number
}

/** Tells the VMs that ask. */
export class RecordTeller implements IClosable {
  private readonly listeners = new Set<Listener>()
  private timer: ITimer | undefined
  private isClosed = false

  /**
   * @param clock for the lines that show that this VM lives
   * @param source what this VM knows
   * @param telemetry who learns how much is told
   */
  constructor (private readonly clock: IClock, private readonly source: TellerSource, private readonly telemetry: TellerTelemetry) {}

  /** @returns the bytes that wait for the VM for which most do */
  countWaitingBytes (): number {
    return Math.max(0, ...[...this.listeners].map(({ response }) => response.writableLength))
  }

  /** @returns how many VMs are told */
  countListeners (): number {
    return this.listeners.size
  }

  /**
   * Answers a VM that asks to be told.
   * @param query `after`: the revision that it knows
   * @param response the answer, which stays open
   */
  accept (query: URLSearchParams, response: ServerResponse): void {
    if (this.isClosed || this.listeners.size >= MOST_LISTENERS) {
      response.writeHead(UNAVAILABLE, { 'Content-Length': 0 })
      response.end()
      return
    }
    const after = Number(query.get('after') ?? 0)
    const listener: Listener = { response, toldRevision: Number.isSafeInteger(after) && after >= 0 ? after : 0, toldVia: undefined, toldProof: Number.NEGATIVE_INFINITY, takenUntil: undefined }
    this.listeners.add(listener)
    response.on('close', () => { this.listeners.delete(listener) })
    response.on('error', () => { this.listeners.delete(listener) })
    response.on('drain', () => { this.handleDrain(listener) })
    response.writeHead(OK, { 'Content-Type': 'application/x-ndjson' })
    this.sendNews([listener])
    this.timer ??= this.scheduleBeat()
  }

  /** Tells of what has changed since each was told, and of a proof that is worth telling; nothing to those for whom nothing has. */
  publish (): void {
    const { revision } = this.source
    const via = this.readVia()
    const newerThan = this.readProof() - LEAST_PROOF_MS
    this.sendNews([...this.listeners].filter(({ toldRevision, toldVia, toldProof }) => toldRevision < revision || toldVia !== via || toldProof < newerThan))
  }

  /** Tells nobody any more; they ask others at once. */
  close (): void {
    this.isClosed = true
    this.timer?.close()
    for (const { response } of this.listeners) response.end()
    this.listeners.clear()
  }

  private scheduleBeat (): ITimer {
    return this.clock.schedule(this.clock.now() + BEAT_MS, () => {
      this.timer = undefined
      if (this.isClosed) return
      this.removeStuck()
      this.sendNews(this.listeners)
      if (this.listeners.size > 0) this.timer = this.scheduleBeat()
    })
  }

  private sendNews (among: Iterable<Listener>): void {
    // What is written behind a line that still waits would be out of date when it goes out, and fill the link further.
    const listeners = [...among].filter(({ takenUntil }) => takenUntil === undefined)
    // Most listeners know the same revision, and a telling of everything is long.
    const tellings = new Map<number, Telling>()
    for (const listener of listeners) {
      let telling = tellings.get(listener.toldRevision)
      if (telling === undefined) {
        telling = this.createTelling(listener.toldRevision)
        tellings.set(listener.toldRevision, telling)
      }
      this.send(listener, telling)
    }
    for (const telling of tellings.values()) this.logLong(telling)
  }

  /** The connection has room again: now goes what has changed since its last line. */
  private handleDrain (listener: Listener): void {
    listener.takenUntil = undefined
    if (this.listeners.has(listener)) this.publish()
  }

  private removeStuck (): void {
    const now = this.clock.now()
    for (const listener of [...this.listeners]) {
      if (listener.takenUntil === undefined || !hasPassed(listener.takenUntil, now)) continue
      this.listeners.delete(listener)
      listener.response.destroy()
    }
  }

  private createTelling (after: number): Telling {
    const { via, revision, holdMs, proofAgeMs } = this.source
    const news = this.source.readNewsAfter(after)
    const text = encodeLine(formatRecordLine({ via, revision, holdMs, news, clockMs: this.clock.now(), proofAgeMs }))
    return { text, bytes: Buffer.byteLength(text), isWhole: news?.isWhole === true, listeners: 0 }
  }

  private logLong ({ bytes, isWhole, listeners }: Telling): void {
    if (bytes < LONG_BYTES || listeners === 0) return
    this.telemetry.logLongLine({ revision: this.source.revision, isWhole, bytes, listeners, waitingBytes: this.countWaitingBytes() })
  }

  private send (listener: Listener, telling: Telling): void {
    const hasRoom = listener.response.write(telling.text)
    if (!hasRoom) listener.takenUntil = createDeadline(this.clock.now(), STUCK_MS)
    telling.listeners++
    this.telemetry.countTold(telling.bytes)
    listener.toldRevision = Math.max(listener.toldRevision, this.source.revision)
    listener.toldVia = this.readVia()
    listener.toldProof = this.readProof()
  }

  private readProof (): Instant {
    const { proofAgeMs } = this.source
    return proofAgeMs === undefined ? Number.NEGATIVE_INFINITY : this.clock.now() - proofAgeMs
  }

  private readVia (): string | undefined {
    return this.source.via?.join(' ')
  }
}
