/** The gates of all services at one VM. */
import type { Instant } from '@umberspar/base/common/clock'
import type { IRandomSource } from '@umberspar/base/common/random'
import type { AccountWeight } from './fairShare.js'
import type { FleetUsage } from './fleetUsage.js'
import { ServiceGate } from './serviceGate.js'
import type { Usage } from './serviceUsage.js'

/** Creates and keeps the gates. */
export class ServiceGates {
  private readonly gates = new Map<string, ServiceGate>()

  /**
   * @param fleet what other VMs tell
   * @param random the source of randomness of the gates
   * @param getWeight the weights of accounts' shares; all alike by default
   */
  constructor (private readonly fleet: FleetUsage, private readonly random: IRandomSource, private readonly getWeight: AccountWeight = () => 1) {}

  /**
   * @param service a configured service
   * @returns its gate
   */
  get (service: string): ServiceGate {
    let gate = this.gates.get(service)
    if (gate === undefined) {
      gate = new ServiceGate(service, this.fleet, this.random, this.getWeight)
      this.gates.set(service, gate)
    }
    return gate
  }

  /** @returns the gates of the services that had requests */
  list (): Iterable<readonly [service: string, gate: ServiceGate]> {
    return this.gates
  }

  /**
   * @param now the current time
   * @returns what was asked at this VM
   */
  readUsage (now: Instant): Usage {
    return new Map([...this.gates].map(([service, gate]) => [service, gate.readUsage(now)]))
  }
}
