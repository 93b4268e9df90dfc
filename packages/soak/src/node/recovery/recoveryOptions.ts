/** The options and the result of a recovery run. */
import type { LoggedEntryOptions } from '../loggedEntry.js'
import type { SecondCounts } from './recoveryCallers.js'

/** What fails together with the entry processes. */
export enum RecoveryFault {
  /** Workers crash as well and start again, cold, under new ids. */
  Workers = 'workers',
  /** All leases end. */
  Leases = 'leases',
  /** The store comes back from a copy of some seconds before. */
  OlderCopy = 'older-copy',
  /** The store answers nothing until some seconds after the processes are back. */
  SilentStore = 'silent-store'
}

/** The options of a run. */
export interface RecoveryOptions extends LoggedEntryOptions {
  readonly seed: number
  /** Number of entry processes. */
  readonly processes: number
  /** Number of workers. */
  readonly workers: number
  /** Requests a second of all callers together. */
  readonly ratePerSecond: number
  readonly faults: readonly RecoveryFault[]
  /** Whether the client accounts have quotas. */
  readonly hasQuotas: boolean
  /** Processor time of each entry process, as a share of a core, from shortly before the kill to the end; undefined for no limit. */
  readonly quota?: number | undefined
  /** Busy processes beside, from shortly before the kill on. */
  readonly busyProcesses: number
  /** How long after the processes' return the busy processes end; to the end of the run if omitted. */
  readonly busySeconds?: number | undefined
  /** How long the run goes on after the processes are back. */
  readonly seconds: number
}

/** One second of a run. */
export interface RecoverySecond extends SecondCounts {
  /** When it began, relative to the return of the processes, in seconds. */
  readonly at: number
  /** VMs that reported to be ready in it. */
  readonly readyVms: number
  /** Processor time of all entry processes in it, in seconds. */
  readonly cpuSeconds: number
}

/** The result of a run. */
export interface RecoveryResult {
  readonly seed: number
  readonly seconds: readonly RecoverySecond[]
  /** Share of the requests that were served in the seconds before the kill. */
  readonly servedBefore: number
  /** Share of the requests that were served of those sent later than the bound on recovery; undefined if the run ended before. */
  readonly servedAfter: number | undefined
  readonly storeCalls: number
  /** Entry processes that exited unexpectedly. */
  readonly exits: readonly string[]
  /** Sums of counters of all VMs since their return, by name and labels. */
  readonly counters: Readonly<Record<string, number>>
}
