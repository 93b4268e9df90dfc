/**
 * Decides whether this VM reaches the workers of a service, from what it observes on its connections.
 *
 * A failed connection tells little about its worker, as the VM may have lost its links to all of
 * them. Connections to several workers that fail one after another, while none opens, tell that it
 * has. Whether connections that are already open still work is a separate question.
 */
import type { Instant } from '@umberspar/base/common/clock'

/** Whether connections to the workers of a service can be opened. */
export enum LinkState {
  Connected = 'connected',
  Disconnected = 'disconnected'
}

/** Reports that the state of a service's links changed. */
export type LinkListener = (service: string, state: LinkState) => void

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

interface ServiceLink {
  state: LinkState
  /** When opening the last connection to each worker failed; empty after a connection was opened. */
  failedAt: Map<string, Instant>
  /** When opening the first of these connections began. */
  failingSince: Instant
  /** Workers to which connections were opened while the service was disconnected. */
  reopened: Set<string>
  lastResponseAt: Instant
}

/** The links of one VM to the workers of all services. */
export class WorkerLinks {
  private readonly links = new Map<string, ServiceLink>()
  private lastContactAt: Instant = Number.NEGATIVE_INFINITY

  /**
   * @param countWorkers the number of workers of a service that may get requests
   * @param onChange called when the state of a service's links has changed
   */
  constructor (private readonly countWorkers: (service: string) => number, private readonly onChange: LinkListener) {}

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
    return now - link.lastResponseAt <= RESPONSE_LIFETIME_MS && (link.failedAt.size === 0 || link.lastResponseAt > link.failingSince + LATE_RESPONSE_MS)
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
   */
  recordResponse (service: string, now: Instant): void {
    this.lastContactAt = now
    this.getLink(service).lastResponseAt = now
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
    if (link.state === LinkState.Disconnected) {
      link.reopened.add(worker)
      if (link.reopened.size < Math.min(REOPENED_WORKERS, this.countWorkers(service))) return
    }
    link.failedAt.clear()
    this.setState(service, link, LinkState.Connected)
  }

  /**
   * Records that a connection could not be opened.
   * @param service the worker's service
   * @param worker the worker's id
   * @param startedAt when opening it began
   * @param now the current time
   */
  recordOpenFailure (service: string, worker: string, startedAt: Instant, now: Instant): void {
    const link = this.getLink(service)
    link.reopened.clear()
    for (const [failed, at] of link.failedAt) {
      if (now - at > FAILURE_LIFETIME_MS) link.failedAt.delete(failed)
    }
    if (link.failedAt.size === 0) link.failingSince = startedAt
    link.failedAt.set(worker, now)
    if (link.failedAt.size >= Math.min(FAILED_WORKERS, Math.max(1, this.countWorkers(service)))) this.setState(service, link, LinkState.Disconnected)
  }

  private setState (service: string, link: ServiceLink, state: LinkState): void {
    if (link.state === state) return
    link.state = state
    link.reopened.clear()
    this.onChange(service, state)
  }

  private getLink (service: string): ServiceLink {
    let link = this.links.get(service)
    if (link === undefined) {
      link = { state: LinkState.Connected, failedAt: new Map(), failingSince: 0, reopened: new Set(), lastResponseAt: Number.NEGATIVE_INFINITY }
      this.links.set(service, link)
    }
    return link
  }
}
