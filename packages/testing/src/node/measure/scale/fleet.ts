/** A fleet of real daemons in a few processes, and the platform's stand-ins in this one. */
import { CloseStack } from '@umberspar/base/common/closing'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline } from '@umberspar/base/common/deadline'
import { LogLevel } from '@umberspar/base/common/logger'
import { SystemClock } from '@umberspar/base/node/systemClock'
import type { DaemonSettings } from '@umberspar/adapters/node/settings/daemonSettings'
import { findFreeAddresses } from '../../deployment/freeAddresses.js'
import { OperatorCalls } from '../../deployment/operatorCalls.js'
import { waitForCondition } from '../../load/polling.js'
import { buildEntryVm } from '../../standIns/entrySettings.js'
import { PlatformStandIns } from '../../standIns/platformStandIns.js'
import { ChildProgram } from '../childProgram.js'
import type { HostFigures, HostOrder } from './fleetHost.js'
import { HostOrderKind } from './fleetHost.js'
import { buildScaleConfiguration, formatRegion } from './scaleConfiguration.js'

const HOST_PROGRAM = new URL('./fleetHost.js', import.meta.url)
const KEY_PREFIX = '/umberspar/scale/'
const DOMAINS_PER_REGION = 2
const HOSTS_PER_NETWORK = 250
const STAGGER_MS = 40
const READY_WITHIN_MS = 60_000
const POLL_MS = 500
const FEW_BLOCKS = 100

/** How large a fleet, and in how many processes. */
export interface FleetSizes {
  readonly nodes: number
  readonly regions: number
  readonly daemonsPerProcess: number
  readonly seed: number
}

async function buildSettings (sizes: FleetSizes): Promise<DaemonSettings[]> {
  const settings: DaemonSettings[] = []
  for (let index = 0; index < sizes.nodes; index++) {
    const host = `127.3${Math.floor(index / HOSTS_PER_NETWORK)}.0.${index % HOSTS_PER_NETWORK + 1}`
    const [callers = '', peers = '', operators = ''] = await findFreeAddresses(host, 3)
    const region = formatRegion(index % sizes.regions)
    settings.push({
      nodeId: `entry-${index}`,
      region,
      failureDomain: `${region}-${Math.floor(index / sizes.regions) % DOMAINS_PER_REGION}`,
      callers: { address: callers },
      peers: { address: peers },
      operators: { address: operators },
      store: { endpoints: [], keyPrefix: KEY_PREFIX },
      vmList: { url: '' },
      trustedForwarders: [],
      logLevel: LogLevel.Info
    })
  }
  return settings
}

/** A running fleet. */
export class Fleet implements IClosable {
  readonly operators = new OperatorCalls()
  private readonly clock = new SystemClock()

  private constructor (
    readonly platform: PlatformStandIns,
    readonly settings: readonly DaemonSettings[],
    private readonly hosts: readonly ChildProgram[],
    private readonly closing: CloseStack
  ) {}

  /**
   * @param sizes how large
   * @returns the fleet, once every daemon is ready
   */
  static async start (sizes: FleetSizes): Promise<Fleet> {
    const closing = new CloseStack()
    try {
      const settings = await buildSettings(sizes)
      const configurationInput = buildScaleConfiguration({
        clientBlocks: FEW_BLOCKS, sites: sizes.regions, workersPerSite: 1, regions: sizes.regions, failureDomains: sizes.regions * DOMAINS_PER_REGION
      })
      const platform = closing.add(await PlatformStandIns.start({ configurationInput, keyPrefix: KEY_PREFIX, entryVms: settings.map(buildEntryVm), seed: sizes.seed }))
      const complete = settings.map((each) => ({
        ...each,
        store: { endpoints: [platform.addresses.store], keyPrefix: KEY_PREFIX },
        vmList: { url: platform.addresses.vmListUrl }
      }))
      const hosts = Array.from({ length: Math.ceil(sizes.nodes / sizes.daemonsPerProcess) }, () => closing.add(ChildProgram.spawn(HOST_PROGRAM)))
      const fleet = new Fleet(platform, complete, hosts, closing)
      await fleet.startDaemons(sizes)
      return fleet
    } catch (failure) {
      await closing.close()
      throw failure
    }
  }

  /** @returns the figures of every process now */
  async measure (): Promise<HostFigures[]> {
    return await Promise.all(this.hosts.map((host) => this.send(host, { kind: HostOrderKind.Measure })))
  }

  /** @returns the same without collecting garbage first */
  async observe (): Promise<HostFigures[]> {
    return await Promise.all(this.hosts.map((host) => this.send(host, { kind: HostOrderKind.Observe })))
  }

  /** @returns the processor time of the processes so far, in seconds */
  async readCpuSeconds (): Promise<number> {
    const each = await Promise.all(this.hosts.map((host) => host.readCpuSeconds()))
    return each.reduce((sum, seconds) => sum + seconds, 0)
  }

  async close (): Promise<void> {
    await Promise.all(this.hosts.map((host) => this.send(host, { kind: HostOrderKind.Stop })))
    await this.operators.close()
    await this.closing.close()
  }

  private async startDaemons ({ daemonsPerProcess, seed }: FleetSizes): Promise<void> {
    await Promise.all(this.hosts.map((host, index) => {
      const settings = this.settings.slice(index * daemonsPerProcess, (index + 1) * daemonsPerProcess)
      return this.send(host, { kind: HostOrderKind.Start, settings, staggerMs: STAGGER_MS, seed: seed + index * daemonsPerProcess })
    }))
    const isReady = async (): Promise<boolean> => (await this.observe()).every(({ daemons, ready }) => daemons === ready)
    if (!await waitForCondition(this.clock, createDeadline(this.clock.now(), READY_WITHIN_MS), POLL_MS, isReady)) throw new Error('not all daemons are ready')
  }

  private send (host: ChildProgram, order: HostOrder): Promise<HostFigures> {
    const answer = host.waitForMessage<HostFigures>()
    host.send(order)
    return answer
  }
}
