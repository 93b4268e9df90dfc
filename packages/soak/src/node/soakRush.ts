/** A rush: the workers of a service slow down, and the greedy account sends many times its usual requests to it. */
import type { Instant } from '@umberspar/base/common/clock'
import { AnswerKind } from '@umberspar/testing/common/history/historyEvent'
import { isDenied, isPromisedNotRun, sendCall } from '@umberspar/testing/node/standIns/usersPlatform/platformClient'
import { waitUntil } from '@umberspar/testing/node/waiting'
import { GREEDY_ACCOUNT, GREEDY_AUTHORIZATION } from '../common/soakAccounts.js'
import type { SoakStep } from '../common/soakPlan.js'
import { SoakRule } from '../common/soakRule.js'
import type { SoakEnvironment } from './soakSteps.js'

/** Part of the service's capacity that the greedy account asks for, which makes it many times what the callers ask. */
const GREEDY_RATIO = 1.5
const RUSH_WORK_MS = 150
const SLOTS = 4
const DEADLINE_MS = 1_500
/** Duration of a rush beyond that of its step, and the time after its start in which entry VMs notice it. */
const RUSH_MS = 2_500
const ONSET_MS = 500

let sequence = 0

async function sendGreedy ({ checker, entries, paths }: SoakEnvironment): Promise<void> {
  const { Prefix: prefix, Service: service = '', Priority: priority } = paths[0]!
  const { callers } = entries.list[++sequence % entries.list.length]!.settings.listen
  const requestId = `greedy-${sequence}`
  const path = `${prefix}greedy-${sequence}`
  checker.recordSent({ requestId, operationId: requestId, service, isIdempotent: true, path, method: 'GET', bodyLength: 0, entry: callers, account: GREEDY_ACCOUNT.Name, priority })
  try {
    const { status } = await sendCall(entries.getConnectAddress(callers), { path, id: requestId, key: path, deadlineMs: DEADLINE_MS, headers: { Authorization: GREEDY_AUTHORIZATION }, signal: AbortSignal.timeout(DEADLINE_MS) })
    if (isDenied(status)) checker.report(SoakRule.Denied, requestId, `status ${status}`)
    checker.recordAnswer(requestId, status === 200 ? AnswerKind.Complete : isPromisedNotRun(status) ? AnswerKind.NotRun : AnswerKind.Unknown, `greedy, status ${status}`)
  } catch (error) {
    checker.recordAnswer(requestId, AnswerKind.Failed, `greedy, ${String(error)}`)
  }
}

async function sendAll (environment: SoakEnvironment, workerCount: number, until: Instant): Promise<void> {
  const { clock } = environment
  const intervalMs = RUSH_WORK_MS / (GREEDY_RATIO * SLOTS * workerCount)
  const open: Array<Promise<void>> = []
  for (let at = clock.now(); at < until; at += intervalMs) {
    await waitUntil(clock, at)
    open.push(sendGreedy(environment))
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
