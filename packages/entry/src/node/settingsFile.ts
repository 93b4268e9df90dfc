/** The settings file of an entry process: read at the start, on a signal, and when the file changes. */
import { readFileSync, stat, statSync, type Stats } from 'node:fs'
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { Err, type Result } from '@umberspar/base/common/result'
import { type EntrySettings, parseEntrySettings } from '../common/entrySettings.js'

/** How often the file is checked for changes; a check is one system call, and settings may take effect seconds later. */
const POLL_INTERVAL_MS = 2_000

/** The attributes by which changes of the file are detected. */
interface FileState {
  readonly modifiedMs: number
  readonly bytes: number
  /** Detects a file replaced by renaming that has the same time and length. */
  readonly inode: number
}

/** The settings, or the error that occurred when they were read. */
export type SettingsResult = Result<EntrySettings, StepError>

/** Reads and watches a settings file. */
export class SettingsFile implements IClosable {
  private lastReadState: FileState | undefined
  private timer: ITimer | undefined
  private isClosed = false

  /**
   * @param path path of the file
   * @param clock schedules the checks for changes
   */
  constructor (private readonly path: string, private readonly clock: IClock) {}

  /** @returns the settings, or an error that names the file and the field */
  load (): SettingsResult {
    try {
      // Before the content is read, so that a change in between is detected by the next check.
      this.lastReadState = toFileState(statSync(this.path))
      return parseEntrySettings(readFileSync(this.path, 'utf8'), this.path)
    } catch (thrown) {
      return Err(new StepError({ code: ErrorCode.NotFound, step: 'read-settings', peer: this.path || 'no path was given', message: (thrown as Error).message }))
    }
  }

  /**
   * Starts to watch the file.
   * @param onChange called with the new settings whenever the file has changed since it was last read
   */
  watch (onChange: (settings: SettingsResult) => void): void {
    if (this.isClosed) return
    stat(this.path, (error, stats) => {
      if (this.isClosed) return
      // A file that is missing for the moment is being replaced; the next check finds the new one.
      if (error === null && !isSame(toFileState(stats), this.lastReadState)) onChange(this.load())
      this.timer = this.clock.schedule(this.clock.now() + POLL_INTERVAL_MS, () => { this.watch(onChange) })
    })
  }

  /** Stops watching the file. */
  close (): void {
    this.isClosed = true
    this.timer?.close()
  }
}

function toFileState ({ mtimeMs, size, ino }: Stats): FileState {
  return { modifiedMs: mtimeMs, bytes: size, inode: ino }
}

function isSame (left: FileState, right: FileState | undefined): boolean {
  return left.modifiedMs === right?.modifiedMs && left.bytes === right.bytes && left.inode === right.inode
}
