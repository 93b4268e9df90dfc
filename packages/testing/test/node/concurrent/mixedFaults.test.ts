import assert from 'node:assert/strict'
import { it } from 'node:test'
import { AnswerKind } from '../../../src/common/history/historyEvent.js'
import { DeploymentName } from '../../../src/common/load/mixes.js'
import { FaultStepKind } from '../../../src/node/deployment/faultSteps.js'
import type { FaultStep } from '../../../src/node/deployment/faultSteps.js'
import { AnswerFault, RequestFault } from '../../../src/node/standIns/upstream/workerFaults.js'
import { runWithFaults } from './faultRun.js'

const WORKER_FAULTS = {
  requestFaults: { [RequestFault.Refuse]: 0.05, [RequestFault.RefuseAfterBody]: 0.03, [RequestFault.Reset]: 0.03 },
  answerFaults: {
    [AnswerFault.ResetBeforeFirstByte]: 0.03,
    [AnswerFault.ResetAfterFirstByte]: 0.03,
    [AnswerFault.ShortOfContentLength]: 0.03,
    [AnswerFault.UnfinishedChunks]: 0.03,
    [AnswerFault.MalformedChunk]: 0.03,
    [AnswerFault.Trickled]: 0.03
  }
}

const STEPS: readonly FaultStep[] = [
  { kind: FaultStepKind.EntryCrash, target: 0.1, from: 0.05, span: 0.2 },
  { kind: FaultStepKind.EntryStop, target: 0.9, from: 0.1, span: 0.4 },
  { kind: FaultStepKind.StoreLostAnswers, target: 0, from: 0.15, span: 0.2 },
  { kind: FaultStepKind.WorkerLoss, target: 0.3, from: 0.2, span: 0.3 },
  { kind: FaultStepKind.WorkerDrain, target: 0.5, from: 0.25, span: 0.3 },
  { kind: FaultStepKind.WorkerSlow, target: 0.7, from: 0.3, span: 0.3 },
  { kind: FaultStepKind.ServiceSlow, target: 0.3, from: 0.35, span: 0.3 },
  { kind: FaultStepKind.StoreOutage, target: 0, from: 0.5, span: 0.2 }
]

for (const deployment of Object.values(DeploymentName)) {
  it(`keeps every promise of ${deployment} while entry VMs, workers and the store fail together`, async () => {
    // A parent pays while one entry VM crashes, another is stopped as planned,
    // the store loses its answers and then is gone, and workers refuse, reset, cut
    // short, drain and vanish, and one service is so slow that its slots run out. The parent may see an error; but no payment runs
    // twice, no "not-run" ran, no answer is short or another's, no worker is sent
    // more than its slots, and the planned stop cuts off nothing.
    const { violations, answers, planted } = await runWithFaults({
      deployment, seed: 5, entries: 6, requests: 40, ratePerSecond: 120, workerFaults: WORKER_FAULTS, steps: STEPS
    })
    assert.deepEqual(violations, [])
    // The run would prove nothing if the faults had not come about.
    assert.ok(answers.has(AnswerKind.Complete) && answers.has(AnswerKind.NotRun))
    assert.ok(planted.size >= Object.keys(WORKER_FAULTS.answerFaults).length)
  })
}
