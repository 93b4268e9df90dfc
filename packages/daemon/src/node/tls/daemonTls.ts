/** All certificates of one daemon: loaded at the start, read again at intervals and on request. */
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline } from '@umberspar/base/common/deadline'
import { runDetached } from '@umberspar/base/common/detached'
import type { StepError } from '@umberspar/base/common/errors'
import type { ILogger } from '@umberspar/base/common/logger'
import { addJitter, type IRandomSource } from '@umberspar/base/common/random'
import { Ok, type Result } from '@umberspar/base/common/result'
import type { DaemonSettings } from '@umberspar/adapters/node/settings/daemonSettings'
import { TlsKeeper } from '@umberspar/adapters/node/tls/tlsKeeper'
import type { TlsFiles } from '@umberspar/adapters/node/tls/tlsMaterial'

const DEFAULT_REREAD_MS = 60_000
/** Many VMs get their files renewed at once; their reads and handshakes spread out. */
const REREAD_JITTER = 0.2

/** The sides that may speak TLS, each with certificates of its own. */
export enum TlsSide {
  Callers = 'callers',
  Peers = 'peers',
  Operators = 'operators',
  Store = 'store',
  Upstreams = 'upstreams'
}

/** What a DaemonTls works with. */
export interface DaemonTlsOptions {
  readonly settings: DaemonSettings
  readonly clock: IClock
  readonly random: IRandomSource
  readonly logger: ILogger
}

/** The certificates of the sides whose settings have a `tls` section. */
export class DaemonTls implements IClosable {
  private timer: ITimer | undefined
  private isClosed = false

  private constructor (
    private readonly options: DaemonTlsOptions,
    private readonly keepers: ReadonlyMap<TlsSide, TlsKeeper>
  ) {}

  /**
   * Reads every certificate that the settings name.
   * @param options settings and ports
   * @returns the certificates, or the first that can't be used, with its field
   */
  static async load (options: DaemonTlsOptions): Promise<Result<DaemonTls, StepError>> {
    const { settings, clock, logger } = options
    const keepers = new Map<TlsSide, TlsKeeper>()
    for (const side of Object.values(TlsSide)) {
      const files: TlsFiles & { readonly serverName?: string | undefined } | undefined = settings[side]?.tls
      if (files === undefined) continue
      const loaded = await TlsKeeper.load({ section: `${side}.tls`, files, serverName: files.serverName, clock, logger })
      if (!loaded.ok) return loaded
      keepers.set(side, loaded.val)
    }
    const tls = new DaemonTls(options, keepers)
    tls.scheduleRenewal()
    return new Ok(tls)
  }

  /**
   * @param side one side of the daemon
   * @returns its certificates; undefined if it speaks plain text
   */
  get (side: TlsSide): TlsKeeper | undefined {
    return this.keepers.get(side)
  }

  /** Reads all files again now; what is broken stays as it was and is logged. */
  async renew (): Promise<void> {
    await Promise.all([...this.keepers.values()].map((keeper) => keeper.renew()))
  }

  close (): void {
    this.isClosed = true
    this.timer?.close()
    for (const keeper of this.keepers.values()) keeper.close()
  }

  private scheduleRenewal (): void {
    if (this.isClosed || this.keepers.size === 0) return
    const { settings, clock, random, logger } = this.options
    const span = addJitter(random, settings.certificateRereadMs ?? DEFAULT_REREAD_MS, REREAD_JITTER)
    this.timer = clock.schedule(createDeadline(clock.now(), span), () => {
      runDetached(() => this.renew().finally(() => this.scheduleRenewal()), logger, 'renew-tls')
    })
  }
}
