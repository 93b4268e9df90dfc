/** The options and the result of a run with workers that announce rate limits. */
import type { LoggedEntryOptions } from '../loggedEntry.js'
import type { WorkerMaximum } from '../rateLimitChecker.js'

/** What happens while workers announce rate limits; each is repeated until the end of the run, several overlap. */
export enum LimitsFault {
  /** The store answers nothing to half of the VMs, for longer than their leases last. */
  SilentStore = 'silent-store',
  /** One VM after the other is killed and started again. */
  Kill = 'kill',
  /** All VMs are killed and started together. */
  KillAll = 'kill-all',
  /** Half of the VMs are down for longer than their leases last. */
  PowerLoss = 'power-loss',
  /** One VM after the other is stopped gracefully and started again. */
  RollingRestart = 'rolling-restart',
  /** One VM after the other is paused. */
  Pause = 'pause',
  /** The registrations of all workers without a limit are missing for a while. */
  WorkersAway = 'workers-away',
  /** The limits change, up and down. */
  LimitChanges = 'limit-changes',
  /** VMs are added. */
  Growth = 'growth'
}

/** The options of a run. */
export interface LimitsOptions extends LoggedEntryOptions {
  readonly seed: number
  /** Number of entry processes. */
  readonly processes: number
  /** Requests per second of all callers together. */
  readonly ratePerSecond: number
  /** Duration of the part with faults, in seconds. */
  readonly seconds: number
  /** The limit of each limited worker, in requests per second. */
  readonly limitPerSecond: number
  /** Number of workers that announce a limit. */
  readonly limitedWorkers: number
  readonly faults: readonly LimitsFault[]
}

/** The result of a run. */
export interface LimitsResult {
  readonly seed: number
  /** The busiest window of each limited worker. */
  readonly maxima: readonly WorkerMaximum[]
  /** Requests that each limited worker got in a window of the quiet time before the faults, on average. */
  readonly quietRequests: Readonly<Record<string, number>>
  /** Requests that each limited worker got in each second since the callers started. */
  readonly requestsBySecond: Readonly<Record<string, readonly number[]>>
  /** Number of requests by status and, if refused, by reason; status 0 stands for requests without an answer. */
  readonly statuses: Readonly<Record<string, number>>
  /** When faults began, in milliseconds since the callers started. */
  readonly steps: ReadonlyArray<{ readonly fault: LimitsFault, readonly atMs: number }>
  readonly exits: readonly string[]
  readonly violations: readonly string[]
}
