/** What entry VMs divide among themselves: who takes part, and the limits that they have learned of. */
import type { IClosable } from '@umberspar/base/common/closing'
import { ViewChange } from '@umberspar/steering/common/entry/viewEvent'
import { MembershipKeeper, type MembershipKeeperDependencies } from './membershipKeeper.js'
import { RateLimitReporter } from './rateLimitReporter.js'

/** The part of one process in what the VMs divide. */
export class FleetSharing implements IClosable {
  private readonly membershipKeeper: MembershipKeeper
  readonly rateLimitReporter: RateLimitReporter

  constructor (dependencies: MembershipKeeperDependencies) {
    this.membershipKeeper = new MembershipKeeper(dependencies)
    this.rateLimitReporter = new RateLimitReporter(dependencies)
  }

  /**
   * @param windowMs length of the window in which a limit is counted, in milliseconds
   * @returns whether this VM may spend its part of the limit now
   */
  mayShare (windowMs: number): boolean {
    return this.membershipKeeper.mayShare(windowMs)
  }

  /** Begins to take part. */
  start (): void {
    this.membershipKeeper.start()
  }

  /** Handles a change of the view. */
  handleChange (change: ViewChange): void {
    if (change === ViewChange.RateLimitReported) this.rateLimitReporter.handleReported()
    if (change !== ViewChange.EraBegan) return
    this.membershipKeeper.handleEraStart()
    this.rateLimitReporter.handleEraStart()
  }

  close (): void {
    this.membershipKeeper.close()
    this.rateLimitReporter.close()
  }
}
