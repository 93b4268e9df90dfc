/**
 * Guests: callers whose API keys are revoked and restored while entry processes are
 * disrupted. They send requests throughout, also while their key is revoked.
 */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import type { IRandomSource } from '@umberspar/base/common/random'
import { AnswerKind } from '@umberspar/testing/common/history/historyEvent'
import { isPromisedNotRun, sendCall } from '@umberspar/testing/node/standIns/usersPlatform/platformClient'
import type { PathInput, PlatformRecords } from '@umberspar/testing/node/standIns/usersPlatform/platformRecords'
import { CALLER_ACCOUNT, formatAuthorization, GREEDY_ACCOUNT, GUEST_ACCOUNT } from '../common/soakAccounts.js'
import type { SoakChecker } from './soakChecker.js'

/** Longer than a revoked key may still be accepted, so that a later acceptance is detected. */
const KEY_CHANGE_INTERVAL_MS = 6_000
const SEND_INTERVAL_MS = 60
const DEADLINE_MS = 1_000
const UNAUTHORIZED_STATUS = 401

/** The objects that guests use. */
export interface GuestEnvironment {
  readonly clock: IClock
  readonly random: IRandomSource
  readonly checker: SoakChecker
  readonly records: PlatformRecords
  readonly paths: readonly PathInput[]
  /** The path of an idempotent route, and the route's service. */
  readonly path: string
  readonly service: string
  /** @returns the addresses to connect to in order to reach the entry VMs */
  listConnectAddresses(): readonly string[]
}

/** The guests of a run. */
export class SoakGuests implements IClosable {
  private timer: ITimer | undefined
  private sequence = 0
  private hasKeys = true
  private keyChangeAt: Instant

  /** @param environment the objects that guests use */
  constructor (private readonly environment: GuestEnvironment) {
    this.keyChangeAt = environment.clock.now() + KEY_CHANGE_INTERVAL_MS
  }

  /**
   * Sends requests until an instant. The keys are not revoked again if less than two change intervals are left.
   * @param until when to stop sending
   */
  start (until: Instant): void {
    const { clock } = this.environment
    const now = clock.now()
    if (now >= until) return
    if (now >= this.keyChangeAt) this.setKeys(!this.hasKeys || now + 2 * KEY_CHANGE_INTERVAL_MS > until)
    this.send().catch(() => {})
    this.timer = clock.schedule(now + SEND_INTERVAL_MS, () => { this.start(until) })
  }

  /** Stops sending. */
  close (): void {
    this.timer?.close()
  }

  private setKeys (hasKeys: boolean): void {
    const { clock, checker, records, paths } = this.environment
    this.keyChangeAt = clock.now() + KEY_CHANGE_INTERVAL_MS
    if (hasKeys === this.hasKeys) return
    this.hasKeys = hasKeys
    if (hasKeys) checker.recordKeysRestored(GUEST_ACCOUNT.Name)
    records.putConfiguration(paths, undefined, [CALLER_ACCOUNT, GREEDY_ACCOUNT, hasKeys ? GUEST_ACCOUNT : { ...GUEST_ACCOUNT, ApiKeys: [] }])
    if (!hasKeys) checker.recordKeysRevoked(GUEST_ACCOUNT.Name)
  }

  private async send (): Promise<void> {
    const { checker, random, path, service, listConnectAddresses } = this.environment
    const addresses = listConnectAddresses()
    const entry = addresses[Math.floor(random.next() * addresses.length)]!
    const requestId = `guest-${++this.sequence}`
    checker.recordSent({ requestId, operationId: requestId, service, isIdempotent: true, path, method: 'GET', bodyLength: 0, entry, account: GUEST_ACCOUNT.Name })
    try {
      const { status } = await sendCall(entry, { path, id: requestId, deadlineMs: DEADLINE_MS, headers: { Authorization: formatAuthorization(GUEST_ACCOUNT) }, signal: AbortSignal.timeout(DEADLINE_MS) })
      checker.recordAnswer(requestId, this.classify(status), `guest, status ${status}`)
    } catch (error) {
      checker.recordAnswer(requestId, AnswerKind.Failed, `guest, ${String(error)}`)
    }
  }

  private classify (status: number): AnswerKind {
    if (status === UNAUTHORIZED_STATUS || isPromisedNotRun(status)) return AnswerKind.NotRun
    return status === 200 ? AnswerKind.Complete : AnswerKind.Unknown
  }
}
