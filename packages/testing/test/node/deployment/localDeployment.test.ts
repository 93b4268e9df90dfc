import assert from 'node:assert/strict'
import { it } from 'node:test'
import { AnswerKind, HistoryEventKind } from '../../../src/common/history/historyEvent.js'
import { checkHistory } from '../../../src/common/history/historyChecker.js'
import { DeploymentName, MIX_BY_DEPLOYMENT } from '../../../src/common/load/mixes.js'
import { LocalDeployment } from '../../../src/node/deployment/localDeployment.js'
import { RegionalLoad } from '../../../src/node/load/regionalLoad.js'
import { AnswerFault, RequestFault } from '../../../src/node/standIns/upstream/workerFaults.js'

const SEED = 11
const READY_WITHIN_MS = 60_000
const REQUESTS = 15
const RATE = 120

it('keeps the promises of every request while workers refuse, reset and truncate', async () => {
  // Workers refuse some requests, reset others before and after they ran, and cut
  // some answers short. A caller may see an error, but never a part of an answer
  // that looks whole, never "not-run" for what ran, and no payment runs twice.
  const deployment = await LocalDeployment.start({ deployment: DeploymentName.Teratai, seed: SEED, entries: 6 })
  try {
    assert.ok(await deployment.waitUntilReady(READY_WITHIN_MS))
    deployment.platform.fleet.setFaults({
      requestFaults: { [RequestFault.Refuse]: 0.05, [RequestFault.RefuseAfterBody]: 0.02, [RequestFault.Reset]: 0.02 },
      answerFaults: {
        [AnswerFault.ResetBeforeFirstByte]: 0.02,
        [AnswerFault.ResetAfterFirstByte]: 0.02,
        [AnswerFault.ShortOfContentLength]: 0.02,
        [AnswerFault.UnfinishedChunks]: 0.02,
        [AnswerFault.MalformedChunk]: 0.02
      }
    })
    const load = new RegionalLoad({
      clock: deployment.clock,
      seed: SEED,
      configuration: deployment.configuration,
      mixes: MIX_BY_DEPLOYMENT[DeploymentName.Teratai],
      bootstrapAddresses: deployment.listCallerAddresses(),
      ratePerSecond: RATE,
      quota: REQUESTS,
      startUntil: Infinity,
      history: deployment.history
    })
    const totals = await load.run()
    await load.close()
    deployment.recordConnectionPeaks()
    assert.deepEqual(totals, { started: load.countPlanned(), skipped: 0 })
    assert.deepEqual(checkHistory(deployment.history.events), [])
    // The run would prove nothing if the faults had not reached the callers.
    const answers = deployment.history.events.flatMap((event) => event.kind === HistoryEventKind.Answered ? [event.answer] : [])
    assert.ok(answers.some((answer) => answer === AnswerKind.Complete))
    assert.ok(answers.some((answer) => answer !== AnswerKind.Complete))
  } finally {
    await deployment.close()
  }
})
