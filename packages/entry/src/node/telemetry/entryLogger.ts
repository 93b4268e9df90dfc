/** The process's logger: roarr's JSON lines, written without ever blocking. */
import { createRoarrLogger } from '@umberspar/base/node/roarrLogger'
import type { IClock } from '@umberspar/base/common/clock'
import { type ILogger, type LogContext, LogLevel } from '@umberspar/base/common/logger'
import { BoundedWriter, LineUrgency, writeStandardOutput } from './boundedWriter.js'
import type { EntryMetrics } from './entryMetrics.js'

/** The logger and what its owner needs besides. */
export interface EntryLogging {
  readonly logger: ILogger
  /** Writes what waits; calls back when that is done. */
  flush(onDone: () => void): void
  /** Names the VM on every line from now on. */
  setNode(node: string): void
  /** Leaves out what is less urgent from now on. */
  setLevel(lowest: LogLevel): void
}

const RANK: Readonly<Record<LogLevel, number>> = { [LogLevel.Debug]: 0, [LogLevel.Info]: 1, [LogLevel.Warn]: 2, [LogLevel.Error]: 3 }
/** Steps of requests; all others tell of what the process believes. */
const REQUEST_STEPS: ReadonlySet<string> = new Set(['offer-request', 'end-request'])

/** Lines of requests that went well give way to all others. */
function classifyLine (level: LogLevel, { step }: LogContext): LineUrgency {
  return REQUEST_STEPS.has(step) && RANK[level] < RANK[LogLevel.Warn] ? LineUrgency.Routine : LineUrgency.Important
}

/**
 * @param clock for gathering lines
 * @param metrics told of lines dropped
 * @returns the logger, at level info
 */
export function createEntryLogger (clock: IClock, metrics: EntryMetrics): EntryLogging {
  const writer = new BoundedWriter(clock, writeStandardOutput, (dropped) => { metrics.countLogDrop(dropped) })
  // roarr writes a line before `log` returns, so it belongs to the call that set this.
  let urgency = LineUrgency.Important
  let inner = createRoarrLogger(LogLevel.Debug, (line) => { writer.write(line, urgency) })
  let lowestRank = RANK[LogLevel.Info]
  const logger: ILogger = {
    log: (level, context, message) => {
      if (RANK[level] < lowestRank) return
      urgency = classifyLine(level, context)
      inner.log(level, context, message)
    },
    createChild: (fields) => inner.createChild(fields)
  }
  return {
    logger,
    setNode: (node) => { inner = inner.createChild({ node }) },
    flush: (onDone) => { writer.flush(onDone) },
    setLevel: (lowest) => { lowestRank = RANK[lowest] }
  }
}
