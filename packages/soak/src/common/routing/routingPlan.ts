/** Plans the faults of a routing soak run and the times of the operator's route changes; the plan depends only on the seed and the options. */
import { addJitter, type IRandomSource, SeededRandom } from '@umberspar/base/common/random'

/** The fault that a step injects. */
export enum RoutingFault {
  /** All open connections between VMs, to the store and to workers stop passing data for good; new connections work. */
  ConnectionsStalled = 'connections-silent',
  /** Some VMs are partitioned from the store and from all other VMs, but not from callers and workers. */
  NodePartition = 'node-cut',
  /** The store refuses requests from some VMs, or never answers them, but serves other VMs and the operator. */
  StoreRefusesNodes = 'nodes-refused',
  /** The store answers no VM. */
  StoreUnresponsive = 'store-silent',
  /** The processes of some VMs are paused. */
  Pause = 'pause',
  /** The processes of some VMs are killed and restarted. */
  Kill = 'kill',
  /** The processes of all VMs are killed and restarted. */
  KillAll = 'kill-all',
  /** The store compacts its history and closes all watches. */
  StoreCompact = 'compact',
  /** The store comes back from a copy as old as the step's duration, and its writers write again what was lost. */
  StoreRollback = 'store-rollback',
  /** Some VMs are partitioned from all workers, but not from callers, the store and the other VMs. */
  WorkersUnreachable = 'workers-unreachable'
}

/** Faults added later. By default they use random streams of their own, so that seeds recorded earlier still result in the same other steps. */
const LATER_STREAMS: ReadonlyArray<{ readonly faults: readonly RoutingFault[], readonly seedOffset: number }> = [
  { faults: [RoutingFault.StoreRollback], seedOffset: 1_000_003 },
  { faults: [RoutingFault.WorkersUnreachable], seedOffset: 2_000_003 }
]
const EARLIER_FAULTS = Object.values(RoutingFault).filter((fault) => !LATER_STREAMS.some(({ faults }) => faults.includes(fault)))

/** A step of the plan. */
export interface RoutingStep {
  readonly fault: RoutingFault
  /** Time since the start of the run, in milliseconds. */
  readonly atMs: number
  /** Duration of the fault, in milliseconds. */
  readonly spanMs: number
  /** Ratio of VMs that are affected, 0 to 1. */
  readonly share: number
  /** Selects the first affected VM by its relative position, 0 to 1. */
  readonly target: number
}

/** The plan of a run. */
export interface RoutingPlan {
  readonly steps: readonly RoutingStep[]
  /** When the operator writes a configuration, as times since the start of the run, in milliseconds. */
  readonly changesMs: readonly number[]
  /** How stale the results of the store's non-linearizable reads are, in milliseconds. */
  readonly staleReadMs: number
  readonly untilMs: number
}

const WARM_UP_MS = 3_000
const RECOVERY_MS = 7_000
const MEAN_STEP_GAP_MS = 6_000
const LATER_STEP_GAP_MS = 18_000
const MIN_STEP_MS = 1_500
const MAX_STEP_MS = 6_500
const MIN_ENTRY_RATIO = 0.15
const MAX_ENTRY_RATIO = 0.5
/** Most versions last longer than the time limit for changes, so that a VM with a stale version is detected; others follow in quick succession. */
const LONG_GAP_MS = { min: 3_500, max: 8_000 }
const SHORT_GAP_MS = { min: 100, max: 1_200 }
const SHORT_GAP_RATIO = 0.3
/** Ratio of runs with stale reads. */
const STALE_READ_RATIO = 0.6
const MAX_STALE_READ_MS = 4_000
/** The first random numbers of small seeds resemble each other and are skipped. */
const DISCARDED_DRAWS = 32
/** The operator also changes the configuration within this time after the start of each step. */
const MAX_CHANGE_DELAY_MS = 1_500
const STEP_JITTER_RATIO = 0.7

function chooseGap (random: IRandomSource): number {
  const { min, max } = random.next() < SHORT_GAP_RATIO ? SHORT_GAP_MS : LONG_GAP_MS
  return min + (max - min) * random.next()
}

function createRandom (seed: number): IRandomSource {
  const random = new SeededRandom(seed)
  for (let index = 0; index < DISCARDED_DRAWS; index++) random.next()
  return random
}

function buildSteps (faults: readonly RoutingFault[], gapMs: number, untilMs: number, random: IRandomSource): RoutingStep[] {
  const steps: RoutingStep[] = []
  for (let atMs = WARM_UP_MS; atMs < untilMs - RECOVERY_MS; atMs += addJitter(random, gapMs, STEP_JITTER_RATIO)) {
    steps.push({
      fault: faults[Math.floor(random.next() * faults.length)]!,
      atMs,
      spanMs: MIN_STEP_MS + (MAX_STEP_MS - MIN_STEP_MS) * random.next(),
      share: MIN_ENTRY_RATIO + (MAX_ENTRY_RATIO - MIN_ENTRY_RATIO) * random.next(),
      target: random.next()
    })
  }
  return steps
}

/**
 * @param seed seed of the random choices; equal arguments result in equal plans
 * @param seconds duration of the run
 * @param faults the faults to choose from; all by default
 * @returns the plan
 */
export function planRouting (seed: number, seconds: number, faults?: readonly RoutingFault[]): RoutingPlan {
  const random = createRandom(seed)
  const untilMs = seconds * 1_000
  const staleReadMs = random.next() < STALE_READ_RATIO ? MAX_STALE_READ_MS * random.next() : 0
  const steps = buildSteps(faults ?? EARLIER_FAULTS, MEAN_STEP_GAP_MS, untilMs, random)
  if (faults === undefined) {
    for (const stream of LATER_STREAMS) steps.push(...buildSteps(stream.faults, LATER_STEP_GAP_MS, untilMs, createRandom(seed + stream.seedOffset)))
  }
  const changesMs: number[] = []
  for (let atMs = 0; atMs < untilMs; atMs += chooseGap(random)) changesMs.push(atMs)
  for (const { atMs } of steps) changesMs.push(atMs + MAX_CHANGE_DELAY_MS * random.next())
  return { steps, changesMs, staleReadMs, untilMs }
}
