/** One `umberspard` in a process of its own, and the settings file it reads. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { IClosable } from '@umberspar/base/common/closing'
import type { IClock } from '@umberspar/base/common/clock'
import type { DaemonSettings } from '@umberspar/adapters/node/settings/daemonSettings'
import { ChildProgram, type ProgramOptions } from './childProgram.js'
import { waitUntilDaemonReady } from './daemonReadiness.js'

const DAEMON_PROGRAM = new URL('../../../../../daemon/bin/umberspard.js', import.meta.url)
const READY_WITHIN_MS = 20_000

/** A running daemon process. */
export class ChildDaemon implements IClosable {
  private constructor (
    readonly settings: DaemonSettings,
    readonly program: ChildProgram,
    private readonly directory: string
  ) {}

  /**
   * @param settings the daemon's settings; written to a temporary file
   * @param options how else it is started
   * @returns the daemon, not necessarily ready
   */
  static async spawn (settings: DaemonSettings, options: ProgramOptions = {}): Promise<ChildDaemon> {
    const directory = await mkdtemp(join(tmpdir(), 'umberspar-'))
    const file = join(directory, `${settings.nodeId}.json`)
    await writeFile(file, JSON.stringify(settings))
    return new ChildDaemon(settings, ChildProgram.spawn(DAEMON_PROGRAM, ['--settings', file], options), directory)
  }

  /**
   * @param clock the source of time
   * @returns when the daemon says that it is ready; rejects after twenty seconds
   */
  async waitUntilReady (clock: IClock): Promise<void> {
    if (await waitUntilDaemonReady(this.settings, clock, READY_WITHIN_MS)) return
    throw new Error(`${this.settings.nodeId} is not ready: ${this.program.listLastErrors().join('\n')}`)
  }

  /** Stops the process and removes its settings file. */
  async close (): Promise<void> {
    await this.program.close()
    await rm(this.directory, { recursive: true, force: true })
  }
}
