/** The logger of an entry process: JSON lines of roarr, written without ever blocking the process. */
import { createRoarrLogger } from '@umberspar/base/node/roarrLogger'
import type { IClock } from '@umberspar/base/common/clock'
import { type ILogger, type LogContext, LogLevel } from '@umberspar/base/common/logger'
import { BoundedLogWriter, LinePriority, writeStdout } from './boundedLogWriter.js'
import type { EntryMetrics } from './entryMetrics.js'

/** The logger with the functions that configure and flush it. */
export interface EntryLogOutput {
  readonly logger: ILogger
  /** Writes the buffered lines and calls back when that is done. */
  flush(onDone: () => void): void
  /** Adds the name of the VM to all further lines. */
  setNode(node: string): void
  /** Omits lines below this level from now on. */
  setLevel(minLevel: LogLevel): void
}

const RANK_BY_LEVEL: Readonly<Record<LogLevel, number>> = { [LogLevel.Debug]: 0, [LogLevel.Info]: 1, [LogLevel.Warn]: 2, [LogLevel.Error]: 3 }
/** Log steps that belong to requests. */
const REQUEST_LOG_STEPS: ReadonlySet<string> = new Set(['offer-request', 'end-request'])

/** Lines of successful requests are dropped before all others. */
function choosePriority (level: LogLevel, { step }: LogContext): LinePriority {
  return REQUEST_LOG_STEPS.has(step) && RANK_BY_LEVEL[level] < RANK_BY_LEVEL[LogLevel.Warn] ? LinePriority.Routine : LinePriority.Important
}

/**
 * @param clock schedules the writes
 * @param metrics counts dropped lines
 * @returns the logger, which starts at level info
 */
export function createEntryLogger (clock: IClock, metrics: EntryMetrics): EntryLogOutput {
  const writer = new BoundedLogWriter(clock, writeStdout, (droppedPriority) => { metrics.countDroppedLogLine(droppedPriority) })
  // roarr writes a line before `log` returns, so the line belongs to the call that set the priority.
  let priority = LinePriority.Important
  let inner = createRoarrLogger(LogLevel.Debug, (line) => { writer.write(line, priority) })
  let minRank = RANK_BY_LEVEL[LogLevel.Info]
  const logger: ILogger = {
    log: (level, context, message) => {
      if (RANK_BY_LEVEL[level] < minRank) return
      priority = choosePriority(level, context)
      inner.log(level, context, message)
    },
    createChild: (fields) => inner.createChild(fields)
  }
  return {
    logger,
    setNode: (node) => { inner = inner.createChild({ node }) },
    flush: (onDone) => { writer.flush(onDone) },
    setLevel: (minLevel) => { minRank = RANK_BY_LEVEL[minLevel] }
  }
}
