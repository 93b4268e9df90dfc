import assert from 'node:assert/strict'
import { afterEach, describe, it } from 'node:test'
import { createDeadline } from '@umberspar/base/common/deadline'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { NULL_LOGGER } from '@umberspar/base/common/logger'
import { SystemClock } from '@umberspar/base/node/systemClock'
import type { Heartbeat, IPeerService, LoanRequest, LoanReturn, PeerDocument } from '@umberspar/steering/common/ports/peers'
import { NodeState } from '@umberspar/steering/common/state/nodeState'
import { CHUNK_BYTES, DocumentAssembler, MAX_DOCUMENT_BYTES, splitDocument } from '../../../src/node/peers/documentChunks.js'
import { PeerClient } from '../../../src/node/peers/peerClient.js'
import { PeerServer } from '../../../src/node/peers/peerServer.js'

const TEST_TIMEOUT_MS = 60_000
const clock = new SystemClock()
const document = { name: 'configuration', version: 5, digest: 'ab', changeId: 'c' }
const cleanUpSteps: Array<() => Promise<void> | void> = []

afterEach(async () => {
  for (const cleanUp of cleanUpSteps.splice(0).reverse()) await cleanUp()
})

/** Records what it receives. */
class FakePeerService implements IPeerService {
  storedDocument: PeerDocument | undefined
  readonly digests: Heartbeat[] = []
  readonly loans: LoanRequest[] = []
  readonly returns: LoanReturn[] = []

  exchange (digest: Heartbeat): Heartbeat {
    this.digests.push(digest)
    return { ...digest, nodeId: 'answering' }
  }

  fetch (name: string, aboveVersion: number): PeerDocument | undefined {
    if (name === 'broken') throw new StepError({ code: ErrorCode.NotFound, step: 'find-document', peer: 'local', message: 'no such document' })
    return this.storedDocument !== undefined && this.storedDocument.document.version > aboveVersion ? this.storedDocument : undefined
  }

  async push (pushed: PeerDocument): Promise<number> {
    this.storedDocument = pushed
    return pushed.document.version
  }

  borrow (request: LoanRequest): { loanId: string, slots: number, connections: number, deadline: number } {
    this.loans.push(request)
    return { loanId: request.loanId, slots: 1, connections: 2, deadline: request.deadline }
  }

  returnLoan (loan: LoanReturn): void {
    this.returns.push(loan)
  }
}

async function openConnectedPair (service: IPeerService): Promise<{ client: PeerClient, server: PeerServer, address: string }> {
  const server = new PeerServer({ address: '127.0.0.1:0', service, clock, logger: NULL_LOGGER })
  const port = await server.listen()
  assert.ok(port.ok)
  const client = new PeerClient({ clock })
  cleanUpSteps.push(() => server.close(), () => { client.close() })
  return { client, server, address: `127.0.0.1:${port.val}` }
}

function createTestDeadline (): number {
  return createDeadline(clock.now(), TEST_TIMEOUT_MS)
}

function createDocument (size: number): PeerDocument {
  return { document, body: Uint8Array.from({ length: size }, (_value, index) => index % 251) }
}

describe('peers over gRPC', () => {
  it('pushes and fetches documents of several chunks, and fetches nothing if the peer has no higher version', async () => {
    const { client, address } = await openConnectedPair(new FakePeerService())
    for (const size of [0, 1, CHUNK_BYTES, 5 * CHUNK_BYTES + 17]) {
      const sent = createDocument(size)
      const pushed = await client.push(address, sent, createTestDeadline())
      assert.equal(pushed.val, 5)
      const fetched = await client.fetch(address, 'configuration', 4, createTestDeadline())
      assert.ok(fetched.ok)
      assert.deepEqual(fetched.val?.document, document)
      assert.ok(Buffer.from(fetched.val?.body ?? []).equals(Buffer.from(sent.body)))
    }
    const none = await client.fetch(address, 'configuration', 5, createTestDeadline())
    assert.ok(none.ok)
    assert.equal(none.val, undefined)
  })

  it('exchanges digests without making a measurement look newer', async () => {
    const service = new FakePeerService()
    const { client, address } = await openConnectedPair(service)
    const measuredAt = clock.now()
    const report = { workerId: 'w', utilization: 0.5, inFlight: 3, measuredAt, isDraining: false, isHealthy: true, isStarting: false, isProbed: true, hasLoad: true }
    const member = { nodeId: 'third', incarnation: 4, beat: 7, state: NodeState.Live as const, documents: [document], demand: [], isSuspected: true }
    const digest: Heartbeat = { nodeId: 'asking', state: NodeState.Leaving, incarnation: 2, documents: [document], demand: [], workers: [report], region: 'r', failureDomain: 'd', beat: 9, members: [member], confirmedAt: measuredAt }
    const response = await client.exchange(address, digest, createTestDeadline())
    assert.ok(response.ok)
    const [received] = service.digests
    assert.deepEqual([received?.nodeId, received?.state, received?.incarnation, received?.documents], ['asking', NodeState.Leaving, 2, [document]])
    assert.equal(response.val.nodeId, 'answering')
    assert.deepEqual([received?.beat, received?.members], [9, [member]])
    assert.ok(received?.confirmedAt !== undefined && received.confirmedAt <= clock.now())
    const returned = response.val.workers[0]
    assert.ok(returned !== undefined && returned.measuredAt <= measuredAt + 1)
    assert.deepEqual({ ...returned, measuredAt }, report)
  })

  it('gives the borrower a deadline no later than the lender’s', async () => {
    // Each side of a loan measures its duration on its own clock. If the loan ended later
    // for the borrower, both would briefly use the same slots and overload the worker.
    const service = new FakePeerService()
    const { client, address } = await openConnectedPair(service)
    const request = { borrowerId: 'b', loanId: 'l', workerId: 'w', slots: 2, connections: 2, deadline: createTestDeadline() }
    const response = await client.borrow(address, request, createTestDeadline())
    assert.ok(response.ok)
    const lenderDeadline = service.loans[0]?.deadline ?? 0
    assert.ok(response.val.deadline <= lenderDeadline)
    assert.ok((await client.returnLoan(address, { borrowerId: 'b', loanId: 'l' }, createTestDeadline())).ok)
    assert.deepEqual(service.returns, [{ borrowerId: 'b', loanId: 'l' }])
  })

  it('reports refused calls, lost responses and unreachable peers, with step and peer', async () => {
    const service = new FakePeerService()
    const { client, server, address } = await openConnectedPair(service)
    const refused = await client.fetch(address, 'broken', 0, createTestDeadline())
    assert.ok(refused.err)
    assert.deepEqual([refused.val.code, refused.val.step, refused.val.peer], [ErrorCode.NotFound, 'peer-fetch', address])
    service.push = () => Promise.reject(new Error('fault'))
    const ambiguous = await client.push(address, createDocument(3 * CHUNK_BYTES), createTestDeadline())
    assert.ok(ambiguous.err)
    assert.equal(ambiguous.val.code, ErrorCode.EffectUnknown)
    client.closePeer(address)
    await server.close()
    const unreachable = await client.push(address, createDocument(1), createTestDeadline())
    assert.ok(unreachable.err)
    assert.equal(unreachable.val.code, ErrorCode.Unavailable)
  })
})

describe('DocumentAssembler', () => {
  it('rejects documents that are out of order, incomplete or too large', () => {
    const [first, second] = [...splitDocument(createDocument(2 * CHUNK_BYTES))]
    assert.ok(first !== undefined && second !== undefined)
    const assertRefused = (code: ErrorCode, step: () => void): void => {
      assert.throws(step, (error: unknown) => error instanceof StepError && error.code === code)
    }
    assertRefused(ErrorCode.Invalid, () => { new DocumentAssembler('p').add(second) })
    const incomplete = new DocumentAssembler('p')
    incomplete.add(first)
    assertRefused(ErrorCode.Invalid, () => { incomplete.build() })
    assertRefused(ErrorCode.Invalid, () => { incomplete.add({ ...second, document: { ...document, version: 6n } }) })
    assertRefused(ErrorCode.Exhausted, () => { incomplete.add({ ...second, data: Buffer.alloc(MAX_DOCUMENT_BYTES) }) })
  })
})
