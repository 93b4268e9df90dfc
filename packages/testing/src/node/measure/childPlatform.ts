/**
 * The platform's stand-ins in a process of their own, so that what they spend
 * is not spent by the load or by the daemon that is measured.
 */
import type { IClosable } from '@umberspar/base/common/closing'
import { LogLevel } from '@umberspar/base/common/logger'
import type { DaemonSettings } from '@umberspar/adapters/node/settings/daemonSettings'
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import type { DeploymentName } from '../../common/load/mixes.js'
import { addPlatform, loadDeploymentFiles } from '../deployment/deploymentFiles.js'
import { buildEntryVm } from '../standIns/entrySettings.js'
import { getWorkerProfile } from '../standIns/deploymentProfiles.js'
import type { WorkerOptions } from '../standIns/upstream/workerOptions.js'
import { PlatformStandIns } from '../standIns/platformStandIns.js'
import { serveOneOrder } from './childOrder.js'
import { ChildProgram } from './childProgram.js'

/** What to start. */
export interface ChildPlatformOrder {
  readonly deployment: DeploymentName
  readonly entries: number
  readonly seed: number
  /** Mean service time of all workers, in milliseconds; the deployment's profile if left out. */
  readonly meanSpanMs?: number
}

/** What was started. */
export interface ChildPlatformAnswer {
  /** With the addresses that the workers listen on. */
  readonly configuration: SteeringConfiguration
  /** Settings of daemons that use these stand-ins; none of the daemons runs yet. */
  readonly settings: readonly DaemonSettings[]
}

/** Stand-ins in a process of their own. */
export class ChildPlatform implements IClosable {
  private constructor (
    private readonly program: ChildProgram,
    readonly configuration: SteeringConfiguration,
    readonly settings: readonly DaemonSettings[]
  ) {}

  /**
   * @param order what to start
   * @returns the stand-ins, once they listen
   */
  static async spawn (order: ChildPlatformOrder): Promise<ChildPlatform> {
    const program = ChildProgram.spawn(new URL(import.meta.url))
    const answer = program.waitForMessage<ChildPlatformAnswer>()
    program.send(order)
    const { configuration, settings } = await answer
    return new ChildPlatform(program, configuration, settings)
  }

  close (): Promise<void> {
    return this.program.close()
  }
}

function buildWorkerOptions (meanSpanMs: number): (service: string) => Partial<WorkerOptions> {
  return (service) => ({ ...getWorkerProfile('', service), meanSpanMs })
}

async function startPlatform (order: ChildPlatformOrder): Promise<ChildPlatformAnswer> {
  const files = await loadDeploymentFiles(order.deployment, order.entries, LogLevel.Error)
  const platform = await PlatformStandIns.start({
    configurationInput: files.configurationInput,
    keyPrefix: files.settings[0]?.store.keyPrefix ?? `/umberspar/${order.deployment}/`,
    entryVms: files.settings.map(buildEntryVm),
    seed: order.seed,
    ...(order.meanSpanMs === undefined ? {} : { getWorkerOptions: buildWorkerOptions(order.meanSpanMs) })
  })
  return {
    configuration: platform.configuration,
    settings: files.settings.map((settings) => addPlatform(settings, platform.addresses))
  }
}

serveOneOrder(import.meta.url, startPlatform)
