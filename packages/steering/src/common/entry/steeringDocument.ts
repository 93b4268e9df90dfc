/**
 * The operators' configuration as an entry VM reads it from the platform's store: routes by
 * host and path, services, limits for callers. Durations are policy and therefore kept in
 * milliseconds rather than as deadlines.
 */

/** Whether a request may be retried. */
export enum RouteKind {
  /** May be executed more than once. */
  Idempotent = 'idempotent',
  /** Executed at most once. */
  NotIdempotent = 'not-idempotent',
  /** A large request body; executed at most once. */
  Upload = 'upload',
  /** A large answer; may be executed more than once. */
  Download = 'download',
  /** A kind that a newer configuration may define: nothing is assumed, so it is executed at most once. */
  Unknown = 'unknown'
}

/** One service of a route, with its weight in the traffic split. */
export interface WeightedService {
  readonly service: string
  /** Relative to the other services of the route; above 0. */
  readonly weight: number
}

/** The policy for requests below one path of a host. */
export interface RoutePolicy {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly prefix: string
  readonly kind: RouteKind
  /** One service or several; the weights need not add up to a particular sum. */
  readonly parts: readonly WeightedService[]
  /** The longest time until a caller gets an answer, in milliseconds. */
  readonly timeoutMs: number
  /** The latency goal, within which an answer has its full value, in milliseconds. */
  readonly goalMs: number
  /** Limit on the workers that one request is sent to. */
  readonly attempts: number
  /** Priority; 0 is the most urgent. */
  readonly priority: number
  /** Whether workers cache objects, so that requests for recently handled objects are faster. */
  readonly isSticky: boolean
  /** The only regions that may serve the requests; empty if all may. */
  readonly homeRegions: readonly string[]
  /** Whether callers need no key although there are client accounts. */
  readonly isOpen: boolean
}

/** The rate at which a client account may send to all entry VMs together. */
export interface AccountQuota {
  /** Requests per second on average. */
  readonly ratePerSecond: number
  /** Additional requests at once. */
  readonly burst: number
}

/** One client account. */
export interface AccountPolicy {
  readonly name: string
  /** Digests of the keys that its callers use; the keys themselves are not stored. */
  readonly keyDigests: readonly string[]
  /** Overrides the route's priority; 0 is the most urgent. Undefined if the account has none. */
  readonly priority: number | undefined
  /** Undefined if the account has no limit. */
  readonly quota: AccountQuota | undefined
  /** The only regions that may serve the requests; empty if all may. */
  readonly homeRegions: readonly string[]
}

/** The policy for a service's workers. */
export interface ServicePolicy {
  readonly name: string
  readonly healthPath: string
  /** Connections that a worker accepts from all entry VMs together. */
  readonly maxConnections: number
  /** Duration of a worker's cold start, in milliseconds. */
  readonly coldMs: number
  /** Requests per second that a worker can handle during its cold start, from all entry VMs together. */
  readonly coldPerSecond: number
}

/** Limits on callers' requests and connections. */
export interface ClientLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  /** Time in which a caller must have sent a request's headers, in milliseconds. */
  readonly headerMs: number
  /** How long a connection may stay idle, in milliseconds. */
  readonly idleMs: number
}

/** One version of the configuration. */
export interface SteeringDocument {
  /** Increases with each change. */
  readonly version: number
  readonly routes: readonly RoutePolicy[]
  readonly services: readonly ServicePolicy[]
  readonly limits: ClientLimits
  /** The client accounts; undefined where callers need no keys. With an empty list every key is unknown. */
  readonly accounts?: readonly AccountPolicy[] | undefined
}

const RETRYABLE_KINDS: ReadonlySet<RouteKind> = new Set([RouteKind.Idempotent, RouteKind.Download])

/**
 * @param kind a route's kind
 * @returns whether its requests may be executed more than once
 */
export function isRetryable (kind: RouteKind): boolean {
  return RETRYABLE_KINDS.has(kind)
}
