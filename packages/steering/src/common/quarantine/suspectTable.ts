/**
 * Decides which requests are quarantined, from crashes that this entry VM saw and
 * those that others report.
 *
 * A crash breaks off everything that its worker held, so most reports name requests
 * that did no harm. Two conditions tell them apart. Several workers must have crashed
 * under the request, and at least one of them must have got it after an earlier crash under it was
 * known: requests that were in flight at a rack when it lost power do not meet the
 * second. And an answer refutes the crashes known by then.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import type { CrashReport } from './crashReport.js'

/** Workers that crash under a request before it is quarantined. */
const LEAST_WORKERS = 3
const LEAST_ROUNDS = 2
/** Requests remembered at most; a report takes about 100 bytes. */
const MAX_SUSPECTS = 4_096

/** How far a report is trusted. */
export enum ReportState {
  /** Not known yet whether the worker crashed or only a connection broke. */
  Pending = 'pending',
  Confirmed = 'confirmed'
}

interface Crash {
  readonly round: number
  readonly state: ReportState
  readonly expiresAt: Deadline
}

/** What is known of one request. */
interface Suspect {
  /** By worker. */
  readonly crashes: Map<string, Crash>
  /** Workers whose crashes are refuted, with when that is forgotten. */
  readonly refuted: Map<string, Deadline>
  quarantinedUntil: Deadline
}

/** The requests that one entry VM suspects. */
export class SuspectTable {
  private readonly suspects = new Map<string, Suspect>()

  /** @returns whether there is nothing to look requests up in */
  get isEmpty (): boolean {
    return this.suspects.size === 0
  }

  /**
   * @param digest a request
   * @param now the present
   * @returns the round of a crash under it if it were sent now, 1 the first
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
   * @param report a crash
   * @param state whether it is certain; a certain one stays so
   * @param now the present
   * @param expiresAt when it is forgotten
   * @returns whether it was not known before in that state
   */
  putCrash ({ digest, workerId, round }: CrashReport, state: ReportState, now: Instant, expiresAt: Deadline): boolean {
    if (hasPassed(expiresAt, now)) return false
    const { crashes } = this.readSuspect(digest, now)
    const known = crashes.get(workerId)
    if (known !== undefined && (known.state === ReportState.Confirmed || known.state === state)) return false
    crashes.set(workerId, { round: known?.round ?? round, state, expiresAt })
    return true
  }

  /** Forgets a crash that turned out to be a broken connection. */
  removeCrash (digest: string, workerId: string): void {
    this.suspects.get(digest)?.crashes.delete(workerId)
  }

  /**
   * Takes over that a worker answered a request, which refutes crashes known by then.
   * @param digest the request
   * @param workerIds the workers whose crashes are refuted
   * @param expiresAt when that is forgotten; not before the reports that it refutes
   */
  putAnswer (digest: string, workerIds: Iterable<string>, now: Instant, expiresAt: Deadline): void {
    if (hasPassed(expiresAt, now)) return
    const suspect = this.readSuspect(digest, now)
    for (const workerId of workerIds) suspect.refuted.set(workerId, expiresAt)
  }

  /** Quarantines a request; a later end than the one known holds. */
  putQuarantine (digest: string, until: Deadline, now: Instant): void {
    if (hasPassed(until, now)) return
    const suspect = this.readSuspect(digest, now)
    suspect.quarantinedUntil = Math.max(suspect.quarantinedUntil, until)
  }

  /** Ends a quarantine early. */
  removeQuarantine (digest: string): void {
    const suspect = this.suspects.get(digest)
    if (suspect !== undefined) suspect.quarantinedUntil = Number.NEGATIVE_INFINITY
  }

  /**
   * @param digest a request
   * @param workerIds workers that are said to have crashed under it
   * @returns whether answers refute all of that
   */
  isRefuted (digest: string, workerIds: readonly string[]): boolean {
    const refuted = this.suspects.get(digest)?.refuted
    return refuted !== undefined && workerIds.length > 0 && workerIds.every((workerId) => refuted.has(workerId))
  }

  /**
   * @param digest a request
   * @param now the present
   * @returns whether the confirmed crashes are reason enough to quarantine it
   */
  isEvident (digest: string, now: Instant): boolean {
    return this.hasEvidence(digest, now, ReportState.Confirmed)
  }

  /**
   * @param digest a request
   * @param now the present
   * @returns until when it must not be sent, `now` if only pending reports speak against it; undefined if it may be sent
   */
  getBlockedUntil (digest: string, now: Instant): Deadline | undefined {
    const suspect = this.suspects.get(digest)
    if (suspect === undefined) return undefined
    if (!hasPassed(suspect.quarantinedUntil, now)) return suspect.quarantinedUntil
    return this.hasEvidence(digest, now, ReportState.Pending) ? now : undefined
  }

  /**
   * @param digest a request
   * @param now the present
   * @returns the workers that crashed under it, as far as no answer refutes that
   */
  listWorkers (digest: string, now: Instant): string[] {
    const suspect = this.suspects.get(digest)
    return suspect === undefined ? [] : this.listCrashes(suspect, now).map(([workerId]) => workerId)
  }

  /** @returns how many requests are quarantined */
  countQuarantined (now: Instant): number {
    return [...this.suspects.values()].filter(({ quarantinedUntil }) => !hasPassed(quarantinedUntil, now)).length
  }

  /** @returns how many requests are remembered */
  countSuspects (): number {
    return this.suspects.size
  }

  /** Forgets what has expired. */
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

  private hasEvidence (digest: string, now: Instant, least: ReportState): boolean {
    const suspect = this.suspects.get(digest)
    if (suspect === undefined) return false
    const crashes = this.listCrashes(suspect, now).filter(([, { state }]) => state === ReportState.Confirmed || state === least)
    return crashes.length >= LEAST_WORKERS && crashes.some(([, { round }]) => round >= LEAST_ROUNDS)
  }

  private listCrashes ({ crashes, refuted }: Suspect, now: Instant): Array<readonly [string, Crash]> {
    return [...crashes].filter(([workerId, { expiresAt }]) => !refuted.has(workerId) && !hasPassed(expiresAt, now))
  }

  private readSuspect (digest: string, now: Instant): Suspect {
    let suspect = this.suspects.get(digest)
    if (suspect === undefined) {
      suspect = { crashes: new Map(), refuted: new Map(), quarantinedUntil: Number.NEGATIVE_INFINITY }
      this.suspects.set(digest, suspect)
      if (this.suspects.size > MAX_SUSPECTS) this.evictOldest(now)
    }
    return suspect
  }

  /** Quarantined requests go last: forgetting one costs workers. */
  private evictOldest (now: Instant): void {
    for (const [digest, { quarantinedUntil }] of this.suspects) {
      if (!hasPassed(quarantinedUntil, now)) continue
      this.suspects.delete(digest)
      return
    }
  }
}

/** @returns the deadline of something that expires at a wall time, on the steady clock, and no later than a span from now */
export function toDeadline (expiresAt: number, wallTime: number, now: Instant, longestMs: number): Deadline {
  return createDeadline(now, Math.min(longestMs, Math.max(0, expiresAt - wallTime)))
}
