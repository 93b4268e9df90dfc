/** A daemon in a process of its own whose admission policy is told over its channel. */
import type { IClosable } from '@umberspar/base/common/closing'
import type { IClock } from '@umberspar/base/common/clock'
import { NULL_LOGGER } from '@umberspar/base/common/logger'
import { createDaemon } from '@umberspar/daemon/node/daemon'
import type { AdmissionPolicy } from '@umberspar/daemon/node/places/admissionQueue'
import type { DaemonSettings } from '@umberspar/adapters/node/settings/daemonSettings'
import { serveOneOrder } from './childOrder.js'
import { ChildProgram } from './childProgram.js'
import { waitUntilDaemonReady } from './daemonReadiness.js'

const READY_WITHIN_MS = 30_000

/** What to start. */
export interface AdmissionDaemonOrder {
  readonly settings: DaemonSettings
  /** The product's if left out. */
  readonly admission?: AdmissionPolicy
}

/** A running daemon process. */
export class AdmissionDaemon implements IClosable {
  private constructor (
    readonly settings: DaemonSettings,
    private readonly program: ChildProgram
  ) {}

  /**
   * @param order settings and policy
   * @returns the daemon, not necessarily ready
   */
  static spawn (order: AdmissionDaemonOrder): AdmissionDaemon {
    const program = ChildProgram.spawn(new URL(import.meta.url))
    program.send(order)
    return new AdmissionDaemon(order.settings, program)
  }

  /**
   * @param clock the source of time
   * @returns whether the daemon has said that it is ready
   */
  waitUntilReady (clock: IClock): Promise<boolean> {
    return waitUntilDaemonReady(this.settings, clock, READY_WITHIN_MS)
  }

  close (): Promise<void> {
    return this.program.close()
  }
}

async function startDaemon ({ settings, admission }: AdmissionDaemonOrder): Promise<void> {
  const daemon = createDaemon(settings, { logger: NULL_LOGGER, ...(admission === undefined ? {} : { admission }) })
  const started = await daemon.start()
  if (!started.ok) process.exit(1)
}

serveOneOrder(import.meta.url, startDaemon)
