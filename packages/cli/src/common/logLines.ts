/** Reads the JSON lines that entry processes write; docs/LOGGING.md lists their fields. */

/** One line. */
export interface LogLine {
  /** Milliseconds since 1970, by the VM's own clock. */
  readonly time: number
  /** The process's count of its lines; orders lines of one millisecond. */
  readonly sequence: number
  /** The entry VM that wrote it. */
  readonly node: string
  readonly step: string
  readonly message: string
  readonly fields: Readonly<Record<string, unknown>>
}

const EXCLUDED_KEYS: ReadonlySet<string> = new Set(['step', 'node', 'logLevel'])

function toRecord (value: unknown): Readonly<Record<string, unknown>> | undefined {
  return typeof value === 'object' && value !== null ? value as Record<string, unknown> : undefined
}

/**
 * @param text one line; whatever a collector put before the JSON is passed over
 * @returns the line, or undefined if it is none of an entry process
 */
export function parseLogLine (text: string): LogLine | undefined {
  const jsonStart = text.indexOf('{')
  if (jsonStart < 0) return undefined
  let value: unknown
  try {
    value = JSON.parse(text.slice(jsonStart))
  } catch {
    // Cut lines and lines of other programs stand among those of entry processes.
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
 * @param left one line
 * @param right another
 * @returns their order in time; within one process by its own count
 */
export function compareLogLines (left: LogLine, right: LogLine): number {
  if (left.node === right.node) return left.sequence - right.sequence
  return left.time - right.time
}
