/** Makes sure that a run ends: a series by hand must not stand still unnoticed. */
import type { IClosable } from '@umberspar/base/common/closing'
import { printLine } from '@umberspar/testing/node/terminal'

/** Starting the processes, the last requests and closing everything take much less. */
const OVERDUE_MARGIN_MS = 60_000
const OVERDUE_EXIT_CODE = 2
const MS_PER_SECOND = 1_000

/**
 * Reports a run as failed and ends the process if the run takes much longer than planned.
 * @param seed the seed of the run
 * @param seconds the planned duration
 * @param marginMs how much longer the run may take, in milliseconds
 * @returns ends the supervision
 */
export function startRunGuard (seed: number, seconds: number, marginMs = OVERDUE_MARGIN_MS): IClosable {
  const timer = setTimeout(() => {
    printLine(`seed ${seed}: failed, not ended ${marginMs / MS_PER_SECOND} s after its planned end; open: ${process.getActiveResourcesInfo().join(' ')}`)
    process.exit(OVERDUE_EXIT_CODE)
  }, seconds * MS_PER_SECOND + marginMs)
  return { close: () => { clearTimeout(timer) } }
}
