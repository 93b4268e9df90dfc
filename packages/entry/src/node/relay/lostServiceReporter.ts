/** Publishes which services' workers this VM can't reach, and reads what other VMs have published. */
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { ExchangeTopic, type IFleetExchange } from '@umberspar/steering/common/entry/exchange/exchangeRow'
import { encodeLostServices, listVmsWithout, LOST_SERVICES_RENEWAL_MS } from '@umberspar/steering/common/entry/relay/lostServices'
import type { WorkerLinks } from '@umberspar/steering/common/entry/workers/workerLinks'

/** What the reporter uses. */
export interface LostServiceReporterOptions {
  readonly clock: IClock
  readonly links: Pick<WorkerLinks, 'listDisconnected'>
  /** This VM's name. */
  readonly node: string
  /** Undefined if VMs exchange nothing. */
  readonly exchange: IFleetExchange | undefined
}

/** The lost services of this VM and the others. */
export class LostServiceReporter implements IClosable {
  private timer: ITimer | undefined
  private isClosed = false
  private hasLostServices = false

  /** @param options what it uses */
  constructor (private readonly options: LostServiceReporterOptions) {}

  /** Publishes what has changed at once, and again each second while services are lost. */
  report (): void {
    const { exchange, links, node, clock } = this.options
    this.timer?.close()
    if (exchange === undefined || this.isClosed) return
    const services = links.listDisconnected().sort()
    if (services.length === 0 && !this.hasLostServices) return
    this.hasLostServices = services.length > 0
    exchange.publish({ topic: ExchangeTopic.LostServices, key: node, content: encodeLostServices(services), at: clock.now() })
    if (this.hasLostServices) this.timer = clock.schedule(clock.now() + LOST_SERVICES_RENEWAL_MS, () => { this.report() })
  }

  /**
   * @param service a service
   * @returns the names of the VMs that have said lately that they don't reach its workers
   */
  listVmsWithout (service: string): ReadonlySet<string> {
    const { exchange, clock } = this.options
    return listVmsWithout(exchange?.listRows(ExchangeTopic.LostServices) ?? [], service, clock.now())
  }

  close (): void {
    this.isClosed = true
    this.timer?.close()
  }
}
