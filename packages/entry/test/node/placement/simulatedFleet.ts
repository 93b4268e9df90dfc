/** Entry VMs that exchange rows about demand in one process, on a manual clock. */
import { type ILogger, type LogContext } from '@umberspar/base/common/logger'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { EntryView } from '@umberspar/steering/common/entry/entryView'
import { type DomainAggregation, type ExchangeRow, ExchangeTopic, type IFleetExchange, ROW_LIFETIME_MS } from '@umberspar/steering/common/entry/exchange/exchangeRow'
import { DomainRoundTrips } from '@umberspar/steering/common/entry/placement/domainRoundTrips'
import { UpstreamState } from '@umberspar/steering/common/entry/records'
import { DemandReporter } from '../../../src/node/placement/demandReporter.js'
import { EntryMetrics } from '../../../src/node/telemetry/entryMetrics.js'
import { EntryTelemetry } from '../../../src/node/telemetry/entryTelemetry.js'

export const SERVICE = 'desk'
export const REGIONS = new Map([['a-1', 'a'], ['b-1', 'b'], ['c-1', 'c']])
export const MAX_SHIFT = 0.15
const VMS_PER_DOMAIN = 3
/** The last region has a fourteenth of the workers. */
const WORKERS_BY_DOMAIN: Readonly<Record<string, number>> = { 'a-1': 13, 'b-1': 13, 'c-1': 2 }
const SLOTS = 4
const SECOND_MS = 1_000
/** Requests of a second arrive in this many parts. */
const PARTS_PER_SECOND = 10

/** The rows of one VM; the fleet delivers them. */
class FakeExchange implements IFleetExchange {
  readonly rows = new Map<string, ExchangeRow>()
  readonly aggregations: DomainAggregation[] = []

  constructor (private readonly clock: ManualClock) {}

  publish (row: ExchangeRow): void {
    this.rows.set(`${row.topic} ${row.key}`, row)
  }

  listRows (topic: ExchangeTopic): ExchangeRow[] {
    return [...this.rows.values()].filter((row) => row.topic === topic && this.clock.now() - row.at < ROW_LIFETIME_MS)
  }

  onDidReceive (): void {}

  addAggregation (aggregation: DomainAggregation): void {
    this.aggregations.push(aggregation)
  }
}

/** One VM. */
export interface SimulatedVm {
  readonly name: string
  readonly domain: string
  view: EntryView
  exchange: FakeExchange
  reporter: DemandReporter
  /** Whether it publishes rows. */
  tellsDemand: boolean
}

/** What a fleet is made of. */
export interface FleetOptions {
  readonly maxShift?: number
}

/** All VMs. */
export class SimulatedFleet {
  readonly clock = new ManualClock(1_000_000)
  readonly metrics = new EntryMetrics()
  readonly logLines: LogContext[] = []
  readonly vms: SimulatedVm[] = []
  /** Whether rows about a failure domain reach the VMs of another one. */
  canHear: (listener: string, subject: string) => boolean = () => true

  /** @param options what the fleet is made of */
  constructor (private readonly options: FleetOptions = { maxShift: MAX_SHIFT }) {
    for (const domain of REGIONS.keys()) {
      for (let index = 0; index < VMS_PER_DOMAIN; index++) this.vms.push(this.createVm(`${domain}/vm-${index}`, domain))
    }
    for (const vm of this.vms) this.register(vm)
  }

  /**
   * @param seconds how long to run
   * @param perSecond requests per second by failure domain
   * @param check called each second
   */
  run (seconds: number, perSecond: Readonly<Record<string, number>>, check: () => void = () => {}): void {
    for (let second = 0; second < seconds; second++) {
      for (let part = 0; part < PARTS_PER_SECOND; part++) {
        for (const { domain, reporter } of this.vms) {
          for (let count = 0; count < perSecond[domain]! / VMS_PER_DOMAIN / PARTS_PER_SECOND; count++) reporter.recordArrival(SERVICE)
        }
        this.clock.stepBy(SECOND_MS / PARTS_PER_SECOND)
      }
      this.deliver()
      check()
    }
  }

  /** Replaces a VM's process. */
  resetVm (vm: SimulatedVm): void {
    vm.reporter.close()
    Object.assign(vm, this.createVm(vm.name, vm.domain))
    this.register(vm)
  }

  close (): void {
    for (const { reporter } of this.vms) reporter.close()
  }

  private createVm (name: string, domain: string): SimulatedVm {
    const { clock, metrics } = this
    const exchange = new FakeExchange(clock)
    const view = new EntryView({ mayShare: () => true, node: name, domain, regionByDomain: REGIONS, roundTrips: new DomainRoundTrips(domain, REGIONS), coldTolerance: { factor: 1, slack: 0 }, rateTolerance: { factor: 1, slack: 0 }, retryBudget: { ratio: 0.2, windowMs: 1_000, slack: 1 }, startedAt: clock.now(), maxShift: this.options.maxShift })
    const logger: ILogger = { log: (_level, context) => { this.logLines.push({ ...context, node: name }) }, createChild: () => logger }
    const reporter = new DemandReporter({ node: name, clock, exchange, view, regionByDomain: REGIONS, telemetry: new EntryTelemetry(logger, metrics) })
    reporter.start()
    return { name, domain, view, exchange, reporter, tellsDemand: true }
  }

  private register ({ view }: SimulatedVm): void {
    const now = this.clock.now()
    for (const { name, domain } of this.vms) view.putNode({ name, domain, address: name, peerAddress: name }, now)
    for (const [domain, count] of Object.entries(WORKERS_BY_DOMAIN)) {
      for (let index = 0; index < count; index++) view.putUpstream({ id: `${domain}/w-${index}`, service: SERVICE, address: `${domain}/w-${index}`, domain, slots: SLOTS, state: UpstreamState.Ready, coldMs: 0 }, now)
    }
  }

  /** Relays add up the rows of each domain's VMs, of former processes too, and pass the sums on. */
  private deliver (): void {
    for (const domain of REGIONS.keys()) {
      const members = this.vms.filter((vm) => vm.domain === domain)
      for (const { exchange, tellsDemand } of members) {
        if (!tellsDemand) continue
        for (const row of exchange.listRows(ExchangeTopic.VmDemand)) {
          for (const other of members) other.exchange.publish(getNewest(row, other.exchange.rows.get(`${row.topic} ${row.key}`)))
        }
      }
      const [relay] = members.filter(({ tellsDemand }) => tellsDemand)
      const now = this.clock.now()
      const content = relay?.exchange.aggregations[0]!.compute(relay.exchange.listRows(ExchangeTopic.VmDemand), now)
      if (content === undefined) continue
      for (const vm of this.vms) {
        if (this.canHear(vm.domain, domain)) vm.exchange.publish({ topic: ExchangeTopic.DomainDemand, key: domain, content, at: now })
      }
    }
  }
}

function getNewest (row: ExchangeRow, known: ExchangeRow | undefined): ExchangeRow {
  return known !== undefined && known.at > row.at ? known : row
}
