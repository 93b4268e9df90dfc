/** One daemon whose machine has little memory, and what a crowd of clients does to it. */
import { CloseStack, type IClosable } from '@umberspar/base/common/closing'
import type { DaemonSettings } from '@umberspar/adapters/node/settings/daemonSettings'
import { Agent, request } from 'undici'
import { DeploymentName } from '../../common/load/mixes.js'
import { ChildDaemon } from '../measure/childDaemon.js'
import { ChildPlatform } from '../measure/childPlatform.js'
import { CertificateFiles, TestAuthority } from '../tls/testCertificates.js'
import { type CrowdOptions } from './hostileCrowd.js'
import { ORDINARY_DEADLINE_MS, ProcessTrial, type TrialMachine, type TrialResult } from './trial.js'

const SEED = 5
const SERVICE = 'closeout-desk'
const WORK_MS = 5
const SERVER_HOSTS = ['127.0.0.1', '127.20.0.1', '127.20.0.2']
const OK = 200

/** One daemon, and the stand-ins of its platform. */
export class DaemonTrial extends ProcessTrial implements IClosable {
  private readonly closing = new CloseStack()
  private readonly agent = new Agent({ pipelining: 0, connect: { rejectUnauthorized: false } })
  settings!: DaemonSettings

  /**
   * @param machine the machine of the process
   * @param isTls whether its listeners for callers and operators use TLS
   */
  constructor (machine: TrialMachine, private readonly isTls: boolean) {
    super(machine)
  }

  /** Starts the daemon and waits until it is ready. */
  async start (): Promise<void> {
    const platform = this.closing.add(await ChildPlatform.spawn({ deployment: DeploymentName.Guild, entries: 1, seed: SEED, meanSpanMs: WORK_MS }))
    const settings = platform.settings[0]!
    this.settings = this.isTls ? await this.addTls(settings) : settings
    const daemon = this.closing.add(await ChildDaemon.spawn(this.settings, this.buildOptions()))
    await this.watch(daemon.program, async () => await this.fetchStatus() === OK)
  }

  override async run (options: CrowdOptions): Promise<TrialResult> {
    return await super.run({ ...options, isTls: this.isTls })
  }

  async close (): Promise<void> {
    await this.agent.destroy()
    await this.closing.close()
  }

  protected override async fetchStatus (): Promise<number> {
    const url = `${this.isTls ? 'https' : 'http'}://${this.settings.callers.address}/v1/services/${SERVICE}/items/1?size=10`
    try {
      const answer = await request(url, { dispatcher: this.agent, signal: AbortSignal.timeout(ORDINARY_DEADLINE_MS) })
      await answer.body.dump()
      return answer.statusCode
    } catch {
      return 0
    }
  }

  private async addTls (settings: DaemonSettings): Promise<DaemonSettings> {
    const authority = await TestAuthority.create('deployment')
    const identity = await authority.createKey({ name: 'umberspard', addresses: SERVER_HOSTS })
    const { certificate, key } = this.closing.add(await CertificateFiles.write(identity, authority))
    return { ...settings, callers: { ...settings.callers, tls: { certificate, key } }, operators: { ...settings.operators, tls: { certificate, key } } }
  }
}
