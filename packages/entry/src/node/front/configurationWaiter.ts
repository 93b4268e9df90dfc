/** Queues requests until the first configuration is there, or the newer one that another entry VM has. */
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { CallerExchange } from './callerConnection.js'

/** A request that awaits a configuration. */
interface PendingExchange {
  readonly exchange: CallerExchange
  readonly timer: ITimer
}

/** How long requests wait for the first configuration: reading it takes 70 to 200 ms if the store responds. */
const CONFIGURATION_WAIT_MS = 250

/** The requests of one process that await a configuration. */
export class ConfigurationWaiter {
  private readonly pendingExchanges = new Set<PendingExchange>()

  /** @param clock schedules the end of the wait */
  constructor (private readonly clock: IClock) {}

  /** @returns whether requests wait */
  get hasPending (): boolean {
    return this.pendingExchanges.size > 0
  }

  /**
   * Queues a request. Reading the configuration takes one call; if requests were refused meanwhile,
   * most callers would have no retry left.
   * @param onTimeout called if no configuration arrives in time
   */
  add (exchange: CallerExchange, onTimeout: () => void): void {
    const pending = {
      exchange,
      timer: this.clock.schedule(exchange.arrivedAt + CONFIGURATION_WAIT_MS, () => {
        this.pendingExchanges.delete(pending)
        onTimeout()
      })
    }
    this.pendingExchanges.add(pending)
  }

  /** @returns the requests that wait, which are no longer queued */
  take (): CallerExchange[] {
    const pending = [...this.pendingExchanges]
    this.pendingExchanges.clear()
    for (const { timer } of pending) timer.close()
    return pending.map(({ exchange }) => exchange)
  }
}
