/** What goes wrong in a run of the routing soak, and when the operator changes the routes, from its seed alone. */
import { addJitter, type IRandomSource, SeededRandom } from '@umberspar/base/common/random'

/** What a step does. */
export enum RoutingFault {
  /** All open connections between VMs, to the store and to workers fall silent for good; new ones work. */
  ConnectionsSilent = 'connections-silent',
  /** Some VMs are cut off from the store and from all other VMs; callers and workers still reach them. */
  NodeCut = 'node-cut',
  /** The store refuses some VMs, or never answers them, and serves the others and the operator. */
  NodesRefused = 'nodes-refused',
  /** The store is silent to all VMs. */
  StoreSilent = 'store-silent',
  /** Some VMs stand still. */
  Pause = 'pause',
  /** Some VMs are ended at once and start again. */
  Kill = 'kill',
  /** All VMs are ended at once and start again. */
  KillAll = 'kill-all',
  /** The store forgets its history. */
  Compact = 'compact'
}

/** One step. */
export interface RoutingStep {
  readonly fault: RoutingFault
  /** From the start, in milliseconds. */
  readonly atMs: number
  /** How long it lasts, in milliseconds. */
  readonly spanMs: number
  /** The part of the VMs that it strikes, and with which of them it begins; 0 to 1. */
  readonly share: number
  readonly target: number
}

/** What a run does. */
export interface RoutingPlan {
  readonly steps: readonly RoutingStep[]
  /** When the operator writes, from the start, in milliseconds. */
  readonly changesMs: readonly number[]
  /** How far cheap reads of the store are behind, in milliseconds. */
  readonly staleReadMs: number
  readonly untilMs: number
}

const LEAD_MS = 3_000
const HEAL_MS = 7_000
const STEP_GAP_MS = 6_000
const LEAST_SPAN_MS = 1_500
const MOST_SPAN_MS = 6_500
const LEAST_SHARE = 0.15
const MOST_SHARE = 0.5
/** Most versions last longer than the bound on changes, so that a VM that is behind shows; some follow each other at once. */
const LONG_GAP_MS = { least: 3_500, most: 8_000 }
const SHORT_GAP_MS = { least: 100, most: 1_200 }
const SHORT_PART = 0.3
/** The part of the runs whose cheap reads are behind, and by how much at most, in milliseconds. */
const STALE_PART = 0.6
const MOST_STALE_MS = 4_000
/** The first numbers of small seeds are alike. */
const DISCARDED_DRAWS = 32
/** Each step is followed by a change after up to this, in milliseconds. */
const MEET_MS = 1_500
const STEP_JITTER = 0.7

function chooseGap (random: IRandomSource): number {
  const { least, most } = random.next() < SHORT_PART ? SHORT_GAP_MS : LONG_GAP_MS
  return least + (most - least) * random.next()
}

/**
 * @param seed the same seed gives the same plan
 * @param seconds how long the run lasts
 * @param faults the kinds of steps to draw from
 * @returns the plan
 */
export function planRouting (seed: number, seconds: number, faults: readonly RoutingFault[] = Object.values(RoutingFault)): RoutingPlan {
  const random = new SeededRandom(seed)
  for (let draw = 0; draw < DISCARDED_DRAWS; draw++) random.next()
  const untilMs = seconds * 1_000
  const staleReadMs = random.next() < STALE_PART ? MOST_STALE_MS * random.next() : 0
  const steps: RoutingStep[] = []
  for (let atMs = LEAD_MS; atMs < untilMs - HEAL_MS; atMs += addJitter(random, STEP_GAP_MS, STEP_JITTER)) {
    steps.push({
      fault: faults[Math.floor(random.next() * faults.length)]!,
      atMs,
      spanMs: LEAST_SPAN_MS + (MOST_SPAN_MS - LEAST_SPAN_MS) * random.next(),
      share: LEAST_SHARE + (MOST_SHARE - LEAST_SHARE) * random.next(),
      target: random.next()
    })
  }
  const changesMs: number[] = []
  for (let atMs = 0; atMs < untilMs; atMs += chooseGap(random)) changesMs.push(atMs)
  for (const { atMs } of steps) changesMs.push(atMs + MEET_MS * random.next())
  return { steps, changesMs, staleReadMs, untilMs }
}
