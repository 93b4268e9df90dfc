/** The whole platform of a deployment in one process: key-value service, VM list and workers. */
import type { IClosable } from '@umberspar/base/common/closing'
import { CloseStack } from '@umberspar/base/common/closing'
import type { IClock } from '@umberspar/base/common/clock'
import { SystemClock } from '@umberspar/base/node/systemClock'
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import type { VmEntry } from '@umberspar/steering/common/ports/vmList'
import { getWorkerProfile } from './deploymentProfiles.js'
import { writeInitialConfiguration } from './initialConfiguration.js'
import { KeyValueStandIn } from './keyValueStandIn.js'
import { UpstreamFleetStandIn } from './upstreamFleetStandIn.js'
import type { WorkerOptions } from './upstream/workerOptions.js'
import { VmListStandIn } from './vmListStandIn.js'

/** What to start. */
export interface PlatformOptions {
  /** A parsed JSON document that passes the configuration's schema. */
  readonly configurationInput: unknown
  /** Where the store's keys begin; ends in `/`. */
  readonly keyPrefix: string
  readonly entryVms: readonly VmEntry[]
  /** `host:port` of the key-value service. */
  readonly storeAddress?: string
  /** `host:port` of the VM list. */
  readonly vmListAddress?: string
  /** How long changes of the VM list take to appear, in milliseconds. */
  readonly vmListLagSpanMs?: number
  /** True (as when left out): workers take free ports and the stored configuration names them. */
  readonly usesFreePorts?: boolean
  readonly clock?: IClock
  /** How the workers of a service behave, in place of the deployment's profile. */
  readonly getWorkerOptions?: (service: string) => Partial<WorkerOptions>
  readonly seed?: number
}

/** Where the stand-ins listen. */
export interface PlatformAddresses {
  /** `host:port` of the key-value service. */
  readonly store: string
  /** URL of the VM list. */
  readonly vmListUrl: string
}

const DEFAULT_SEED = 1

/** The stand-ins of one deployment. */
export class PlatformStandIns implements IClosable {
  private constructor (
    readonly addresses: PlatformAddresses,
    readonly store: KeyValueStandIn,
    readonly vmList: VmListStandIn,
    readonly fleet: UpstreamFleetStandIn,
    private readonly closing: CloseStack
  ) {}

  /** The configuration with the addresses that the workers listen on. */
  get configuration (): SteeringConfiguration {
    return this.fleet.configuration
  }

  /**
   * Starts everything and writes the configuration into the store if it has none.
   * @param options what to start
   * @returns the stand-ins, once all listen
   */
  static async start (options: PlatformOptions): Promise<PlatformStandIns> {
    const closing = new CloseStack()
    try {
      return await PlatformStandIns.startAll(options, closing)
    } catch (failure) {
      await closing.close()
      throw failure
    }
  }

  /** Closes everything. */
  close (): Promise<void> {
    return this.closing.close()
  }

  private static async startAll (options: PlatformOptions, closing: CloseStack): Promise<PlatformStandIns> {
    const clock = options.clock ?? new SystemClock()
    const store = closing.add(new KeyValueStandIn({ clock }))
    const vmList = closing.add(new VmListStandIn({ clock, vms: options.entryVms, lagSpanMs: options.vmListLagSpanMs ?? 0 }))
    const deployment = String((options.configurationInput as Partial<SteeringConfiguration>).deployment)
    const fleet = closing.add(await UpstreamFleetStandIn.start(options.configurationInput, {
      clock,
      seed: options.seed ?? DEFAULT_SEED,
      usesFreePorts: options.usesFreePorts ?? true,
      findEntry: (entryId) => vmList.getCurrent().vms.find((vm) => vm.vmId === entryId),
      getWorkerOptions: options.getWorkerOptions ?? ((service) => getWorkerProfile(deployment, service))
    }))
    writeInitialConfiguration(store.state, { keyPrefix: options.keyPrefix, body: fleet.configuration, atWallMs: clock.getWallTime() })
    const addresses = { store: await store.start(options.storeAddress), vmListUrl: await vmList.start(options.vmListAddress) }
    return new PlatformStandIns(addresses, store, vmList, fleet, closing)
  }
}
