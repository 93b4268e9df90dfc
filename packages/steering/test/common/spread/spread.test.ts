/** Who watches, whom a push goes to, who compares digests: bounded, and everybody is reached. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { SeededRandom } from '@umberspar/base/common/random'
import { shouldAdopt } from '../../../src/common/configuration/versionedConfiguration.js'
import { chooseNeighbours, computeRoundSpan, listRingSuccessors, REMOTE_NEIGHBOURS, RING_NEIGHBOURS } from '../../../src/common/spread/neighbours.js'
import { choosePushTargets, PUSH_FAN_OUT, PushScope, type PushRoute } from '../../../src/common/spread/pushTree.js'
import type { SpreadNode } from '../../../src/common/spread/spreadNode.js'
import { computeNextStoreRead } from '../../../src/common/spread/storeReads.js'
import { chooseWatchers, WATCHERS_PER_REGION } from '../../../src/common/spread/watchers.js'

const SEED = 5_171
const RUNS = { seed: SEED, numRuns: 100 }

/** Up to eight regions of up to forty nodes. */
const nodesArbitrary = fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1, maxLength: 8 }).map((sizes) =>
  sizes.flatMap((size, region) => Array.from({ length: size }, (_, index): SpreadNode => ({ nodeId: `n${region}-${index}`, region: `r${region}` }))))

function findNode (nodes: readonly SpreadNode[], nodeId: string): SpreadNode {
  const node = nodes.find((one) => one.nodeId === nodeId)
  assert.ok(node !== undefined)
  return node
}

/** How often each node is reached by one push, and how many hops the longest way has. */
function runPush (nodes: readonly SpreadNode[], route: PushRoute): { reached: Map<string, number>, hops: number, widest: number } {
  const reached = new Map([[route.originId, 1]])
  let front = [route.originId]
  let hops = 0
  let widest = 0
  while (front.length > 0) {
    const next: string[] = []
    for (const nodeId of front) {
      const targets = choosePushTargets(nodes, findNode(nodes, nodeId), route)
      widest = Math.max(widest, targets.length)
      for (const target of targets) {
        reached.set(target, (reached.get(target) ?? 0) + 1)
        if (reached.get(target) === 1) next.push(target)
      }
    }
    front = next
    if (next.length > 0) hops += 1
  }
  return { reached, hops, widest }
}

describe('push tree', () => {
  it('reaches each node exactly once with bounded fan-out and logarithmic depth', () => {
    fc.assert(fc.property(nodesArbitrary, fc.nat(), fc.constantFrom(...Object.values(PushScope)), (nodes, pick, scope) => {
      const origin = nodes[pick % nodes.length] as SpreadNode
      const { reached, hops, widest } = runPush(nodes, { originId: origin.nodeId, scope })
      const expected = scope === PushScope.Global ? nodes : nodes.filter((node) => node.region === origin.region)
      assert.deepEqual([...reached.keys()].sort(), expected.map((node) => node.nodeId).sort())
      assert.ok([...reached.values()].every((count) => count === 1))
      assert.ok(widest <= 2 * PUSH_FAN_OUT)
      assert.ok(hops <= 7)
    }), RUNS)
  })

  it('reaches 4,600 nodes of 21 regions within seven hops', () => {
    const nodes = Array.from({ length: 4600 }, (_, index): SpreadNode => ({ nodeId: `n${index}`, region: `r${index % 21}` }))
    const byId = new Map(nodes.map((node) => [node.nodeId, node]))
    const route = { originId: 'n17', scope: PushScope.Region }
    const regional = nodes.filter((node) => node.region === byId.get('n17')?.region)
    const { reached, hops } = runPush(regional, route)
    assert.equal(reached.size, regional.length)
    // Hops within a region, and two more among 21 regions.
    assert.ok(hops + 2 <= 7, `${hops} hops in a region`)
  })
})

describe('watchers', () => {
  it('are two of each region, and only the loss of one of them chooses another', () => {
    fc.assert(fc.property(nodesArbitrary, fc.nat(), (nodes, pick) => {
      const region = nodes[pick % nodes.length]?.region ?? ''
      const chosen = chooseWatchers(nodes, region)
      const size = nodes.filter((node) => node.region === region).length
      assert.equal(chosen.length, Math.min(size, WATCHERS_PER_REGION))
      const lost = nodes[pick % nodes.length]?.nodeId ?? ''
      const after = chooseWatchers(nodes.filter((node) => node.nodeId !== lost), region)
      if (!chosen.includes(lost)) assert.deepEqual(after, chosen)
      else assert.ok(chosen.filter((nodeId) => nodeId !== lost).every((nodeId) => after.includes(nodeId)))
    }), RUNS)
  })
})

describe('neighbours', () => {
  it('are bounded, never the node itself, and the ring alone connects a region', () => {
    fc.assert(fc.property(nodesArbitrary, fc.integer(), (nodes, seed) => {
      const random = new SeededRandom(seed)
      for (const self of nodes) {
        const { ring, random: drawn } = chooseNeighbours(nodes, self, random)
        const all = [...ring, ...drawn]
        assert.ok(all.length <= RING_NEIGHBOURS + 1 + REMOTE_NEIGHBOURS)
        assert.equal(new Set([...all, self.nodeId]).size, all.length + 1)
      }
      const regional = nodes.filter((node) => node.region === nodes[0]?.region).map((node) => node.nodeId)
      const seen = new Set<string>()
      let next = regional[0]
      while (next !== undefined && !seen.has(next)) {
        seen.add(next)
        next = listRingSuccessors(regional, next)[0]
      }
      assert.equal(seen.size, regional.length)
    }), RUNS)
  })

  it('of today’s twelve nodes are the whole region and two more, every second', () => {
    const nodes = Array.from({ length: 12 }, (_, index): SpreadNode => ({ nodeId: `entry-${index}`, region: `r${index % 3}` }))
    const { ring, random } = chooseNeighbours(nodes, nodes[0] as SpreadNode, new SeededRandom(1))
    assert.deepEqual([ring.length, random.length, computeRoundSpan(12)], [3, 2, 1000])
  })
})

describe('reads of the store', () => {
  it('by nodes that nobody confirms stay under a rate for the whole fleet', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 4600 }), fc.integer(), (nodeCount, seed) => {
      const input = { isWatcher: false, nodeCount, confirmedAt: undefined, lastReadAt: 1000, hasLastReadFailed: true, hasConfiguration: true }
      const at = computeNextStoreRead(input, new SeededRandom(seed))
      const readsPerSecond = nodeCount / ((at - 1000) / 1000)
      assert.ok(readsPerSecond <= 20 / 0.7 + 1e-6)
      const confirmed = computeNextStoreRead({ ...input, confirmedAt: 50_000 }, new SeededRandom(seed))
      assert.ok(confirmed > 50_000)
    }), RUNS)
  })
})

interface SimulatedNode extends SpreadNode {
  version: number
  isUp: boolean
}

interface SpreadEvent {
  readonly kind: 'patch' | 'restart' | 'cut' | 'heal' | 'round'
  readonly pick: number
}

const eventArbitrary: fc.Arbitrary<SpreadEvent> = fc.record({
  kind: fc.constantFrom('patch' as const, 'restart' as const, 'cut' as const, 'heal' as const, 'round' as const, 'round' as const),
  pick: fc.nat()
})

/** Nodes that push and compare digests over a network which loses, repeats, delays and cuts. */
class SpreadSimulation {
  readonly nodes: SimulatedNode[]
  private readonly late: Array<{ to: SimulatedNode, version: number, route: PushRoute }> = []
  private cutRegion: string | undefined
  private newest = 1

  constructor (nodes: readonly SpreadNode[], private readonly random: SeededRandom, private readonly loss: number) {
    this.nodes = nodes.map((node) => ({ ...node, version: 1, isUp: true }))
  }

  get newestVersion (): number {
    return this.newest
  }

  handle (event: SpreadEvent): void {
    const node = this.nodes[event.pick % this.nodes.length] as SimulatedNode
    const handlers: Readonly<Record<SpreadEvent['kind'], () => void>> = {
      patch: () => { this.newest += 1; this.take(node, this.newest, { originId: node.nodeId, scope: PushScope.Global }) },
      restart: () => { this.startAnew(node) },
      cut: () => { this.cutRegion = node.region },
      heal: () => { this.cutRegion = undefined },
      round: () => { this.runRound() }
    }
    handlers[event.kind]()
    this.sendLate()
  }

  runRound (): void {
    for (const node of this.nodes) {
      const { ring, random } = chooseNeighbours(this.nodes, node, this.random)
      for (const peerId of [...ring, ...random]) this.compare(node, findNode(this.nodes, peerId) as SimulatedNode)
    }
  }

  /** A starting node asks its neighbours before it is ready; with none in reach it takes what the store shows. */
  private startAnew (node: SimulatedNode): void {
    const { ring, random } = chooseNeighbours(this.nodes, node, this.random)
    const shown = [...ring, ...random].map((peerId) => (findNode(this.nodes, peerId) as SimulatedNode)).filter((peer) => this.canReach(node, peer)).map((peer) => peer.version)
    node.version = Math.max(this.newest, ...shown)
  }

  private compare (node: SimulatedNode, peer: SimulatedNode): void {
    if (!this.canReach(node, peer) || this.random.next() < this.loss) return
    const highest = Math.max(node.version, peer.version)
    this.updateVersion(node, highest)
    this.updateVersion(peer, highest)
  }

  private take (node: SimulatedNode, version: number, route: PushRoute): void {
    if (!this.updateVersion(node, version)) return
    for (const target of choosePushTargets(this.nodes, node, route)) {
      const to = findNode(this.nodes, target) as SimulatedNode
      if (!this.canReach(node, to) || this.random.next() < this.loss) continue
      this.late.push({ to, version, route })
      if (this.random.next() < this.loss) this.late.push({ to, version, route })
    }
  }

  /** Delivers in any order; some wait for later events, so that an old push comes after a newer one. */
  private sendLate (): void {
    const due = this.late.splice(0).sort(() => this.random.next() - 0.5)
    for (const message of due) {
      if (this.random.next() < this.loss / 2) this.late.push(message)
      else this.take(message.to, message.version, message.route)
    }
  }

  private updateVersion (node: SimulatedNode, version: number): boolean {
    const before = node.version
    if (!shouldAdopt(before, version)) return false
    node.version = version
    assert.ok(node.version > before)
    return true
  }

  private canReach (from: SpreadNode, to: SpreadNode): boolean {
    return from.region === to.region || (from.region !== this.cutRegion && to.region !== this.cutRegion)
  }
}

describe('spread over a network that loses, repeats, delays and cuts', () => {
  it('never lowers a version, and brings every connected node to the newest', () => {
    // A region is cut off for minutes while patches go on. When the link is back,
    // an operator looks for a node that still steers by the old rules: there must be none.
    fc.assert(fc.property(nodesArbitrary, fc.array(eventArbitrary, { maxLength: 30 }), fc.integer(), fc.double({ min: 0, max: 0.5, noNaN: true }), (nodes, events, seed, loss) => {
      const simulation = new SpreadSimulation(nodes, new SeededRandom(seed), loss)
      for (const event of events) {
        const before = simulation.nodes.map((node) => node.version)
        simulation.handle(event)
        simulation.nodes.forEach((node, index) => assert.ok(node.version >= (before[index] ?? 0)))
      }
      simulation.handle({ kind: 'heal', pick: 0 })
      for (let round = 0; round < 40; round++) simulation.runRound()
      assert.ok(simulation.nodes.every((node) => node.version === simulation.newestVersion))
    }), { seed: SEED, numRuns: 60 })
  })
})
