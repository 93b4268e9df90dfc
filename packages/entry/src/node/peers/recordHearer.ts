/**
 * Keeps this VM hearing of the records from two other entry VMs, the best of its
 * sources that serve it. A source that ends, falls silent or is not sure of its own
 * records is replaced by the next one at once; the old one is kept until another serves.
 */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import type { ElapsedClock } from '@umberspar/base/common/elapsedClock'
import { type ILogger, logError, LogLevel } from '@umberspar/base/common/logger'
import { addJitter, type IRandomSource } from '@umberspar/base/common/random'
import type { RecordLine } from '../../common/recordLines.js'
import { RecordHearing } from './recordHearing.js'

/** VMs heard at once: while one falls silent the other goes on. */
const WANTED = 2
/** VMs heard or asked at once at most, while sources are being replaced. */
const MOST = 5
/** A VM that could not be heard is asked again after so long, in milliseconds. */
const FAILED_MS = 2_000
const FAILED_JITTER = 0.3
/** While fewer than two sources vouch, others are tried this often, in milliseconds. */
const LOOK_MS = 1_000
/** A source is not asked anew more often, in milliseconds: right after a start of many VMs each answer is late. */
const RENEW_MS = 1_000

/** A VM that asks so is told everything. */
const NOTHING_KNOWN = 0

/** Who is told. */
export interface HearerListener {
  /** @returns the revision that is known already */
  getRevision(): number
  /**
   * @param provenAt when the teller's records were surely the newest, on this VM's clock that counts suspensions
   * @returns false if the teller has to tell everything
   */
  onLine(line: RecordLine, provenAt: Instant): boolean
  /** A source came, went, or became sure or unsure of its records. */
  onSourcesChanged(): void
}

/** One source. */
interface Source {
  readonly address: string
  hearing: RecordHearing | undefined
  /** Takes the place of `hearing` with its first line; undefined while none is opened. */
  successor: RecordHearing | undefined
  /** No other successor is opened before. */
  succeededUntil: Deadline
  /** The way that its records took; undefined while it does not vouch for them. */
  via: readonly string[] | undefined
  /** Whether it has told where it stands. */
  hasSpoken: boolean
}

/** Whether a source serves, or may turn out to. */
function isPromising ({ via, hasSpoken }: Source): boolean {
  return via !== undefined || !hasSpoken
}

/** Hears from other VMs between `listenTo` and `close`. */
export class RecordHearer implements IClosable {
  private readonly sources = new Map<string, Source>()
  private readonly failedUntil = new Map<string, Deadline>()
  private addresses: readonly string[] = []
  private timer: ITimer | undefined

  /**
   * @param node this VM's name
   * @param clock for time limits
   * @param elapsed for what is proven
   * @param random spreads repeated questions
   * @param logger told of what cannot be read
   * @param listener who is told
   */
  constructor (
    private readonly node: string,
    private readonly clock: IClock,
    private readonly elapsed: ElapsedClock,
    private readonly random: IRandomSource,
    private readonly logger: ILogger,
    private readonly listener: HearerListener
  ) {}

  /** @returns the shortest way that vouched records took to this VM; undefined if no source vouches */
  get via (): readonly string[] | undefined {
    let shortest: readonly string[] | undefined
    for (const { via } of this.sources.values()) {
      if (via !== undefined && (shortest === undefined || via.length < shortest.length)) shortest = via
    }
    return shortest
  }

  /** @returns how many VMs this one hears from that vouch for their records */
  countSources (): number {
    return this.listVouching().length
  }

  /** @param addresses `host:port` of the sources, the best first; empty to hear from nobody */
  listenTo (addresses: readonly string[]): void {
    this.addresses = [...new Set(addresses)]
    this.update()
  }

  /** Hears from nobody any more. */
  close (): void {
    this.addresses = []
    this.timer?.close()
    this.failedUntil.clear()
    for (const address of [...this.sources.keys()]) this.remove(address)
  }

  private listVouching (): Source[] {
    return [...this.sources.values()].filter(({ via }) => via !== undefined)
  }

  private update (): void {
    this.timer?.close()
    const now = this.clock.now()
    const wanted = this.addresses.filter((address) => hasPassed(this.failedUntil.get(address) ?? now, now))
    this.removeSurplus(wanted)
    let missing = WANTED - [...this.sources.values()].filter(isPromising).length
    if (missing > 0) this.removeUnsure(wanted, now)
    for (const address of wanted) {
      if (this.sources.size >= MOST) break
      if (this.sources.has(address) || (missing <= 0 && !this.isBest(address, wanted))) continue
      this.open(address)
      missing--
    }
    this.scheduleUpdate(now)
  }

  /** Makes room for others once those that are heard do not vouch: somewhere else a VM may reach the store. */
  private removeUnsure (wanted: readonly string[], now: Instant): void {
    for (const source of [...this.sources.values()]) {
      if (this.sources.size < MOST) return
      if (isPromising(source) || this.isBest(source.address, wanted)) continue
      this.remove(source.address)
      this.markFailed(source.address, now)
    }
  }

  private isBest (address: string, wanted: readonly string[]): boolean {
    const at = wanted.indexOf(address)
    return at >= 0 && at < WANTED
  }

  /** Keeps the best two that vouch, and those that are asked for taking their place. */
  private removeSurplus (wanted: readonly string[]): void {
    const vouching = wanted.filter((address) => this.sources.get(address)?.via !== undefined)
    for (const address of [...this.sources.keys()]) {
      const isGone = !this.addresses.includes(address)
      const at = vouching.indexOf(address)
      const isReplaced = vouching.length >= WANTED && (at < 0 || at >= WANTED) && !this.isBest(address, wanted)
      if (isReplaced || (isGone && vouching.length > 0) || this.addresses.length === 0) this.remove(address)
    }
  }

  private scheduleUpdate (now: Instant): void {
    for (const [address, until] of this.failedUntil) {
      if (hasPassed(until, now)) this.failedUntil.delete(address)
    }
    if (this.addresses.length === 0) return
    const next = this.listVouching().length < WANTED ? [now + LOOK_MS] : []
    const at = Math.min(...next, ...this.failedUntil.values())
    if (Number.isFinite(at)) this.timer = this.clock.schedule(at, () => { this.update() })
  }

  private markFailed (address: string, now: Instant): void {
    this.failedUntil.set(address, now + addJitter(this.random, FAILED_MS, FAILED_JITTER))
  }

  private open (address: string): void {
    const source: Source = { address, hearing: undefined, successor: undefined, succeededUntil: 0, via: undefined, hasSpoken: false }
    this.sources.set(address, source)
    source.hearing = this.createHearing(source)
  }

  private createHearing (source: Source, revision = this.listener.getRevision()): RecordHearing {
    const hearing: RecordHearing = new RecordHearing(source.address, revision, this.clock, this.elapsed, {
      onLine: (line, provenAt) => {
        if (source.successor === hearing) this.putHearing(source, hearing)
        this.handleLine(source, line, provenAt)
        if (Number.isFinite(provenAt)) this.renewDoubtful(source)
      },
      onEnd: (error) => {
        if (error !== undefined) logError(this.logger, LogLevel.Warn, error)
        if (source.successor === hearing) source.successor = undefined
        else this.handleEnd(source)
      }
    })
    return hearing
  }

  private putHearing (source: Source, hearing: RecordHearing): void {
    source.hearing?.close()
    source.hearing = hearing
    source.successor = undefined
  }

  /** Asks a source anew where its clock is known so badly that its records look older than they are. */
  private renewDoubtful (source: Source): void {
    const now = this.clock.now()
    const isHeard = this.sources.get(source.address) === source
    if (!isHeard || source.hearing?.isDoubtful !== true || source.successor !== undefined || !hasPassed(source.succeededUntil, now)) return
    source.succeededUntil = now + RENEW_MS
    source.successor = this.createHearing(source)
  }

  private handleLine (source: Source, line: RecordLine, provenAt: Instant): void {
    const wasVouching = source.via !== undefined
    const isFirst = !source.hasSpoken
    source.hasSpoken = true
    // Two VMs that hear from each other would vouch for each other for ever.
    source.via = line.via?.includes(this.node) === true ? undefined : line.via
    const isTaken = this.listener.onLine({ ...line, via: source.via }, provenAt)
    if (!isTaken) this.askForAll(source)
    if (!isFirst && wasVouching === (source.via !== undefined)) return
    this.listener.onSourcesChanged()
    this.update()
  }

  /** What the source told builds on something else than what is known here. */
  private askForAll (source: Source): void {
    source.successor?.close()
    source.successor = undefined
    source.hearing?.close()
    source.hearing = this.createHearing(source, NOTHING_KNOWN)
  }

  private handleEnd (source: Source): void {
    if (this.sources.get(source.address) !== source) return
    source.successor?.close()
    this.sources.delete(source.address)
    this.markFailed(source.address, this.clock.now())
    this.listener.onSourcesChanged()
    this.update()
  }

  private remove (address: string): void {
    const source = this.sources.get(address)
    source?.hearing?.close()
    source?.successor?.close()
    this.sources.delete(address)
  }
}
