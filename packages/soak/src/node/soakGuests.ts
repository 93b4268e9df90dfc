/**
 * Guests whose keys come and go while entry processes are disturbed: some send a
 * request every now and then all the while, with a key that may have been taken away.
 */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import type { IRandomSource } from '@umberspar/base/common/random'
import { AnswerKind } from '@umberspar/testing/common/history/historyEvent'
import { isPromisedNotRun, sendCall } from '@umberspar/testing/node/standIns/usersPlatform/platformClient'
import type { PathInput, PlatformRecords } from '@umberspar/testing/node/standIns/usersPlatform/platformRecords'
import { CALLERS, GUESTS, GUESTS_AUTHORIZATION } from '../common/soakAccounts.js'
import type { SoakJudge } from './soakJudge.js'

/** Longer than a removed key may run, so that runs after that show, in milliseconds. */
const TURN_MS = 6_000
const SEND_MS = 60
const DEADLINE_MS = 1_000
const UNAUTHORIZED = 401

/** What guests use. */
export interface GuestStage {
  readonly clock: IClock
  readonly random: IRandomSource
  readonly judge: SoakJudge
  readonly records: PlatformRecords
  readonly paths: readonly PathInput[]
  /** The path of an idempotent route, and its service. */
  readonly path: string
  readonly service: string
  /** @returns where all entry VMs can be reached */
  listWays(): readonly string[]
}

/** The guests of one run. */
export class SoakGuests implements IClosable {
  private timer: ITimer | undefined
  private sequence = 0
  private hasKeys = true
  private turnAt: Instant

  /** @param stage what they use */
  constructor (private readonly stage: GuestStage) {
    this.turnAt = stage.clock.now() + TURN_MS
  }

  /**
   * Sends until an instant; the keys are there again a turn before it.
   * @param until when to end
   */
  start (until: Instant): void {
    const { clock } = this.stage
    const now = clock.now()
    if (now >= until) return
    if (now >= this.turnAt) this.setKeys(!this.hasKeys || now + 2 * TURN_MS > until)
    this.send().catch(() => {})
    this.timer = clock.schedule(now + SEND_MS, () => { this.start(until) })
  }

  /** Sends nothing more. */
  close (): void {
    this.timer?.close()
  }

  private setKeys (hasKeys: boolean): void {
    const { clock, judge, records, paths } = this.stage
    this.turnAt = clock.now() + TURN_MS
    if (hasKeys === this.hasKeys) return
    this.hasKeys = hasKeys
    if (hasKeys) judge.recordKeysGiven(GUESTS.Name)
    records.putConfiguration(paths, undefined, [CALLERS, hasKeys ? GUESTS : { ...GUESTS, ApiKeys: [] }])
    if (!hasKeys) judge.recordKeysTaken(GUESTS.Name)
  }

  private async send (): Promise<void> {
    const { judge, random, path, service, listWays } = this.stage
    const ways = listWays()
    const entry = ways[Math.floor(random.next() * ways.length)]!
    const requestId = `guest-${++this.sequence}`
    judge.recordSent({ requestId, operationId: requestId, service, isIdempotent: true, path, method: 'GET', bodyLength: 0, entry, account: GUESTS.Name })
    try {
      const { status } = await sendCall(entry, { path, id: requestId, deadlineMs: DEADLINE_MS, headers: { Authorization: GUESTS_AUTHORIZATION }, signal: AbortSignal.timeout(DEADLINE_MS) })
      judge.recordAnswer(requestId, this.classify(status), `guest, status ${status}`)
    } catch (thrown) {
      judge.recordAnswer(requestId, AnswerKind.Failed, `guest, ${String(thrown)}`)
    }
  }

  private classify (status: number): AnswerKind {
    if (status === UNAUTHORIZED || isPromisedNotRun(status)) return AnswerKind.NotRun
    return status === 200 ? AnswerKind.Whole : AnswerKind.Unknown
  }
}
