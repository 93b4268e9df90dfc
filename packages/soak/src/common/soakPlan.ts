/**
 * Plans the steps of a soak run; the plan depends only on the seed and the duration.
 * Phases with planned maintenance only, in which stopping a process must not cut off
 * any request, alternate with phases in which faults of all kinds overlap.
 */
import { type IRandomSource, SeededRandom } from '@umberspar/base/common/random'

/** The action of a step. */
export enum SoakStepKind {
  /** Kills an entry process and restarts it after the step's duration. */
  EntryKill = 'entry-kill',
  /** Pauses an entry process for the step's duration. */
  EntryPause = 'entry-pause',
  /** Stops an entry process gracefully and restarts it once it has exited. */
  EntryStop = 'entry-stop',
  /** Changes the settings of an entry process and makes it reload them by SIGHUP. */
  EntryReload = 'entry-hang-up',
  /** Shifts the wall clock of an entry VM, and shifts it back after the step's duration. */
  ClockStep = 'clock-step',
  /** Ends a worker and its connections; a cold replacement starts after the registration has expired. */
  WorkerCrash = 'worker-crash',
  /** Drains a worker: it announces its end, serves for a while and ends; a replacement starts. */
  WorkerDrain = 'worker-drain',
  /** Ends a worker and starts a worker of another service at the same address. */
  WorkerAddressReuse = 'worker-reuse',
  /** Makes a worker misbehave for the step's duration; `variant` selects the fault. */
  WorkerFault = 'worker-fault',
  /** Makes the store misbehave towards some or all entry VMs for the step's duration; `variant` selects the fault. */
  StoreFault = 'store-fault',
  /** Makes the store compact its history and close all watches. */
  StoreCompact = 'store-compact',
  /** Makes the connections of a link misbehave for the step's duration; `variant` selects the fault. */
  LinkFault = 'link-fault',
  /** Writes a configuration with a new route, without the one added before. */
  ConfigurationChange = 'configuration-change',
  /** Evacuates a failure domain, and ends the evacuation after the step's duration. */
  Evacuation = 'evacuation',
  /** Ends a worker and restarts it cold, under the same id at another address. */
  WorkerRestart = 'worker-restart',
  /** A worker announces its drain in its responses only, while its registration is renewed as ready, and ends after a while. */
  WorkerUnregisteredDrain = 'worker-unregistered-drain',
  /** A worker, or all of a service, refuses requests and asks for a pause, for the step's duration; `variant` selects its length. */
  WorkerPause = 'worker-pause',
  /** Overwrites a worker's registration for the step's duration, as a foreign writer might; `variant` selects the text. */
  RegistrationOverwrite = 'foreign-entry',
  /** The store comes back from a copy as old as the step's duration; what was lost is written again, `variant` selects when. */
  StoreRollback = 'store-rollback',
  /** Cuts some entry VMs off from all workers for the step's duration; `variant` selects how. */
  WorkersUnreachable = 'workers-unreachable',
  /** Some entry VMs' datagrams about load are lost one way for the step's duration; `variant` selects the way and how many. */
  ExchangeLoss = 'exchange-loss',
  /** A service slows down and an account sends many times its usual requests to it, for some seconds more than the step's duration. */
  Rush = 'rush',
  /** A worker announces a rate limit, for some seconds more than the step's duration; `variant` selects the limit. */
  WorkerRateLimit = 'worker-rate-limit',
  /** Makes a worker send invalid responses for the step's duration; `variant` selects how. */
  WorkerInvalidResponse = 'worker-invalid-response'
}

/** A step of the plan. */
export interface SoakStep {
  readonly kind: SoakStepKind
  /** Time since the start of the load, in milliseconds. */
  readonly atMs: number
  /** Duration of the step, in milliseconds. */
  readonly spanMs: number
  /** Selects the target by its relative position, 0 to 1. */
  readonly target: number
  /** Selects the variant of the action, 0 to 1. */
  readonly variant: number
}

/** A phase of a run; its bounds are times since the start of the load. */
export interface SoakPhase {
  readonly fromMs: number
  readonly untilMs: number
  /** Whether it contains planned maintenance only. */
  readonly isPlanned: boolean
}

/** The plan of a run. */
export interface SoakPlan {
  readonly phases: readonly SoakPhase[]
  readonly steps: readonly SoakStep[]
  /** Where the first region's wave of demand stands at the start, as a part of its period. */
  readonly waveOffset: number
  /** End of the run, in milliseconds. The time between the last step and the end is left for recovery. */
  readonly untilMs: number
}

const PLANNED_KINDS = [SoakStepKind.EntryStop, SoakStepKind.EntryReload, SoakStepKind.WorkerDrain, SoakStepKind.ConfigurationChange, SoakStepKind.Evacuation]
/** The first numbers of a random source are much the same for all seeds. */
const SKIPPED_DRAWS = 20
/** Kinds added later. They use random streams of their own, so that seeds recorded earlier still result in the same steps of the other kinds. */
const LATER_STREAMS: ReadonlyArray<{ readonly kinds: readonly SoakStepKind[], readonly seedOffset: number, readonly skippedDraws?: number, readonly gapMs: number, readonly isPlannedToo?: boolean }> = [
  { kinds: [SoakStepKind.WorkerRestart, SoakStepKind.RegistrationOverwrite], seedOffset: 1_000_003, gapMs: 2_500 },
  { kinds: [SoakStepKind.WorkerUnregisteredDrain, SoakStepKind.WorkerPause], seedOffset: 2_000_003, gapMs: 2_500 },
  { kinds: [SoakStepKind.StoreRollback], seedOffset: 3_000_003, gapMs: 6_000 },
  { kinds: [SoakStepKind.WorkersUnreachable], seedOffset: 4_000_003, gapMs: 6_000 },
  { kinds: [SoakStepKind.ExchangeLoss], seedOffset: 5_000_003, skippedDraws: SKIPPED_DRAWS, gapMs: 3_000 },
  { kinds: [SoakStepKind.Rush], seedOffset: 6_000_003, skippedDraws: SKIPPED_DRAWS, gapMs: 6_000, isPlannedToo: true },
  { kinds: [SoakStepKind.WorkerRateLimit], seedOffset: 8_000_003, skippedDraws: SKIPPED_DRAWS, gapMs: 4_000, isPlannedToo: true },
  { kinds: [SoakStepKind.WorkerInvalidResponse], seedOffset: 9_000_003, skippedDraws: SKIPPED_DRAWS, gapMs: 3_000 }
]
const MIXED_KINDS = Object.values(SoakStepKind).filter((kind) => !LATER_STREAMS.some(({ kinds }) => kinds.includes(kind)))

const WAVE_SEED_OFFSET = 7_000_003
const WAVE_PERIOD_MS = 12_000
const WAVE_AMPLITUDE = 0.8

/** Time without steps at the start of the run, and at its end, for recovery. */
const WARM_UP_MS = 2_000
const RECOVERY_MS = 9_000
/** Pause between a phase with faults and the next planned phase, so that effects of the faults don't reach into the latter. */
const SETTLE_MS = 5_000
const PHASE_MS = 10_000
const MIN_STEP_MS = 300
const MAX_STEP_MS = 3_500
/** Mean time between steps; given the durations above, two or three steps overlap. */
const MEAN_STEP_GAP_MS: Readonly<Record<'planned' | 'mixed', number>> = { planned: 1_800, mixed: 700 }
/** A graceful stop takes up to its grace period of 4 s, so the last steps of a planned phase start this long before its end. */
const STOP_ALLOWANCE_MS = 4_500

function buildPhases (spanMs: number): SoakPhase[] {
  const phases: SoakPhase[] = []
  let fromMs = WARM_UP_MS
  let isPlanned = true
  while (fromMs + SETTLE_MS < spanMs - RECOVERY_MS) {
    const untilMs = Math.min(fromMs + PHASE_MS, spanMs - RECOVERY_MS)
    phases.push({ fromMs, untilMs, isPlanned })
    fromMs = untilMs + (isPlanned ? 0 : SETTLE_MS)
    isPlanned = !isPlanned
  }
  return phases
}

function buildSteps (phase: SoakPhase, random: IRandomSource): SoakStep[] {
  return phase.isPlanned ? addSteps(phase, PLANNED_KINDS, MEAN_STEP_GAP_MS.planned, random) : addSteps(phase, MIXED_KINDS, MEAN_STEP_GAP_MS.mixed, random)
}

function createStream (seed: number, skippedDraws = 0): IRandomSource {
  const random = new SeededRandom(seed)
  for (let draw = 0; draw < skippedDraws; draw++) random.next()
  return random
}

function addSteps ({ fromMs, untilMs, isPlanned }: SoakPhase, kinds: readonly SoakStepKind[], gapMs: number, random: IRandomSource): SoakStep[] {
  const lastStepMs = isPlanned ? untilMs - STOP_ALLOWANCE_MS : untilMs
  const steps: SoakStep[] = []
  for (let atMs = fromMs; atMs < lastStepMs; atMs += gapMs * (0.3 + 1.4 * random.next())) {
    const spanMs = Math.min(MIN_STEP_MS + (MAX_STEP_MS - MIN_STEP_MS) * random.next(), Math.max(MIN_STEP_MS, untilMs - atMs))
    steps.push({ kind: kinds[Math.floor(random.next() * kinds.length)]!, atMs, spanMs, target: random.next(), variant: random.next() })
  }
  return steps
}

/**
 * @param seed seed of the random choices; equal arguments result in equal plans
 * @param seconds duration of the run
 * @returns the plan
 */
export function planSoak (seed: number, seconds: number): SoakPlan {
  const random = new SeededRandom(seed)
  const untilMs = seconds * 1_000
  const phases = buildPhases(untilMs)
  const laterSteps = LATER_STREAMS.flatMap(({ kinds, seedOffset, skippedDraws, gapMs, isPlannedToo = false }) => {
    const streamRandom = createStream(seed + seedOffset, skippedDraws)
    return phases.filter(({ isPlanned }) => isPlannedToo || !isPlanned).flatMap((phase) => addSteps(phase, kinds, gapMs, streamRandom))
  })
  const steps = [...phases.flatMap((phase) => buildSteps(phase, random)), ...laterSteps]
  return { phases, steps, waveOffset: createStream(seed + WAVE_SEED_OFFSET, SKIPPED_DRAWS).next(), untilMs }
}

/**
 * @param plan the plan of the run
 * @param regionIndex the region's position in the list of regions
 * @param atMs time since the start of the load, in milliseconds
 * @returns the region's demand relative to its mean; the waves of successive regions are a third of a period apart
 */
export function computeDemand ({ waveOffset }: SoakPlan, regionIndex: number, atMs: number): number {
  return 1 + WAVE_AMPLITUDE * Math.sin(2 * Math.PI * (waveOffset + atMs / WAVE_PERIOD_MS + regionIndex / 3))
}
