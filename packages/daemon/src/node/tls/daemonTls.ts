/** Certificates of one daemon, loaded at the start and reloaded periodically and on request. */
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline } from '@umberspar/base/common/deadline'
import { runDetached } from '@umberspar/base/common/detached'
import type { StepError } from '@umberspar/base/common/errors'
import type { ILogger } from '@umberspar/base/common/logger'
import { addJitter, type IRandomSource } from '@umberspar/base/common/random'
import { Ok, type Result } from '@umberspar/base/common/result'
import type { DaemonSettings } from '@umberspar/adapters/node/settings/daemonSettings'
import { TlsCertificateProvider } from '@umberspar/adapters/node/tls/tlsCertificateProvider'
import type { TlsFiles } from '@umberspar/adapters/node/tls/tlsMaterial'

const DEFAULT_RELOAD_INTERVAL_MS = 60_000
/** Spreads out the reloads and handshakes of many VMs whose files are renewed at the same time. */
const RELOAD_JITTER_RATIO = 0.2

/** The connections of a daemon that may use TLS, each with its own certificates. */
export enum TlsSide {
  Callers = 'callers',
  Peers = 'peers',
  Operators = 'operators',
  Store = 'store',
  Upstreams = 'upstreams'
}

/** Settings and services that a `DaemonTls` uses. */
export interface DaemonTlsOptions {
  readonly settings: DaemonSettings
  readonly clock: IClock
  readonly random: IRandomSource
  readonly logger: ILogger
}

/** Holds the certificates of all sides whose settings have a `tls` section. */
export class DaemonTls implements IClosable {
  private timer: ITimer | undefined
  private isClosed = false

  private constructor (
    private readonly options: DaemonTlsOptions,
    private readonly certificateProviders: ReadonlyMap<TlsSide, TlsCertificateProvider>
  ) {}

  /**
   * Loads all certificates that the settings name.
   * @param options the settings and services
   * @returns the certificates, or the error of the first invalid one, with its settings field
   */
  static async load (options: DaemonTlsOptions): Promise<Result<DaemonTls, StepError>> {
    const { settings, clock, logger } = options
    const certificateProviders = new Map<TlsSide, TlsCertificateProvider>()
    for (const side of Object.values(TlsSide)) {
      const files: TlsFiles & { readonly serverName?: string | undefined } | undefined = settings[side]?.tls
      if (files === undefined) continue
      const loaded = await TlsCertificateProvider.load({ section: `${side}.tls`, files, serverName: files.serverName, clock, logger })
      if (!loaded.ok) return loaded
      certificateProviders.set(side, loaded.val)
    }
    const tls = new DaemonTls(options, certificateProviders)
    tls.scheduleRenewal()
    return new Ok(tls)
  }

  /**
   * @param side one side of the daemon
   * @returns the side's certificates, or undefined if it doesn't use TLS
   */
  get (side: TlsSide): TlsCertificateProvider | undefined {
    return this.certificateProviders.get(side)
  }

  /** Reloads all files now. Invalid files are logged, and the previous certificates stay in use. */
  async renew (): Promise<void> {
    await Promise.all([...this.certificateProviders.values()].map((certificateProvider) => certificateProvider.renew()))
  }

  close (): void {
    this.isClosed = true
    this.timer?.close()
    for (const certificateProvider of this.certificateProviders.values()) certificateProvider.close()
  }

  private scheduleRenewal (): void {
    if (this.isClosed || this.certificateProviders.size === 0) return
    const { settings, clock, random, logger } = this.options
    const intervalMs = addJitter(random, settings.certificateRereadMs ?? DEFAULT_RELOAD_INTERVAL_MS, RELOAD_JITTER_RATIO)
    this.timer = clock.schedule(createDeadline(clock.now(), intervalMs), () => {
      runDetached(() => this.renew().finally(() => this.scheduleRenewal()), logger, 'renew-tls')
    })
  }
}
