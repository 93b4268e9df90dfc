/**
 * Places demand on regions: a transportation problem with capacities on regions and
 * links. Pairs of client region and serving region are filled in the order of their
 * delay, pairs of equal delay in proportion to their free capacity. Augmenting paths
 * (Ford-Fulkerson) then place what this greedy pass left over, so that demand stays
 * unplaced only if it can't be placed at all.
 */
import type { SteeringConfiguration } from '../configuration/configurationSchema.js'
import { rankRegionsByDelay } from '../lookup/regionDistance.js'
import type { RegionCapacity } from './placeCapacity.js'

/** Concurrent requests on links, by client region and serving region. */
export type LinkLoads = Readonly<Record<string, Readonly<Record<string, number>>>>

/** Demand, and the capacities that it is placed on. */
export interface PlacementInput {
  readonly configuration: SteeringConfiguration
  readonly capacities: ReadonlyMap<string, RegionCapacity>
  /** Concurrent requests by client region. */
  readonly demand: Readonly<Record<string, number>>
  /** Concurrent requests of other services on the links. */
  readonly otherLinkLoads: LinkLoads
  /** The fraction of each link's capacity that may be filled; 1 by default. */
  readonly maxLinkLoadRatio?: number
}

/** The placed demand, which never exceeds the capacity of a region or link. */
export interface Placement {
  /** Concurrent requests by client region and serving region. */
  readonly placed: Readonly<Record<string, Readonly<Record<string, number>>>>
  /** Concurrent requests that exceed the capacity, by client region; only values above zero. */
  readonly unplaced: Readonly<Record<string, number>>
}

/** Fewer concurrent requests than this count as zero, to absorb rounding errors. */
const EPSILON = 1e-9

/** A client region and a region that can serve it. */
interface RegionPair {
  readonly clientRegion: string
  readonly servingRegion: string
  readonly oneWayMs: number
  /** Concurrent requests placed on the pair. */
  concurrency: number
  /** Concurrent requests that its link can still carry. */
  freeLinkCapacity: number
}

interface PlacementState {
  readonly pairs: RegionPair[]
  /** Concurrent requests that are not placed yet, by client region. */
  readonly remainingDemand: Map<string, number>
  /** Capacity that is still free, in concurrent requests, by serving region. */
  readonly freeCapacity: Map<string, number>
}

function createPlacementState (input: PlacementInput): PlacementState {
  const { configuration, capacities, demand, otherLinkLoads, maxLinkLoadRatio = 1 } = input
  const freeCapacity = new Map([...capacities].map(([region, capacity]) => [region, capacity.total]))
  const remainingDemand = new Map<string, number>()
  const pairs: RegionPair[] = []
  for (const clientRegion of Object.keys(configuration.regions)) {
    const regionDemand = demand[clientRegion] ?? 0
    if (!(regionDemand > 0)) continue
    remainingDemand.set(clientRegion, regionDemand)
    for (const { region, oneWayMs, maxConcurrency } of rankRegionsByDelay(configuration, clientRegion)) {
      const freeLinkCapacity = maxConcurrency * maxLinkLoadRatio - (otherLinkLoads[clientRegion]?.[region] ?? 0)
      if (freeLinkCapacity > 0) pairs.push({ clientRegion, servingRegion: region, oneWayMs, concurrency: 0, freeLinkCapacity })
    }
  }
  return { pairs, remainingDemand, freeCapacity }
}

function addConcurrency (pair: RegionPair, concurrency: number): void {
  pair.concurrency += concurrency
  pair.freeLinkCapacity -= concurrency
}

/** Splits each client region's remaining demand over the pairs of a tier, in proportion to their free capacity. */
function computeTierOffers (state: PlacementState, tier: readonly RegionPair[]): Map<RegionPair, number> {
  const freeCapacityByClient = new Map<string, number>()
  for (const pair of tier) {
    const freePairCapacity = Math.min(pair.freeLinkCapacity, state.freeCapacity.get(pair.servingRegion) ?? 0)
    freeCapacityByClient.set(pair.clientRegion, (freeCapacityByClient.get(pair.clientRegion) ?? 0) + freePairCapacity)
  }
  const offers = new Map<RegionPair, number>()
  for (const pair of tier) {
    const freePairCapacity = Math.min(pair.freeLinkCapacity, state.freeCapacity.get(pair.servingRegion) ?? 0)
    const totalFreeCapacity = freeCapacityByClient.get(pair.clientRegion) ?? 0
    const remainingDemand = state.remainingDemand.get(pair.clientRegion) ?? 0
    if (freePairCapacity > EPSILON && remainingDemand > EPSILON) offers.set(pair, Math.min(freePairCapacity, remainingDemand * (freePairCapacity / totalFreeCapacity)))
  }
  return offers
}

/**
 * Places demand on the pairs of one tier once. A region that is offered more than
 * its free capacity reduces all offers by the same factor.
 * @returns the concurrent requests placed
 */
function addTierDemand (state: PlacementState, tier: readonly RegionPair[]): number {
  const offers = computeTierOffers(state, tier)
  const offeredByServingRegion = new Map<string, number>()
  for (const [pair, offer] of offers) {
    offeredByServingRegion.set(pair.servingRegion, (offeredByServingRegion.get(pair.servingRegion) ?? 0) + offer)
  }
  const freeCapacityBefore = new Map(state.freeCapacity)
  let placed = 0
  for (const [pair, offer] of offers) {
    const freeBefore = freeCapacityBefore.get(pair.servingRegion) ?? 0
    const placedOnPair = offer * Math.min(1, freeBefore / (offeredByServingRegion.get(pair.servingRegion) ?? offer))
    addConcurrency(pair, placedOnPair)
    state.remainingDemand.set(pair.clientRegion, Math.max(0, (state.remainingDemand.get(pair.clientRegion) ?? 0) - placedOnPair))
    state.freeCapacity.set(pair.servingRegion, Math.max(0, (state.freeCapacity.get(pair.servingRegion) ?? 0) - placedOnPair))
    placed += placedOnPair
  }
  return placed
}

/** After this many rounds the rest of a tier is left to the augmenting paths. */
const MAX_TIER_ROUNDS = 16

function addDemandByDistance (state: PlacementState): void {
  const delays = [...new Set(state.pairs.map((pair) => pair.oneWayMs))].sort((left, right) => left - right)
  // A region serves its own clients before those of other regions, even if the delay of a link is zero.
  const localPairs = state.pairs.filter((pair) => pair.clientRegion === pair.servingRegion)
  const remotePairs = state.pairs.filter((pair) => pair.clientRegion !== pair.servingRegion)
  const tiers = [localPairs, ...delays.map((delay) => remotePairs.filter((pair) => pair.oneWayMs === delay))]
  for (const tier of tiers) {
    for (let round = 0; round < MAX_TIER_ROUNDS && addTierDemand(state, tier) > EPSILON; round++);
  }
}

/** One edge of an augmenting path: it adds demand to a pair (forward) or takes demand off it. */
interface PathStep {
  readonly pair: RegionPair
  readonly isForward: boolean
}

/** Breadth-first search for the shortest augmenting path from a client region to a serving region with free capacity. */
function findAugmentingPath (state: PlacementState, clientRegion: string): PathStep[] | undefined {
  const pathByClientRegion = new Map<string, PathStep[]>([[clientRegion, []]])
  const visitedServingRegions = new Set<string>()
  const queue = [clientRegion]
  for (let currentClientRegion = queue.shift(); currentClientRegion !== undefined; currentClientRegion = queue.shift()) {
    const path = pathByClientRegion.get(currentClientRegion) ?? []
    for (const pair of state.pairs) {
      if (pair.clientRegion !== currentClientRegion || pair.freeLinkCapacity <= EPSILON || visitedServingRegions.has(pair.servingRegion)) continue
      visitedServingRegions.add(pair.servingRegion)
      const extended = [...path, { pair, isForward: true }]
      if ((state.freeCapacity.get(pair.servingRegion) ?? 0) > EPSILON) return extended
      for (const returnPair of state.pairs) {
        if (returnPair.servingRegion !== pair.servingRegion || returnPair.concurrency <= EPSILON || pathByClientRegion.has(returnPair.clientRegion)) continue
        pathByClientRegion.set(returnPair.clientRegion, [...extended, { pair: returnPair, isForward: false }])
        queue.push(returnPair.clientRegion)
      }
    }
  }
  return undefined
}

function applyPath (state: PlacementState, clientRegion: string, path: readonly PathStep[]): void {
  const servingRegion = path.at(-1)?.pair.servingRegion ?? ''
  const stepLimits = path.map((step) => step.isForward ? step.pair.freeLinkCapacity : step.pair.concurrency)
  const concurrency = Math.min(state.remainingDemand.get(clientRegion) ?? 0, state.freeCapacity.get(servingRegion) ?? 0, ...stepLimits)
  for (const step of path) addConcurrency(step.pair, step.isForward ? concurrency : -concurrency)
  state.remainingDemand.set(clientRegion, (state.remainingDemand.get(clientRegion) ?? 0) - concurrency)
  state.freeCapacity.set(servingRegion, (state.freeCapacity.get(servingRegion) ?? 0) - concurrency)
}

function addRemainingDemand (state: PlacementState): void {
  for (const clientRegion of state.remainingDemand.keys()) {
    while ((state.remainingDemand.get(clientRegion) ?? 0) > EPSILON) {
      const path = findAugmentingPath(state, clientRegion)
      if (path === undefined) break
      applyPath(state, clientRegion, path)
    }
  }
}

/**
 * @param input demand, capacities and links
 * @returns the placed demand, and the demand that exceeds the capacity
 */
export function computePlacement (input: PlacementInput): Placement {
  const state = createPlacementState(input)
  addDemandByDistance(state)
  addRemainingDemand(state)
  const placed: Record<string, Record<string, number>> = {}
  for (const pair of state.pairs) {
    if (pair.concurrency > EPSILON) (placed[pair.clientRegion] ??= {})[pair.servingRegion] = pair.concurrency
  }
  const unplaced: Record<string, number> = {}
  for (const [clientRegion, concurrency] of state.remainingDemand) {
    if (concurrency > EPSILON) unplaced[clientRegion] = concurrency
  }
  return { placed, unplaced }
}
