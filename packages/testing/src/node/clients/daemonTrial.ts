/** One daemon whose machine has little memory, and what a crowd of clients does to it. */
import { CloseStack, type IClosable } from '@umberspar/base/common/closing'
import { SystemClock } from '@umberspar/base/node/systemClock'
import type { DaemonSettings } from '@umberspar/adapters/node/settings/daemonSettings'
import { Agent, request } from 'undici'
import { DeploymentName } from '../../common/load/mixes.js'
import { waitForCondition } from '../load/polling.js'
import { ChildDaemon } from '../measure/childDaemon.js'
import { ChildPlatform } from '../measure/childPlatform.js'
import { CertificateFiles, TestAuthority } from '../tls/testCertificates.js'
import { waitFor } from '../waiting.js'
import { type CrowdOptions, HostileCrowd } from './hostileCrowd.js'
import { countDescriptors, readPeakMemoryMb } from './processUsage.js'
import { HEAP_RATIO, SEMI_SPACE_MB, type TrialMachine, type TrialResult } from './trial.js'

const SEED = 5
const SERVICE = 'closeout-desk'
const SERVER_HOSTS = ['127.0.0.1', '127.20.0.1', '127.20.0.2']
const CROWD_MS = 4_000
const SAMPLE_INTERVAL_MS = 50
const POLL_MS = 20
/** Well beyond the time limits of all requests. */
const ORDINARY_TIMEOUT_MS = 30_000
const ORDINARY_DEADLINE_MS = 3_000
const OK = 200

/** One daemon, and the stand-ins of its platform. */
export class DaemonTrial implements IClosable {
  private readonly clock = new SystemClock()
  private readonly closing = new CloseStack()
  private readonly agent = this.closing.add(new ClosableAgent())
  private daemon: ChildDaemon | undefined
  private end: string | undefined
  private peakDescriptors = 0
  settings!: DaemonSettings

  /**
   * @param machine the machine of the process
   * @param isTls whether its listeners for callers and operators use TLS
   */
  constructor (private readonly machine: TrialMachine, private readonly isTls: boolean) {}

  /** Starts the daemon and waits until it is ready. */
  async start (): Promise<void> {
    const platform = this.closing.add(await ChildPlatform.spawn({ deployment: DeploymentName.Guild, entries: 1, seed: SEED, meanSpanMs: 5 }))
    const settings = platform.settings[0]!
    this.settings = this.isTls ? await this.addTls(settings) : settings
    const heapMb = Math.floor(this.machine.memoryMb * HEAP_RATIO)
    const daemon = this.closing.add(await ChildDaemon.spawn(this.settings, { variables: { NODE_OPTIONS: `--max-old-space-size=${heapMb} --max-semi-space-size=${SEMI_SPACE_MB}` } }))
    this.daemon = daemon
    daemon.program.waitForExit().then(({ code, signal }) => { this.end = signal ?? `code ${code}` }, () => {})
    const isReady = await waitForCondition(this.clock, this.clock.now() + ORDINARY_TIMEOUT_MS, POLL_MS, async () => await this.fetchStatus() === OK)
    if (!isReady) throw new Error(`the daemon isn't ready: ${daemon.program.listLastErrors().join('\n')}`)
  }

  /**
   * Lets a crowd do what it does, and sends an ordinary request when it has left.
   * @param options how the crowd behaves
   * @returns what the process used at most
   */
  async run (options: CrowdOptions): Promise<TrialResult> {
    const crowd = new HostileCrowd({ ...options, isTls: this.isTls })
    crowd.start()
    const until = this.clock.now() + CROWD_MS
    while (this.clock.now() < until && this.end === undefined) {
      await this.recordUsage()
      await waitFor(this.clock, SAMPLE_INTERVAL_MS)
    }
    crowd.close()
    let status = 0
    await waitForCondition(this.clock, this.clock.now() + ORDINARY_TIMEOUT_MS, POLL_MS, async () => {
      if (this.end !== undefined) return true
      status = await this.fetchStatus()
      return status === OK
    })
    const peakMemoryMb = this.end === undefined ? await readPeakMemoryMb(this.daemon!.program.pid) : undefined
    return { end: this.end, peakMemoryMb, peakDescriptors: this.peakDescriptors, status }
  }

  async close (): Promise<void> {
    await this.closing.close()
  }

  private async addTls (settings: DaemonSettings): Promise<DaemonSettings> {
    const authority = await TestAuthority.create('deployment')
    const identity = await authority.createKey({ name: 'umberspard', addresses: SERVER_HOSTS })
    const { certificate, key } = this.closing.add(await CertificateFiles.write(identity, authority))
    return { ...settings, callers: { ...settings.callers, tls: { certificate, key } }, operators: { ...settings.operators, tls: { certificate, key } } }
  }

  /** @returns the status of an ordinary request; 0 if it got no response */
  private async fetchStatus (): Promise<number> {
    const url = `${this.isTls ? 'https' : 'http'}://${this.settings.callers.address}/v1/services/${SERVICE}/items/1?size=10`
    try {
      const answer = await request(url, { dispatcher: this.agent, signal: AbortSignal.timeout(ORDINARY_DEADLINE_MS) })
      await answer.body.dump()
      return answer.statusCode
    } catch {
      return 0
    }
  }

  private async recordUsage (): Promise<void> {
    if (this.end !== undefined) return
    try {
      this.peakDescriptors = Math.max(this.peakDescriptors, await countDescriptors(this.daemon!.program.pid))
    } catch {
      // The process ended just now; its exit is recorded apart.
    }
  }
}

/** Opens a connection for each request, without checking certificates. */
class ClosableAgent extends Agent implements IClosable {
  constructor () {
    super({ pipelining: 0, connect: { rejectUnauthorized: false } })
  }

  override async close (): Promise<void> {
    await this.destroy()
  }
}
