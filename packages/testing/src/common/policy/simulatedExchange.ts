/** The exchange of rows between simulated VMs, with a delay and cut links. */
import type { ExchangeListener, ExchangeRow, ExchangeTopic, IFleetExchange } from '@umberspar/steering/common/entry/exchange/exchangeRow'
import type { EventQueue } from '../choice/eventQueue.js'

/** How rows get from one VM to another. */
export interface ExchangeTraits {
  readonly delayMs: number
  /** @returns whether one VM gets the rows of another; all do if it is undefined */
  isConnected?(from: string, to: string): boolean
}

/** One VM's end of the exchange. */
class SimulatedExchangeEnd implements IFleetExchange {
  private readonly listeners: Array<{ readonly topic: ExchangeTopic, readonly listener: ExchangeListener }> = []

  constructor (private readonly send: (row: ExchangeRow) => void) {}

  publish (row: ExchangeRow): void {
    this.send(row)
  }

  listRows (): Iterable<ExchangeRow> {
    return []
  }

  onDidReceive (topic: ExchangeTopic, listener: ExchangeListener): void {
    this.listeners.push({ topic, listener })
  }

  addAggregation (): void {}

  deliver (row: ExchangeRow): void {
    for (const { topic, listener } of this.listeners) if (topic === row.topic) listener(row)
  }
}

/** The exchange of all VMs. */
export class SimulatedExchange {
  private readonly ends = new Map<string, SimulatedExchangeEnd>()

  /**
   * @param traits delay and cuts
   * @param events the queue of simulated events
   */
  constructor (private readonly traits: ExchangeTraits, private readonly events: EventQueue) {}

  /**
   * @param vm a VM that has just started; it replaces an earlier process of that name
   * @returns its end of the exchange
   */
  createEnd (vm: string): IFleetExchange {
    const end = new SimulatedExchangeEnd((row) => { this.events.schedule(this.events.now() + this.traits.delayMs, () => { this.deliver(vm, row) }) })
    this.ends.set(vm, end)
    return end
  }

  private deliver (from: string, row: ExchangeRow): void {
    for (const [to, end] of this.ends) if (to !== from && this.traits.isConnected?.(from, to) !== false) end.deliver(row)
  }
}
