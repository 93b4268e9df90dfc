/** A daemon in a process of its own whose admission policy is told over its channel. */
import type { IClosable } from '@umberspar/base/common/closing'
import type { IClock } from '@umberspar/base/common/clock'
import { createDeadline } from '@umberspar/base/common/deadline'
import { NULL_LOGGER } from '@umberspar/base/common/logger'
import { createDaemon } from '@umberspar/daemon/node/daemon'
import type { AdmissionPolicy } from '@umberspar/daemon/node/places/admissionQueue'
import type { DaemonSettings } from '@umberspar/platform/node/settings/daemonSettings'
import { request } from 'undici'
import { waitForCondition } from '../load/polling.js'
import { ChildProgram } from './childProgram.js'

const READY_WITHIN_MS = 30_000
const POLL_MS = 50
const OK_STATUS = 200

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
    return waitForCondition(clock, createDeadline(clock.now(), READY_WITHIN_MS), POLL_MS, () => this.isReady())
  }

  close (): Promise<void> {
    return this.program.close()
  }

  private async isReady (): Promise<boolean> {
    try {
      const response = await request(`http://${this.settings.operators.address}/readyz`)
      await response.body.dump()
      return response.statusCode === OK_STATUS
    } catch {
      return false
    }
  }
}

/** Serves one order in the child; the process ends with its parent's channel or on SIGTERM. */
function main (): void {
  process.on('disconnect', () => process.exit(0))
  process.once('message', async (order: AdmissionDaemonOrder) => {
    const { settings, admission } = order
    const daemon = createDaemon(settings, { logger: NULL_LOGGER, ...(admission === undefined ? {} : { admission }) })
    const started = await daemon.start()
    if (!started.ok) process.exit(1)
  })
}

if (process.send !== undefined && process.argv[1] === new URL(import.meta.url).pathname) main()
