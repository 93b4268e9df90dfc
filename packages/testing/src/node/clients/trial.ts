/** A process under trial: its machine, what a crowd of clients does to it, and what it uses meanwhile. */
import { SystemClock } from '@umberspar/base/node/systemClock'
import { waitForCondition } from '../load/polling.js'
import type { ChildProgram, ProgramOptions } from '../measure/childProgram.js'
import { waitFor } from '../waiting.js'
import { type CrowdOptions, HostileCrowd } from './hostileCrowd.js'
import { countDescriptors, readPeakMemoryMb } from './processUsage.js'

/** The machine of a process. */
export interface TrialMachine {
  /** Its memory, in megabytes. */
  readonly memoryMb: number
  /** Its descriptors. */
  readonly maxDescriptors: number
}

/** What the process used at most, and whether it ended. */
export interface TrialResult {
  /** How the process ended; undefined if it lives. */
  readonly end: string | undefined
  /** Undefined if the process ended. */
  readonly peakMemoryMb: number | undefined
  readonly peakDescriptors: number
  /** The status of the ordinary request after the crowd has left; 0 if it got none. */
  readonly status: number
}

/** The part of a machine's memory that the deployment leaves to the heap: 160 of 350 MB. */
const HEAP_RATIO = 160 / 350
/** As in the deployment. */
const SEMI_SPACE_MB = 4
const POLL_MS = 20
/** How long a crowd stays. */
const CROWD_MS = 4_000
const SAMPLE_INTERVAL_MS = 50
/** The time within which an ordinary request must be served once the crowd has left, however often it returns: well beyond the time limits of all requests. */
const ORDINARY_TIMEOUT_MS = 30_000
const START_TIMEOUT_MS = 60_000
/** Time limit of an ordinary request. */
export const ORDINARY_DEADLINE_MS = 3_000
const OK = 200

/** One process under trial. */
export abstract class ProcessTrial {
  private readonly clock = new SystemClock()
  private program: ChildProgram | undefined
  private end: string | undefined
  private peakDescriptors = 0

  /** @param machine the machine of the process */
  constructor (protected readonly machine: TrialMachine) {}

  /** Sends an ordinary request. @returns its status; 0 if it got no response */
  protected abstract fetchStatus (): Promise<number>

  /** @returns how the process is started, with the heap that its machine leaves it */
  protected buildOptions (): ProgramOptions {
    const heapMb = Math.floor(this.machine.memoryMb * HEAP_RATIO)
    return { readsOutput: true, variables: { NODE_OPTIONS: `--max-old-space-size=${heapMb} --max-semi-space-size=${SEMI_SPACE_MB}` } }
  }

  /**
   * Waits until a process that has been started is ready.
   * @param program the process under trial
   * @param isReady whether it is
   */
  protected async watch (program: ChildProgram, isReady: () => Promise<boolean>): Promise<void> {
    this.program = program
    program.waitForExit().then(({ code, signal }) => { this.end = signal ?? `code ${code}` }, () => {})
    if (await waitForCondition(this.clock, this.clock.now() + START_TIMEOUT_MS, POLL_MS, isReady)) return
    throw new Error(`the process isn't ready: ${program.listLastErrors().join('\n')}`)
  }

  /**
   * Lets a crowd do what it does, and sends an ordinary request when it has left.
   * @param options how the crowd behaves
   * @returns what the process used at most
   */
  async run (options: CrowdOptions): Promise<TrialResult> {
    const crowd = new HostileCrowd(options)
    crowd.start()
    const until = this.clock.now() + CROWD_MS
    while (this.clock.now() < until && this.end === undefined) {
      await this.recordUsage()
      await waitFor(this.clock, SAMPLE_INTERVAL_MS)
    }
    crowd.close()
    return await this.finish()
  }

  /** @returns what the process used at most, after an ordinary request, which returns after a refusal or a failure as callers do */
  async finish (): Promise<TrialResult> {
    let status = 0
    await waitForCondition(this.clock, this.clock.now() + ORDINARY_TIMEOUT_MS, POLL_MS, async () => {
      if (this.end !== undefined) return true
      status = await this.fetchStatus()
      return status === OK
    })
    await this.recordUsage()
    const peakMemoryMb = this.end === undefined ? await readPeakMemoryMb(this.program!.pid) : undefined
    return { end: this.end, peakMemoryMb, peakDescriptors: this.peakDescriptors, status }
  }

  private async recordUsage (): Promise<void> {
    if (this.end !== undefined) return
    try {
      this.peakDescriptors = Math.max(this.peakDescriptors, await countDescriptors(this.program!.pid))
    } catch {
      // The process ended just now; its exit is recorded apart.
    }
  }
}
