/** Measures this node's demand: a moving mean of concurrent requests by service and client region. */
import type { IClock, Instant } from '@umberspar/base/common/clock'
import type { DemandReport } from '@umberspar/steering/common/membership/memberFacts'

/** Time constant of the mean: long compared with one request, short compared with the settle time of steps. */
const MEAN_TIME_CONSTANT_MS = 1000
/** Lower means are not reported, except for this node's own region. */
const MIN_REPORTED_DEMAND = 0.001

interface DemandFlow {
  readonly service: string
  readonly clientRegion: string
  openRequests: number
  mean: number
  updatedAt: Instant
}

/** Counts open requests and computes their moving mean. */
export class DemandMeter {
  private readonly flows = new Map<string, DemandFlow>()

  /**
   * @param ownRegion always reported for every service, so that peers can tell zero demand from a missing report
   * @param clock the clock that measurements are taken with
   */
  constructor (private readonly ownRegion: string, private readonly clock: IClock) {}

  /**
   * Counts a request from now on.
   * @param service the request's service
   * @param clientRegion the caller's region
   * @returns a function to call when the request has ended; further calls do nothing
   */
  start (service: string, clientRegion: string): () => void {
    const flow = this.getOrCreate(service, clientRegion)
    this.updateMean(flow)
    flow.openRequests++
    let isOpen = true
    return () => {
      if (!isOpen) return
      isOpen = false
      this.updateMean(flow)
      flow.openRequests--
    }
  }

  /**
   * @param services the configured services
   * @returns the current means
   */
  list (services: readonly string[]): DemandReport[] {
    const measuredAt = this.clock.now()
    for (const service of services) this.getOrCreate(service, this.ownRegion)
    const reports: DemandReport[] = []
    for (const flow of this.flows.values()) {
      if (!services.includes(flow.service)) continue
      this.updateMean(flow)
      if (flow.mean < MIN_REPORTED_DEMAND && flow.clientRegion !== this.ownRegion) continue
      reports.push({ service: flow.service, clientRegion: flow.clientRegion, concurrency: flow.mean, measuredAt })
    }
    return reports
  }

  private getOrCreate (service: string, clientRegion: string): DemandFlow {
    const key = `${service}/${clientRegion}`
    const existing = this.flows.get(key)
    if (existing !== undefined) return existing
    const flow: DemandFlow = { service, clientRegion, openRequests: 0, mean: 0, updatedAt: this.clock.now() }
    this.flows.set(key, flow)
    return flow
  }

  private updateMean (flow: DemandFlow): void {
    const now = this.clock.now()
    flow.mean += (flow.openRequests - flow.mean) * (1 - Math.exp((flow.updatedAt - now) / MEAN_TIME_CONSTANT_MS))
    flow.updatedAt = now
  }
}
