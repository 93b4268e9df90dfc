/** One daemon with two workers in one failure domain, and the platform's stand-ins. */
import type { IClosable } from '@umberspar/base/common/closing'
import { NULL_LOGGER } from '@umberspar/base/common/logger'
import { SeededRandom } from '@umberspar/base/common/random'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { createDaemon, type Daemon } from '@umberspar/daemon/node/daemon'
import { type DaemonSettings, validateDaemonSettings } from '@umberspar/adapters/node/settings/daemonSettings'
import { addPlatform } from '../../../src/node/deployment/deploymentFiles.js'
import { findFreeAddresses } from '../../../src/node/deployment/freeAddresses.js'
import { waitForCondition } from '../../../src/node/load/polling.js'
import { buildEntryVm } from '../../../src/node/standIns/entrySettings.js'
import { PlatformStandIns } from '../../../src/node/standIns/platformStandIns.js'
import { type ExecutionEvent, ExecutionKind } from '../../../src/node/standIns/upstream/executionEvent.js'

const KEY_PREFIX = '/test/'
const READY_SPAN_MS = 10_000
const POLL_MS = 5
const SLOTS = 2

/** Deduplicates; its routes go by method. */
export const ONCE_SERVICE = 'escort-svc'
/** Does not deduplicate. */
export const PLAIN_SERVICE = 'itinerary-svc'

function buildConfiguration (retryBudget: number): object {
  const buildService = (deduplicate: boolean): object => ({
    deduplicate,
    retryBudget,
    places: { 'klang-a': { workers: Object.fromEntries(['w1', 'w2'].map((name, index) => [name, { address: `127.0.0.1:${9000 + index}`, slots: SLOTS, connections: 20 }])) } }
  })
  return {
    deployment: 'test',
    regions: { klang: { failureDomains: ['klang-a'], clientBlocks: ['127.0.0.0/8'] } },
    services: { [ONCE_SERVICE]: buildService(true), [PLAIN_SERVICE]: buildService(false) },
    shiftCaps: { planned: 0.5, emergency: 1 }
  }
}

async function buildSettings (index: number): Promise<DaemonSettings> {
  const [callers, peers, operators] = await findFreeAddresses(`127.20.1.${index}`, 3)
  return validateDaemonSettings({
    nodeId: `klang-${index}`,
    region: 'klang',
    failureDomain: 'klang-a',
    callers: { address: callers },
    peers: { address: peers },
    operators: { address: operators },
    store: { endpoints: ['127.0.0.1:1'], keyPrefix: KEY_PREFIX },
    vmList: { url: 'http://127.0.0.1:1/' }
  }).unwrap()
}

/** The daemon and its surroundings; owns them. */
export class EntryUnderTest implements IClosable {
  readonly executions: ExecutionEvent[] = []
  readonly clock = new SystemClock()

  private readonly others: Daemon[] = []

  private constructor (readonly platform: PlatformStandIns, readonly daemon: Daemon) {
    platform.fleet.onDidExecute((event) => { this.executions.push(event) })
  }

  /**
   * @param retryBudget of both services
   * @returns a daemon that is ready
   */
  static async start (retryBudget = 0.1): Promise<EntryUnderTest> {
    const settings = await buildSettings(1)
    const platform = await PlatformStandIns.start({
      configurationInput: buildConfiguration(retryBudget),
      keyPrefix: KEY_PREFIX,
      entryVms: [buildEntryVm(settings)],
      getWorkerOptions: () => ({ meanSpanMs: 1, sigma: 0, coldFactor: 1, connectSpanMs: 0 })
    })
    const daemon = createDaemon(addPlatform(settings, platform.addresses), { logger: NULL_LOGGER, random: new SeededRandom(1) })
    const entry = new EntryUnderTest(platform, daemon)
    const started = await daemon.start()
    if (!started.ok) throw started.val
    await entry.waitFor(() => daemon.isReady())
    return entry
  }

  /** @returns a second daemon of the same deployment that is ready */
  async startAnother (): Promise<Daemon> {
    const settings = await buildSettings(2 + this.others.length)
    this.platform.vmList.putVm(buildEntryVm(settings))
    const daemon = createDaemon(addPlatform(settings, this.platform.addresses), { logger: NULL_LOGGER, random: new SeededRandom(2) })
    this.others.push(daemon)
    const started = await daemon.start()
    if (!started.ok) throw started.val
    await this.waitFor(() => daemon.isReady())
    return daemon
  }

  /**
   * @param service a service
   * @param path below it
   * @param daemon the one to ask
   * @returns the URL for callers
   */
  getUrl (service: string, path: string, daemon = this.daemon): string {
    return `http://${daemon.addresses?.callers ?? ''}/v1/services/${service}${path}`
  }

  /** @returns ids of the requests that ran, once for each time */
  listRuns (): string[] {
    return this.executions.filter(({ kind }) => kind === ExecutionKind.Started).map(({ requestId }) => requestId)
  }

  /** Waits until something has happened; rejects if it does not. */
  async waitFor (isDone: () => boolean): Promise<void> {
    const didHappen = await waitForCondition(this.clock, this.clock.now() + READY_SPAN_MS, POLL_MS, isDone)
    if (!didHappen) throw new Error('it did not happen')
  }

  async close (): Promise<void> {
    await Promise.all([this.daemon, ...this.others].map((daemon) => daemon.close()))
    await this.platform.close()
  }
}
