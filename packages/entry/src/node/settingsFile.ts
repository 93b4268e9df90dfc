/** The settings file of an entry process: read at the start, on a signal, and when it changes without one. */
import { readFileSync, stat, statSync, type Stats } from 'node:fs'
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { Err, type Result } from '@umberspar/base/common/result'
import { type EntrySettings, parseEntrySettings } from '../common/entrySettings.js'

/** How often the file is looked at, in milliseconds: one system call; settings may be in force seconds later. */
const LOOK_MS = 2_000

/** What tells one state of the file from another. */
interface FileState {
  readonly modifiedMs: number
  readonly bytes: number
  /** A file that was replaced by renaming may have the same time and length. */
  readonly inode: number
}

/** The settings as last read. */
export type ReadSettings = Result<EntrySettings, StepError>

/** One settings file. */
export class SettingsFile implements IClosable {
  private state: FileState | undefined
  private timer: ITimer | undefined
  private isClosed = false

  /**
   * @param path where it is
   * @param clock for looking at it
   */
  constructor (private readonly path: string, private readonly clock: IClock) {}

  /** @returns the settings, or an error that names the file and the field */
  load (): ReadSettings {
    try {
      // Before reading: a change in between shows as one at the next look.
      this.state = toState(statSync(this.path))
      return parseEntrySettings(readFileSync(this.path, 'utf8'), this.path)
    } catch (thrown) {
      return Err(new StepError({ code: ErrorCode.NotFound, step: 'read-settings', peer: this.path || 'no path was given', message: (thrown as Error).message }))
    }
  }

  /**
   * Looks at the file from now on.
   * @param onChange told of the settings whenever the file is another than the one last read
   */
  watch (onChange: (settings: ReadSettings) => void): void {
    if (this.isClosed) return
    stat(this.path, (error, stats) => {
      if (this.isClosed) return
      // A file that is gone for the moment is being replaced; the next look finds the new one.
      if (error === null && !isSame(toState(stats), this.state)) onChange(this.load())
      this.timer = this.clock.schedule(this.clock.now() + LOOK_MS, () => { this.watch(onChange) })
    })
  }

  /** Looks no more. */
  close (): void {
    this.isClosed = true
    this.timer?.close()
  }
}

function toState ({ mtimeMs, size, ino }: Stats): FileState {
  return { modifiedMs: mtimeMs, bytes: size, inode: ino }
}

function isSame (left: FileState, right: FileState | undefined): boolean {
  return left.modifiedMs === right?.modifiedMs && left.bytes === right.bytes && left.inode === right.inode
}
