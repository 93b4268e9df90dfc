import assert from 'node:assert/strict'
import { it } from 'node:test'
import fc from 'fast-check'
import { DeploymentName } from '../../../src/common/load/mixes.js'
import { FaultStepKind } from '../../../src/node/deployment/faultSteps.js'
import { AnswerFault, RequestFault } from '../../../src/node/standIns/upstream/workerFaults.js'
import { runWithFaults } from './faultRun.js'

const MAX_STEPS = 5
const MAX_FAULT_PART = 0.1

function buildParts<Fault extends string> (faults: readonly Fault[]): fc.Arbitrary<Partial<Record<Fault, number>>> {
  const part = fc.double({ min: 0, max: MAX_FAULT_PART, noNaN: true })
  return fc.record(Object.fromEntries(faults.map((fault) => [fault, part])) as Record<Fault, typeof part>, { requiredKeys: [] }) as fc.Arbitrary<Partial<Record<Fault, number>>>
}

const PART = fc.double({ min: 0, max: 0.9, noNaN: true })
const STEP = fc.record({ kind: fc.constantFrom(...Object.values(FaultStepKind)), target: PART, from: PART, span: PART })
// Of each kind at most one, so that the end of one step does not end another.
const SCHEDULE = fc.uniqueArray(STEP, { maxLength: MAX_STEPS, selector: ({ kind }) => kind })
  // Crash and stop of one entry VM must not meet.
  .map((steps) => steps.map((step) => ({ ...step, target: step.kind === FaultStepKind.EntryCrash ? 0 : step.target / 2 + 0.5 })))
// Hung and late answers would only make each run as long as a caller's patience.
const WORKER_FAULTS = fc.record({
  requestFaults: buildParts([RequestFault.Refuse, RequestFault.RefuseAfterBody, RequestFault.Reset]),
  answerFaults: buildParts(Object.values(AnswerFault).filter((fault) => fault !== AnswerFault.Late))
})

it('keeps every promise whatever fails, and whenever', async () => {
  // Whatever breaks, in whatever order and overlap, at worst a caller sees an error
  // that says truly whether its request ran. A schedule that breaks a promise is
  // printed with its seed and shrunk to the faults that are needed for it.
  const run = fc.record({ seed: fc.nat(1000), steps: SCHEDULE, workerFaults: WORKER_FAULTS })
  await fc.assert(fc.asyncProperty(run, async ({ seed, steps, workerFaults }) => {
    const { violations } = await runWithFaults({
      deployment: DeploymentName.Guild, seed, entries: 3, requests: 8, ratePerSecond: 120, workerFaults, steps
    })
    assert.deepEqual(violations, [])
  }), { seed: 42, numRuns: 5, endOnFailure: true })
})
