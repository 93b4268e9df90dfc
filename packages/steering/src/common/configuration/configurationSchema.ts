/**
 * The steering configuration: what operators write, checked field by field.
 * Spans of time in it (…Ms) are policy; they turn into deadlines where used.
 */
import { z } from 'zod'

/** What may follow a request that failed. */
export enum RepeatRule {
  /** RFC 9110's safe methods are idempotent, all others are not. */
  ByMethod = 'by-method',
  /** Every request of the route may be repeated. */
  Idempotent = 'idempotent',
  /** No request of the route may run twice. */
  NotIdempotent = 'not-idempotent'
}

/** What the plan does while measurements are missing. */
export enum StaleRule {
  /** It stays as it is. */
  Hold = 'hold',
  /** It goes to the nearest region by capacity, without any measurement, one planned step per `staleAfterMs`. */
  ByCapacity = 'by-capacity'
}

/** What a request mainly occupies at an upstream. */
export enum RequestKind {
  /** A short call: a slot for a moment. */
  Call = 'call',
  /** An upload: a connection for long, a slot little. */
  Upload = 'upload'
}

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'expected lower-case letters, digits and hyphens, at most 63')
const address = z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, 'expected an IP number and port, like 10.0.0.1:8080 or [::1]:8080')
const spanMs = z.number().int().min(1).max(86_400_000)
const fraction = z.number().min(0).max(1)
const cap = z.number().gt(0, 'expected a fraction above 0 and at most 1').max(1, 'expected a fraction above 0 and at most 1')

/** One server process of an upstream. */
const worker = z.strictObject({
  address,
  /** Requests it runs at a time. */
  slots: z.number().int().min(1).max(100_000),
  /** Connections it bears at a time, of all entry VMs together. */
  connections: z.number().int().min(1).max(1_000_000)
})

/** A service's presence in one failure domain. */
const place = z.strictObject({
  workers: z.record(name, worker),
  /** At most so many requests at a time in this place; the sum of the workers' slots if left out. */
  maxConcurrency: z.number().int().min(1).optional()
})

/** How requests whose path begins with a prefix are treated; the longest prefix applies. */
const route = z.strictObject({
  /** Path below `/v1/services/S`, beginning with `/`. */
  prefix: z.string().startsWith('/'),
  repeat: z.enum(RepeatRule).default(RepeatRule.ByMethod),
  kind: z.enum(RequestKind).default(RequestKind.Call),
  /** 0 (first) to 9 (last) when requests wait for a slot. */
  priority: z.number().int().min(0).max(9).default(5)
})

/** The answer by which an upstream says that it did not run a request. */
const refusal = z.strictObject({
  status: z.number().int().min(400).max(599).default(503),
  header: z.string().min(1).default('umberspar-not-run'),
  value: z.string().default('1')
})

/** What the burn report measures a service against. */
const objective = z.strictObject({
  /** The part of requests that must be good. */
  target: z.number().gt(0).lt(1).default(0.999),
  /** A good request is whole and answered within this. */
  latencyMs: spanMs.default(1000)
})

const service = z.strictObject({
  places: z.record(name, place),
  routes: z.array(route).default([]),
  refusal: refusal.prefault({}),
  objective: objective.prefault({}),
  /** Requests that carry an Idempotency-Key are claimed in the store before they run. */
  deduplicate: z.boolean().default(false),
  /** For callers that name no time limit. */
  answerWithinMs: spanMs.default(30_000),
  /** Requests of this service that may wait for a slot at one entry VM. */
  maxQueue: z.number().int().min(0).default(64),
  /** Retries and hedges as a part of first attempts. */
  retryBudget: fraction.default(0.1),
  /** A back end that starts cold, or gets moved traffic, comes to full weight over this. */
  warmUpMs: spanMs.default(10_000)
})

/** A link between two regions and what it bears. */
const link = z.strictObject({
  from: name,
  to: name,
  /** One way, without load. */
  oneWayMs: z.number().min(0),
  /** Requests at a time that may use it in this direction. */
  maxConcurrency: z.number().int().min(1)
})

const region = z.strictObject({
  /** Failure domains of the region. */
  failureDomains: z.array(name).min(1),
  /** Client prefixes (CIDR) nearest to this region. */
  clientBlocks: z.array(z.string()).default([]),
  /** One-way delay to the region's clients. */
  clientDelayMs: z.number().min(0).default(1)
})

/** How far a shift may go. */
const shiftCaps = z.strictObject({
  /** The part of a client region's traffic for a service that one planned step moves. */
  planned: cap,
  /** The same for moves away from what failed. */
  emergency: cap,
  /** The least time between two steps, beside the wait for new measurements. */
  settleMs: spanMs.default(1000),
  /** Measurements older than this count for nothing. */
  staleAfterMs: spanMs.default(5000),
  /** The safe state once measurements have been missing for `staleAfterMs`. */
  whenStale: z.enum(StaleRule).default(StaleRule.Hold)
})

/** What operators have taken out of use. */
const drains = z.strictObject({
  failureDomains: z.array(name).default([]),
  regions: z.array(name).default([]),
  /** One service in one place. */
  places: z.array(z.strictObject({ service: name, failureDomain: name })).default([])
})

/** The whole steering configuration. */
export const configurationSchema = z.strictObject({
  deployment: name,
  regions: z.record(name, region),
  links: z.array(link).default([]),
  services: z.record(name, service),
  shiftCaps,
  drains: drains.prefault({}),
  /** How long callers may cache a look-up's answer. */
  lookupCacheMs: spanMs.default(2000),
  /** Entry VMs of each region that a look-up names for one service. */
  entriesPerRegion: z.number().int().min(1).max(64).default(2)
})

/** A steering configuration that passed the schema. */
export type SteeringConfiguration = z.output<typeof configurationSchema>
/** One service of a configuration. */
export type ServiceConfiguration = z.output<typeof service>
/** A service's presence in one failure domain. */
export type PlaceConfiguration = z.output<typeof place>
/** One server process of an upstream. */
export type WorkerConfiguration = z.output<typeof worker>
/** How requests under a path prefix are treated. */
export type RouteConfiguration = z.output<typeof route>
/** The answer by which an upstream says that it did not run a request. */
export type RefusalConfiguration = z.output<typeof refusal>
