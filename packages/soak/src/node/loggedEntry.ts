/** An entry process whose log can be kept, and that steps kill, stop and pause. */
import { appendFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import type { EntrySettings } from '@umberspar/entry/common/entrySettings'
import type { ChildProgram } from '@umberspar/testing/node/measure/childProgram'
import { spawnEntry } from '@umberspar/testing/node/standIns/usersPlatform/entryProgram'
import { EntryProcess } from './entryProcess.js'

/** Which program is run, and where its log goes. */
export interface LoggedEntryOptions {
  /** Entry program of another build; undefined for that of this build. */
  readonly program?: URL | undefined
  /** Existing folder for the logs of entry processes; undefined to discard them. */
  readonly logs?: string | undefined
}

/** An entry VM with its process. */
export class LoggedEntry extends EntryProcess {
  constructor (settings: EntrySettings, private readonly file: string, private readonly options: LoggedEntryOptions, onExited: (node: string, detail: string) => void) {
    super(settings, onExited)
    writeFileSync(file, JSON.stringify(settings))
  }

  get pid (): number {
    return this.program?.pid ?? -1
  }

  protected override spawn (): ChildProgram {
    const { logs, program } = this.options
    const { node } = this.settings
    return spawnEntry(this.file, { readsOutput: true, onOutput: (text) => { if (logs !== undefined) appendFileSync(join(logs, `${node}.log`), text) } }, program)
  }

  /** Kills the process; it stays down. */
  async stopAtOnce (): Promise<void> {
    this.expectExit()
    await this.program?.stopAtOnce()
  }

  /** @returns the processor time of the process so far, in seconds */
  async readCpuSeconds (): Promise<number> {
    try {
      return await this.program?.readCpuSeconds() ?? 0
    } catch {
      // The process is down.
      return 0
    }
  }
}
