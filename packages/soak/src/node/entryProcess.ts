/** The process of one entry VM of a soak: started, disturbed by one step at a time, watched for ends of its own. */
import type { IClosable } from '@umberspar/base/common/closing'
import { runDetached } from '@umberspar/base/common/detached'
import { NULL_LOGGER } from '@umberspar/base/common/logger'
import type { EntrySettings } from '@umberspar/entry/common/entrySettings'
import type { ChildProgram } from '@umberspar/testing/node/measure/childProgram'
import { isReadyAt } from '@umberspar/testing/node/standIns/usersPlatform/platformClient'

/** An entry process that does not answer a question in this time is not ready, in milliseconds. */
const ANSWER_WITHIN_MS = 500

/** One entry process. */
export abstract class EntryProcess implements IClosable {
  protected program: ChildProgram | undefined
  private isExpectedToEnd = false
  private isBusy = false

  /**
   * @param settings its settings
   * @param onEnded called if the process ends by itself, before it is started again
   */
  constructor (readonly settings: EntrySettings, private readonly onEnded: (node: string, detail: string) => void) {}

  /** @returns the running program */
  protected abstract spawn (): ChildProgram

  /** Starts the process. */
  start (): void {
    const program = this.spawn()
    this.program = program
    this.isExpectedToEnd = false
    runDetached(async () => {
      const { code, signal } = await program.waitForExit()
      if (this.program !== program || this.isExpectedToEnd) return
      this.onEnded(this.settings.node, `code ${code}, signal ${signal}: ${program.listLastErrors().join(' ')}`)
      this.start()
    }, NULL_LOGGER, 'watch-entry')
  }

  /**
   * Does something to the process that nothing else may interfere with.
   * @returns whether it was done; not if something else is going on
   */
  async runAlone (act: (program: ChildProgram) => Promise<void>): Promise<boolean> {
    if (this.isBusy || this.program === undefined) return false
    this.isBusy = true
    try {
      await act(this.program)
    } finally {
      this.isBusy = false
    }
    return true
  }

  /** Notes that the process is about to end as ordered. */
  expectEnd (): void {
    this.isExpectedToEnd = true
  }

  /** @returns whether it says that it is ready */
  async isReady (): Promise<boolean> {
    return await isReadyAt(this.settings.listen.readiness, AbortSignal.timeout(ANSWER_WITHIN_MS))
  }

  async close (): Promise<void> {
    this.expectEnd()
    this.program?.release()
    await this.program?.stopAtOnce()
  }
}
