/**
 * Entry VMs that share crash reports with a delay, and callers that send a request
 * under which every worker crashes. Simulated time.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { ReportState, SuspectTable } from '../../../src/common/quarantine/suspectTable.js'

/** One attempt of a caller. */
export interface Arrival {
  readonly at: Instant
  /** The VM that gets it. */
  readonly vm: number
}

/** The deployment. */
export interface FleetOptions {
  readonly vms: number
  /** Workers that one attempt may be sent to. */
  readonly attempts: number
  /** From the start of a run to the crash. */
  readonly crashAfterMs: number
  /** From a crash to the confirmation by a refused connection. */
  readonly checkMs: number
  /** From a report's writing until the last VM knows it. */
  readonly shareMs: number
  /** Whether VMs learn from each other at all. */
  readonly isShared: boolean
}

/** What happened. */
export interface FleetResult {
  readonly sends: readonly Instant[]
  readonly crashes: readonly Instant[]
}

const DIGEST = 'request'
const SPAN_MS = 600_000

/** Runs all arrivals to their end. */
export function runFleet (arrivals: readonly Arrival[], options: FleetOptions): FleetResult {
  return new Fleet(options).run(arrivals)
}

interface Action {
  readonly at: Instant
  readonly run: (now: Instant) => void
}

class Fleet {
  private readonly tables: SuspectTable[]
  private actions: Action[] = []
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

  private takeNext (): Action | undefined {
    const next = this.actions.reduce<Action | undefined>((first, action) => first === undefined || action.at < first.at ? action : first, undefined)
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
      table.putCrash(report, ReportState.Pending, crashedAt, crashedAt + SPAN_MS)
      this.schedule(crashedAt + checkMs, (at) => { this.putReport(table, report, at) })
      const others = isShared ? this.tables.filter((other) => other !== table) : []
      for (const other of others) this.schedule(crashedAt + checkMs + shareMs, (at) => { this.putReport(other, report, at) })
      this.send(vm, attempts - 1, crashedAt)
    })
  }

  private putReport (table: SuspectTable, report: { digest: string, workerId: string, round: number }, now: Instant): void {
    table.putCrash(report, ReportState.Confirmed, now, now + SPAN_MS)
    if (table.isEvident(DIGEST, now)) table.putQuarantine(DIGEST, now + SPAN_MS, now)
  }
}
