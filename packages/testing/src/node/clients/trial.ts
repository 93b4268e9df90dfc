/** The machine of a process under trial, and what the process used of it. */

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
export const HEAP_RATIO = 160 / 350
/** As in the deployment. */
export const SEMI_SPACE_MB = 4
