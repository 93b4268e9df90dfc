/** Predicts the effect of drains from this node's measurements, and rejects drains for which capacity is missing. */
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import type { ConfigurationProblem } from '@umberspar/steering/common/configuration/configurationProblem'
import { type DrainPrediction, type DrainPredictionInput, findCapacityShortfalls, predictDrain } from '@umberspar/steering/common/plan/predictDrain'
import { listUnusableDomains } from '@umberspar/steering/common/plan/serviceStep'
import type { PlanFollower } from '../places/planFollower.js'
import type { MeasurementCollector } from './measurementCollector.js'

/** Predicts and checks changes of drains. */
export class DrainPlanner {
  constructor (
    private readonly plans: PlanFollower,
    private readonly collector: MeasurementCollector
  ) {}

  /**
   * @param configuration a validated configuration with the drains to predict
   * @returns steps, headroom and duration under the currently measured demand
   */
  predict (configuration: SteeringConfiguration): DrainPrediction {
    return predictDrain(this.buildInput(configuration))
  }

  /**
   * Checks that the remaining capacity suffices. Two drains that are each possible
   * may not be possible together: callers would be refused once the second has
   * moved its traffic. A change that only cancels drains is always accepted.
   * @param current the configuration in force, if any
   * @param next the configuration that would result from a patch
   * @returns a problem for each service whose demand would exceed the remaining capacity
   */
  check (current: SteeringConfiguration | undefined, next: SteeringConfiguration): ConfigurationProblem[] {
    if (current === undefined || !hasMoreDrains(current, next)) return []
    return findCapacityShortfalls(this.buildInput(next)).map(({ message, service }) => ({
      path: 'drains',
      expected: `enough capacity for the current demand of service '${service}'`,
      message
    }))
  }

  private buildInput (configuration: SteeringConfiguration): DrainPredictionInput {
    this.collector.update()
    const services = Object.keys(configuration.services)
    const buildByService = <T>(read: (service: string) => T): Record<string, T> => Object.fromEntries(services.map((service) => [service, read(service)]))
    return {
      configuration,
      weights: buildByService((service) => this.plans.findAgreedPlan(service)?.weights ?? this.plans.find(service)?.inForce ?? {}),
      demand: buildByService((service) => this.collector.getDemand(service)),
      failed: buildByService((service) => this.collector.listFailed(service))
    }
  }
}

function hasMoreDrains (current: SteeringConfiguration, next: SteeringConfiguration): boolean {
  return Object.keys(next.services).some((service) => {
    const before = listUnusableDomains({ configuration: current, service, failed: new Set() })
    const after = listUnusableDomains({ configuration: next, service, failed: new Set() })
    return [...after].some((domain) => !before.has(domain))
  })
}
