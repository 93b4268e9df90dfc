/** Parses the JSON log lines of entry processes; docs/LOGGING.md lists their fields. */

/** A parsed log line. */
export interface LogLine {
  /** Milliseconds since 1970, by the clock of the VM. */
  readonly time: number
  /** Counts the lines of the process; gives the order of lines written in the same millisecond. */
  readonly sequence: number
  /** The entry VM that wrote it. */
  readonly node: string
  readonly step: string
  readonly message: string
  /** The fields of the line's context, without step, node and log level. */
  readonly fields: Readonly<Record<string, unknown>>
}

const EXCLUDED_KEYS: ReadonlySet<string> = new Set(['step', 'node', 'logLevel'])

function toRecord (value: unknown): Readonly<Record<string, unknown>> | undefined {
  return typeof value === 'object' && value !== null ? value as Record<string, unknown> : undefined
}

/**
 * @param text one line; a prefix added by a log collector before the JSON is ignored
 * @returns the parsed line, or undefined if it is not a log line of an entry process
 */
export function parseLogLine (text: string): LogLine | undefined {
  const jsonStart = text.indexOf('{')
  if (jsonStart < 0) return undefined
  let value: unknown
  try {
    value = JSON.parse(text.slice(jsonStart))
  } catch {
    // The files may also contain truncated lines and lines of other programs.
    return undefined
  }
  const line = toRecord(value)
  const context = toRecord(line?.context)
  if (line === undefined || context === undefined || typeof context.step !== 'string') return undefined
  return {
    time: Number(line.time ?? 0),
    sequence: Number(line.sequence ?? 0),
    node: typeof context.node === 'string' ? context.node : '',
    step: context.step,
    message: typeof line.message === 'string' ? line.message : '',
    fields: Object.fromEntries(Object.entries(context).filter(([name]) => !EXCLUDED_KEYS.has(name)))
  }
}

/**
 * Orders lines by time, and lines of one node by sequence number.
 * @param left the first line
 * @param right the second line
 * @returns a negative number if the first line precedes the second, a positive one if it follows
 */
export function compareLogLines (left: LogLine, right: LogLine): number {
  if (left.node === right.node) return left.sequence - right.sequence
  return left.time - right.time
}
