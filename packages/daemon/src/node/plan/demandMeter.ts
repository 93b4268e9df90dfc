/** Measures what this node carries: a moving mean of requests at a time, by service and client region. */
import type { IClock, Instant } from '@umberspar/base/common/clock'
import type { DemandReport } from '@umberspar/steering/common/membership/memberFacts'

/** Time constant of the mean: long against one request, short against the settle time of steps. */
const MEAN_SPAN_MS = 1000
/** A mean below this is reported as nothing. */
const LEAST_DEMAND = 0.001

interface Flow {
  readonly service: string
  readonly clientRegion: string
  open: number
  mean: number
  updatedAt: Instant
}

/** Counts open requests and keeps their mean. */
export class DemandMeter {
  private readonly flows = new Map<string, Flow>()

  /**
   * @param ownRegion reported for every service even without requests, so that silence is told apart from no demand
   * @param clock the time
   */
  constructor (private readonly ownRegion: string, private readonly clock: IClock) {}

  /**
   * Notes that a request began.
   * @param service its service
   * @param clientRegion where its caller is
   * @returns called once when it has ended
   */
  start (service: string, clientRegion: string): () => void {
    const flow = this.getOrCreate(service, clientRegion)
    this.update(flow)
    flow.open++
    let isOpen = true
    return () => {
      if (!isOpen) return
      isOpen = false
      this.update(flow)
      flow.open--
    }
  }

  /**
   * @param services services of the configuration
   * @returns the present means, measured now
   */
  list (services: readonly string[]): DemandReport[] {
    const measuredAt = this.clock.now()
    for (const service of services) this.getOrCreate(service, this.ownRegion)
    const reports: DemandReport[] = []
    for (const flow of this.flows.values()) {
      if (!services.includes(flow.service)) continue
      this.update(flow)
      if (flow.mean < LEAST_DEMAND && flow.clientRegion !== this.ownRegion) continue
      reports.push({ service: flow.service, clientRegion: flow.clientRegion, concurrency: flow.mean, measuredAt })
    }
    return reports
  }

  private getOrCreate (service: string, clientRegion: string): Flow {
    const key = `${service}/${clientRegion}`
    const known = this.flows.get(key)
    if (known !== undefined) return known
    const flow: Flow = { service, clientRegion, open: 0, mean: 0, updatedAt: this.clock.now() }
    this.flows.set(key, flow)
    return flow
  }

  private update (flow: Flow): void {
    const now = this.clock.now()
    flow.mean += (flow.open - flow.mean) * (1 - Math.exp((flow.updatedAt - now) / MEAN_SPAN_MS))
    flow.updatedAt = now
  }
}
