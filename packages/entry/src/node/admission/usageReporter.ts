/**
 * Publishes what is asked of each service at this VM, by priority and by its heaviest client accounts. The
 * size of a row doesn't depend on the number of accounts; it holds names of accounts, never their keys.
 */
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline } from '@umberspar/base/common/deadline'
import type { ServiceGates } from '@umberspar/steering/common/entry/admission/serviceGates'
import { encodeUsage, USAGE_AGGREGATION } from '@umberspar/steering/common/entry/admission/usageContent'
import { ExchangeTopic, type IFleetExchange } from '@umberspar/steering/common/entry/exchange/exchangeRow'
import type { SteeringDocument } from '@umberspar/steering/common/entry/steeringDocument'

/** Time between two rows, in milliseconds. */
const REPORT_INTERVAL_MS = 1_000

/** What the reporter is built from. */
export interface UsageReporterDependencies {
  readonly clock: IClock
  readonly exchange: Pick<IFleetExchange, 'publish' | 'addAggregation'>
  readonly gates: ServiceGates
  /** Holds the configuration in force. */
  readonly view: { readonly document: SteeringDocument | undefined }
  /** This VM's name. */
  readonly node: string
}

/** @returns whether requests may differ in rank by the configuration */
function hasRanks (document: SteeringDocument | undefined): boolean {
  if (document === undefined) return false
  return document.accounts !== undefined || document.routes.some(({ priority }) => priority !== document.routes[0]?.priority)
}

/** Publishes the usage at this VM while there is any, if the configuration has accounts or priorities that differ. */
export class UsageReporter implements IClosable {
  private timer: ITimer | undefined

  /** @param dependencies what it is built from */
  constructor (private readonly dependencies: UsageReporterDependencies) {
    dependencies.exchange.addAggregation(USAGE_AGGREGATION)
  }

  /** Begins to publish. */
  start (): void {
    const { clock } = this.dependencies
    this.timer = clock.schedule(createDeadline(clock.now(), REPORT_INTERVAL_MS), () => {
      this.publish()
      this.start()
    })
  }

  /** Ends publishing. */
  close (): void {
    this.timer?.close()
  }

  private publish (): void {
    const { clock, exchange, gates, node, view } = this.dependencies
    if (!hasRanks(view.document)) return
    const now = clock.now()
    const content = encodeUsage(gates.readUsage(now))
    if (content !== undefined) exchange.publish({ topic: ExchangeTopic.VmUsage, key: node, content, at: now })
  }
}
