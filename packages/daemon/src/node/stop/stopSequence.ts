/** Runs the steps of a graceful stop one after the other, each bounded by a deadline and logged. */
import type { IClock } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline } from '@umberspar/base/common/deadline'
import { toStepError } from '@umberspar/base/common/errors'
import { type ILogger, LogLevel } from '@umberspar/base/common/logger'

/** How a step ended. */
export enum StopStepEnd {
  Done = 'done',
  /** It had not ended by its deadline; the next step goes on. */
  DeadlinePassed = 'deadline-passed',
  Failed = 'failed',
  /** Ended, or left out, because a second signal asked for haste. */
  Forced = 'forced'
}

/** What a step is given. */
export interface StopContext {
  /** When the next step goes on, done or not. */
  readonly deadline: Deadline
  /** Aborted at the deadline, and when the stop is forced. */
  readonly signal: AbortSignal
}

/** One step of a stop. It may run again after it has run: a leaving VM may be stopped later. */
export interface StopStep {
  /** Lower-case words joined by hyphens, as logged. */
  readonly name: string
  /** @returns when to go on without it, decided as the step begins */
  getDeadline(): Deadline
  /** @returns settled once the step has reached its aim */
  run(context: StopContext): Promise<void>
}

/** How one step ended. */
export interface StopStepResult {
  readonly name: string
  readonly end: StopStepEnd
}

/** Runs ordered steps. */
export class StopSequence {
  private readonly forced = new AbortController()

  constructor (
    private readonly clock: IClock,
    private readonly logger: ILogger
  ) {}

  /** Ends the step that runs and leaves out those that follow. */
  stopWaiting (): void {
    this.forced.abort()
  }

  /**
   * @param steps what to do, in order
   * @returns how each step ended
   */
  async run (steps: readonly StopStep[]): Promise<StopStepResult[]> {
    const results: StopStepResult[] = []
    for (const step of steps) {
      const startedAt = this.clock.now()
      this.logger.log(LogLevel.Info, { step: step.name }, 'stop step begins')
      const end = this.forced.signal.aborted ? StopStepEnd.Forced : await this.runStep(step)
      const level = end === StopStepEnd.Done ? LogLevel.Info : LogLevel.Warn
      this.logger.log(level, { step: step.name, end, tookMs: Math.round(this.clock.now() - startedAt) }, 'stop step ended')
      results.push({ name: step.name, end })
    }
    return results
  }

  private async runStep (step: StopStep): Promise<StopStepEnd> {
    const deadline = step.getDeadline()
    const ending = new AbortController()
    const bounded = new Promise<StopStepEnd>((resolve) => {
      ending.signal.addEventListener('abort', () => resolve(ending.signal.reason as StopStepEnd), { once: true })
    })
    const timer = this.clock.schedule(deadline, () => ending.abort(StopStepEnd.DeadlinePassed))
    const cancel = (): void => ending.abort(StopStepEnd.Forced)
    this.forced.signal.addEventListener('abort', cancel, { once: true })
    try {
      // A step that never settles must not keep the VM from being replaced.
      return await Promise.race([this.runLogged(step, { deadline, signal: ending.signal }), bounded])
    } finally {
      timer.close()
      this.forced.signal.removeEventListener('abort', cancel)
    }
  }

  private async runLogged (step: StopStep, context: StopContext): Promise<StopStepEnd> {
    try {
      await step.run(context)
      return StopStepEnd.Done
    } catch (thrown) {
      const error = toStepError(thrown, step.name, 'local')
      this.logger.log(LogLevel.Error, { step: error.step, peer: error.peer, code: error.code }, error.message)
      return StopStepEnd.Failed
    }
  }
}

/**
 * Asks again and again until the answer is yes or the step is over.
 * @param clock the source of time
 * @param context the step's
 * @param pollSpanMs the span between two questions, in milliseconds
 * @param isDone the question
 * @returns settled once done or over
 */
export async function waitUntilDone (clock: IClock, context: StopContext, pollSpanMs: number, isDone: () => boolean | Promise<boolean>): Promise<void> {
  while (!context.signal.aborted) {
    if (await isDone()) return
    const next = Math.min(context.deadline, createDeadline(clock.now(), pollSpanMs))
    await new Promise<void>((resolve) => { clock.schedule(next, resolve) })
  }
}
