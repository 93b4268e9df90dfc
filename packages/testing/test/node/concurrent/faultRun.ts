/** One run of a deployment in one process under faults, checked to its end. */
import assert from 'node:assert/strict'
import { AnswerKind, HistoryEventKind } from '../../../src/common/history/historyEvent.js'
import { checkHistory } from '../../../src/common/history/historyChecker.js'
import type { Violation } from '../../../src/common/history/violation.js'
import { DeploymentName, MIX_BY_DEPLOYMENT } from '../../../src/common/load/mixes.js'
import { runFaultSteps } from '../../../src/node/deployment/faultSteps.js'
import type { FaultStep } from '../../../src/node/deployment/faultSteps.js'
import { LocalDeployment } from '../../../src/node/deployment/localDeployment.js'
import { LoopClock } from '../../../src/node/loopClock.js'
import { RegionalLoad } from '../../../src/node/load/regionalLoad.js'
import type { WorkerFaults } from '../../../src/node/standIns/upstream/workerFaults.js'

/** What a run does; equal runs give equal verdicts. */
export interface FaultRun {
  readonly deployment: DeploymentName
  readonly seed: number
  readonly entries: number
  /** Of each service from each region. */
  readonly requests: number
  readonly ratePerSecond: number
  readonly workerFaults: Partial<WorkerFaults>
  readonly steps: readonly FaultStep[]
}

/** What a run showed. */
export interface FaultRunResult {
  readonly violations: readonly Violation[]
  /** How attempts ended. */
  readonly answers: ReadonlySet<AnswerKind>
  /** Faults that workers planted. */
  readonly planted: ReadonlySet<string>
}

const READY_WITHIN_MS = 60_000
const STEPS_WITHIN_MS = 60_000

/**
 * Starts a deployment, sends the load beside the faults and checks the history.
 * @param run what to do
 * @returns what it showed, once everything is closed
 */
export async function runWithFaults (run: FaultRun): Promise<FaultRunResult> {
  const clock = new LoopClock()
  const deployment = await LocalDeployment.start({ deployment: run.deployment, seed: run.seed, entries: run.entries, clock })
  try {
    assert.ok(await deployment.waitUntilReady(READY_WITHIN_MS), 'the daemons see each other')
    deployment.platform.fleet.setFaults(run.workerFaults)
    const load = new RegionalLoad({
      clock,
      seed: run.seed,
      configuration: deployment.configuration,
      mixes: MIX_BY_DEPLOYMENT[run.deployment],
      bootstrapAddresses: deployment.listCallerAddresses(),
      ratePerSecond: run.ratePerSecond,
      quota: run.requests,
      startUntil: Infinity,
      history: deployment.history
    })
    const [totals] = await Promise.all([load.run(), runFaultSteps(deployment, load, run.steps, STEPS_WITHIN_MS)])
    await load.close()
    assert.deepEqual(totals, { started: load.countPlanned(), skipped: 0 })
    deployment.recordConnectionPeaks()
    const { events } = deployment.history
    const limited = new Set(events.flatMap((event) => event.kind === HistoryEventKind.LimitDeclared ? [event.workerId] : []))
    // A worker whose limits the history does not know would pass with any number of requests.
    assert.ok(events.every((event) => event.kind !== HistoryEventKind.Arrived || limited.has(event.workerId)))
    return {
      violations: checkHistory(events),
      answers: new Set(events.flatMap((event) => event.kind === HistoryEventKind.Answered ? [event.answer] : [])),
      planted: new Set(events.flatMap((event) => event.kind === HistoryEventKind.FaultInjected ? [event.fault] : []))
    }
  } finally {
    await deployment.close()
    clock.close()
  }
}
