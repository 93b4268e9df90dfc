/** The dependencies of the client on its environment; tests replace them. */
import type { IClock } from '@umberspar/base/common/clock'
import type { ITerminal } from './terminal.js'

/** What one run of the client uses of its environment. */
export interface CliIo {
  readonly terminal: ITerminal
  readonly clock: IClock
  /** The environment variables. */
  readonly environment: Readonly<Record<string, string | undefined>>
  /** @returns a globally unique id for a new change */
  readonly createChangeId: () => string
  /** Milliseconds between two polls while waiting for the fleet. */
  readonly pollIntervalMs: number
}
