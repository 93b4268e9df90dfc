/** Claims of Idempotency-Keys over a store that loses, delays and refuses calls, in every order. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { SeededRandom } from '@umberspar/base/common/random'
import { type ClaimAnswer, ClaimAnswerKind, ClaimKeeper } from '@umberspar/steering/common/dedup/claimKeeper'
import { ClaimDecision } from '@umberspar/steering/common/dedup/decideClaim'
import { StoreCallBudget } from '@umberspar/steering/common/dedup/storeCallBudget'
import { Outcome } from '@umberspar/steering/common/state/outcome'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { CallFate, MemoryStore } from './memoryStore.js'

const SEED = 417
const REQUEST_SPAN_MS = 2_000
const LONG_AFTER_MS = 60_000
const FINGERPRINT = 'POST /assign'

/** What one arrival of the key does once it may run. */
enum Fate {
  /** An upstream runs it and answers. */
  Runs = 'runs',
  /** It runs, and its answer is lost. */
  AnswerLost = 'answer-lost',
  /** Every upstream refuses it. */
  Refused = 'refused',
  /** It runs, and the node dies before it can tell. */
  NodeDies = 'node-dies'
}

const OUTCOME_BY_FATE: Readonly<Record<Fate, Outcome | undefined>> = {
  [Fate.Runs]: Outcome.Done,
  [Fate.AnswerLost]: Outcome.Unknown,
  [Fate.Refused]: Outcome.NotRun,
  [Fate.NodeDies]: undefined
}

interface Node {
  readonly keeper: ClaimKeeper
  isAlive: boolean
}

/** Several nodes with one store; arrivals of one key at any of them. */
class Cluster {
  readonly clock = new ManualClock()
  readonly answers: ClaimAnswer[] = []
  readonly fates: Fate[] = []
  /** Whether the store had the release when the caller was told `not-run`, by claim id. */
  readonly releases = new Map<string, boolean>()
  readonly store: MemoryStore
  private readonly nodes: Node[]
  private arrivals = 0

  constructor (count: number, waitTurn: () => Promise<void>, takeFate: () => CallFate) {
    this.store = new MemoryStore(waitTurn, takeFate)
    this.nodes = Array.from({ length: count }, (_, index) => this.createNode(index))
  }

  get runs (): number {
    return this.fates.filter((fate) => fate !== Fate.Refused).length
  }

  async acceptArrival (nodeIndex: number, fate: Fate, fingerprint = FINGERPRINT): Promise<ClaimAnswer | undefined> {
    const node = this.nodes[nodeIndex % this.nodes.length]!
    if (!node.isAlive) return undefined
    const deadline = this.clock.now() + REQUEST_SPAN_MS
    const answer = await node.keeper.claim({ service: 'escort-svc', keyHash: 'k', fingerprint, claimId: `c${this.arrivals++}`, deadline })
    this.answers.push(answer)
    // A node that died while it claimed sends nothing any more.
    if (answer.kind !== ClaimAnswerKind.Claimed || !node.isAlive) return answer
    this.fates.push(fate)
    const outcome = OUTCOME_BY_FATE[fate]
    if (outcome === undefined) this.stopNode(node)
    else if (outcome === Outcome.NotRun) this.releases.set(answer.claim.record.claimId, await node.keeper.release(answer.claim, deadline))
    else node.keeper.finish(answer.claim, outcome, 200)
    return answer
  }

  /** Lets all ends reach the store, its faults being over. */
  async settle (): Promise<void> {
    for (let round = 0; round < 5; round++) await this.clock.runFor(LONG_AFTER_MS)
  }

  /** A new node, as after a replacement of the VM. */
  addNode (): number {
    return this.nodes.push(this.createNode(this.nodes.length)) - 1
  }

  private stopNode (node: Node): void {
    node.isAlive = false
    node.keeper.close()
  }

  private createNode (index: number): Node {
    const { store, clock } = this
    const calls = new StoreCallBudget(clock, () => 1, 1000)
    const keeper = new ClaimKeeper({ store, clock, random: new SeededRandom(index + 1), calls, keyPrefix: '/t/', nodeId: `n${index}`, incarnation: index, onCall: () => {} })
    return { keeper, isAlive: true }
  }
}

const arrivals = fc.array(fc.tuple(fc.nat(2), fc.constantFrom(...Object.values(Fate)), fc.nat(3000)), { minLength: 2, maxLength: 8 })
const faults = fc.array(fc.constantFrom(CallFate.Works, CallFate.Works, ...Object.values(CallFate)), { maxLength: 30 })

/** Whether the arrival's caller was told that it may repeat at once. */
function isToldFree (cluster: Cluster, answer: ClaimAnswer): boolean {
  if (answer.kind === ClaimAnswerKind.Claimed) return cluster.releases.get(answer.claim.record.claimId) === true
  return answer.kind === ClaimAnswerKind.StoreUnavailable && answer.isReleased
}

function waitNoTurn (): Promise<void> {
  return Promise.resolve()
}

describe('claims of an Idempotency-Key', () => {
  // A guardian's payment is sent again with the same key, to the same or another
  // entry VM, while the first still runs, after it ended, after its node died, and
  // with the store losing answers and applying writes late. It must not run twice,
  // and whoever is told that it ran, or did not, must be told the truth.
  it('lets the request run at most once and tells the truth of it, in every order', async () => {
    await fc.assert(fc.asyncProperty(fc.scheduler(), arrivals, faults, async (scheduler, script, fates) => {
      const left = [...fates]
      const cluster = new Cluster(3, () => scheduler.schedule(Promise.resolve()), () => left.shift() ?? CallFate.Works)
      const work: Array<Promise<unknown>> = []
      for (const [node, fate, pauseMs] of script) {
        work.push(cluster.acceptArrival(node, fate))
        if (pauseMs % 2 === 0) await scheduler.waitIdle()
        if (pauseMs % 3 === 0) await cluster.clock.runFor(pauseMs)
      }
      await scheduler.waitIdle()
      await Promise.all(work)
      assert.ok(cluster.runs <= 1, `ran ${cluster.runs} times: ${cluster.fates.join(' ')}`)
      for (const answer of cluster.answers) {
        if (answer.kind === ClaimAnswerKind.Refused && answer.decision === ClaimDecision.AlreadyRan) assert.ok(cluster.fates.includes(Fate.Runs))
      }
    }), { seed: SEED, numRuns: 1500 })
  })

  // All store calls work again and every end is written: a repetition of what did
  // not run must be let through, and one of what ran must be told so for ever.
  it('ends with the truth in the store', async () => {
    await fc.assert(fc.asyncProperty(arrivals, faults, async (script, fates) => {
      const left = [...fates]
      const cluster = new Cluster(3, waitNoTurn, () => left.shift() ?? CallFate.Works)
      for (const [node, fate, pauseMs] of script) {
        await cluster.acceptArrival(node, fate)
        await cluster.clock.runFor(pauseMs)
      }
      left.length = 0
      await cluster.settle()
      const ran = cluster.runs
      const last = await cluster.acceptArrival(cluster.addNode(), Fate.Runs)
      assert.equal(last?.kind, ran > 0 ? ClaimAnswerKind.Refused : ClaimAnswerKind.Claimed)
      if (cluster.fates[0] === Fate.Runs && ran === 1 && last?.kind === ClaimAnswerKind.Refused) assert.equal(last.decision, ClaimDecision.AlreadyRan)
      assert.ok(cluster.runs <= 1)
    }), { seed: SEED, numRuns: 500 })
  })

  // Workers refuse a payment at one entry VM, then at the next, and its caller sends
  // it again the moment it is told `not-run`, while the store loses and delays calls.
  // Its key still stood as running where the repetition arrived, and the caller was
  // told `unknown` of what never ran. Free at once must mean free at once.
  it('lets a repetition run at once wherever not-run was told without a wait', async () => {
    let freed = 0
    const nodes = fc.array(fc.nat(2), { minLength: 2, maxLength: 6 })
    await fc.assert(fc.asyncProperty(fc.scheduler(), nodes, faults, async (scheduler, script, fates) => {
      const left = [...fates]
      const cluster = new Cluster(3, () => scheduler.schedule(Promise.resolve()), () => left.shift() ?? CallFate.Works)
      let isFree = true
      for (const node of script) {
        const answer = await scheduler.waitFor(cluster.acceptArrival(node, Fate.Refused))
        assert.ok(answer !== undefined)
        if (isFree) assert.notEqual(answer.kind, ClaimAnswerKind.Refused, JSON.stringify(answer))
        // A repetition before its Retry-After may fail at the store without having freed the key.
        isFree = isToldFree(cluster, answer) && (isFree || answer.kind === ClaimAnswerKind.Claimed)
        if (isFree) freed++
        if (fates.length === 0) assert.ok(isFree)
      }
      await scheduler.waitIdle()
    }), { seed: SEED, numRuns: 1000 })
    assert.ok(freed > 1000, String(freed))
  })

  it('tells a second arrival what became of the first', async () => {
    const cluster = new Cluster(2, waitNoTurn, () => CallFate.Works)
    const expectDecision = async (decision: ClaimDecision, node: number): Promise<void> => {
      const answer = await cluster.acceptArrival(node, Fate.Runs)
      assert.ok(answer?.kind === ClaimAnswerKind.Refused && answer.decision === decision, JSON.stringify(answer))
    }
    assert.equal((await cluster.acceptArrival(0, Fate.Refused))?.kind, ClaimAnswerKind.Claimed)
    assert.equal((await cluster.acceptArrival(1, Fate.NodeDies))?.kind, ClaimAnswerKind.Claimed)
    await expectDecision(ClaimDecision.Running, 0)
    await cluster.clock.runFor(LONG_AFTER_MS)
    await expectDecision(ClaimDecision.OutcomeUnknown, 0)
    const reused = await cluster.acceptArrival(0, Fate.Runs, 'POST /cancel')
    assert.ok(reused?.kind === ClaimAnswerKind.Refused && reused.decision === ClaimDecision.KeyReused)
  })

  // The store is down and a hundred payments arrive. Each would wait for its claim
  // and keep the store busy once it is back; they are refused at once instead.
  it('asks a store that is down once a second, not once a request', async () => {
    const cluster = new Cluster(1, waitNoTurn, () => CallFate.Down)
    for (let arrival = 0; arrival < 100; arrival++) {
      assert.equal((await cluster.acceptArrival(0, Fate.Runs))?.kind, ClaimAnswerKind.StoreUnavailable)
    }
    assert.equal(cluster.store.calls, 1)
    await cluster.clock.runFor(1_000)
    await cluster.acceptArrival(0, Fate.Runs)
    assert.equal(cluster.store.calls, 2)
  })

  it('makes no more store calls than its part of the fleet\'s rate', () => {
    const clock = new ManualClock()
    const calls = new StoreCallBudget(clock, () => 12)
    let taken = 0
    for (let now = 0; now <= 10_000; now += 10) {
      clock.stepTo(now)
      while (calls.take(2)) taken += 2
    }
    // 240 a second over 12 nodes for 10 s, and the burst of 5 s; whole claims only.
    assert.ok(taken <= 300 && taken > 296, String(taken))
  })
})
