import { describe, it } from 'node:test'
import { EntryTrial } from '../../../../src/node/clients/entryTrial.js'
import { WorkerFault } from '../../../../src/node/standIns/usersPlatform/platformWorkerStandIn.js'
import type { TrialMachine } from '../../../../src/node/clients/trial.js'
import { checkResult, MACHINE } from './trialChecks.js'

const WORKERS = 8
const CALLERS = 500
const CROWD_ID = 'crowd'
/** As of workers with room for all callers. */
const REPORTED_LOAD = '1,0,60'
/** Just below the length from which an answer is streamed. */
const STALLING_BYTES = 250_000
const STALLING_WORKERS = 24
const STALLING_MACHINE: TrialMachine = { memoryMb: 150, maxDescriptors: 2_048 }
const PATH = '/a/endless'
const HEAD = `GET ${PATH} HTTP/1.1\r\nHost: shop.example\r\nX-Umberspar-Request-Id: ${CROWD_ID}\r\nX-Umberspar-Deadline-Ms: 3000\r\n\r\n`
const FAULTS = [WorkerFault.EndlessBody, WorkerFault.EndlessFailure, WorkerFault.EndlessUnsealed, WorkerFault.EndlessHead, WorkerFault.EndlessTrailers, WorkerFault.EndlessLateExtra]

async function checkAnswers (fault: WorkerFault, reads: boolean, machine: TrialMachine, workers: number, body = ''): Promise<void> {
  const trial = new EntryTrial(machine)
  try {
    await trial.start(undefined, workers)
    for (const worker of trial.workers) Object.assign(worker, { fault, faultPath: PATH, load: REPORTED_LOAD, buildBody: (requestId: string) => requestId === CROWD_ID ? body : 'ok' })
    checkResult(await trial.run({ address: trial.settings.listen.callers, connections: CALLERS, reads, bytes: { first: HEAD } }), machine)
  } finally {
    await trial.close()
  }
}

// Guards against answers that are kept without a limit on all of them together.
describe('many answers without end at a time', { timeout: 900_000 }, () => {
  for (const reads of [true, false]) {
    for (const fault of FAULTS) {
      it(`do not exhaust the process: ${fault}, to callers that ${reads ? 'read' : 'do not read'}`, async () => {
        await checkAnswers(fault, reads, MACHINE, WORKERS)
      })
    }

    it(`do not exhaust the process: long ones that stall, to callers that ${reads ? 'read' : 'do not read'}`, async () => {
      await checkAnswers(WorkerFault.Stalled, reads, STALLING_MACHINE, STALLING_WORKERS, 'x'.repeat(STALLING_BYTES))
    })
  }
})
