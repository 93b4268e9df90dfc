/**
 * Opens connections to workers to find out whether this VM reaches them: when a service has become
 * silent although requests await responses, and while its workers can't be reached. No request is
 * used for that. Connections that open are kept for the next requests.
 */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline } from '@umberspar/base/common/deadline'
import type { IRandomSource } from '@umberspar/base/common/random'
import type { DomainRoundTrips } from '@umberspar/steering/common/entry/placement/domainRoundTrips'
import type { EntryView } from '@umberspar/steering/common/entry/entryView'
import type { WorkerPool } from '@umberspar/steering/common/entry/workers/workerPool'
import type { WorkerLinks } from '@umberspar/steering/common/entry/workers/workerLinks'
import { CONNECT_SLACK_MS } from './connectSlack.js'
import type { EventLoopMonitor } from '../eventLoop/eventLoopMonitor.js'
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
    const trackers = [...pool.listTrackers()].filter(({ isDraining }) => !isDraining)
    const { random, roundTrips, pools, links, clock, eventLoop } = this.options
    const first = Math.floor(random.next() * trackers.length)
    for (let index = 0; index < Math.min(count, trackers.length); index++) {
      const { registration } = trackers[(first + index) % trackers.length]!
      const deadline = createDeadline(now, roundTrips.getRoundTripMs(registration.domain) + CONNECT_SLACK_MS)
      pools.getPool(registration).probe(deadline, (isListening) => {
        if (isListening) links.recordOpened(service, registration.id, clock.now())
        else if (!eventLoop.isLate()) links.recordOpenFailure(service, registration.id, now, clock.now())
      })
    }
  }
}

function hasOverdueRequest (pool: WorkerPool, now: Instant): boolean {
  for (const tracker of pool.listTrackers()) if (tracker.hasOverdueRequest(now)) return true
  return false
}
