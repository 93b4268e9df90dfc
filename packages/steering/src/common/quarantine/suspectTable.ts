/**
 * Decides which requests are quarantined, based on the worker crashes that this entry VM
 * observed and those that other entry VMs report.
 *
 * A crash interrupts all requests in flight at the worker, so most reports are about
 * requests that didn't cause it. A request is quarantined only if several workers crashed
 * under it, and at least one of them received it after an earlier crash under it was known.
 * The second condition excludes requests that were in flight at a rack when it lost power.
 * An answer to the request refutes the crashes that were known by then.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import type { CrashReport } from './crashReport.js'

const MIN_CRASHED_WORKERS = 3
const MIN_HIGHEST_ROUND = 2
/** Bounds the memory of the table; one report takes about 100 bytes. */
const MAX_SUSPECTS = 4_096

/** Whether a reported crash is certain. */
export enum ReportState {
  /** It isn't known yet whether the worker crashed or only a connection was lost. */
  Pending = 'pending',
  Confirmed = 'confirmed'
}

interface Crash {
  readonly round: number
  readonly state: ReportState
  readonly expiresAt: Deadline
}

/** The evidence about one request. */
interface Suspect {
  /** Crashes under the request, by worker id. */
  readonly crashes: Map<string, Crash>
  /** When the refutation of a worker's crash expires, by worker id. */
  readonly refuted: Map<string, Deadline>
  quarantinedUntil: Deadline
}

/** The requests that one entry VM suspects of crashing workers. */
export class SuspectTable {
  private readonly suspects = new Map<string, Suspect>()

  /** @returns whether no request is suspected, so that callers can skip the lookup */
  get isEmpty (): boolean {
    return this.suspects.size === 0
  }

  /**
   * @param digest the request's digest
   * @param now the current time
   * @returns the round to report if the request is sent now and its worker crashes; 1 is the first
   */
  getNextRound (digest: string, now: Instant): number {
    const suspect = this.suspects.get(digest)
    let round = 0
    if (suspect !== undefined) {
      for (const [, crash] of this.listCrashes(suspect, now)) round = Math.max(round, crash.round)
    }
    return round + 1
  }

  /**
   * Records a crash.
   * @param report the crash
   * @param state whether it is certain; a confirmed crash stays confirmed
   * @param now the current time
   * @param expiresAt when the record expires; it is ignored if this has passed
   * @returns whether this changed the table
   */
  putCrash ({ digest, workerId, round }: CrashReport, state: ReportState, now: Instant, expiresAt: Deadline): boolean {
    if (hasPassed(expiresAt, now)) return false
    const { crashes } = this.getOrAddSuspect(digest, now)
    const previous = crashes.get(workerId)
    if (previous !== undefined && (previous.state === ReportState.Confirmed || previous.state === state)) return false
    crashes.set(workerId, { round: previous?.round ?? round, state, expiresAt })
    return true
  }

  /**
   * Removes a crash that turned out to be a lost connection.
   * @param digest the request's digest
   * @param workerId the worker that didn't crash
   */
  removeCrash (digest: string, workerId: string): void {
    this.suspects.get(digest)?.crashes.delete(workerId)
  }

  /**
   * Records that a worker answered a request, which refutes the crashes known by then.
   * @param digest the request's digest
   * @param workerIds the workers whose crashes are refuted
   * @param now the current time
   * @param expiresAt when the refutation expires; not before the reports that it refutes
   */
  putAnswer (digest: string, workerIds: Iterable<string>, now: Instant, expiresAt: Deadline): void {
    if (hasPassed(expiresAt, now)) return
    const suspect = this.getOrAddSuspect(digest, now)
    for (const workerId of workerIds) suspect.refuted.set(workerId, expiresAt)
  }

  /**
   * Quarantines a request, or extends its quarantine; an earlier end than the present one is ignored.
   * @param digest the request's digest
   * @param until when the quarantine ends
   * @param now the current time
   */
  putQuarantine (digest: string, until: Deadline, now: Instant): void {
    if (hasPassed(until, now)) return
    const suspect = this.getOrAddSuspect(digest, now)
    suspect.quarantinedUntil = Math.max(suspect.quarantinedUntil, until)
  }

  /**
   * Ends a quarantine early.
   * @param digest the request's digest
   */
  removeQuarantine (digest: string): void {
    const suspect = this.suspects.get(digest)
    if (suspect !== undefined) suspect.quarantinedUntil = Number.NEGATIVE_INFINITY
  }

  /**
   * @param digest the request's digest
   * @param workerIds the workers that are reported to have crashed under it
   * @returns whether answers refute the crashes of all these workers; false for an empty list
   */
  isRefuted (digest: string, workerIds: readonly string[]): boolean {
    const refuted = this.suspects.get(digest)?.refuted
    return refuted !== undefined && workerIds.length > 0 && workerIds.every((workerId) => refuted.has(workerId))
  }

  /**
   * @param digest the request's digest
   * @param now the current time
   * @returns whether the confirmed crashes suffice to quarantine the request
   */
  hasConfirmedEvidence (digest: string, now: Instant): boolean {
    return this.hasEvidence(digest, now, ReportState.Confirmed)
  }

  /**
   * @param digest the request's digest
   * @param now the current time
   * @returns until when the request must not be sent: the end of its quarantine, or `now` if it isn't quarantined but
   * pending and confirmed crashes together would suffice; undefined if it may be sent
   */
  getBlockedUntil (digest: string, now: Instant): Deadline | undefined {
    const suspect = this.suspects.get(digest)
    if (suspect === undefined) return undefined
    if (!hasPassed(suspect.quarantinedUntil, now)) return suspect.quarantinedUntil
    return this.hasEvidence(digest, now, ReportState.Pending) ? now : undefined
  }

  /**
   * @param digest the request's digest
   * @param now the current time
   * @returns the ids of the workers that crashed under it, without refuted crashes
   */
  listWorkers (digest: string, now: Instant): string[] {
    const suspect = this.suspects.get(digest)
    return suspect === undefined ? [] : this.listCrashes(suspect, now).map(([workerId]) => workerId)
  }

  /**
   * @param now the current time
   * @returns how many requests are quarantined
   */
  countQuarantined (now: Instant): number {
    return [...this.suspects.values()].filter(({ quarantinedUntil }) => !hasPassed(quarantinedUntil, now)).length
  }

  /** @returns how many requests the table holds */
  countSuspects (): number {
    return this.suspects.size
  }

  /**
   * Removes expired crashes, refutations and quarantines.
   * @param now the current time
   */
  removeExpired (now: Instant): void {
    for (const [digest, { crashes, refuted, quarantinedUntil }] of this.suspects) {
      for (const [workerId, { expiresAt }] of crashes) {
        if (hasPassed(expiresAt, now)) crashes.delete(workerId)
      }
      for (const [workerId, expiresAt] of refuted) {
        if (hasPassed(expiresAt, now)) refuted.delete(workerId)
      }
      if (crashes.size + refuted.size === 0 && hasPassed(quarantinedUntil, now)) this.suspects.delete(digest)
    }
  }

  private hasEvidence (digest: string, now: Instant, minState: ReportState): boolean {
    const suspect = this.suspects.get(digest)
    if (suspect === undefined) return false
    const crashes = this.listCrashes(suspect, now).filter(([, { state }]) => state === ReportState.Confirmed || state === minState)
    return crashes.length >= MIN_CRASHED_WORKERS && crashes.some(([, { round }]) => round >= MIN_HIGHEST_ROUND)
  }

  private listCrashes ({ crashes, refuted }: Suspect, now: Instant): Array<readonly [string, Crash]> {
    return [...crashes].filter(([workerId, { expiresAt }]) => !refuted.has(workerId) && !hasPassed(expiresAt, now))
  }

  private getOrAddSuspect (digest: string, now: Instant): Suspect {
    let suspect = this.suspects.get(digest)
    if (suspect === undefined) {
      suspect = { crashes: new Map(), refuted: new Map(), quarantinedUntil: Number.NEGATIVE_INFINITY }
      this.suspects.set(digest, suspect)
      if (this.suspects.size > MAX_SUSPECTS) this.evictOldest(now)
    }
    return suspect
  }

  /** Never evicts a quarantined request, as it would crash further workers. */
  private evictOldest (now: Instant): void {
    for (const [digest, { quarantinedUntil }] of this.suspects) {
      if (!hasPassed(quarantinedUntil, now)) continue
      this.suspects.delete(digest)
      return
    }
  }
}

/**
 * Converts an expiry in wall time into a deadline on the monotonic clock.
 * @param expiresAt the expiry in wall time, in milliseconds since 1970
 * @param wallTime the current wall time, in milliseconds since 1970
 * @param now the current time on the monotonic clock
 * @param maxMs the longest time until the deadline, in milliseconds, in case the wall clock is wrong
 * @returns the deadline, not before `now`
 */
export function toDeadline (expiresAt: number, wallTime: number, now: Instant, maxMs: number): Deadline {
  return createDeadline(now, Math.min(maxMs, Math.max(0, expiresAt - wallTime)))
}
