/** A process that a measuring tool started, and ends by its id. */
import { fork } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { readFile } from 'node:fs/promises'
import { fileURLToPath } from 'node:url'
import type { IClosable } from '@umberspar/base/common/closing'
import { Emitter } from '@umberspar/base/common/event'

/** How a program is started, beside its arguments. */
export interface ProgramOptions {
  /** Variables beside those of this process. */
  readonly variables?: Readonly<Record<string, string>>
  /** Modules that are loaded before the program. */
  readonly preloads?: readonly URL[]
  /** Whether its standard output is read, as a log collector would, and its last lines kept; else it goes nowhere. */
  readonly readsOutput?: boolean
  /** Called with what it writes to standard output, if that is read. */
  readonly onOutput?: (text: string) => void
}

/** How a process ended. */
export interface ProgramExit {
  readonly code: number | null
  readonly signal: string | null
}

/** Fields of /proc/PID/stat behind the command's closing bracket. */
const USER_TICKS_FIELD = 11
const SYSTEM_TICKS_FIELD = 12
/** USER_HZ, the unit of these fields; 100 on all that Linux runs on today. */
const TICKS_PER_SECOND = 100
const KILL_AFTER_MS = 10_000
const KEPT_ERROR_LINES = 20

/** A Node.js program in a process of its own. */
export class ChildProgram implements IClosable {
  private readonly messages = new Emitter<unknown>()
  private readonly lastErrors: string[] = []
  private readonly exited: Promise<ProgramExit>
  private exit: ProgramExit | undefined

  /** What the program sends over its channel. */
  readonly onDidSend = this.messages.event

  private constructor (private readonly child: ChildProcess, onOutput: (text: string) => void) {
    child.on('message', (message) => this.messages.fire(message))
    child.stderr?.setEncoding('utf8').on('data', (text: string) => this.recordErrors(text))
    child.stdout?.setEncoding('utf8').on('data', (text: string) => {
      this.recordErrors(text)
      onOutput(text)
    })
    this.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        this.exit = { code, signal }
        resolve(this.exit)
      })
    })
  }

  /**
   * @param file the program, as a URL
   * @param args its arguments
   * @param options how else it is started
   * @returns the running program
   */
  static spawn (file: URL, args: readonly string[] = [], { variables = {}, preloads = [], readsOutput = false, onOutput = () => {} }: ProgramOptions = {}): ChildProgram {
    const child = fork(fileURLToPath(file), args, {
      stdio: ['ignore', readsOutput ? 'pipe' : 'ignore', 'pipe', 'ipc'],
      execArgv: preloads.flatMap((preload) => ['--import', preload.href]),
      env: { ...process.env, ...variables }
    })
    return new ChildProgram(child, onOutput)
  }

  /** @returns its process id; -1 if it could not be started */
  get pid (): number {
    return this.child.pid ?? -1
  }

  /** @returns the last lines that it wrote to standard error, and to standard output if that is read */
  listLastErrors (): readonly string[] {
    return this.lastErrors
  }

  /**
   * @param message what to send over the channel
   */
  send (message: object): void {
    // A program that is just ending does not take it any more; its exit is recorded apart.
    if (this.child.connected) this.child.send(message, () => {})
  }

  /**
   * @returns the next message; rejected if the program ends first
   */
  async waitForMessage<T> (): Promise<T> {
    const next = new Promise<T>((resolve) => {
      const subscription = this.onDidSend((message) => {
        subscription.close()
        resolve(message as T)
      })
    })
    const ended = this.exited.then(({ code, signal }): never => {
      throw new Error(`process ${this.pid} ended (${code ?? signal}): ${this.lastErrors.join('\n')}`)
    })
    return Promise.race([next, ended])
  }

  /** @returns the processor time it has taken so far, in seconds, all threads together */
  async readCpuSeconds (): Promise<number> {
    const text = await readFile(`/proc/${this.pid}/stat`, 'utf8')
    const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
    const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD])
    return ticks / TICKS_PER_SECOND
  }

  /** Sends the signal by which settings are read anew. */
  sendHangUp (): void {
    if (this.exit === undefined) this.child.kill('SIGHUP')
  }

  /** @returns how the program ended, once it has */
  async waitForExit (): Promise<ProgramExit> {
    return await this.exited
  }

  /** Pauses the program, as a host that stalls does. */
  hold (): void {
    if (this.exit === undefined) this.child.kill('SIGSTOP')
  }

  /** Lets a paused program go on. */
  release (): void {
    if (this.exit === undefined) this.child.kill('SIGCONT')
  }

  /**
   * Asks the program to stop, as a planned stop does.
   * @returns how it ended
   */
  async stop (): Promise<ProgramExit> {
    if (this.exit === undefined) this.child.kill('SIGTERM')
    return this.exited
  }

  /**
   * Ends the program at once, as a crash or a failure of its VM does.
   * @returns how it ended
   */
  async stopAtOnce (): Promise<ProgramExit> {
    if (this.exit === undefined) this.child.kill('SIGKILL')
    return this.exited
  }

  /** Stops the program; one that does not stop within ten seconds is killed. */
  async close (): Promise<void> {
    const timer = setTimeout(() => this.child.kill('SIGKILL'), KILL_AFTER_MS)
    await this.stop()
    clearTimeout(timer)
    this.messages.close()
  }

  private recordErrors (text: string): void {
    const lines = text.split('\n').filter((line) => line !== '')
    this.lastErrors.push(...lines)
    this.lastErrors.splice(0, this.lastErrors.length - KEPT_ERROR_LINES)
  }
}
