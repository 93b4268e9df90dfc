/** What this VM publishes about load by the exchange, one reporter for each topic. Without an exchange nothing is published. */
import type { IClock } from '@umberspar/base/common/clock'
import { CloseStack, type IClosable } from '@umberspar/base/common/closing'
import type { ServiceGates } from '@umberspar/steering/common/entry/admission/serviceGates'
import type { EntryView } from '@umberspar/steering/common/entry/entryView'
import { WorkerLoadExchange } from '@umberspar/steering/common/entry/workers/workerLoadExchange'
import type { WorkerLinks } from '@umberspar/steering/common/entry/workers/workerLinks'
import { UsageReporter } from '../admission/usageReporter.js'
import { DemandReporter } from '../placement/demandReporter.js'
import { LostServiceReporter } from '../relay/lostServiceReporter.js'
import type { EntryTelemetry } from '../telemetry/entryTelemetry.js'
import type { FleetExchange } from './fleetExchange.js'

/** What the reports are built from. */
export interface FleetReportsOptions {
  readonly clock: IClock
  /** Undefined if this VM takes no part in the exchange. */
  readonly exchange: FleetExchange | undefined
  readonly view: EntryView
  readonly gates: ServiceGates
  readonly links: Pick<WorkerLinks, 'listDisconnected'>
  readonly regionByDomain: ReadonlyMap<string, string>
  readonly telemetry: EntryTelemetry
  /** This VM's name. */
  readonly node: string
  /** Whether placement follows demand. */
  readonly isPlacementAdaptive: boolean
}

/** The reports of one VM. */
export class FleetReports implements IClosable {
  private readonly closeStack = new CloseStack()
  private isClosed = false
  readonly lostServices: LostServiceReporter
  /** Undefined if this VM takes no part in the exchange. */
  readonly workerLoads: WorkerLoadExchange | undefined
  private readonly exchange: FleetExchange | undefined
  private readonly usage: UsageReporter | undefined
  private readonly demand: DemandReporter | undefined

  /** @param options what they are built from */
  constructor ({ exchange, isPlacementAdaptive, ...options }: FleetReportsOptions) {
    this.exchange = exchange
    this.lostServices = this.closeStack.add(new LostServiceReporter({ ...options, exchange }))
    if (exchange === undefined) return
    this.workerLoads = new WorkerLoadExchange(exchange, options.clock, (id) => options.view.findUpstream(id))
    this.usage = this.closeStack.add(new UsageReporter({ ...options, exchange }))
    if (isPlacementAdaptive) this.demand = this.closeStack.add(new DemandReporter({ ...options, exchange }))
  }

  /** Begins to receive and to publish, unless it has been closed while the process started. */
  start (): void {
    if (this.isClosed) return
    this.exchange?.start()
    this.usage?.start()
    this.demand?.start()
  }

  /**
   * Counts a request of a caller.
   * @param service the service that it is for
   */
  recordArrival (service: string): void {
    this.demand?.recordArrival(service)
  }

  async close (): Promise<void> {
    this.isClosed = true
    await this.closeStack.close()
  }
}
