/** Checks that watchers, push targets and gossip neighbours are bounded in number and that every node is reached. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { SeededRandom } from '@umberspar/base/common/random'
import { shouldAdopt } from '../../../src/common/configuration/versionedConfiguration.js'
import { chooseNeighbours, computeRoundIntervalMs, listRingSuccessors, MAX_REMOTE_NEIGHBOURS, MAX_RING_NEIGHBOURS } from '../../../src/common/gossip/neighbours.js'
import { choosePushTargets, MAX_PUSH_FAN_OUT, PushScope, type PushRoute } from '../../../src/common/gossip/pushTree.js'
import type { NodeLocation } from '../../../src/common/gossip/nodeLocation.js'
import { computeNextStoreRead } from '../../../src/common/gossip/storeReads.js'
import { chooseWatchers, MAX_WATCHERS_PER_REGION } from '../../../src/common/gossip/watchers.js'

const SEED = 5_171
const RUNS = { seed: SEED, numRuns: 100 }

/** Up to eight regions with up to forty nodes each. */
const nodesArbitrary = fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1, maxLength: 8 }).map((sizes) =>
  sizes.flatMap((size, region) => Array.from({ length: size }, (_, index): NodeLocation => ({ nodeId: `n${region}-${index}`, region: `r${region}` }))))

function findNode (nodes: readonly NodeLocation[], nodeId: string): NodeLocation {
  const node = nodes.find((candidate) => candidate.nodeId === nodeId)
  assert.ok(node !== undefined)
  return node
}

/** Counts how often one push reaches each node, the hops of its longest path and the most targets of a node. */
function runPush (nodes: readonly NodeLocation[], route: PushRoute): { reached: Map<string, number>, hops: number, maxTargets: number } {
  const reached = new Map([[route.originId, 1]])
  let frontier = [route.originId]
  let hops = 0
  let maxTargets = 0
  while (frontier.length > 0) {
    const next: string[] = []
    for (const nodeId of frontier) {
      const targets = choosePushTargets(nodes, findNode(nodes, nodeId), route)
      maxTargets = Math.max(maxTargets, targets.length)
      for (const target of targets) {
        reached.set(target, (reached.get(target) ?? 0) + 1)
        if (reached.get(target) === 1) next.push(target)
      }
    }
    frontier = next
    if (next.length > 0) hops += 1
  }
  return { reached, hops, maxTargets }
}

describe('push tree', () => {
  it('reaches each node exactly once with bounded fan-out and logarithmic depth', () => {
    fc.assert(fc.property(nodesArbitrary, fc.nat(), fc.constantFrom(...Object.values(PushScope)), (nodes, pick, scope) => {
      const origin = nodes[pick % nodes.length] as NodeLocation
      const { reached, hops, maxTargets } = runPush(nodes, { originId: origin.nodeId, scope })
      const expected = scope === PushScope.Global ? nodes : nodes.filter((node) => node.region === origin.region)
      assert.deepEqual([...reached.keys()].sort(), expected.map((node) => node.nodeId).sort())
      assert.ok([...reached.values()].every((count) => count === 1))
      assert.ok(maxTargets <= 2 * MAX_PUSH_FAN_OUT)
      assert.ok(hops <= 7)
    }), RUNS)
  })

  it('reaches 4,600 nodes of 21 regions within seven hops', () => {
    const nodes = Array.from({ length: 4600 }, (_, index): NodeLocation => ({ nodeId: `n${index}`, region: `r${index % 21}` }))
    const byId = new Map(nodes.map((node) => [node.nodeId, node]))
    const route = { originId: 'n17', scope: PushScope.Region }
    const regional = nodes.filter((node) => node.region === byId.get('n17')?.region)
    const { reached, hops } = runPush(regional, route)
    assert.equal(reached.size, regional.length)
    // Two more hops are needed to reach all of the 21 regions.
    assert.ok(hops + 2 <= 7, `${hops} hops in a region`)
  })
})

describe('watchers', () => {
  it('are two of each region, and change only if one of them is lost', () => {
    fc.assert(fc.property(nodesArbitrary, fc.nat(), (nodes, pick) => {
      const region = nodes[pick % nodes.length]?.region ?? ''
      const chosen = chooseWatchers(nodes, region)
      const size = nodes.filter((node) => node.region === region).length
      assert.equal(chosen.length, Math.min(size, MAX_WATCHERS_PER_REGION))
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
        const { ring, random: randomPeers } = chooseNeighbours(nodes, self, random)
        const all = [...ring, ...randomPeers]
        assert.ok(all.length <= MAX_RING_NEIGHBOURS + 1 + MAX_REMOTE_NEIGHBOURS)
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

  it('of twelve nodes in three regions are the whole region and two more, every second', () => {
    const nodes = Array.from({ length: 12 }, (_, index): NodeLocation => ({ nodeId: `entry-${index}`, region: `r${index % 3}` }))
    const { ring, random } = chooseNeighbours(nodes, nodes[0] as NodeLocation, new SeededRandom(1))
    assert.deepEqual([ring.length, random.length, computeRoundIntervalMs(12)], [3, 2, 1000])
  })
})

describe('reads of the store', () => {
  it('by nodes with an unconfirmed version stay below a rate limit for the whole fleet', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 4600 }), fc.integer(), (nodeCount, seed) => {
      const input = { isWatcher: false, nodeCount, confirmedAt: undefined, lastReadAt: 1000, hasLastReadFailed: true, hasConfiguration: true }
      const readAt = computeNextStoreRead(input, new SeededRandom(seed))
      const readsPerSecond = nodeCount / ((readAt - 1000) / 1000)
      assert.ok(readsPerSecond <= 20 / 0.7 + 1e-6)
      const confirmed = computeNextStoreRead({ ...input, confirmedAt: 50_000 }, new SeededRandom(seed))
      assert.ok(confirmed > 50_000)
    }), RUNS)
  })
})

interface SimulatedNode extends NodeLocation {
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

/** Simulates nodes that push documents and exchange digests over a network with loss, duplicates, delays and partitions. */
class SpreadSimulation {
  readonly nodes: SimulatedNode[]
  private readonly delayedMessages: Array<{ to: SimulatedNode, version: number, route: PushRoute }> = []
  private cutRegion: string | undefined
  private latestVersion = 1

  constructor (nodes: readonly NodeLocation[], private readonly random: SeededRandom, private readonly lossProbability: number) {
    this.nodes = nodes.map((node) => ({ ...node, version: 1, isUp: true }))
  }

  get newestVersion (): number {
    return this.latestVersion
  }

  handle (event: SpreadEvent): void {
    const node = this.nodes[event.pick % this.nodes.length] as SimulatedNode
    const handlers: Readonly<Record<SpreadEvent['kind'], () => void>> = {
      patch: () => { this.latestVersion += 1; this.acceptPush(node, this.latestVersion, { originId: node.nodeId, scope: PushScope.Global }) },
      restart: () => { this.startNode(node) },
      cut: () => { this.cutRegion = node.region },
      heal: () => { this.cutRegion = undefined },
      round: () => { this.runRound() }
    }
    handlers[event.kind]()
    this.deliverDelayed()
  }

  runRound (): void {
    for (const node of this.nodes) {
      const { ring, random } = chooseNeighbours(this.nodes, node, this.random)
      for (const peerId of [...ring, ...random]) this.exchangeDigests(node, findNode(this.nodes, peerId) as SimulatedNode)
    }
  }

  /** A starting node asks its neighbours before it is ready, and reads the store, which it needs if none of them is reachable. */
  private startNode (node: SimulatedNode): void {
    const { ring, random } = chooseNeighbours(this.nodes, node, this.random)
    const peerVersions = [...ring, ...random].map((peerId) => (findNode(this.nodes, peerId) as SimulatedNode)).filter((peer) => this.canReach(node, peer)).map((peer) => peer.version)
    node.version = Math.max(this.latestVersion, ...peerVersions)
  }

  private exchangeDigests (node: SimulatedNode, peer: SimulatedNode): void {
    if (!this.canReach(node, peer) || this.random.next() < this.lossProbability) return
    const highest = Math.max(node.version, peer.version)
    this.updateVersion(node, highest)
    this.updateVersion(peer, highest)
  }

  private acceptPush (node: SimulatedNode, version: number, route: PushRoute): void {
    if (!this.updateVersion(node, version)) return
    for (const target of choosePushTargets(this.nodes, node, route)) {
      const to = findNode(this.nodes, target) as SimulatedNode
      if (!this.canReach(node, to) || this.random.next() < this.lossProbability) continue
      this.delayedMessages.push({ to, version, route })
      if (this.random.next() < this.lossProbability) this.delayedMessages.push({ to, version, route })
    }
  }

  /** Delivers messages in random order and keeps some for later events, so that an old push may arrive after a newer one. */
  private deliverDelayed (): void {
    const due = this.delayedMessages.splice(0).sort(() => this.random.next() - 0.5)
    for (const message of due) {
      if (this.random.next() < this.lossProbability / 2) this.delayedMessages.push(message)
      else this.acceptPush(message.to, message.version, message.route)
    }
  }

  private updateVersion (node: SimulatedNode, version: number): boolean {
    const before = node.version
    if (!shouldAdopt(before, version)) return false
    node.version = version
    assert.ok(node.version > before)
    return true
  }

  private canReach (from: NodeLocation, to: NodeLocation): boolean {
    return from.region === to.region || (from.region !== this.cutRegion && to.region !== this.cutRegion)
  }
}

describe('distribution over a network with loss, duplicates, delays and partitions', () => {
  it('never lowers a version, and brings every connected node to the newest', () => {
    // Guards against nodes that keep an old configuration after their region was
    // partitioned for minutes while the configuration changed.
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
