/**
 * Starts operations when they are meant to start, however slowly earlier ones
 * are answered. Bounded in count, in time and in open operations.
 */
import type { IClock, Instant } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import type { IRandomSource } from '@umberspar/base/common/random'
import { PoissonArrivals } from '../../common/load/arrivals.js'
import { waitUntil } from '../waiting.js'

/** How a stream of arrivals is waited for. */
export enum ArrivalPacing {
  /** By timers: up to about a millisecond late, and the loop is free in between. */
  Timer = 'timer',
  /** By turns of the loop: exact, and takes a core; for tools whose servers run elsewhere. */
  Spin = 'spin'
}

/** Runs one operation to its end; must not reject. */
export type OperationRunner = (intendedStart: Instant) => Promise<void>

/** The bounds and the pace of a stream of operations. */
export interface LoadOptions {
  readonly clock: IClock
  readonly random: IRandomSource
  readonly ratePerSecond: number
  readonly maxOperations: number
  /** No operation starts after this instant. */
  readonly startUntil: Deadline
  /** With so many open operations, further arrivals are skipped and counted. */
  readonly maxOpen: number
  readonly pacing: ArrivalPacing
  /** Ends the stream before its other bounds once it says so. */
  readonly isStopped?: () => boolean
}

/** What became of the arrivals. */
export interface LoadTotals {
  readonly started: number
  /** Arrivals that found `maxOpen` operations open; a run with any is not a valid measurement. */
  readonly skipped: number
}

/** How close to an arrival spinning begins; timers are no more exact than this. */
const SPIN_WITHIN_MS = 2

function waitTurn (): Promise<void> {
  return new Promise((resolve) => { setImmediate(resolve) })
}

async function waitSpinning (clock: IClock, at: Instant): Promise<void> {
  await waitUntil(clock, at - SPIN_WITHIN_MS)
  while (clock.now() < at) await waitTurn()
}

type ArrivalWait = (clock: IClock, at: Instant) => Promise<void>

const WAIT_BY_PACING: Readonly<Record<ArrivalPacing, ArrivalWait>> = {
  [ArrivalPacing.Timer]: waitUntil,
  [ArrivalPacing.Spin]: waitSpinning
}

/**
 * Runs one open-loop stream of operations.
 * @param options its bounds and pace
 * @param runOperation what to do at each arrival
 * @returns when the last operation has ended, what became of the arrivals
 */
export async function runOpenLoop (options: LoadOptions, runOperation: OperationRunner): Promise<LoadTotals> {
  const { clock, random, ratePerSecond, maxOperations, startUntil, maxOpen } = options
  const waitForArrival = WAIT_BY_PACING[options.pacing]
  const arrivals = new PoissonArrivals(random, ratePerSecond, clock.now())
  const open = new Set<Promise<void>>()
  let started = 0
  let skipped = 0
  while (started + skipped < maxOperations && arrivals.peekNext() < startUntil && options.isStopped?.() !== true) {
    const intendedStart = arrivals.takeNext()
    await waitForArrival(clock, intendedStart)
    if (open.size >= maxOpen) {
      skipped += 1
      continue
    }
    started += 1
    const running: Promise<void> = runOperation(intendedStart).finally(() => open.delete(running))
    open.add(running)
  }
  await Promise.all(open)
  return { started, skipped }
}
