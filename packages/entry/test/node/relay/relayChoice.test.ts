import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import type { EntryNode } from '@umberspar/steering/common/entry/records'
import { WorkerLinks } from '@umberspar/steering/common/entry/workers/workerLinks'
import type { EntryContext } from '../../../src/node/front/entryContext.js'
import { chooseRelayPath } from '../../../src/node/relay/relayChoice.js'
import { EndReason } from '../../../src/node/telemetry/requestOutcomes.js'

const NODE: EntryNode = { name: 'vm-2', address: '127.0.0.1:1', peerAddress: '127.0.0.1:2', domain: 'north-1' }
const QUERY = { service: 'archive', homeRegions: [], relays: 0, isRelayed: false }

describe('the way of a request whose service is disconnected', () => {
  let links: WorkerLinks
  let node: EntryNode | undefined
  let context: EntryContext

  beforeEach(() => {
    links = new WorkerLinks(() => 12, () => {})
    for (const worker of ['w-1', 'w-2', 'w-3']) links.recordOpenFailure('archive', worker, 999, 1_000, true)
    node = NODE
    context = { links, location: {}, relayPeers: { choose: () => node } } as unknown as EntryContext
  })

  it('is another VM, twice at most', () => {
    assert.equal(chooseRelayPath(context, QUERY, 1_010), NODE)
    assert.equal(chooseRelayPath(context, { ...QUERY, relays: 1 }, 1_010), NODE)
    assert.equal(chooseRelayPath(context, { ...QUERY, relays: 2 }, 1_010), EndReason.NoWorker)
  })

  it('is not a third VM', () => {
    links.recordResponse('archive', 1_005, 'w-4')
    assert.equal(chooseRelayPath(context, { ...QUERY, isRelayed: true }, 1_010), EndReason.RelayUnable)
  })

  // Guards against VMs that refuse each other's requests while workers answer all of them.
  it('is an own worker if no other VM can take it and workers answer on kept connections', () => {
    node = undefined
    assert.equal(chooseRelayPath(context, QUERY, 1_010), EndReason.NoWorker)
    links.recordResponse('archive', 1_105, 'w-4')
    assert.equal(chooseRelayPath(context, QUERY, 1_110), undefined)
    assert.equal(chooseRelayPath(context, QUERY, 9_000), EndReason.NoWorker)
  })
})
