import assert from 'node:assert/strict'
import { it } from 'node:test'
import { Agent, request } from 'undici'
import { AnswerFault, RequestFault } from '../../../src/node/standIns/upstream/workerFaults.js'
import { countOpenResources } from '../openResources.js'
import { EntryUnderTest, PLAIN_SERVICE } from './entryUnderTest.js'

// Guards against connections and timers that outlive a daemon's graceful shutdown.
it('a daemon leaves no connection and no timer open after its shutdown', { timeout: 60_000 }, async () => {
  const before = countOpenResources()
  const entry = await EntryUnderTest.start()
  const agent = new Agent()
  for (const faults of [{}, { requestFaults: { [RequestFault.Reset]: 1 } }, { answerFaults: { [AnswerFault.ResetBeforeFirstByte]: 1 } }, { requestFaults: { [RequestFault.Hang]: 1 } }]) {
    entry.platform.fleet.setFaults({ requestFaults: {}, answerFaults: {}, ...faults })
    const { body } = await request(entry.getUrl(PLAIN_SERVICE, '/work'), { dispatcher: agent, headers: { 'umberspar-timeout-ms': '500' } })
    await body.dump()
  }
  await agent.close()
  await entry.close()
  await entry.waitFor(() => countOpenResources().connections === before.connections && countOpenResources().timers <= before.timers + 1)
  // The wait itself has a timer; the test runner's own stay.
  assert.ok(countOpenResources().timers <= before.timers, `${countOpenResources().timers} timers`)
})
