/** Predicts drains with what this node knows, and refuses those that do not fit. */
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import type { ConfigurationProblem } from '@umberspar/steering/common/configuration/configurationProblem'
import { type DrainPrediction, type DrainPredictionInput, findMisfits, predictDrain } from '@umberspar/steering/common/plan/predictDrain'
import { listForbidden } from '@umberspar/steering/common/plan/serviceStep'
import type { PlanKeeper } from '../places/planKeeper.js'
import type { MeasurementBoard } from './measurementBoard.js'

/** Answers what a change of drains would do. */
export class DrainPlanner {
  constructor (
    private readonly plans: PlanKeeper,
    private readonly board: MeasurementBoard
  ) {}

  /**
   * @param configuration a checked configuration with the drains that are asked about
   * @returns steps, headroom and time under the demand measured now
   */
  predict (configuration: SteeringConfiguration): DrainPrediction {
    return predictDrain(this.buildInput(configuration))
  }

  /**
   * Two drains that each fit may not fit together: callers would be refused
   * once the second has moved its traffic. A change that only takes drains back
   * is never refused.
   * @param current the configuration in force, if any
   * @param next the configuration that a patch would make
   * @returns why its drains do not fit; empty if they do
   */
  check (current: SteeringConfiguration | undefined, next: SteeringConfiguration): ConfigurationProblem[] {
    if (current === undefined || !hasMoreDrains(current, next)) return []
    return findMisfits(this.buildInput(next)).map(({ message, service }) => ({
      path: 'drains',
      expected: `room for the present demand of service '${service}'`,
      message
    }))
  }

  private buildInput (configuration: SteeringConfiguration): DrainPredictionInput {
    this.board.update()
    const services = Object.keys(configuration.services)
    const mapServices = <T>(read: (service: string) => T): Record<string, T> => Object.fromEntries(services.map((service) => [service, read(service)]))
    return {
      configuration,
      weights: mapServices((service) => this.plans.findAgreed(service)?.weights ?? this.plans.find(service)?.inForce ?? {}),
      demand: mapServices((service) => this.board.getDemand(service)),
      failed: mapServices((service) => this.board.listFailed(service))
    }
  }
}

function hasMoreDrains (current: SteeringConfiguration, next: SteeringConfiguration): boolean {
  return Object.keys(next.services).some((service) => {
    const before = listForbidden({ configuration: current, service, failed: new Set() })
    const after = listForbidden({ configuration: next, service, failed: new Set() })
    return [...after].some((domain) => !before.has(domain))
  })
}
