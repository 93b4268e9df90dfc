/**
 * Writes log lines without ever holding the process up. Whoever reads standard
 * output may stall; a plain write to a full pipe would then stop every request.
 * Lines wait in a bounded buffer, one write is on its way at a time, on another
 * thread, and what finds no room is dropped and counted, successes first.
 */
import { write } from 'node:fs'
import type { IClock, ITimer } from '@umberspar/base/common/clock'

/** How urgent a line is when room is short. */
export enum LineUrgency {
  /** What went well. */
  Routine = 'routine',
  /** Refusals, failures, and what the process believes. */
  Important = 'important'
}

/** Where bytes go; calls back when they are written or could not be. */
export type ByteSink = (bytes: Buffer, onWritten: (error: Error | null) => void) => void

/** Lines wait this long for others to share a write with, in milliseconds. */
const FLUSH_MS = 250
/** Bytes that may wait, by urgency; about ten seconds of lines of a busy VM. */
const MOST_WAITING: Readonly<Record<LineUrgency, number>> = {
  [LineUrgency.Routine]: 512_000,
  [LineUrgency.Important]: 1_024_000
}
/**
 * Bytes written in one second at most, by urgency: routine lines of about 200
 * requests a second, four times what the VM usually carries.
 */
const MOST_PER_SECOND: Readonly<Record<LineUrgency, number>> = {
  [LineUrgency.Routine]: 128_000,
  [LineUrgency.Important]: 512_000
}
const SECOND_MS = 1_000
const STANDARD_OUTPUT = 1

/**
 * Writes to standard output on another thread.
 * @param bytes what to write
 * @param onWritten called once
 */
export function writeStandardOutput (bytes: Buffer, onWritten: (error: Error | null) => void): void {
  write(STANDARD_OUTPUT, bytes, 0, bytes.length, null, (error, written) => {
    if (error === null && written < bytes.length) writeStandardOutput(bytes.subarray(written), onWritten)
    else onWritten(error)
  })
}

/** The writer of one process. */
export class BoundedWriter {
  private lines: string[] = []
  private waitingBytes = 0
  private isWriting = false
  private timer: ITimer | undefined
  private secondFrom = Number.NEGATIVE_INFINITY
  private bytesThisSecond: Record<LineUrgency, number> = { [LineUrgency.Routine]: 0, [LineUrgency.Important]: 0 }
  private dropped: Record<LineUrgency, number> = { [LineUrgency.Routine]: 0, [LineUrgency.Important]: 0 }

  /**
   * @param clock for gathering lines
   * @param sink where they go
   * @param onDropped called for each line dropped
   */
  constructor (
    private readonly clock: IClock,
    private readonly sink: ByteSink,
    private readonly onDropped: (urgency: LineUrgency) => void
  ) {}

  /**
   * @param line one line without its end
   * @param urgency how urgent it is
   */
  write (line: string, urgency: LineUrgency): void {
    if (!this.admit(line.length + 1, urgency)) {
      this.dropped[urgency]++
      this.onDropped(urgency)
      return
    }
    this.lines.push(line)
    this.waitingBytes += line.length + 1
    this.timer ??= this.clock.schedule(this.clock.now() + FLUSH_MS, () => { this.flush() })
  }

  /**
   * Writes what waits.
   * @param onDone called when it is written, or cannot be now
   */
  flush (onDone?: () => void): void {
    this.timer?.close()
    this.timer = undefined
    if (this.isWriting || this.lines.length === 0) {
      onDone?.()
      return
    }
    const text = this.takeText()
    this.isWriting = true
    this.sink(Buffer.from(text), () => {
      // A reader that is gone takes nothing any more; requests go on without log lines.
      this.isWriting = false
      if (this.lines.length > 0) this.timer ??= this.clock.schedule(this.clock.now() + FLUSH_MS, () => { this.flush() })
      onDone?.()
    })
  }

  private takeText (): string {
    const { routine, important } = this.dropped
    if (routine + important > 0) {
      this.lines.push(JSON.stringify({ message: 'log lines were dropped', context: { step: 'drop-log-lines', routine, important } }))
      this.dropped = { [LineUrgency.Routine]: 0, [LineUrgency.Important]: 0 }
    }
    const text = `${this.lines.join('\n')}\n`
    this.lines = []
    this.waitingBytes = 0
    return text
  }

  private admit (bytes: number, urgency: LineUrgency): boolean {
    const now = this.clock.now()
    if (now - this.secondFrom >= SECOND_MS) {
      this.secondFrom = now
      this.bytesThisSecond = { [LineUrgency.Routine]: 0, [LineUrgency.Important]: 0 }
    }
    if (this.waitingBytes + bytes > MOST_WAITING[urgency]) return false
    if (this.bytesThisSecond[urgency] + bytes > MOST_PER_SECOND[urgency]) return false
    this.bytesThisSecond[urgency] += bytes
    return true
  }
}
