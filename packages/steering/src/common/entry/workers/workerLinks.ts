/**
 * Decides whether this VM reaches the workers of a service, from what it observes on its connections.
 *
 * A failed connection tells little about its worker, as the VM may have lost its links to all of
 * them. Connections to several workers that fail one after another, while none opens, tell that it
 * has, unless other workers were in contact lately: these are checked first, as the workers that
 * failed may have crashed. Whether connections that are already open still work is a separate question.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'

/** Whether connections to the workers of a service can be opened. */
export enum LinkState {
  Connected = 'connected',
  Disconnected = 'disconnected'
}

/** Reports that the state of a service's links changed. */
export type LinkListener = (service: string, state: LinkState) => void

/** Asks to open connections to these workers, the one with the latest contact first, and to record the results. */
export type LinkCheckListener = (service: string, workers: readonly string[]) => void

/** Workers, of those that the service has, to which connections must fail before the service counts as disconnected. */
const FAILED_WORKERS = 3
/** Workers, of those that the service has, to which connections must open before it counts as connected again. */
const REOPENED_WORKERS = 2
/** Older failures don't count. */
const FAILURE_LIFETIME_MS = 3_000
/** Open connections are used as long as the last response of the service is not older than this. */
const RESPONSE_LIFETIME_MS = 1_500
/** Responses that were under way when the links were cut arrive within this time of the first failure. */
const LATE_RESPONSE_MS = 100
/** Checks without a result by then are started again with the next failure. */
const CHECK_TIMEOUT_MS = 1_000

interface OpenFailureRecord {
  readonly at: Instant
  /** Whether the address refused the connection, as it does if only the worker's process has ended. */
  readonly isRefused: boolean
}

interface LinkCheck {
  readonly until: Deadline
  /** Workers that must fail before the service counts as disconnected. */
  readonly needed: number
  /** Workers that failed although they had been in contact shortly before. */
  readonly failed: Set<string>
}

interface ServiceLink {
  state: LinkState
  /** The last failure to open a connection to each worker; empty after a connection was opened. */
  failures: Map<string, OpenFailureRecord>
  /** When opening the first of these connections began. */
  failingSince: Instant
  /** Workers to which connections were opened while the service was disconnected. */
  reopened: Set<string>
  lastResponseAt: Instant
  /** When each worker last responded or accepted a connection. */
  readonly contacts: Map<string, Contact>
  /** The check before the service counts as disconnected; undefined if there is none. */
  check: LinkCheck | undefined
}

interface Contact {
  at: Instant
  /** Negative infinity if it has only accepted a connection. */
  respondedAt: Instant
}

/** The links of one VM to the workers of all services. */
export class WorkerLinks {
  private readonly links = new Map<string, ServiceLink>()
  private lastContactAt: Instant = Number.NEGATIVE_INFINITY

  /**
   * @param countWorkers the number of workers of a service that may get requests
   * @param onChange called when the state of a service's links has changed
   * @param onCheck called when workers must be checked before a service counts as disconnected
   */
  constructor (
    private readonly countWorkers: (service: string) => number,
    private readonly onChange: LinkListener,
    private readonly onCheck: LinkCheckListener = () => {}
  ) {}

  /**
   * @param service a service
   * @returns whether no connection to its workers can be opened
   */
  isDisconnected (service: string): boolean {
    return this.links.get(service)?.state === LinkState.Disconnected
  }

  /** @returns the services that are disconnected */
  listDisconnected (): string[] {
    return [...this.links].filter(([, { state }]) => state === LinkState.Disconnected).map(([service]) => service)
  }

  /**
   * @param service a service
   * @param now the current time
   * @returns whether responses still arrive on connections that were opened before
   */
  isResponding (service: string, now: Instant): boolean {
    const link = this.links.get(service)
    if (link === undefined) return false
    return now - link.lastResponseAt <= RESPONSE_LIFETIME_MS && (link.failures.size === 0 || link.lastResponseAt > link.failingSince + LATE_RESPONSE_MS)
  }

  /**
   * @param service a disconnected service
   * @param now the current time
   * @returns whether its workers may be reachable all the same, so that a request is better attempted than rejected
   */
  mayBeReachable (service: string, now: Instant): boolean {
    const link = this.links.get(service)
    if (link === undefined) return false
    return this.isResponding(service, now) || (hasOnlyRefusals(link) && this.listRecentContacts(service, now).length > 0)
  }

  /**
   * @param service a service
   * @param now the current time
   * @returns the workers that were in contact lately and did not fail since, the one with the latest contact first
   */
  listRecentContacts (service: string, now: Instant): string[] {
    const link = this.links.get(service)
    if (link === undefined) return []
    return [...link.contacts]
      .filter(([worker, { at }]) => now - at <= RESPONSE_LIFETIME_MS && !link.failures.has(worker))
      .sort(([, left], [, right]) => right.at - left.at)
      .map(([worker]) => worker)
  }

  /**
   * @param service a service
   * @param worker one of its workers
   * @returns when opening a connection to it last failed; negative infinity if it has not failed since one was opened
   */
  getFailedAt (service: string, worker: string): Instant {
    return this.links.get(service)?.failures.get(worker)?.at ?? Number.NEGATIVE_INFINITY
  }

  /**
   * @param service a service
   * @returns when the last response of one of its workers arrived; negative infinity if none has
   */
  getLastResponseAt (service: string): Instant {
    return this.links.get(service)?.lastResponseAt ?? Number.NEGATIVE_INFINITY
  }

  /**
   * @param since an instant
   * @returns whether any worker has responded or accepted a connection since then, so that this VM has not lost all of its links
   */
  hasContactSince (since: Instant): boolean {
    return this.lastContactAt >= since
  }

  /**
   * Records a response of a worker.
   * @param service its service
   * @param now the current time
   * @param worker the worker's id; without it the response counts for the service only
   */
  recordResponse (service: string, now: Instant, worker?: string): void {
    this.lastContactAt = now
    const link = this.getLink(service)
    link.lastResponseAt = now
    if (worker !== undefined) link.contacts.set(worker, { at: now, respondedAt: now })
  }

  /**
   * Records that a connection was opened.
   * @param service the worker's service
   * @param worker the worker's id
   * @param now the current time
   */
  recordOpened (service: string, worker: string, now: Instant): void {
    this.lastContactAt = now
    const link = this.getLink(service)
    for (const [known, { at }] of link.contacts) {
      if (now - at > RESPONSE_LIFETIME_MS) link.contacts.delete(known)
    }
    link.contacts.set(worker, { at: now, respondedAt: link.contacts.get(worker)?.respondedAt ?? Number.NEGATIVE_INFINITY })
    if (link.state === LinkState.Disconnected) {
      link.failures.delete(worker)
      link.reopened.add(worker)
      if (link.reopened.size < Math.min(REOPENED_WORKERS, this.countWorkers(service))) return
    }
    link.failures.clear()
    link.check = undefined
    this.setState(service, link, LinkState.Connected)
  }

  /**
   * Records that a connection could not be opened.
   * @param service the worker's service
   * @param worker the worker's id
   * @param startedAt when opening it began
   * @param now the current time
   * @param isRefused whether the address refused the connection, rather than leaving it without an answer
   */
  recordOpenFailure (service: string, worker: string, startedAt: Instant, now: Instant, isRefused = false): void {
    const link = this.getLink(service)
    link.reopened.clear()
    for (const [failed, { at }] of link.failures) {
      if (now - at > FAILURE_LIFETIME_MS) link.failures.delete(failed)
    }
    if (link.failures.size === 0) {
      link.failingSince = startedAt
      link.check = undefined
    }
    if (link.check !== undefined && this.listRecentContacts(service, now).includes(worker)) link.check.failed.add(worker)
    link.failures.set(worker, { at: now, isRefused })
    if (link.state === LinkState.Disconnected || link.failures.size < Math.min(FAILED_WORKERS, Math.max(1, this.countWorkers(service)))) return
    if (!this.shouldCheckFirst(service, link, now)) this.setState(service, link, LinkState.Disconnected)
  }

  /** @returns whether workers that were in contact lately contradict the failures and have not failed themselves */
  private shouldCheckFirst (service: string, link: ServiceLink, now: Instant): boolean {
    const contacts = this.listContradictions(service, link, now)
    if (contacts.length === 0 || (link.check !== undefined && link.check.failed.size >= link.check.needed)) return false
    if (link.check === undefined || hasPassed(link.check.until, now)) {
      link.check = { until: createDeadline(now, CHECK_TIMEOUT_MS), needed: Math.min(FAILED_WORKERS, contacts.length), failed: link.check?.failed ?? new Set() }
      this.onCheck(service, contacts)
    }
    return true
  }

  private listContradictions (service: string, link: ServiceLink, now: Instant): string[] {
    const contacts = this.listRecentContacts(service, now)
    // Connections without an answer tell that links are cut, unless responses arrive that were not under way at the cut.
    if (hasOnlyRefusals(link)) return contacts
    return contacts.filter((worker) => link.contacts.get(worker)!.respondedAt > link.failingSince + LATE_RESPONSE_MS)
  }

  private setState (service: string, link: ServiceLink, state: LinkState): void {
    if (link.state === state) return
    link.state = state
    link.reopened.clear()
    link.check = undefined
    this.onChange(service, state)
  }

  private getLink (service: string): ServiceLink {
    let link = this.links.get(service)
    if (link === undefined) {
      link = { state: LinkState.Connected, failures: new Map(), failingSince: 0, reopened: new Set(), lastResponseAt: Number.NEGATIVE_INFINITY, contacts: new Map(), check: undefined }
      this.links.set(service, link)
    }
    return link
  }
}

function hasOnlyRefusals ({ failures }: ServiceLink): boolean {
  for (const { isRefused } of failures.values()) if (!isRefused) return false
  return true
}
