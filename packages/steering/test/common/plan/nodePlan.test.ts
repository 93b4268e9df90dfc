/** Tests what a node does on its own while the agreed plan is stalled. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { addMeasurement, NO_MEASUREMENTS, setMembers } from '../../../src/common/plan/measurements.js'
import { createNodeService, type NodeService, PLAN_STALL_TIMEOUT_MS, stepNodeService } from '../../../src/common/plan/nodePlan.js'
import { getPlaceKey, RECOVERY_DELAY_MS } from '../../../src/common/plan/placeFailures.js'
import { computeTargetPlan } from '../../../src/common/plan/servicePlan.js'
import { buildSampleConfiguration } from '../sampleConfiguration.js'
import { SERVICE } from './planArbitraries.js'

const DOMAIN = 'klang-a'
const NODE = 'n0'

function stepPastStallTimeout (failedUntil: number): { before: NodeService, after: NodeService } {
  const configuration = buildSampleConfiguration()
  const { weights } = computeTargetPlan(configuration, SERVICE, new Set())
  const agreed = { service: SERVICE, version: 1, epoch: 1, configurationVersion: 1, isEmergency: false, steppedAtWallMs: 0, warmingFromWallMs: {}, weights }
  const before = { ...createNodeService(weights, agreed, 0), inForceVersion: 1 }
  const now = PLAN_STALL_TIMEOUT_MS + 1
  const measured = { nodeId: NODE, measuredAt: now, inForce: { [SERVICE]: 1 }, demand: { [SERVICE]: { klang: 1 } } }
  const measurements = addMeasurement(setMembers(NO_MEASUREMENTS, [{ nodeId: NODE, isLive: true }]), measured)
  const after = stepNodeService(before, { service: SERVICE, configuration, failedUntil: new Map([[getPlaceKey(SERVICE, DOMAIN), failedUntil]]), utilization: {}, measurements }, now)
  return { before, after }
}

describe('stepNodeService while the agreed plan is stalled', () => {
  it('leaves a failing place, and stays at one that failed briefly and is healthy again', () => {
    // Failure: draining a failure domain took three times as long as its caps require.
    // An entry VM lost probes while it started. The place was healthy a second later, but
    // counted as recovered only after RECOVERY_DELAY_MS. PLAN_STALL_TIMEOUT_MS after the
    // last version, the VM left the place anyway, and the next drain had to wait until the
    // VM had returned in capped steps.
    assert.ok(stepPastStallTimeout(Infinity).after.isAway)
    const { before, after } = stepPastStallTimeout(PLAN_STALL_TIMEOUT_MS + RECOVERY_DELAY_MS)
    assert.equal(after.isAway, false)
    assert.deepEqual(after.inForce, before.inForce)
  })
})
