/** The process of one entry VM of a soak: it is disrupted by one step at a time, and restarted and reported if it exits unexpectedly. */
import type { IClosable } from '@umberspar/base/common/closing'
import { runDetached } from '@umberspar/base/common/detached'
import { NULL_LOGGER } from '@umberspar/base/common/logger'
import type { EntrySettings } from '@umberspar/entry/common/entrySettings'
import type { ChildProgram } from '@umberspar/testing/node/measure/childProgram'
import type { WorkerLinkFault } from '@umberspar/testing/node/standIns/usersPlatform/workerLink'
import type { WorkerLinkMessage } from './workerLinkPreload.js'
import { isReadyAt } from '@umberspar/testing/node/standIns/usersPlatform/platformClient'

const READINESS_TIMEOUT_MS = 500

/** An entry process. */
export abstract class EntryProcess implements IClosable {
  protected program: ChildProgram | undefined
  private isExitExpected = false
  private isBusy = false

  /**
   * @param settings the settings of the entry VM
   * @param onExited called if the process exits unexpectedly, before it is restarted
   */
  constructor (readonly settings: EntrySettings, private readonly onExited: (node: string, detail: string) => void) {}

  /** @returns the started program */
  protected abstract spawn (): ChildProgram

  /** Starts the process; restarts it whenever it exits unexpectedly. */
  start (): void {
    const program = this.spawn()
    this.program = program
    this.isExitExpected = false
    runDetached(async () => {
      const { code, signal } = await program.waitForExit()
      if (this.program !== program || this.isExitExpected) return
      this.onExited(this.settings.node, `code ${code}, signal ${signal}: ${program.listLastErrors().join(' ')}`)
      this.start()
    }, NULL_LOGGER, 'watch-entry')
  }

  /**
   * Runs an action on the process unless another one is in progress.
   * @param action the action
   * @returns whether the action was run
   */
  async runExclusively (action: (program: ChildProgram) => Promise<void>): Promise<boolean> {
    if (this.isBusy || this.program === undefined) return false
    this.isBusy = true
    try {
      await action(this.program)
    } finally {
      this.isBusy = false
    }
    return true
  }

  /**
   * Cuts the running process off from workers, or ends that.
   * @param fault how its connections to them are treated from now on
   * @param addresses `host:port` of the workers
   */
  setWorkerLink (fault: WorkerLinkFault, addresses: readonly string[]): void {
    this.program?.send({ workerLink: { fault, addresses } satisfies WorkerLinkMessage })
  }

  /** Marks the next exit of the process as expected, so that it is neither reported nor followed by a restart. */
  expectExit (): void {
    this.isExitExpected = true
  }

  /** @returns whether the process reports in time that it is ready */
  async isReady (): Promise<boolean> {
    return await isReadyAt(this.settings.listen.readiness, AbortSignal.timeout(READINESS_TIMEOUT_MS))
  }

  async close (): Promise<void> {
    this.expectExit()
    this.program?.release()
    await this.program?.stopAtOnce()
  }
}
