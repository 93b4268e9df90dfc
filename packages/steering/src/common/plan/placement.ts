/**
 * Placing demand on regions: a transport problem with capacities on regions and
 * links. First the nearest pairs fill up, pairs of equal delay in proportion to
 * the room they have; then augmenting paths (Ford-Fulkerson) place what greedy
 * filling left over, so that demand is unplaced only if it cannot be placed.
 */
import type { SteeringConfiguration } from '../configuration/configurationSchema.js'
import { rankRegionsByDelay } from '../lookup/regionDistance.js'
import type { RegionCapacity } from './placeCapacity.js'

/** Requests at a time on links, by region from and region to. */
export type LinkUse = Readonly<Record<string, Readonly<Record<string, number>>>>

/** What is placed where. */
export interface PlacementInput {
  readonly configuration: SteeringConfiguration
  readonly capacities: ReadonlyMap<string, RegionCapacity>
  /** Requests at a time by client region. */
  readonly demand: Readonly<Record<string, number>>
  /** What other services place on links. */
  readonly linkUse: LinkUse
  /** The part of each link's capacity that may be filled; 1 if left out. */
  readonly linkLimit?: number
}

/** Demand on regions, never above the capacity of a region or link. */
export interface Placement {
  /** Requests at a time by client region and serving region. */
  readonly placed: Readonly<Record<string, Readonly<Record<string, number>>>>
  /** Requests at a time by client region for which there is no room; only those above zero. */
  readonly unplaced: Readonly<Record<string, number>>
}

/** Rounding dust below this many requests counts as nothing. */
const EPSILON = 1e-9

/** A client region and a region that may serve it. */
interface Pair {
  readonly client: string
  readonly server: string
  readonly oneWayMs: number
  /** Requests at a time placed on it. */
  amount: number
  /** Requests at a time that its link still bears. */
  linkRoom: number
}

interface PlacementState {
  readonly pairs: Pair[]
  /** Requests at a time not yet placed, by client region. */
  readonly left: Map<string, number>
  /** Requests at a time still free, by serving region. */
  readonly room: Map<string, number>
}

function createState (input: PlacementInput): PlacementState {
  const { configuration, capacities, demand, linkUse, linkLimit = 1 } = input
  const room = new Map([...capacities].map(([region, capacity]) => [region, capacity.total]))
  const left = new Map<string, number>()
  const pairs: Pair[] = []
  for (const client of Object.keys(configuration.regions)) {
    const wanted = demand[client] ?? 0
    if (!(wanted > 0)) continue
    left.set(client, wanted)
    for (const { region, oneWayMs, maxConcurrency } of rankRegionsByDelay(configuration, client)) {
      const linkRoom = maxConcurrency * linkLimit - (linkUse[client]?.[region] ?? 0)
      if (linkRoom > 0) pairs.push({ client, server: region, oneWayMs, amount: 0, linkRoom })
    }
  }
  return { pairs, left, room }
}

function addAmount (pair: Pair, amount: number): void {
  pair.amount += amount
  pair.linkRoom -= amount
}

function computeOffers (state: PlacementState, tier: readonly Pair[]): Map<Pair, number> {
  const roomByClient = new Map<string, number>()
  for (const pair of tier) {
    const usable = Math.min(pair.linkRoom, state.room.get(pair.server) ?? 0)
    roomByClient.set(pair.client, (roomByClient.get(pair.client) ?? 0) + usable)
  }
  const offers = new Map<Pair, number>()
  for (const pair of tier) {
    const usable = Math.min(pair.linkRoom, state.room.get(pair.server) ?? 0)
    const total = roomByClient.get(pair.client) ?? 0
    const wanted = state.left.get(pair.client) ?? 0
    if (usable > EPSILON && wanted > EPSILON) offers.set(pair, Math.min(usable, wanted * (usable / total)))
  }
  return offers
}

/** One round of filling pairs of equal delay; regions offered too much scale all offers down alike. */
function addTierRound (state: PlacementState, tier: readonly Pair[]): number {
  const offers = computeOffers(state, tier)
  const offeredByServer = new Map<string, number>()
  for (const [pair, amount] of offers) {
    offeredByServer.set(pair.server, (offeredByServer.get(pair.server) ?? 0) + amount)
  }
  const roomBefore = new Map(state.room)
  let moved = 0
  for (const [pair, offered] of offers) {
    const free = roomBefore.get(pair.server) ?? 0
    const amount = offered * Math.min(1, free / (offeredByServer.get(pair.server) ?? offered))
    addAmount(pair, amount)
    state.left.set(pair.client, Math.max(0, (state.left.get(pair.client) ?? 0) - amount))
    state.room.set(pair.server, Math.max(0, (state.room.get(pair.server) ?? 0) - amount))
    moved += amount
  }
  return moved
}

/** Rounds after which the rest of a tier is left to the augmenting paths. */
const MAX_TIER_ROUNDS = 16

function addByDistance (state: PlacementState): void {
  const delays = [...new Set(state.pairs.map((pair) => pair.oneWayMs))].sort((left, right) => left - right)
  // A region serves its own clients before those of others, also if a link's delay is zero.
  const own = state.pairs.filter((pair) => pair.client === pair.server)
  const others = state.pairs.filter((pair) => pair.client !== pair.server)
  const tiers = [own, ...delays.map((delay) => others.filter((pair) => pair.oneWayMs === delay))]
  for (const tier of tiers) {
    for (let round = 0; round < MAX_TIER_ROUNDS && addTierRound(state, tier) > EPSILON; round++);
  }
}

/** One edge of an augmenting path: onto a pair, or back off it. */
interface PathStep {
  readonly pair: Pair
  readonly isForward: boolean
}

/** Breadth-first search from a client region to a serving region with room. */
function findAugmentingPath (state: PlacementState, client: string): PathStep[] | undefined {
  const pathByClient = new Map<string, PathStep[]>([[client, []]])
  const seenServers = new Set<string>()
  const queue = [client]
  for (let current = queue.shift(); current !== undefined; current = queue.shift()) {
    const path = pathByClient.get(current) ?? []
    for (const pair of state.pairs) {
      if (pair.client !== current || pair.linkRoom <= EPSILON || seenServers.has(pair.server)) continue
      seenServers.add(pair.server)
      const extended = [...path, { pair, isForward: true }]
      if ((state.room.get(pair.server) ?? 0) > EPSILON) return extended
      for (const back of state.pairs) {
        if (back.server !== pair.server || back.amount <= EPSILON || pathByClient.has(back.client)) continue
        pathByClient.set(back.client, [...extended, { pair: back, isForward: false }])
        queue.push(back.client)
      }
    }
  }
  return undefined
}

function applyPath (state: PlacementState, client: string, path: readonly PathStep[]): void {
  const server = path.at(-1)?.pair.server ?? ''
  const limits = path.map((step) => step.isForward ? step.pair.linkRoom : step.pair.amount)
  const amount = Math.min(state.left.get(client) ?? 0, state.room.get(server) ?? 0, ...limits)
  for (const step of path) addAmount(step.pair, step.isForward ? amount : -amount)
  state.left.set(client, (state.left.get(client) ?? 0) - amount)
  state.room.set(server, (state.room.get(server) ?? 0) - amount)
}

function addRest (state: PlacementState): void {
  for (const client of state.left.keys()) {
    while ((state.left.get(client) ?? 0) > EPSILON) {
      const path = findAugmentingPath(state, client)
      if (path === undefined) break
      applyPath(state, client, path)
    }
  }
}

/**
 * @param input demand, capacities and links
 * @returns what is placed where, and what finds no room
 */
export function computePlacement (input: PlacementInput): Placement {
  const state = createState(input)
  addByDistance(state)
  addRest(state)
  const placed: Record<string, Record<string, number>> = {}
  for (const pair of state.pairs) {
    if (pair.amount > EPSILON) (placed[pair.client] ??= {})[pair.server] = pair.amount
  }
  const unplaced: Record<string, number> = {}
  for (const [client, amount] of state.left) {
    if (amount > EPSILON) unplaced[client] = amount
  }
  return { placed, unplaced }
}
