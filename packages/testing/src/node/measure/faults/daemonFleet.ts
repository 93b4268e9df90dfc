/** The daemons of a run as processes that are killed, stopped and started again. */
import type { IClosable } from '@umberspar/base/common/closing'
import type { IClock } from '@umberspar/base/common/clock'
import { createDeadline } from '@umberspar/base/common/deadline'
import type { DaemonSettings } from '@umberspar/adapters/node/settings/daemonSettings'
import { OperatorCalls } from '../../deployment/operatorCalls.js'
import { waitForCondition } from '../../load/polling.js'
import { ChildDaemon } from '../childDaemon.js'
import type { ProgramExit } from '../childProgram.js'

const SEEN_WITHIN_MS = 60_000
const POLL_MS = 100

/** The daemons, by node id; a daemon keeps its settings, and so its addresses, over restarts. */
export class DaemonFleet implements IClosable {
  private readonly daemons = new Map<string, ChildDaemon>()
  private readonly operators = new OperatorCalls()

  constructor (private readonly clock: IClock, readonly settings: readonly DaemonSettings[]) {}

  /** Starts all and waits until each sees all the others; rejects if they don't. */
  async start (): Promise<void> {
    await Promise.all(this.settings.map((settings) => this.startOne(settings)))
    const addresses = this.settings.map(({ operators }) => operators.address)
    const isComplete = async (): Promise<boolean> => {
      const counts = await Promise.all(addresses.map((address) => this.operators.countLive(address)))
      return counts.every((count) => count === addresses.length)
    }
    const deadline = createDeadline(this.clock.now(), SEEN_WITHIN_MS)
    if (!await waitForCondition(this.clock, deadline, POLL_MS, isComplete)) throw new Error('the daemons do not see each other')
  }

  /**
   * @param settings the daemon to start
   * @returns when it is ready; rejects if it does not get ready
   */
  async startOne (settings: DaemonSettings): Promise<void> {
    const daemon = await ChildDaemon.spawn(settings)
    this.daemons.set(settings.nodeId, daemon)
    await daemon.waitUntilReady(this.clock)
  }

  /**
   * Ends a daemon at once, as a crash does.
   * @param settings which
   */
  async stopAtOnce (settings: DaemonSettings): Promise<void> {
    const daemon = this.find(settings)
    await daemon.program.stopAtOnce()
    await daemon.close()
  }

  /**
   * Stops a daemon as planned.
   * @param settings which
   * @returns how it ended
   */
  async stop (settings: DaemonSettings): Promise<ProgramExit> {
    const daemon = this.find(settings)
    const exit = await daemon.program.stop()
    await daemon.close()
    return exit
  }

  /** Stops all that still run. */
  async close (): Promise<void> {
    await Promise.all([...this.daemons.values()].map((daemon) => daemon.close()))
    await this.operators.close()
  }

  private find ({ nodeId }: DaemonSettings): ChildDaemon {
    const daemon = this.daemons.get(nodeId)
    if (daemon === undefined) throw new Error(`${nodeId} was never started`)
    return daemon
  }
}
