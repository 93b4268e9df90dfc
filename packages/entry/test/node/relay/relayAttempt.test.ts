import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { DomainRoundTrips } from '@umberspar/steering/common/entry/placement/domainRoundTrips'
import type { EntryNode } from '@umberspar/steering/common/entry/records'
import type { AttemptResult } from '../../../src/node/front/attempt.js'
import type { BufferedRequest } from '../../../src/node/front/bufferedRequest.js'
import type { EntryContext } from '../../../src/node/front/entryContext.js'
import { RelayAttempt } from '../../../src/node/relay/relayAttempt.js'
import { AttemptOutcome } from '../../../src/node/telemetry/requestOutcomes.js'
import { OpenFailure, type OpenListener } from '../../../src/node/upstream/upstreamPool.js'

const NODE: EntryNode = { name: 'vm-2', address: '127.0.0.1:1', peerAddress: '127.0.0.1:2', domain: 'north-1' }

describe('an attempt by way of another VM to which no connection is opened', () => {
  let clock: ManualClock
  let unreachable: string[]
  let isLate: boolean
  let results: AttemptResult[]

  beforeEach(() => {
    clock = new ManualClock()
    unreachable = []
    isLate = false
    results = []
  })

  function fail (failure: OpenFailure, openMs: number, limitMs = 1_000): void {
    const context = {
      clock,
      roundTrips: new DomainRoundTrips('north-1', new Map([['north-1', 'north']])),
      relayPeers: {
        startRequest: () => () => {},
        getPool: () => ({
          open: (_maxConnections: number, _deadline: number, onOpen: OpenListener) => {
            clock.stepBy(openMs)
            onOpen(failure, openMs)
          }
        }),
        recordUnreachable: ({ name }: EntryNode) => { unreachable.push(name) }
      },
      eventLoop: { isLate: () => isLate },
      telemetry: { logRelayEnd: () => {} }
    } as unknown as EntryContext
    new RelayAttempt(context, { requestId: 'id-1' } as unknown as BufferedRequest, NODE, 'archive', 0, clock.now() + limitMs, {
      mayStillSend: () => true,
      onSent: () => {},
      onStreamStart: () => false,
      onStreamData: () => {},
      onEnd: (result) => { results.push(result) }
    }).start()
    assert.deepEqual(results.map(({ outcome }) => outcome), [AttemptOutcome.NotSent])
  }

  it('says that the VM can\'t be reached if it refuses', () => {
    isLate = true
    fail(OpenFailure.Refused, 1, 100)
    assert.deepEqual(unreachable, ['vm-2'])
  })

  it('says that the VM can\'t be reached if it does not answer in time', () => {
    fail(OpenFailure.TimedOut, 300)
    assert.deepEqual(unreachable, ['vm-2'])
  })

  // Guards against a VM that is avoided because it serves many relayed requests already.
  it('says nothing about the VM if all connections to it are in use', () => {
    fail(OpenFailure.Full, 0)
    assert.deepEqual(unreachable, [])
  })

  // Guards against a VM that is avoided because a caller's deadline was near.
  it('says nothing about the VM if the deadline cut the opening short', () => {
    fail(OpenFailure.TimedOut, 100, 100)
    assert.deepEqual(unreachable, [])
  })

  // Guards against a VM that is avoided because this one could not read.
  it('says nothing about the VM if the event loop is late', () => {
    isLate = true
    fail(OpenFailure.TimedOut, 300)
    assert.deepEqual(unreachable, [])
  })
})
