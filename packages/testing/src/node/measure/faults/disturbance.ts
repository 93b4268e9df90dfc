/** What goes wrong during the run with faults, drawn from a seed. */
import type { IRandomSource } from '@umberspar/base/common/random'
import { chooseWeighted } from '../../../common/load/arrivals.js'
import { AnswerFault, RequestFault } from '../../standIns/upstream/workerFaults.js'
import type { WorkerFaults } from '../../standIns/upstream/workerFaults.js'

/** What goes wrong for a while, beside the faults of single requests. */
export enum DisturbanceKind {
  /** An entry VM's process dies at once and is started again. */
  DaemonKill = 'daemon-kill',
  /** An entry VM's process is stopped as planned and started again. */
  DaemonRestart = 'daemon-restart',
  /** The key-value service refuses every call. */
  StoreOutage = 'store-outage',
  /** Half of the writes take effect and their answers are lost. */
  StoreLostAnswers = 'store-lost-answers',
  /** A third of the calls are lost without effect. */
  StoreLostCalls = 'store-lost-calls',
  /** Every call waits. */
  StoreSlow = 'store-slow',
  /** Open watches break once. */
  StoreCutWatches = 'store-cut-watches',
  /** A worker announces that it leaves, refuses new work and comes back. */
  WorkerDrain = 'worker-drain',
  /** A worker is gone with all its connections and comes back cold. */
  WorkerLoss = 'worker-loss',
  /** A worker is ten times slower. */
  WorkerSlow = 'worker-slow',
  /** All workers of a service are so slow that the load takes all of their slots. */
  ServiceSlow = 'service-slow'
}

/** Disturbances of one track follow each other; those of different tracks overlap. */
export enum DisturbanceTrack {
  Entries = 'entries',
  Store = 'store',
  Workers = 'workers',
  /** A second one, so that two workers may be gone at a time. */
  OtherWorkers = 'other-workers'
}

/** One thing that goes wrong. */
export interface Disturbance {
  readonly kind: DisturbanceKind
  /** How long nothing of this track goes wrong before it, in milliseconds. */
  readonly pauseSpanMs: number
  /** How long it lasts, in milliseconds. */
  readonly lastSpanMs: number
  /** Which of the possible targets, as a part of their number: 0 to below 1. */
  readonly target: number
}

/** The faults of single requests, in force during the whole run; the parts of all requests. */
export const REQUEST_FAULTS: Pick<WorkerFaults, 'requestFaults' | 'answerFaults'> = {
  requestFaults: {
    [RequestFault.Refuse]: 0.02,
    [RequestFault.RefuseAfterBody]: 0.01,
    [RequestFault.Reset]: 0.005,
    [RequestFault.Hang]: 0.001
  },
  answerFaults: {
    [AnswerFault.ResetBeforeFirstByte]: 0.005,
    [AnswerFault.ResetAfterFirstByte]: 0.005,
    [AnswerFault.ShortOfContentLength]: 0.005,
    [AnswerFault.UnfinishedChunks]: 0.005,
    [AnswerFault.MalformedChunk]: 0.003,
    [AnswerFault.Late]: 0.002,
    [AnswerFault.Trickled]: 0.005
  }
}

const KINDS_BY_TRACK: Readonly<Record<DisturbanceTrack, readonly DisturbanceKind[]>> = {
  [DisturbanceTrack.Entries]: [DisturbanceKind.DaemonKill, DisturbanceKind.DaemonRestart],
  [DisturbanceTrack.Store]: [
    DisturbanceKind.StoreOutage, DisturbanceKind.StoreLostAnswers, DisturbanceKind.StoreLostCalls,
    DisturbanceKind.StoreSlow, DisturbanceKind.StoreCutWatches
  ],
  [DisturbanceTrack.Workers]: [DisturbanceKind.WorkerDrain, DisturbanceKind.WorkerLoss, DisturbanceKind.WorkerSlow, DisturbanceKind.ServiceSlow],
  [DisturbanceTrack.OtherWorkers]: [DisturbanceKind.WorkerDrain, DisturbanceKind.WorkerLoss]
}

const MIN_PAUSE_MS = 1000
const MAX_PAUSE_MS = 5000
const MIN_LAST_MS = 500
const MAX_LAST_MS = 5000

function chooseSpanMs (random: IRandomSource, minMs: number, maxMs: number): number {
  return minMs + random.next() * (maxMs - minMs)
}

/**
 * Draws what goes wrong next. Kinds, order, targets and spans follow from the
 * seed; how long a process takes to stop or start does not.
 * @param random the track's own source
 * @param track which
 * @returns the next disturbance of the track
 */
export function takeNextDisturbance (random: IRandomSource, track: DisturbanceTrack): Disturbance {
  return {
    kind: chooseWeighted(random, KINDS_BY_TRACK[track], () => 1),
    pauseSpanMs: chooseSpanMs(random, MIN_PAUSE_MS, MAX_PAUSE_MS),
    lastSpanMs: chooseSpanMs(random, MIN_LAST_MS, MAX_LAST_MS),
    target: random.next()
  }
}

/**
 * @param disturbance what goes wrong
 * @param targets whom it can hit, not empty
 * @returns whom it hits
 */
export function chooseTarget<T> (disturbance: Disturbance, targets: readonly T[]): T {
  return targets[Math.floor(disturbance.target * targets.length)] as T
}
