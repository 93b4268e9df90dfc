/**
 * Opens connections to workers to find out whether this VM reaches them: when a service has become
 * silent although requests await responses, when some workers fail while others were in contact
 * lately, and while its workers can't be reached. No request is used for that. Connections that open are kept for the next requests.
 */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import type { IRandomSource } from '@umberspar/base/common/random'
import type { DomainRoundTrips } from '@umberspar/steering/common/entry/placement/domainRoundTrips'
import type { EntryView } from '@umberspar/steering/common/entry/entryView'
import type { UpstreamTracker } from '@umberspar/steering/common/entry/workers/upstreamTracker'
import type { WorkerPool } from '@umberspar/steering/common/entry/workers/workerPool'
import type { WorkerLinks } from '@umberspar/steering/common/entry/workers/workerLinks'
import { createConnectDeadline } from './connectSlack.js'
import type { EventLoopMonitor } from '../eventLoop/eventLoopMonitor.js'
import { OpenFailure } from './upstreamPool.js'
import type { UpstreamPools } from './upstreamPools.js'

/** What the prober uses. */
export interface LinkProberOptions {
  readonly clock: IClock
  readonly random: IRandomSource
  readonly view: EntryView
  readonly links: WorkerLinks
  readonly pools: UpstreamPools
  readonly roundTrips: DomainRoundTrips
  readonly eventLoop: EventLoopMonitor
}

const CHECK_INTERVAL_MS = 250
/** A service is silent if none of its workers has responded for this long, while a request is overdue. */
const SILENCE_MS = 300
/** Workers of a silent service that are probed together: as many as must fail before it counts as disconnected. */
const PROBED_WORKERS = 3
/** Workers of a disconnected service that are probed together: as many as must open before it counts as connected. */
const REPROBED_WORKERS = 2
const REPROBE_INTERVAL_MS = 500

/** The prober of one process. */
export class LinkProber implements IClosable {
  private timer: ITimer | undefined
  private isClosed = false
  /** When each service may be probed again. */
  private readonly nextProbeAt = new Map<string, Instant>()

  /** @param options what it uses */
  constructor (private readonly options: LinkProberOptions) {}

  /** Starts to check the services. */
  start (): void {
    this.schedule()
  }

  /** Probes the services that still count as connected, after another one has been disconnected. */
  checkOthers (): void {
    const { links, clock, view } = this.options
    for (const [service, pool] of view.pools) {
      if (!links.isDisconnected(service)) this.probe(service, pool, PROBED_WORKERS, clock.now())
    }
  }

  /**
   * Opens connections to workers that were in contact lately, those with open connections first: the
   * connections of a crashed worker are closed.
   * @param service the service
   * @param workers its workers, the one with the latest contact first
   */
  checkWorkers (service: string, workers: readonly string[]): void {
    if (this.isClosed) return
    const { pools, view, clock } = this.options
    const now = clock.now()
    const trackers = workers.map((worker) => view.getPool(service).find(worker)).filter((tracker) => tracker?.isDraining === false) as UpstreamTracker[]
    const hasOpen = ({ registration }: UpstreamTracker): boolean => pools.hasOpen(registration.id)
    const checked = [...trackers.filter((tracker) => hasOpen(tracker)), ...trackers.filter((tracker) => !hasOpen(tracker))].slice(0, PROBED_WORKERS)
    for (const tracker of checked) this.open(service, tracker, now)
  }

  close (): void {
    this.isClosed = true
    this.timer?.close()
  }

  private schedule (): void {
    const { clock } = this.options
    if (this.isClosed) return
    this.timer = clock.schedule(clock.now() + CHECK_INTERVAL_MS, () => {
      this.check()
      this.schedule()
    })
  }

  private check (): void {
    const { links, clock, view } = this.options
    const now = clock.now()
    for (const [service, pool] of view.pools) {
      if (links.isDisconnected(service)) {
        if (!links.isResponding(service, now)) this.closeSilent(pool, now)
        this.probe(service, pool, REPROBED_WORKERS, now)
      } else if (now - links.getLastResponseAt(service) >= SILENCE_MS && hasOverdueRequest(pool, now)) {
        this.probe(service, pool, PROBED_WORKERS, now)
      }
    }
  }

  /** Requests on these connections would wait for responses in vain. */
  private closeSilent (pool: WorkerPool, now: Instant): void {
    for (const { registration } of pool.listTrackers()) this.options.pools.closeSilent(registration.id, now - SILENCE_MS)
  }

  private probe (service: string, pool: WorkerPool, count: number, now: Instant): void {
    if (now < (this.nextProbeAt.get(service) ?? 0)) return
    this.nextProbeAt.set(service, now + REPROBE_INTERVAL_MS)
    for (const tracker of this.listProbed(service, pool).slice(0, count)) this.open(service, tracker, now)
  }

  /** Begins with workers that have not failed or whose failure is longest ago, as some may have crashed; at random among equals. */
  private listProbed (service: string, pool: WorkerPool): UpstreamTracker[] {
    const { random, links } = this.options
    const trackers = [...pool.listTrackers()].filter(({ isDraining }) => !isDraining)
    const first = Math.floor(random.next() * trackers.length)
    const getFailedAt = ({ registration }: UpstreamTracker): Instant => links.getFailedAt(service, registration.id)
    return [...trackers.slice(first), ...trackers.slice(0, first)].sort((left, right) => {
      const [leftAt, rightAt] = [getFailedAt(left), getFailedAt(right)]
      return leftAt === rightAt ? 0 : leftAt - rightAt
    })
  }

  private open (service: string, { registration }: UpstreamTracker, now: Instant): void {
    const { roundTrips, pools, links, clock, eventLoop } = this.options
    const deadline = createConnectDeadline(now, roundTrips.getRoundTripMs(registration.domain))
    pools.getPool(registration).probe(deadline, (isListening, failure) => {
      const isRefused = failure === OpenFailure.Refused
      if (isListening) links.recordOpened(service, registration.id, clock.now())
      else if (isRefused || !eventLoop.isLate()) links.recordOpenFailure(service, registration.id, now, clock.now(), isRefused)
    })
  }
}

function hasOverdueRequest (pool: WorkerPool, now: Instant): boolean {
  for (const tracker of pool.listTrackers()) if (tracker.hasOverdueRequest(now)) return true
  return false
}
