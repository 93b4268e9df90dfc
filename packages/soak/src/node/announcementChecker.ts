/**
 * Checks what entry VMs do after a worker has announced something in a response: that it
 * drains, or that it wants a pause. A VM is taken to know it once a caller has got an answer
 * that the VM could not have given without the response.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { AnswerKind } from '@umberspar/testing/common/history/historyEvent'
import type { Announcement } from '@umberspar/testing/node/standIns/usersPlatform/platformWorkerStandIn'
import { SoakRule } from '../common/soakRule.js'

/** An attempt of a caller, as far as this check needs it. */
export interface SentAttempt {
  readonly requestId: string
  readonly entry: string
  readonly isIdempotent: boolean
  readonly sentAt: Instant
}

/** A broken guarantee. */
export interface AnnouncementViolation {
  readonly rule: SoakRule
  readonly detail: string
}

interface Response extends Announcement {
  readonly workerId: string
  readonly at: Instant
}

/** A pause that an entry VM knows of. */
interface KnownPause {
  readonly knownAt: Instant
  readonly from: Instant
  readonly until: Instant
  arrivals: number
}

/** A VM may send requests to a draining worker for so long after it has passed on the announcement. */
const DRAIN_MS = 2_500
/** Requests that were under way when the worker refused may arrive for so long. */
const PAUSE_GRACE_MS = 500
const MAX_REQUESTS_PER_PAUSE = 2

function buildKey (entry: string, workerId: string): string {
  return `${entry} ${workerId}`
}

/** Checks one run. */
export class AnnouncementChecker {
  /** The workers' responses to each request, in their order. */
  private readonly responses = new Map<string, Response[]>()
  private readonly entryStartedAt = new Map<string, Instant>()
  private readonly workerEndedAt = new Map<string, Instant>()
  private readonly drainsKnownAt = new Map<string, Instant>()
  private readonly pauses = new Map<string, KnownPause[]>()

  /** Records the start of an entry process, which knows nothing of earlier responses. */
  recordEntryStart (entry: string, at: Instant): void {
    this.entryStartedAt.set(entry, at)
    this.removeKeys((key) => key.startsWith(`${entry} `))
  }

  /** Records the end of a worker; the next process under its id has announced nothing. */
  recordWorkerEnd (workerId: string, at: Instant): void {
    this.workerEndedAt.set(workerId, at)
    this.removeKeys((key) => key.endsWith(` ${workerId}`))
  }

  /** Records a worker's response. */
  recordResponse (workerId: string, requestId: string, announcement: Announcement, at: Instant): void {
    const responses = this.responses.get(requestId) ?? []
    responses.push({ ...announcement, workerId, at })
    this.responses.set(requestId, responses)
  }

  /** Records what the caller got. */
  recordAnswer ({ requestId, entry, isIdempotent, sentAt }: SentAttempt, answer: AnswerKind, at: Instant): void {
    const responses = (this.responses.get(requestId) ?? []).filter((response) => response.at > (this.workerEndedAt.get(response.workerId) ?? Number.NEGATIVE_INFINITY))
    this.responses.delete(requestId)
    if (sentAt <= (this.entryStartedAt.get(entry) ?? Number.NEGATIVE_INFINITY)) return
    const last = responses.at(-1)
    if (answer === AnswerKind.Complete && last?.isDraining === true) this.recordKnownDrain(buildKey(entry, last.workerId), at)
    // After a response that was lost on its way, an idempotent request may also have been retried.
    const areRefusalsKnown = answer === AnswerKind.NotRun || (answer === AnswerKind.Complete && !isIdempotent)
    if (!areRefusalsKnown) return
    for (const { workerId, coolDownMs, at: from } of responses) {
      if (coolDownMs === undefined) continue
      const key = buildKey(entry, workerId)
      this.pauses.set(key, [...(this.pauses.get(key) ?? []), { knownAt: at, from, until: from + coolDownMs, arrivals: 0 }])
    }
  }

  /**
   * @param workerId the worker that a request arrived at
   * @param attempt the request
   * @param now the current time
   * @returns the guarantees that it breaks
   */
  checkArrival (workerId: string, { entry, sentAt }: SentAttempt, now: Instant): AnnouncementViolation[] {
    const key = buildKey(entry, workerId)
    const violations: AnnouncementViolation[] = []
    const drainKnownAt = this.drainsKnownAt.get(key)
    if (drainKnownAt !== undefined && sentAt > drainKnownAt + DRAIN_MS) {
      violations.push({ rule: SoakRule.WorkAfterAnnouncedDrain, detail: `sent to ${entry} ${Math.round(sentAt - drainKnownAt)} ms after it had passed on the announcement of ${workerId}` })
    }
    for (const pause of this.pauses.get(key) ?? []) {
      if (sentAt <= pause.knownAt || now <= pause.from + PAUSE_GRACE_MS || now >= pause.until) continue
      pause.arrivals++
      if (pause.arrivals > MAX_REQUESTS_PER_PAUSE) violations.push({ rule: SoakRule.PauseIgnored, detail: `${pause.arrivals} requests from ${entry} at ${workerId} within a pause of ${Math.round(pause.until - pause.from)} ms` })
    }
    return violations
  }

  private recordKnownDrain (key: string, at: Instant): void {
    if (!this.drainsKnownAt.has(key)) this.drainsKnownAt.set(key, at)
  }

  private removeKeys (isRemoved: (key: string) => boolean): void {
    for (const table of [this.drainsKnownAt, this.pauses]) {
      for (const key of [...table.keys()]) {
        if (isRemoved(key)) table.delete(key)
      }
    }
  }
}
