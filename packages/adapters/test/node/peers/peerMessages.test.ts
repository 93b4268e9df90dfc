import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { NodeState } from '@umberspar/steering/common/state/nodeState'
import { decodeDigest, encodeDigest } from '../../../src/node/peers/peerMessages.js'

// Guards against a faulty daemon that reports NaN as a load. Every comparison with NaN is
// false and every sum with it is NaN, so all nodes that receive the report would choose among
// the workers of an upstream in that failure domain at random, and their sums of demand
// would be NaN.
test('rejects a digest that contains a negative or non-finite value', () => {
  const worker = { workerId: 'w', utilization: 0.5, inFlight: 1, measuredAt: 0, isDraining: false, isHealthy: true, isStarting: false, isProbed: true, hasLoad: true }
  const demand = { service: 's', clientRegion: 'r', concurrency: 1, measuredAt: 0 }
  const digest = { nodeId: 'a', region: 'r', failureDomain: 'f', incarnation: 1, state: NodeState.Live as const, documents: [], workers: [worker], demand: [demand], beat: 1, members: [], confirmedAt: undefined }
  const member = { nodeId: 'b', incarnation: 1, beat: 1, state: NodeState.Live as const, documents: [], isSuspected: false }
  const decode = (changes: object): unknown => decodeDigest(encodeDigest({ ...digest, ...changes }, 10), 10, 'peer')
  assert.deepEqual(decode({}), { ...digest })
  for (const figure of [NaN, Infinity, -Infinity, -0.1]) {
    for (const changes of [{ workers: [worker, { ...worker, utilization: figure }] }, { demand: [{ ...demand, concurrency: figure }] }, { members: [{ ...member, demand: [{ ...demand, concurrency: figure }] }] }]) {
      assert.throws(() => decode(changes), (thrown) => thrown instanceof StepError && thrown.code === ErrorCode.Invalid)
    }
  }
})
