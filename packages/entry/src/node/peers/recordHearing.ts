/** One entry VM from which this VM hears of the records, until it falls silent. */
import { get, type ClientRequest, type IncomingMessage } from 'node:http'
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import type { ElapsedClock } from '@umberspar/base/common/elapsedClock'
import type { StepError } from '@umberspar/base/common/errors'
import { HeardClock } from '@umberspar/steering/common/entry/heardClock'
import { parseRecordLine, type RecordLine, RECORDS_PATH } from '../../common/recordLines.js'
import { splitAddress } from '../address.js'
import { decodeLine } from './packedLine.js'
import { BEAT_MS } from './recordTeller.js'

/** A VM that says nothing for three beats is paused, cut off or dark; others are asked, in milliseconds. */
const SILENCE_MS = 3 * BEAT_MS
/** A VM that is there answers within milliseconds; one that is dark must not hold up the next, in milliseconds. */
const OPEN_MS = 600
/** A line that is longer is refused; one with 3,500 workers takes about a megabyte. */
const MOST_CHARACTERS = 16_777_216
const OK = 200

/** Who is told. */
export interface HearingListener {
  /** @param provenAt when the teller's records were surely the newest, on this VM's clock that counts suspensions */
  onLine(line: RecordLine, provenAt: Instant): void
  /** Called once, when nothing more is heard; with an error if it was something else than records. */
  onEnd(error: StepError | undefined): void
}

/** What is heard from one VM. */
export class RecordHearing implements IClosable {
  private readonly tellerClock: HeardClock
  private readonly request: ClientRequest
  private timer: ITimer
  private isEnded = false
  private text = ''

  /**
   * @param address `host:port` of the other VM's listener for peers
   * @param revision what this VM knows
   * @param clock for time limits
   * @param elapsed for what is proven
   * @param listener who is told
   */
  constructor (
    private readonly address: string,
    revision: number,
    private readonly clock: IClock,
    private readonly elapsed: ElapsedClock,
    private readonly listener: HearingListener
  ) {
    this.tellerClock = new HeardClock(elapsed.now())
    this.request = get({ ...splitAddress(address), path: `${RECORDS_PATH}?after=${revision}`, agent: false }, (response) => { this.handleResponse(response) })
    // A VM that cannot be reached is one of several.
    this.request.on('error', () => { this.end(undefined) })
    this.timer = this.scheduleEnd(OPEN_MS)
  }

  /** @returns whether asking this VM anew would show noticeably better how new its records are */
  get isDoubtful (): boolean {
    return this.tellerClock.isDoubtful(this.elapsed.now())
  }

  /** Hears no more. */
  close (): void {
    this.isEnded = true
    this.timer.close()
    this.request.destroy()
  }

  private scheduleEnd (spanMs: number): ITimer {
    return this.clock.schedule(this.clock.now() + spanMs, () => { this.end(undefined) })
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
    this.timer = this.scheduleEnd(SILENCE_MS)
    const lines = (this.text + chunk).split('\n')
    this.text = lines.pop()!
    if (this.text.length > MOST_CHARACTERS) this.end(undefined)
    for (const line of lines) this.handleLine(line)
  }

  private handleLine (text: string): void {
    if (this.isEnded) return
    const plain = decodeLine(text, this.address)
    const line = plain.ok ? parseRecordLine(plain.val, this.address) : plain
    if (line.ok) this.listener.onLine(line.val, this.readProof(line.val))
    else this.end(line.val)
  }

  private readProof ({ clockMs, proofAgeMs }: RecordLine): Instant {
    this.tellerClock.recordLine(clockMs, this.elapsed.now())
    return proofAgeMs === undefined ? Number.NEGATIVE_INFINITY : this.tellerClock.toOwnInstant(clockMs - proofAgeMs)
  }

  private end (error: StepError | undefined): void {
    if (this.isEnded) return
    this.close()
    this.listener.onEnd(error)
  }
}
