/**
 * How fast an accepted change is in force everywhere, while the store, daemons and
 * links fail, and what control costs. Twelve daemons run in processes of their own.
 */
import type { IClock, Instant } from '@umberspar/base/common/clock'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { printLine } from '../terminal.js'
import { waitUntil } from '../waiting.js'
import { ControlFleet } from './controlFleet.js'
import { CONTROL_PHASES, type ControlPhase } from './controlPhases.js'
import type { FigureRow, Measurement, MeasureOptions } from './measurement.js'
import { printFigures } from './measurement.js'

const NAME = 'control'
const PATCH_SPAN_MS = 500
const IN_FORCE_WITHIN_MS = 30_000
const MS_PER_SECOND = 1000

interface PhaseCosts {
  readonly at: Instant
  readonly storeCalls: number
  readonly peerBytes: number
  readonly cpuSeconds: number
}

interface PhaseTimes {
  readonly sent: number
  readonly inForceMs: readonly number[]
  readonly retried: number
}

function computePercentile (sorted: readonly number[], part: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? NaN
}

async function readCosts (fleet: ControlFleet, clock: IClock): Promise<PhaseCosts> {
  const { reads, writes } = fleet.platform.store.getCallCounts()
  return { at: clock.now(), storeCalls: reads + writes, peerBytes: fleet.network.peerBytes, cpuSeconds: await fleet.readCpuSeconds() }
}

/** Sends changes one after the other and waits for each to be in force at the daemons of the phase. */
async function runPatches (fleet: ControlFleet, phase: ControlPhase, options: MeasureOptions, clock: IClock): Promise<PhaseTimes> {
  const inForceMs: number[] = []
  const until = clock.now() + options.seconds * MS_PER_SECOND
  let sent = 0
  let retried = 0
  while (clock.now() < until) {
    const next = clock.now() + PATCH_SPAN_MS
    sent += 1
    const accepted = await fleet.patch(phase.listOperated(fleet))
    if (accepted !== undefined) {
      if (accepted.attempts > 1) retried += 1
      const at = await fleet.waitUntilInForce(accepted.version, phase.listExpected(fleet), IN_FORCE_WITHIN_MS)
      if (at !== undefined) inForceMs.push(Math.max(0, at - accepted.sentAt))
    }
    await waitUntil(clock, next)
  }
  return { sent, inForceMs: inForceMs.sort((left, right) => left - right), retried }
}

async function runPhase (fleet: ControlFleet, phase: ControlPhase, options: MeasureOptions, clock: IClock): Promise<FigureRow> {
  const nodes = fleet.listNodeIds().length
  await phase.start(fleet, clock)
  const before = await readCosts(fleet, clock)
  const { sent, inForceMs, retried } = phase.hasPatches
    ? await runPatches(fleet, phase, options, clock)
    : await waitUntil(clock, clock.now() + options.seconds * MS_PER_SECOND).then((): PhaseTimes => ({ sent: 0, inForceMs: [], retried: 0 }))
  const after = await readCosts(fleet, clock)
  const seconds = (after.at - before.at) / MS_PER_SECOND
  const healedAt = clock.now()
  await phase.stop(fleet, clock)
  const last = await fleet.patch(fleet.listNodeIds())
  const wholeAt = last === undefined ? undefined : await fleet.waitUntilInForce(last.version, fleet.listNodeIds(), IN_FORCE_WITHIN_MS)
  return {
    phase: phase.name,
    patches: sent,
    'in force': inForceMs.length,
    retried,
    'p50 ms': sent === 0 ? '-' : Math.round(computePercentile(inForceMs, 0.5)),
    'max ms': sent === 0 ? '-' : Math.round(inForceMs.at(-1) ?? NaN),
    'whole after ms': wholeAt === undefined ? 'never' : Math.round(wholeAt - healedAt),
    'store calls/s': (after.storeCalls - before.storeCalls) / seconds,
    'per node': (after.storeCalls - before.storeCalls) / seconds / nodes,
    'peer KB/s node': (after.peerBytes - before.peerBytes) / seconds / nodes / 1000,
    'core % node': Math.max(0, 100 * (after.cpuSeconds - before.cpuSeconds) / seconds / nodes),
    reversions: fleet.observer.reversions.length
  }
}

async function runMeasurement (options: MeasureOptions): Promise<string | undefined> {
  const clock = new SystemClock()
  printLine(`starting 12 daemons of ${options.deployment}`)
  const fleet = await ControlFleet.start(options, clock)
  try {
    const rows: FigureRow[] = []
    for (const phase of CONTROL_PHASES) {
      printLine(phase.name)
      rows.push(await runPhase(fleet, phase, options, clock))
    }
    printFigures(NAME, rows)
    const missing = rows.filter((row) => row.patches !== row['in force'] || row['whole after ms'] === 'never').map((row) => row.phase)
    if (fleet.observer.reversions.length > 0) return `versions went back: ${JSON.stringify(fleet.observer.reversions)}`
    return missing.length > 0 ? `not every change was in force in time: ${missing.join(', ')}` : undefined
  } finally {
    await fleet.close()
  }
}

/** `npm run measure -- control`. */
export const CONTROL_MEASUREMENT: Measurement = {
  summary: 'time until a change is in force everywhere, under faults; what control costs',
  run: runMeasurement
}
