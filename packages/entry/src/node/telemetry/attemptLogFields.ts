/** The log fields of attempts. */
import type { CacheState } from '@umberspar/steering/common/entry/workers/cacheHitEstimator'
import type { AttemptOutcome } from './requestOutcomes.js'

/** The log fields of an attempt and of the decision that led to it. */
export interface AttemptLogFields {
  readonly requestId: string | undefined
  readonly route: string
  readonly service: string
  readonly worker: string
  readonly domain: string
  /** The worker's position in the ranking for the affinity key, 0 for the first. */
  readonly rank: number
  /** The affinity key of the request; undefined if it has none. */
  readonly object: string | undefined
  /** What was known about whether the worker has the object of the affinity key cached. */
  readonly hand: CacheState
  /** The estimated probability of a cache hit at the worker. */
  readonly handChance: number
  /** The number of this attempt for the request, from 1. */
  readonly offer: number
  /** Expected time until the response, in milliseconds. */
  readonly expectedMs: number
  /** Expected wait for a slot at the worker, in milliseconds. */
  readonly waitMs: number
  /** The score of the worker: the expected worth of the response less its cost. */
  readonly value: number
  /** Estimated number of requests in flight at the worker, from all entry VMs. */
  readonly held: number
  /** Estimated share of requests that the worker fails, 0 to 1. */
  readonly failure: number
  /** How many times slower the worker is than its service, at least 1. */
  readonly slowness: number
  readonly isCold: boolean
  /** Age of the newest load report of the worker, in milliseconds; undefined if there is none. */
  readonly reportAgeMs: number | undefined
  /** How many times longer than usual work was assumed to take there; 1 if that wasn't known. */
  readonly pace: number
  readonly configuration: number
  readonly era: number
  readonly revision: number
  /** Time since the records were last known to be current, in milliseconds. */
  readonly recordsAgeMs: number
}

/** The log fields of the end of an attempt. */
export interface AttemptEndLogFields {
  readonly requestId: string | undefined
  /** Correlates attempts of the same request; undefined unless the connection to the worker was lost. */
  readonly digest: string | undefined
  readonly service: string
  readonly worker: string
  readonly end: AttemptOutcome
  readonly spanMs: number
  readonly status: number | undefined
  /** How long the connection had been idle; undefined for a new one. */
  readonly idleMs: number | undefined
  /** Whether the head of a response had arrived: without one on a reused connection, the connection may have been silent. */
  readonly hasHead: boolean
}

/** The log fields of the end of an attempt by way of another VM. */
export interface RelayEndLogFields {
  readonly requestId: string | undefined
  readonly service: string
  /** The other VM's name. */
  readonly relay: string
  readonly end: AttemptOutcome
  readonly spanMs: number
  readonly status: number | undefined
}
