/** The process's logger: roarr's JSON lines, written without ever blocking. */
import { createRoarrLogger } from '@umberspar/base/node/roarrLogger'
import type { IClock } from '@umberspar/base/common/clock'
import { type ILogger, LogLevel } from '@umberspar/base/common/logger'
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
/** Lines of requests that went well; all others tell of a failure or of what the process believes. */
const ROUTINE_STEPS = /"step":"(offer-request|end-request)"/
/** roarr's number for warnings; a routine step above it is a failure. */
const WARN_LEVEL = /"logLevel":(40|50)/

/**
 * @param clock for gathering lines
 * @param metrics told of lines dropped
 * @returns the logger, at level info
 */
export function createEntryLogger (clock: IClock, metrics: EntryMetrics): EntryLogging {
  const writer = new BoundedWriter(clock, writeStandardOutput, (urgency) => { metrics.countLogDrop(urgency) })
  let inner = createRoarrLogger(LogLevel.Debug, (line) => {
    const isRoutine = ROUTINE_STEPS.test(line) && !WARN_LEVEL.test(line)
    writer.write(line, isRoutine ? LineUrgency.Routine : LineUrgency.Important)
  })
  let lowestRank = RANK[LogLevel.Info]
  const logger: ILogger = {
    log: (level, context, message) => { if (RANK[level] >= lowestRank) inner.log(level, context, message) },
    createChild: (fields) => inner.createChild(fields)
  }
  return {
    logger,
    setNode: (node) => { inner = inner.createChild({ node }) },
    flush: (onDone) => { writer.flush(onDone) },
    setLevel: (lowest) => { lowestRank = RANK[lowest] }
  }
}
