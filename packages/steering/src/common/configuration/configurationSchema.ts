/**
 * The schema of the steering configuration that operators edit. Fields that end in
 * `Ms` are durations in milliseconds; the code that uses them turns them into deadlines.
 */
import { z } from 'zod'

/** Which requests are idempotent, so that they may be retried after a failure. */
export enum IdempotenceRule {
  /** Requests with one of the safe methods of RFC 9110 are idempotent, all others are not. */
  ByMethod = 'by-method',
  /** All requests of the route are idempotent. */
  Idempotent = 'idempotent',
  /** No request of the route is idempotent. */
  NotIdempotent = 'not-idempotent'
}

/** How the traffic plan reacts while measurements are stale. */
export enum StaleRule {
  /** The plan stays unchanged. */
  Hold = 'hold',
  /** Traffic shifts towards the nearest region with capacity, ignoring measurements, by one planned step per `staleAfterMs`. */
  ByCapacity = 'by-capacity'
}

/** Which resource of an upstream a request mainly occupies. */
export enum RequestKind {
  /** A short call, which occupies a slot briefly. */
  Call = 'call',
  /** An upload, which occupies a connection for a long time but a slot only briefly. */
  Upload = 'upload'
}

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'expected lower-case letters, digits and hyphens, at most 63')
const address = z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, 'expected an IP address and port, like 10.0.0.1:8080 or [::1]:8080')
const durationMs = z.number().int().min(1).max(86_400_000)
const fraction = z.number().min(0).max(1)
const shiftFraction = z.number().gt(0, 'expected a fraction above 0 and at most 1').max(1, 'expected a fraction above 0 and at most 1')

/** One server process of an upstream. */
const worker = z.strictObject({
  address,
  /** Maximum number of requests that the worker runs concurrently. */
  slots: z.number().int().min(1).max(100_000),
  /** Maximum number of concurrent connections from all entry VMs together. */
  connections: z.number().int().min(1).max(1_000_000)
})

/** The workers of a service in one failure domain. */
const place = z.strictObject({
  workers: z.record(name, worker),
  /** Maximum number of concurrent requests in this place; defaults to the sum of the workers' slots. */
  maxConcurrency: z.number().int().min(1).optional()
})

/** Settings for requests whose path begins with a prefix; the longest matching prefix applies. */
const route = z.strictObject({
  /** A path below `/v1/services/S`, beginning with `/`. */
  prefix: z.string().startsWith('/'),
  repeat: z.enum(IdempotenceRule).default(IdempotenceRule.ByMethod),
  kind: z.enum(RequestKind).default(RequestKind.Call),
  /** Priority when requests wait for a slot, from 0 (first) to 9 (last). */
  priority: z.number().int().min(0).max(9).default(5)
})

/** The response by which an upstream signals that it did not run a request. */
const refusal = z.strictObject({
  status: z.number().int().min(400).max(599).default(503),
  header: z.string().min(1).default('umberspar-not-run'),
  value: z.string().default('1')
})

/** The service-level objective that the burn report uses. */
const objective = z.strictObject({
  /** The fraction of requests that must be good. */
  target: z.number().gt(0).lt(1).default(0.999),
  /** A request is good if its response is complete within this time. */
  latencyMs: durationMs.default(1000)
})

const service = z.strictObject({
  places: z.record(name, place),
  routes: z.array(route).default([]),
  refusal: refusal.prefault({}),
  objective: objective.prefault({}),
  /** Whether requests with an Idempotency-Key are claimed in the store before they run. */
  deduplicate: z.boolean().default(false),
  /** Time limit of requests whose caller does not set one. */
  answerWithinMs: durationMs.default(30_000),
  /** Maximum number of requests for this service that wait for a slot at one entry VM. */
  maxQueue: z.number().int().min(0).default(64),
  /** Maximum number of retries and hedges as a fraction of first attempts. */
  retryBudget: fraction.default(0.1),
  /** Time in which an upstream that starts cold, or receives shifted traffic, is ramped up to its full weight. */
  warmUpMs: durationMs.default(10_000)
})

/** A network link from one region to another and its capacity. */
const link = z.strictObject({
  from: name,
  to: name,
  /** One-way latency of the unloaded link. */
  oneWayMs: z.number().min(0),
  /** Maximum number of concurrent requests over the link in this direction. */
  maxConcurrency: z.number().int().min(1)
})

const region = z.strictObject({
  failureDomains: z.array(name).min(1),
  /** CIDR prefixes of the clients that are nearest to this region. */
  clientBlocks: z.array(z.string()).default([]),
  /** One-way latency between the region and its clients. */
  clientDelayMs: z.number().min(0).default(1)
})

/** Limits on how fast traffic is shifted. */
const shiftCaps = z.strictObject({
  /** Maximum fraction of a client region's traffic for a service that one planned step shifts. */
  planned: shiftFraction,
  /** The same for shifts away from failed places. */
  emergency: shiftFraction,
  /** Minimum time between two steps, in addition to waiting for new measurements. */
  settleMs: durationMs.default(1000),
  /** Measurements that are older than this are ignored. */
  staleAfterMs: durationMs.default(5000),
  /** What the plan does once there have been no measurements for `staleAfterMs`. */
  whenStale: z.enum(StaleRule).default(StaleRule.Hold)
})

/** Regions, failure domains and places that operators have drained. */
const drains = z.strictObject({
  failureDomains: z.array(name).default([]),
  regions: z.array(name).default([]),
  /** Single services in single failure domains. */
  places: z.array(z.strictObject({ service: name, failureDomain: name })).default([])
})

/** The complete steering configuration. */
export const configurationSchema = z.strictObject({
  deployment: name,
  regions: z.record(name, region),
  links: z.array(link).default([]),
  services: z.record(name, service),
  shiftCaps,
  drains: drains.prefault({}),
  /** How long callers may cache the response to a look-up. */
  lookupCacheMs: durationMs.default(2000),
  /** Number of entry VMs per region that a look-up returns for one service. */
  entriesPerRegion: z.number().int().min(1).max(64).default(2)
})

/** A steering configuration that conforms to the schema. */
export type SteeringConfiguration = z.output<typeof configurationSchema>
/** One service of a configuration. */
export type ServiceConfiguration = z.output<typeof service>
/** The workers of a service in one failure domain. */
export type PlaceConfiguration = z.output<typeof place>
/** One server process of an upstream. */
export type WorkerConfiguration = z.output<typeof worker>
/** Settings for requests under a path prefix. */
export type RouteConfiguration = z.output<typeof route>
/** The response by which an upstream signals that it did not run a request. */
export type RefusalConfiguration = z.output<typeof refusal>
