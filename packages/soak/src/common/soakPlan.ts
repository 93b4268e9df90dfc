/**
 * What goes wrong in a soak run, from its seed alone: phases with planned work
 * only, whose stops must cut off nothing, take turns with phases in which faults
 * of all kinds overlap.
 */
import { type IRandomSource, SeededRandom } from '@umberspar/base/common/random'

/** What a step does. */
export enum SoakStepKind {
  /** An entry process is ended at once and started again after the span. */
  EntryKill = 'entry-kill',
  /** An entry process stands still for the span. */
  EntryPause = 'entry-pause',
  /** An entry process is asked to stop, and started again when it has ended. */
  EntryStop = 'entry-stop',
  /** An entry process's settings change, with a signal. */
  EntryHangUp = 'entry-hang-up',
  /** The time of day jumps on an entry VM and back after the span. */
  ClockStep = 'clock-step',
  /** A worker is gone with its connections; another starts after the span, cold. */
  WorkerCrash = 'worker-crash',
  /** A worker announces that it leaves, serves on and ends; another takes its place. */
  WorkerDrain = 'worker-drain',
  /** A worker ends and another service's worker takes its address. */
  WorkerReuse = 'worker-reuse',
  /** A worker answers wrongly for the span; `variant` says how. */
  WorkerFault = 'worker-fault',
  /** The store treats some entry VMs badly for the span; `variant` says how. */
  StoreFault = 'store-fault',
  /** The store forgets its history and cuts what waits. */
  StoreCompact = 'store-compact',
  /** Connections of a link misbehave for the span; `variant` says how. */
  LinkFault = 'link-fault',
  /** The operator adds a route and takes the one before it away. */
  ConfigurationChange = 'configuration-change',
  /** A failure domain is evacuated and taken back after the span. */
  Evacuation = 'evacuation',
  /** A worker ends and starts again under its id, elsewhere and cold. */
  WorkerRestart = 'worker-restart',
  /** Another writer overwrites a worker's registration for the span; `variant` says with what. */
  ForeignEntry = 'foreign-entry'
}

/** One step. */
export interface SoakStep {
  readonly kind: SoakStepKind
  /** From the start of the load, in milliseconds. */
  readonly atMs: number
  /** How long it lasts, in milliseconds. */
  readonly spanMs: number
  /** Picks whom it strikes, 0 to 1. */
  readonly target: number
  /** Picks the form, 0 to 1. */
  readonly variant: number
}

/** A stretch of a run. */
export interface SoakPhase {
  readonly fromMs: number
  readonly untilMs: number
  /** Whether only planned work happens in it. */
  readonly isPlanned: boolean
}

/** What a run does. */
export interface SoakPlan {
  readonly phases: readonly SoakPhase[]
  readonly steps: readonly SoakStep[]
  /** After the last step everything works again and stays so until the end, in milliseconds. */
  readonly untilMs: number
}

const PLANNED_KINDS = [SoakStepKind.EntryStop, SoakStepKind.EntryHangUp, SoakStepKind.WorkerDrain, SoakStepKind.ConfigurationChange, SoakStepKind.Evacuation]
/** Drawn by a stream of their own, so that seeds recorded before these kinds came still give the same other steps. */
const LATER_KINDS = [SoakStepKind.WorkerRestart, SoakStepKind.ForeignEntry]
const MIXED_KINDS = Object.values(SoakStepKind).filter((kind) => !LATER_KINDS.includes(kind))
const LATER_SEED_OFFSET = 1_000_003
const LATER_GAP_MS = 2_500

/** Traffic without any step at the start, and at the end, when everything must be well again, in milliseconds. */
const LEAD_MS = 2_000
const HEAL_MS = 9_000
/** Between a phase with faults and one with planned work only, so that the latter is not spoilt by the former, in milliseconds. */
const SETTLE_MS = 5_000
const PHASE_MS = 10_000
const LEAST_SPAN_MS = 300
const MOST_SPAN_MS = 3_500
/** Mean time between steps, in milliseconds; with the spans above two or three overlap. */
const GAP_MS: Readonly<Record<'planned' | 'mixed', number>> = { planned: 1_800, mixed: 700 }
/** A planned stop takes up to its grace of 4 s; the phase's last steps leave room for it, in milliseconds. */
const STOP_MS = 4_500

function buildPhases (spanMs: number): SoakPhase[] {
  const phases: SoakPhase[] = []
  let fromMs = LEAD_MS
  let isPlanned = true
  while (fromMs + SETTLE_MS < spanMs - HEAL_MS) {
    const untilMs = Math.min(fromMs + PHASE_MS, spanMs - HEAL_MS)
    phases.push({ fromMs, untilMs, isPlanned })
    fromMs = untilMs + (isPlanned ? 0 : SETTLE_MS)
    isPlanned = !isPlanned
  }
  return phases
}

function buildSteps (phase: SoakPhase, random: IRandomSource): SoakStep[] {
  return phase.isPlanned ? addSteps(phase, PLANNED_KINDS, GAP_MS.planned, random) : addSteps(phase, MIXED_KINDS, GAP_MS.mixed, random)
}

function addSteps ({ fromMs, untilMs, isPlanned }: SoakPhase, kinds: readonly SoakStepKind[], gapMs: number, random: IRandomSource): SoakStep[] {
  const lastMs = isPlanned ? untilMs - STOP_MS : untilMs
  const steps: SoakStep[] = []
  for (let atMs = fromMs; atMs < lastMs; atMs += gapMs * (0.3 + 1.4 * random.next())) {
    const spanMs = Math.min(LEAST_SPAN_MS + (MOST_SPAN_MS - LEAST_SPAN_MS) * random.next(), Math.max(LEAST_SPAN_MS, untilMs - atMs))
    steps.push({ kind: kinds[Math.floor(random.next() * kinds.length)]!, atMs, spanMs, target: random.next(), variant: random.next() })
  }
  return steps
}

/**
 * @param seed the same seed gives the same plan
 * @param seconds how long the run lasts
 * @returns the plan
 */
export function planSoak (seed: number, seconds: number): SoakPlan {
  const random = new SeededRandom(seed)
  const untilMs = seconds * 1_000
  const phases = buildPhases(untilMs)
  const later = new SeededRandom(seed + LATER_SEED_OFFSET)
  const mixed = phases.filter(({ isPlanned }) => !isPlanned)
  const steps = [...phases.flatMap((phase) => buildSteps(phase, random)), ...mixed.flatMap((phase) => addSteps(phase, LATER_KINDS, LATER_GAP_MS, later))]
  return { phases, steps, untilMs }
}
