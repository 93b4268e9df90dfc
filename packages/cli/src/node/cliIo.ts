/** What a run of the client takes from its surroundings; tests give their own. */
import type { IClock } from '@umberspar/base/common/clock'
import type { ITerminal } from './terminal.js'

/** The surroundings of one run. */
export interface CliIo {
  readonly terminal: ITerminal
  readonly clock: IClock
  readonly environment: Readonly<Record<string, string | undefined>>
  /** @returns the identity of a new change; no two calls anywhere give the same */
  readonly createChangeId: () => string
  /** Milliseconds between two questions to the fleet while waiting. */
  readonly pollSpanMs: number
}
