/**
 * Opens connections to workers to find out whether this VM reaches them: when a service has become
 * silent although requests await responses, and while its workers can't be reached. No request is
 * used for that. Connections that open are kept for the next requests.
 */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline } from '@umberspar/base/common/deadline'
import type { IRandomSource } from '@umberspar/base/common/random'
import type { DomainRoundTrips } from '@umberspar/steering/common/entry/domainRoundTrips'
import type { EntryView } from '@umberspar/steering/common/entry/entryView'
import type { UpstreamTracker } from '@umberspar/steering/common/entry/upstreamTracker'
import type { WorkerLinks } from '@umberspar/steering/common/entry/workerLinks'
import { CONNECT_SLACK_MS } from './connectSlack.js'
import type { UpstreamPools } from './upstreamPools.js'

/** What the prober uses. */
export interface LinkProberOptions {
  readonly clock: IClock
  readonly random: IRandomSource
  readonly view: EntryView
  readonly links: WorkerLinks
  readonly pools: UpstreamPools
  readonly roundTrips: DomainRoundTrips
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
    const { links, clock } = this.options
    for (const [service, trackers] of this.listTrackersByService()) {
      if (!links.isDisconnected(service)) this.probe(service, trackers, PROBED_WORKERS, clock.now())
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
    const { links, clock, pools } = this.options
    const now = clock.now()
    for (const [service, trackers] of this.listTrackersByService()) {
      if (links.isDisconnected(service)) {
        // Requests would wait for responses on connections that have become silent.
        if (!links.isResponding(service, now)) for (const { registration } of trackers) pools.closeSilent(registration.id, now - SILENCE_MS)
        this.probe(service, trackers, REPROBED_WORKERS, now)
      } else if (now - links.getLastResponseAt(service) >= SILENCE_MS) {
        const overdue = trackers.filter((tracker) => tracker.hasOverdueRequest(now))
        if (overdue.length > 0) this.probe(service, trackers, PROBED_WORKERS, now)
      }
    }
  }

  private probe (service: string, trackers: readonly UpstreamTracker[], count: number, now: Instant): void {
    if (now < (this.nextProbeAt.get(service) ?? 0)) return
    this.nextProbeAt.set(service, now + REPROBE_INTERVAL_MS)
    const { random, roundTrips, pools, links, clock } = this.options
    const first = Math.floor(random.next() * trackers.length)
    for (let index = 0; index < Math.min(count, trackers.length); index++) {
      const { registration } = trackers[(first + index) % trackers.length]!
      const deadline = createDeadline(now, roundTrips.getRoundTripMs(registration.domain) + CONNECT_SLACK_MS)
      pools.getPool(registration).probe(deadline, (isListening) => {
        if (isListening) links.recordOpened(service, registration.id, clock.now())
        else links.recordOpenFailure(service, registration.id, now, clock.now())
      })
    }
  }

  private listTrackersByService (): Map<string, UpstreamTracker[]> {
    const trackersByService = new Map<string, UpstreamTracker[]>()
    for (const tracker of this.options.view.listTrackers()) {
      if (tracker.isDraining) continue
      const { service } = tracker.registration
      const trackers = trackersByService.get(service)
      if (trackers === undefined) trackersByService.set(service, [tracker])
      else trackers.push(tracker)
    }
    return trackersByService
  }
}
