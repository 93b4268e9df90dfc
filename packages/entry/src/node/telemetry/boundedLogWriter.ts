/**
 * Writes log lines without ever blocking the process. The reader of standard output may stall, and a
 * synchronous write to a full pipe would then block all requests. Lines are kept in a bounded buffer
 * and written on another thread, one write at a time. Lines that don't fit are dropped and counted,
 * those of successful requests first.
 */
import { write } from 'node:fs'
import type { IClock, ITimer } from '@umberspar/base/common/clock'

/** Which lines are dropped first. */
export enum LinePriority {
  /** Lines of successful requests. */
  Routine = 'routine',
  /** Refusals, failures, and all lines that don't belong to a request. */
  Important = 'important'
}

/** Writes bytes; calls back once they are written or the write failed. */
export type OutputSink = (bytes: Buffer, onWritten: (error: Error | null) => void) => void

/** How long lines are collected before they are written together. */
const FLUSH_DELAY_MS = 250
/** Limits of the buffer by priority: about ten seconds of log lines of a busy VM. */
const MAX_BUFFERED_BYTES: Readonly<Record<LinePriority, number>> = {
  [LinePriority.Routine]: 512_000,
  [LinePriority.Important]: 1_024_000
}
/**
 * Rate limits by priority. Routine lines of about 200 requests per second fit, four times the usual
 * load of a VM.
 */
const MAX_BYTES_PER_SECOND: Readonly<Record<LinePriority, number>> = {
  [LinePriority.Routine]: 128_000,
  [LinePriority.Important]: 512_000
}
const MS_PER_SECOND = 1_000
const STDOUT_FD = 1

/**
 * Writes to standard output on another thread.
 * @param bytes the bytes to write
 * @param onWritten called once, when the bytes are written or the write failed
 */
export function writeStdout (bytes: Buffer, onWritten: (error: Error | null) => void): void {
  write(STDOUT_FD, bytes, 0, bytes.length, null, (error, written) => {
    if (error === null && written < bytes.length) writeStdout(bytes.subarray(written), onWritten)
    else onWritten(error)
  })
}

/** The log writer of one process. */
export class BoundedLogWriter {
  private bufferedLines: string[] = []
  private bufferedBytes = 0
  private isWriting = false
  private timer: ITimer | undefined
  private secondStartedAt = Number.NEGATIVE_INFINITY
  private bytesThisSecond: Record<LinePriority, number> = { [LinePriority.Routine]: 0, [LinePriority.Important]: 0 }
  private droppedLines: Record<LinePriority, number> = { [LinePriority.Routine]: 0, [LinePriority.Important]: 0 }

  /**
   * @param clock schedules the writes
   * @param sink writes the bytes
   * @param onDrop called for each dropped line
   */
  constructor (
    private readonly clock: IClock,
    private readonly sink: OutputSink,
    private readonly onDrop: (priority: LinePriority) => void
  ) {}

  /**
   * Adds a line to the buffer, or drops it.
   * @param line the line, without line end
   * @param priority its priority
   */
  write (line: string, priority: LinePriority): void {
    if (!this.admit(line.length + 1, priority)) {
      this.droppedLines[priority]++
      this.onDrop(priority)
      return
    }
    this.bufferedLines.push(line)
    this.bufferedBytes += line.length + 1
    this.timer ??= this.clock.schedule(this.clock.now() + FLUSH_DELAY_MS, () => { this.flush() })
  }

  /**
   * Writes the buffered lines.
   * @param onDone called when they are written, or at once if there are none or a write is in progress
   */
  flush (onDone?: () => void): void {
    this.timer?.close()
    this.timer = undefined
    if (this.isWriting || this.bufferedLines.length === 0) {
      onDone?.()
      return
    }
    const text = this.takeBufferedText()
    this.isWriting = true
    this.sink(Buffer.from(text), () => {
      // Errors are ignored: if standard output is closed, requests are served without logging.
      this.isWriting = false
      if (this.bufferedLines.length > 0) this.timer ??= this.clock.schedule(this.clock.now() + FLUSH_DELAY_MS, () => { this.flush() })
      onDone?.()
    })
  }

  private takeBufferedText (): string {
    const { routine, important } = this.droppedLines
    if (routine + important > 0) {
      this.bufferedLines.push(JSON.stringify({ message: 'log lines were dropped', context: { step: 'drop-log-lines', routine, important } }))
      this.droppedLines = { [LinePriority.Routine]: 0, [LinePriority.Important]: 0 }
    }
    const text = `${this.bufferedLines.join('\n')}\n`
    this.bufferedLines = []
    this.bufferedBytes = 0
    return text
  }

  private admit (bytes: number, priority: LinePriority): boolean {
    const now = this.clock.now()
    if (now - this.secondStartedAt >= MS_PER_SECOND) {
      this.secondStartedAt = now
      this.bytesThisSecond = { [LinePriority.Routine]: 0, [LinePriority.Important]: 0 }
    }
    if (this.bufferedBytes + bytes > MAX_BUFFERED_BYTES[priority]) return false
    if (this.bytesThisSecond[priority] + bytes > MAX_BYTES_PER_SECOND[priority]) return false
    this.bytesThisSecond[priority] += bytes
    return true
  }
}
