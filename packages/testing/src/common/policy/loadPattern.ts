/** The load patterns of the policy simulation: one service in three regions. */
import type { Instant } from '@umberspar/base/common/clock'
import type { ExchangeTraits } from './simulatedExchange.js'
import type { WorkerTraits } from './simulatedWorker.js'

/** The names of load patterns on the command line. */
export enum PatternName {
  /** Objects requested through several entry VMs, with a load well below the workers' capacity. */
  SharedObjects = 'shared-objects',
  /** The same objects with three quarters of the slots busy. */
  BusyWorkers = 'busy-workers',
  /** All VMs and workers start at the same time with empty caches. */
  ColdStart = 'cold-start',
  /** More requests than slots for several seconds. */
  Burst = 'burst',
  /** Some workers are temporarily several times slower. */
  SlowWorkers = 'slow-workers',
  /** Workers refuse some of their requests. */
  RefusingWorkers = 'refusing-workers',
  /** A third of the workers fails and restarts with empty caches. */
  LostWorkers = 'lost-workers',
  /** All entry VMs lose their state while under load. */
  RestartedVms = 'restarted-vms',
  /** Workers can cache fewer objects than are routed to them. */
  SmallCaches = 'few-kept',
  /** A cold start of hundreds of VMs and workers, with regions of different sizes and long service times. */
  LargeColdStart = 'large-cold-start',
  /** The same fleet after its start, with many more requests for several seconds. */
  LargeBurst = 'large-burst',
  /** The same fleet with an outage of all VMs, which lose their state. */
  LargeOutage = 'large-dark'
}

/** A temporary change of the load or of some workers. */
export interface PatternStep {
  readonly at: Instant
  readonly until: Instant
  /** Share of the workers that are affected, between 0 and 1. */
  readonly affectedShare: number
  /** Factor on the service times of the affected workers. */
  readonly slowFactor?: number
  /** Share of requests that the affected workers refuse, between 0 and 1. */
  readonly refusedShare?: number
  readonly isDown?: boolean
  /** Factor on the arrival rate of all regions. */
  readonly arrivalRateFactor?: number
}

/** A load pattern and the fleet that serves it. */
export interface LoadPattern {
  readonly traits: WorkerTraits
  readonly domainsPerRegion: number
  /** One number for each of the three regions. */
  readonly workersPerDomain: readonly [number, number, number]
  readonly vmsPerDomain: number
  /** One-way network delay between regions. */
  readonly crossRegionDelayMs: number
  readonly objectsPerRegion: number
  /** Total of all regions. */
  readonly requestsPerSecond: number
  /** An answer is in time up to this latency. */
  readonly goalMs: number
  readonly callerTimeoutMs: number
  /** Share of callers that ignore retry delays and retry immediately, between 0 and 1. */
  readonly immediateRetryShare: number
  readonly durationMs: number
  /** Requests that arrive earlier are excluded from the result. */
  readonly measureFromMs: number
  /** When all entry VMs restart without state; undefined for never. */
  readonly restartAt?: Instant
  /** Duration of the outage before that; requests in flight at its start are lost and retried. */
  readonly outageMs?: number
  readonly steps: readonly PatternStep[]
  /** How VMs exchange the load of workers; undefined if they don't. */
  readonly exchange?: ExchangeTraits
  /** The pace of each worker's machine changes at this interval; undefined for never. */
  readonly paceIntervalMs?: number
}

/** A typical service with about half of its slots busy; a cache miss alone takes longer than the goal, a cache hit 0.3 of that. */
const TYPICAL_PATTERN: LoadPattern = {
  traits: { slots: 3, queueCapacity: 9, cacheCapacity: 25, coldServiceMs: 480, warmServiceRatio: 0.3 },
  domainsPerRegion: 2,
  workersPerDomain: [2, 2, 2],
  vmsPerDomain: 2,
  crossRegionDelayMs: 12,
  objectsPerRegion: 24,
  requestsPerSecond: 120,
  goalMs: 300,
  callerTimeoutMs: 2_500,
  immediateRetryShare: 0,
  durationMs: 30_000,
  measureFromMs: 10_000,
  steps: []
}

/** A large fleet: each VM sends about one request per minute to each worker, and the service has about a thousand objects. */
const LARGE_FLEET_PATTERN: LoadPattern = {
  ...TYPICAL_PATTERN,
  traits: { slots: 5, queueCapacity: 15, cacheCapacity: 13, coldServiceMs: 1_630, warmServiceRatio: 0.25 },
  domainsPerRegion: 3,
  workersPerDomain: [10, 44, 53],
  vmsPerDomain: 22,
  crossRegionDelayMs: 35,
  objectsPerRegion: 336,
  requestsPerSecond: 1_021,
  goalMs: 1_000,
  callerTimeoutMs: 6_000,
  durationMs: 18_000,
  measureFromMs: 8_000
}

const FAULT_INTERVAL = { at: 12_000, until: 20_000 }

/** All patterns. */
export const PATTERNS: Readonly<Record<PatternName, LoadPattern>> = {
  [PatternName.SharedObjects]: TYPICAL_PATTERN,
  [PatternName.BusyWorkers]: { ...TYPICAL_PATTERN, requestsPerSecond: 180 },
  [PatternName.ColdStart]: { ...TYPICAL_PATTERN, measureFromMs: 0, durationMs: 10_000 },
  [PatternName.Burst]: { ...TYPICAL_PATTERN, immediateRetryShare: 0.2, steps: [{ ...FAULT_INTERVAL, affectedShare: 0, arrivalRateFactor: 2.5 }] },
  [PatternName.SlowWorkers]: { ...TYPICAL_PATTERN, steps: [{ ...FAULT_INTERVAL, affectedShare: 0.2, slowFactor: 5 }] },
  [PatternName.RefusingWorkers]: { ...TYPICAL_PATTERN, steps: [{ ...FAULT_INTERVAL, affectedShare: 1, refusedShare: 0.5 }] },
  [PatternName.LostWorkers]: { ...TYPICAL_PATTERN, steps: [{ ...FAULT_INTERVAL, affectedShare: 0.34, isDown: true }] },
  [PatternName.RestartedVms]: { ...TYPICAL_PATTERN, restartAt: 15_000 },
  [PatternName.SmallCaches]: { ...TYPICAL_PATTERN, traits: { ...TYPICAL_PATTERN.traits, cacheCapacity: 4 }, requestsPerSecond: 60 },
  [PatternName.LargeColdStart]: { ...LARGE_FLEET_PATTERN, durationMs: 8_000, measureFromMs: 0 },
  [PatternName.LargeBurst]: { ...LARGE_FLEET_PATTERN, steps: [{ at: 10_000, until: 13_000, affectedShare: 0, arrivalRateFactor: 1.7 }] },
  [PatternName.LargeOutage]: { ...LARGE_FLEET_PATTERN, measureFromMs: 10_000, restartAt: 12_000, outageMs: 1_500 }
}

/** These take ten seconds or more per run, so they are simulated only when requested by name. */
const LARGE_FLEET_PATTERNS: readonly PatternName[] = [PatternName.LargeColdStart, PatternName.LargeBurst, PatternName.LargeOutage]

/** The patterns to simulate if none is requested by name. */
export const DEFAULT_PATTERNS: readonly PatternName[] = Object.values(PatternName).filter((name) => !LARGE_FLEET_PATTERNS.includes(name))
