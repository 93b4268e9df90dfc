/** A rush: the workers of a service slow down, and a greedy account sends many requests to it. */
import type { Instant } from '@umberspar/base/common/clock'
import { waitUntil } from '@umberspar/testing/node/waiting'
import type { SoakStep } from '../common/soakPlan.js'
import type { SoakEnvironment } from './soakSteps.js'

/** Part of the service's capacity that the greedy account asks for, without its repeats; many times what the callers ask. */
const GREEDY_RATIO = 1
const RUSH_WORK_MS = 150
const SLOTS = 4
/** Duration of a rush beyond that of its step, and the time after its start in which entry VMs notice it. */
const RUSH_MS = 2_500
const ONSET_MS = 500

async function sendAll ({ clock, greedyCallers }: SoakEnvironment, workerCount: number, until: Instant): Promise<void> {
  const intervalMs = RUSH_WORK_MS / (GREEDY_RATIO * SLOTS * workerCount)
  const open: Array<Promise<void>> = []
  for (let at = clock.now(); at < until; at += intervalMs) {
    await waitUntil(clock, at)
    open.push(greedyCallers[open.length % greedyCallers.length]!.run())
  }
  await Promise.all(open)
}

/**
 * Runs a rush at the service of the first route; shares are checked in phases with planned maintenance only.
 * @param environment the objects that it acts on
 * @param step its step
 * @returns whether it ran, when it is over and all its requests are answered; false while another one runs
 */
export async function runRush (environment: SoakEnvironment, { atMs, spanMs }: SoakStep): Promise<boolean> {
  const { clock, checker, workers, paths, phases } = environment
  if (environment.isRushing) return false
  environment.isRushing = true
  const now = clock.now()
  if (phases.some(({ fromMs, untilMs, isPlanned }) => isPlanned && atMs >= fromMs && atMs < untilMs)) checker.startRush(now + ONSET_MS)
  const slowed = workers.list().filter(({ service }) => service === paths[0]!.Service).map(({ worker }) => ({ worker, workMs: worker.workMs }))
  for (const { worker } of slowed) Object.assign(worker, { workMs: RUSH_WORK_MS, slots: SLOTS })
  await sendAll(environment, slowed.length, now + RUSH_MS + spanMs)
  for (const { worker, workMs } of slowed) Object.assign(worker, { workMs, slots: undefined })
  checker.endRush()
  environment.isRushing = false
  return true
}
