/**
 * Simulates entry VMs that share crash reports with a delay, and callers that send them a
 * request that crashes every worker. Runs in simulated time.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { ReportState, SuspectTable } from '../../../src/common/quarantine/suspectTable.js'

/** One request of a caller. */
export interface Arrival {
  readonly at: Instant
  /** The index of the entry VM that receives it. */
  readonly vm: number
}

/** The size and the delays of the simulated deployment; durations in milliseconds. */
export interface FleetOptions {
  readonly vms: number
  /** How many workers the VM tries for each arrival. */
  readonly attempts: number
  /** From sending the request to a worker until the worker crashes. */
  readonly crashAfterMs: number
  /** From a crash until a refused connection confirms it. */
  readonly checkMs: number
  /** From writing a report until all other VMs have received it. */
  readonly shareMs: number
  /** Whether VMs receive the reports of other VMs. */
  readonly isShared: boolean
}

/** When the request was sent to workers, and when workers crashed. */
export interface FleetResult {
  readonly sends: readonly Instant[]
  readonly crashes: readonly Instant[]
}

const DIGEST = 'request'
const RETENTION_MS = 600_000

/** Simulates all arrivals until nothing is scheduled any more. */
export function runFleet (arrivals: readonly Arrival[], options: FleetOptions): FleetResult {
  return new Fleet(options).run(arrivals)
}

interface ScheduledAction {
  readonly at: Instant
  readonly run: (now: Instant) => void
}

class Fleet {
  private readonly tables: SuspectTable[]
  private actions: ScheduledAction[] = []
  private readonly sends: Instant[] = []
  private readonly crashes: Instant[] = []

  constructor (private readonly options: FleetOptions) {
    this.tables = Array.from({ length: options.vms }, () => new SuspectTable())
  }

  run (arrivals: readonly Arrival[]): FleetResult {
    for (const { at, vm } of arrivals) this.schedule(at, (now) => { this.send(vm, this.options.attempts, now) })
    for (let next = this.takeNext(); next !== undefined; next = this.takeNext()) next.run(next.at)
    return { sends: this.sends, crashes: this.crashes }
  }

  private schedule (at: Instant, run: (now: Instant) => void): void {
    this.actions.push({ at, run })
  }

  private takeNext (): ScheduledAction | undefined {
    const next = this.actions.reduce<ScheduledAction | undefined>((first, action) => first === undefined || action.at < first.at ? action : first, undefined)
    this.actions = this.actions.filter((action) => action !== next)
    return next
  }

  private send (vm: number, attempts: number, now: Instant): void {
    const table = this.tables[vm]!
    if (attempts === 0 || table.getBlockedUntil(DIGEST, now) !== undefined) return
    this.sends.push(now)
    const report = { digest: DIGEST, workerId: `w-${this.sends.length}`, round: table.getNextRound(DIGEST, now) }
    const { crashAfterMs, checkMs, shareMs, isShared } = this.options
    this.schedule(now + crashAfterMs, (crashedAt) => {
      this.crashes.push(crashedAt)
      table.putCrash(report, ReportState.Pending, crashedAt, crashedAt + RETENTION_MS)
      this.schedule(crashedAt + checkMs, (at) => { this.putReport(table, report, at) })
      const others = isShared ? this.tables.filter((other) => other !== table) : []
      for (const other of others) this.schedule(crashedAt + checkMs + shareMs, (at) => { this.putReport(other, report, at) })
      this.send(vm, attempts - 1, crashedAt)
    })
  }

  private putReport (table: SuspectTable, report: { digest: string, workerId: string, round: number }, now: Instant): void {
    table.putCrash(report, ReportState.Confirmed, now, now + RETENTION_MS)
    if (table.hasConfirmedEvidence(DIGEST, now)) table.putQuarantine(DIGEST, now + RETENTION_MS, now)
  }
}
