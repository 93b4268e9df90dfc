/** Tests claims of Idempotency-Keys with a store that loses, delays and rejects calls, in any order. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { SeededRandom } from '@umberspar/base/common/random'
import { type ClaimAnswer, ClaimAnswerKind, ClaimManager } from '@umberspar/steering/common/dedup/claimManager'
import { ClaimDecision } from '@umberspar/steering/common/dedup/decideClaim'
import { StoreCallBudget } from '@umberspar/steering/common/dedup/storeCallBudget'
import { Outcome } from '@umberspar/steering/common/state/outcome'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { CallOutcome, MemoryStore } from './memoryStore.js'

const SEED = 417
const REQUEST_TIMEOUT_MS = 2_000
const SETTLE_MS = 60_000
const FINGERPRINT = 'POST /assign'

/** The simulated result of a request after it has claimed the key. */
enum SimulatedResult {
  /** An upstream runs the request and answers. */
  Runs = 'runs',
  /** The request runs, but its answer is lost. */
  AnswerLost = 'answer-lost',
  /** All upstreams refuse the request. */
  Refused = 'refused',
  /** The request runs, but the node fails before it can record the outcome. */
  NodeFails = 'node-dies'
}

const OUTCOME_BY_RESULT: Readonly<Record<SimulatedResult, Outcome | undefined>> = {
  [SimulatedResult.Runs]: Outcome.Done,
  [SimulatedResult.AnswerLost]: Outcome.Unknown,
  [SimulatedResult.Refused]: Outcome.NotRun,
  [SimulatedResult.NodeFails]: undefined
}

interface ClusterNode {
  readonly claimManager: ClaimManager
  isRunning: boolean
}

/** Several nodes that share a store and receive requests with the same key. */
class Cluster {
  readonly clock = new ManualClock()
  readonly answers: ClaimAnswer[] = []
  readonly claimedResults: SimulatedResult[] = []
  /** Whether the claim was released in the store when the caller was told `not-run`, by claim id. */
  readonly isReleasedByClaimId = new Map<string, boolean>()
  readonly store: MemoryStore
  private readonly nodes: ClusterNode[]
  private arrivalCount = 0

  constructor (nodeCount: number, waitForTurn: () => Promise<void>, takeCallOutcome: () => CallOutcome) {
    this.store = new MemoryStore(waitForTurn, takeCallOutcome)
    this.nodes = Array.from({ length: nodeCount }, (_, index) => this.createNode(index))
  }

  get runCount (): number {
    return this.claimedResults.filter((result) => result !== SimulatedResult.Refused).length
  }

  async acceptArrival (nodeIndex: number, result: SimulatedResult, fingerprint = FINGERPRINT): Promise<ClaimAnswer | undefined> {
    const node = this.nodes[nodeIndex % this.nodes.length]!
    if (!node.isRunning) return undefined
    const deadline = this.clock.now() + REQUEST_TIMEOUT_MS
    const answer = await node.claimManager.claim({ service: 'escort-svc', keyHash: 'k', fingerprint, claimId: `c${this.arrivalCount++}`, deadline })
    this.answers.push(answer)
    // A node that failed during the claim does not send the request.
    if (answer.kind !== ClaimAnswerKind.Claimed || !node.isRunning) return answer
    this.claimedResults.push(result)
    const outcome = OUTCOME_BY_RESULT[result]
    if (outcome === undefined) this.stopNode(node)
    else if (outcome === Outcome.NotRun) this.isReleasedByClaimId.set(answer.claim.record.claimId, await node.claimManager.release(answer.claim, deadline))
    else node.claimManager.finish(answer.claim, outcome, 200)
    return answer
  }

  /** Waits until all outcomes are recorded in the store, which must work again. */
  async settle (): Promise<void> {
    for (let round = 0; round < 5; round++) await this.clock.runFor(SETTLE_MS)
  }

  /**
   * Adds a new node, as when a VM is replaced.
   * @returns the index of the node
   */
  addNode (): number {
    return this.nodes.push(this.createNode(this.nodes.length)) - 1
  }

  private stopNode (node: ClusterNode): void {
    node.isRunning = false
    node.claimManager.close()
  }

  private createNode (index: number): ClusterNode {
    const { store, clock } = this
    const callBudget = new StoreCallBudget(clock, () => 1, 1000)
    const claimManager = new ClaimManager({ store, clock, random: new SeededRandom(index + 1), calls: callBudget, keyPrefix: '/t/', nodeId: `n${index}`, incarnation: index, onCall: () => {} })
    return { claimManager, isRunning: true }
  }
}

const arrivalsArbitrary = fc.array(fc.tuple(fc.nat(2), fc.constantFrom(...Object.values(SimulatedResult)), fc.nat(3000)), { minLength: 2, maxLength: 8 })
const callOutcomesArbitrary = fc.array(fc.constantFrom(CallOutcome.Succeeds, CallOutcome.Succeeds, ...Object.values(CallOutcome)), { maxLength: 30 })

/** @returns whether the caller was told that it may retry immediately */
function mayRetryImmediately (cluster: Cluster, answer: ClaimAnswer): boolean {
  if (answer.kind === ClaimAnswerKind.Claimed) return cluster.isReleasedByClaimId.get(answer.claim.record.claimId) === true
  return answer.kind === ClaimAnswerKind.StoreUnavailable && answer.isReleased
}

function returnImmediately (): Promise<void> {
  return Promise.resolve()
}

describe('claims of an Idempotency-Key', () => {
  // A payment is retried with the same key at the same or another entry VM, while the
  // first attempt is running, after it has ended or after its node has failed. The store
  // loses answers and applies writes late. The payment must not run twice, and a caller
  // who is told that it ran, or that it did not run, must be told correctly.
  it('let the request run at most once and report its outcome correctly, in any order', async () => {
    await fc.assert(fc.asyncProperty(fc.scheduler(), arrivalsArbitrary, callOutcomesArbitrary, async (scheduler, arrivals, callOutcomes) => {
      const remainingOutcomes = [...callOutcomes]
      const cluster = new Cluster(3, () => scheduler.schedule(Promise.resolve()), () => remainingOutcomes.shift() ?? CallOutcome.Succeeds)
      const pendingArrivals: Array<Promise<unknown>> = []
      for (const [nodeIndex, result, delayMs] of arrivals) {
        pendingArrivals.push(cluster.acceptArrival(nodeIndex, result))
        if (delayMs % 2 === 0) await scheduler.waitIdle()
        if (delayMs % 3 === 0) await cluster.clock.runFor(delayMs)
      }
      await scheduler.waitIdle()
      await Promise.all(pendingArrivals)
      assert.ok(cluster.runCount <= 1, `ran ${cluster.runCount} times: ${cluster.claimedResults.join(' ')}`)
      for (const answer of cluster.answers) {
        if (answer.kind === ClaimAnswerKind.Refused && answer.decision === ClaimDecision.AlreadyRan) assert.ok(cluster.claimedResults.includes(SimulatedResult.Runs))
      }
    }), { seed: SEED, numRuns: 1500 })
  })

  // Once all store calls work again and all outcomes are recorded, a retry of a request
  // that did not run must be allowed, and a retry of one that ran must always be refused.
  it('leave the correct outcome in the store', async () => {
    await fc.assert(fc.asyncProperty(arrivalsArbitrary, callOutcomesArbitrary, async (arrivals, callOutcomes) => {
      const remainingOutcomes = [...callOutcomes]
      const cluster = new Cluster(3, returnImmediately, () => remainingOutcomes.shift() ?? CallOutcome.Succeeds)
      for (const [nodeIndex, result, delayMs] of arrivals) {
        await cluster.acceptArrival(nodeIndex, result)
        await cluster.clock.runFor(delayMs)
      }
      remainingOutcomes.length = 0
      await cluster.settle()
      const runCountBefore = cluster.runCount
      const lastAnswer = await cluster.acceptArrival(cluster.addNode(), SimulatedResult.Runs)
      assert.equal(lastAnswer?.kind, runCountBefore > 0 ? ClaimAnswerKind.Refused : ClaimAnswerKind.Claimed)
      if (cluster.claimedResults[0] === SimulatedResult.Runs && runCountBefore === 1 && lastAnswer?.kind === ClaimAnswerKind.Refused) assert.equal(lastAnswer.decision, ClaimDecision.AlreadyRan)
      assert.ok(cluster.runCount <= 1)
    }), { seed: SEED, numRuns: 500 })
  })

  // Workers refuse a payment at several entry VMs in turn, and the caller retries as soon
  // as it is told `not-run`, while the store loses and delays calls. The key was still
  // recorded as running where the retry arrived, so that the caller was told `unknown` for
  // a payment that never ran. A caller told to retry immediately must find the key released.
  it('let a retry run immediately if the caller was told not-run without a delay', async () => {
    let releasedCount = 0
    const nodeIndexesArbitrary = fc.array(fc.nat(2), { minLength: 2, maxLength: 6 })
    await fc.assert(fc.asyncProperty(fc.scheduler(), nodeIndexesArbitrary, callOutcomesArbitrary, async (scheduler, nodeIndexes, callOutcomes) => {
      const remainingOutcomes = [...callOutcomes]
      const cluster = new Cluster(3, () => scheduler.schedule(Promise.resolve()), () => remainingOutcomes.shift() ?? CallOutcome.Succeeds)
      let isReleased = true
      for (const nodeIndex of nodeIndexes) {
        const answer = await scheduler.waitFor(cluster.acceptArrival(nodeIndex, SimulatedResult.Refused))
        assert.ok(answer !== undefined)
        if (isReleased) assert.notEqual(answer.kind, ClaimAnswerKind.Refused, JSON.stringify(answer))
        // A retry before its Retry-After may fail at the store without releasing the key.
        isReleased = mayRetryImmediately(cluster, answer) && (isReleased || answer.kind === ClaimAnswerKind.Claimed)
        if (isReleased) releasedCount++
        if (callOutcomes.length === 0) assert.ok(isReleased)
      }
      await scheduler.waitIdle()
    }), { seed: SEED, numRuns: 1000 })
    assert.ok(releasedCount > 1000, String(releasedCount))
  })

  it('report the outcome of the first request to the second', async () => {
    const cluster = new Cluster(2, returnImmediately, () => CallOutcome.Succeeds)
    const expectDecision = async (decision: ClaimDecision, nodeIndex: number): Promise<void> => {
      const answer = await cluster.acceptArrival(nodeIndex, SimulatedResult.Runs)
      assert.ok(answer?.kind === ClaimAnswerKind.Refused && answer.decision === decision, JSON.stringify(answer))
    }
    assert.equal((await cluster.acceptArrival(0, SimulatedResult.Refused))?.kind, ClaimAnswerKind.Claimed)
    assert.equal((await cluster.acceptArrival(1, SimulatedResult.NodeFails))?.kind, ClaimAnswerKind.Claimed)
    await expectDecision(ClaimDecision.Running, 0)
    await cluster.clock.runFor(SETTLE_MS)
    await expectDecision(ClaimDecision.OutcomeUnknown, 0)
    const answerToReusedKey = await cluster.acceptArrival(0, SimulatedResult.Runs, 'POST /cancel')
    assert.ok(answerToReusedKey?.kind === ClaimAnswerKind.Refused && answerToReusedKey.decision === ClaimDecision.KeyReused)
  })

  // A hundred payments arrive while the store is down. If each waited for its claim, they
  // would keep the store busy when it is back, so they are refused immediately.
  it('call a store that is down once per second, not once per request', async () => {
    const cluster = new Cluster(1, returnImmediately, () => CallOutcome.Unreachable)
    for (let arrival = 0; arrival < 100; arrival++) {
      assert.equal((await cluster.acceptArrival(0, SimulatedResult.Runs))?.kind, ClaimAnswerKind.StoreUnavailable)
    }
    assert.equal(cluster.store.callCount, 1)
    await cluster.clock.runFor(1_000)
    await cluster.acceptArrival(0, SimulatedResult.Runs)
    assert.equal(cluster.store.callCount, 2)
  })

  it('make no more store calls than the node\'s share of the fleet\'s rate limit', () => {
    const clock = new ManualClock()
    const callBudget = new StoreCallBudget(clock, () => 12)
    let callCount = 0
    for (let now = 0; now <= 10_000; now += 10) {
      clock.stepTo(now)
      while (callBudget.take(2)) callCount += 2
    }
    // 240 calls per second divided among 12 nodes for 10 s, plus a burst of 5 s. Only complete claims are counted.
    assert.ok(callCount <= 300 && callCount > 296, String(callCount))
  })
})
