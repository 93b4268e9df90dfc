/** Runs the steps of a graceful shutdown in order, and bounds each by a deadline and logs it. */
import type { IClock } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline } from '@umberspar/base/common/deadline'
import { toStepError } from '@umberspar/base/common/errors'
import { type ILogger, LogLevel } from '@umberspar/base/common/logger'

/** How a step ended. */
export enum StopStepEnd {
  Done = 'done',
  /** It had not ended by its deadline, and the next step was started. */
  DeadlinePassed = 'deadline-passed',
  Failed = 'failed',
  /** Aborted or skipped because the shutdown was forced by a second signal. */
  Forced = 'forced'
}

/** Passed to each step. */
export interface StopContext {
  /** When the next step starts, whether or not this one has ended. */
  readonly deadline: Deadline
  /** Aborted at the deadline, and when the shutdown is forced. */
  readonly signal: AbortSignal
}

/** One step of a shutdown. It may run more than once: a VM that is leaving may be stopped later. */
export interface StopStep {
  /** Lower-case words joined by hyphens, as they are logged. */
  readonly name: string
  /** @returns when to continue without the step, determined when it starts */
  getDeadline(): Deadline
  /** @returns a promise that settles when the step is done */
  run(context: StopContext): Promise<void>
}

/** The result of one step. */
export interface StopStepResult {
  readonly name: string
  readonly end: StopStepEnd
}

/** Runs steps in order. */
export class StopSequence {
  private readonly forceAbort = new AbortController()

  constructor (
    private readonly clock: IClock,
    private readonly logger: ILogger
  ) {}

  /** Aborts the current step and skips the following ones. */
  stopWaiting (): void {
    this.forceAbort.abort()
  }

  /**
   * @param steps the steps in order
   * @returns the result of each step
   */
  async run (steps: readonly StopStep[]): Promise<StopStepResult[]> {
    const results: StopStepResult[] = []
    for (const step of steps) {
      const startedAt = this.clock.now()
      this.logger.log(LogLevel.Info, { step: step.name }, 'shutdown step started')
      const end = this.forceAbort.signal.aborted ? StopStepEnd.Forced : await this.runStep(step)
      const level = end === StopStepEnd.Done ? LogLevel.Info : LogLevel.Warn
      this.logger.log(level, { step: step.name, end, tookMs: Math.round(this.clock.now() - startedAt) }, 'shutdown step ended')
      results.push({ name: step.name, end })
    }
    return results
  }

  private async runStep (step: StopStep): Promise<StopStepEnd> {
    const deadline = step.getDeadline()
    const stepAbort = new AbortController()
    const aborted = new Promise<StopStepEnd>((resolve) => {
      stepAbort.signal.addEventListener('abort', () => resolve(stepAbort.signal.reason as StopStepEnd), { once: true })
    })
    const timer = this.clock.schedule(deadline, () => stepAbort.abort(StopStepEnd.DeadlinePassed))
    const cancel = (): void => stepAbort.abort(StopStepEnd.Forced)
    this.forceAbort.signal.addEventListener('abort', cancel, { once: true })
    try {
      // A step that never settles must not prevent the VM from being replaced.
      return await Promise.race([this.runLogged(step, { deadline, signal: stepAbort.signal }), aborted])
    } finally {
      timer.close()
      this.forceAbort.signal.removeEventListener('abort', cancel)
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
 * Polls a condition until it is true or the step ends.
 * @param clock the time source
 * @param context the step's context
 * @param pollIntervalMs the time between two polls
 * @param isDone the condition
 * @returns a promise that settles when the condition is true or the step has ended
 */
export async function waitUntilDone (clock: IClock, context: StopContext, pollIntervalMs: number, isDone: () => boolean | Promise<boolean>): Promise<void> {
  while (!context.signal.aborted) {
    if (await isDone()) return
    const next = Math.min(context.deadline, createDeadline(clock.now(), pollIntervalMs))
    await new Promise<void>((resolve) => { clock.schedule(next, resolve) })
  }
}
